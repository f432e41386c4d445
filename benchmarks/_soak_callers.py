"""Callers of the soak, which keep their connections until the node closes them."""

import asyncio
import itertools
import random

from _soak_operator import KEYS, REPORT_TIMEOUT_MS
from _soak_processes import SoakVm, now_ms
from fleet_harness import Caller, connect, request_bytes

from ibisspoke_standins.fleet_guarantees import Request

PAUSE_S = 0.08  # between two requests of a caller, on average
ORDER_SHARE = 0.4
REPORT_SHARE = 0.02
DEADLINE_MS = 2_000
ANSWER_TIMEOUT_S = 4.0  # beyond it, the caller gives the connection up
REPORT_TIMEOUT_S = 7.0
RECONNECT_PAUSE_S = 0.05
FAULT_MARGIN_MS = 300.0  # around a fault; its start is not known to the millisecond

_numbers = itertools.count(1)


class SoakCaller:
    """Sends requests to the node of one VM over one connection.

    :ivar unanswered: requests whose connection ended without an answer.
    """

    def __init__(self, vm: SoakVm, seed: int) -> None:
        self.vm = vm
        self.requests: list[Request] = []
        self.unanswered: list[tuple[Request, float]] = []
        self._number = next(_numbers)
        self._rng = random.Random(seed * 1_000 + self._number)
        self._ids = itertools.count(1)
        self._connection: Caller | None = None

    def __repr__(self) -> str:
        return f"SoakCaller({self._number}, {self.vm!r})"

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1.0 / PAUSE_S))
            connection = self._connection
            if connection is None or connection.closed.is_set():
                self._connection = await self._connect()
            if self._connection is not None:
                await self._call(self._connection)

    async def _connect(self) -> Caller | None:
        try:
            async with asyncio.timeout(1.0):
                return await connect(self.vm.inner)
        except (OSError, TimeoutError):
            await asyncio.sleep(RECONNECT_PAUSE_S)  # the node is down or paused
            return None

    async def _call(self, connection: Caller) -> None:
        request_id = f"c{self._number}-{next(self._ids)}"
        share = self._rng.random()
        is_order = share < ORDER_SHARE
        is_report = share > 1.0 - REPORT_SHARE
        path = f"/order/{request_id}" if is_order else f"/lookup/{request_id}"
        if is_report:
            path = f"/report/{request_id}"
        key = self._rng.choice(KEYS)
        sent_ms = now_ms()
        connection.transport.write(
            request_bytes(
                path,
                method="POST" if is_order else "GET",
                body=b"x" * 50 if is_order else b"",
                key=key,
                request_id=request_id,
                deadline_ms=REPORT_TIMEOUT_MS if is_report else DEADLINE_MS,
            )
        )
        try:
            timeout_s = REPORT_TIMEOUT_S if is_report else ANSWER_TIMEOUT_S
            async with asyncio.timeout(timeout_s):
                response = await connection.responses.get()
            status, body = response.status, response.body
        except TimeoutError:
            connection.transport.abort()
            connection.closed.set()
            status, body = 0, b""
        is_calm = self.vm.is_calm(sent_ms - FAULT_MARGIN_MS)
        request = Request(request_id, path, key, sent_ms, is_calm, status, body)
        self.requests.append(request)
        if not status:
            self.unanswered.append((request, now_ms()))
