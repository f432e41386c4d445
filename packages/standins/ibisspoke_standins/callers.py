"""Callers that send requests of an organisation at a rate and record outcomes."""

import asyncio
import itertools
import json
import random
import uuid
from collections.abc import Sequence
from typing import NamedTuple

from result import Err, Result

from ibisspoke_policy.clock import Clock

from .caller_client import CallerClient, NoReply, Reply

NUMBER_HEADER = "X-Request-Number"
IDEMPOTENCY_HEADER = "Idempotency-Key"
MAX_ATTEMPTS = 3
MAX_RETRY_DELAY_MS = 1_000.0
REQUEST_TIMEOUT_S = 15.0


class CallKind(NamedTuple):
    """A kind of request and its rate.

    :param is_order: whether the request must not be executed twice.
    :param n_bytes: size of the body, which the upstream echoes.
    """

    name: str
    method: str
    target: str
    rate_per_s: float
    is_order: bool = False
    n_bytes: int = 0


class Outcome(NamedTuple):
    """Outcome of one attempt of a caller.

    :param request: id of the request, shared by its attempts.
    :param number: id of the attempt.
    :param status: HTTP status; 0 without a complete response.
    :param refusal: kind of the refusal; empty if the attempt was not refused.
    :param ran: ``not_run`` or ``unknown`` on refusals.
    :param is_complete: whether the response was complete and belonged to this attempt.
    """

    organisation: str
    kind: str
    request: str
    number: str
    entry_port: int
    started_ms: float
    ended_ms: float
    status: int
    refusal: str
    ran: str
    is_complete: bool

    @property
    def is_good(self) -> bool:
        """Whether the attempt got status 200 and its own complete response."""
        return self.status == 200 and self.is_complete


class Caller:
    """Open-loop client of an organisation that sends each kind at its rate.

    :param ports: entry ports to use; it switches only after a failed connect.
    :param outcomes: list to which every attempt is added.
    """

    def __init__(
        self,
        name: str,
        organisation: str,
        key: str,
        ports: Sequence[int],
        outcomes: list[Outcome],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.name = name
        self._organisation = organisation
        self._key = key
        self._clients = [CallerClient("127.0.0.1", port) for port in ports]
        self._outcomes = outcomes
        self._clock = clock
        self._rng = rng
        self._request_numbers = itertools.count(1)
        self._open_requests: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        return f"Caller({self.name!r}, {len(self._open_requests)} open)"

    async def run(self, kinds: Sequence[CallKind], for_ms: float) -> None:
        """Send requests for ``for_ms``, then wait for those still open."""
        end_ms = self._clock.now_ms() + for_ms
        await asyncio.gather(*(self._send_at_rate(kind, end_ms) for kind in kinds))
        await asyncio.gather(*self._open_requests)
        for client in self._clients:
            client.close()

    async def _send_at_rate(self, kind: CallKind, end_ms: float) -> None:
        due_ms = self._clock.now_ms()
        while True:
            due_ms += self._rng.expovariate(kind.rate_per_s) * 1000.0
            if due_ms >= end_ms:
                return
            await asyncio.sleep(max(0.0, due_ms - self._clock.now_ms()) / 1000.0)
            task = asyncio.ensure_future(self._send_request(kind))
            self._open_requests.add(task)
            task.add_done_callback(self._open_requests.discard)

    async def _send_request(self, kind: CallKind) -> None:
        """Send one request; retry a refused order under the same idempotency key."""
        request = f"{self.name}-{kind.name}-{next(self._request_numbers)}"
        headers = {"Authorization": f"Bearer {self._key}"}
        if kind.is_order:
            headers[IDEMPOTENCY_HEADER] = make_uuid7(self._clock, self._rng)
        body = self._rng.randbytes(kind.n_bytes)
        for n_attempt in range(1, MAX_ATTEMPTS + 1):
            number = f"{request}.{n_attempt}"
            attempt_headers = {**headers, NUMBER_HEADER: number}
            outcome, retry_after_ms = await self._send_attempt(
                kind, request, attempt_headers, body
            )
            self._outcomes.append(outcome)
            if outcome.refusal == "" or retry_after_ms is None or not kind.is_order:
                return
            await asyncio.sleep(min(retry_after_ms, MAX_RETRY_DELAY_MS) / 1000.0)

    async def _send_attempt(
        self, kind: CallKind, request: str, headers: dict[str, str], body: bytes
    ) -> tuple[Outcome, float | None]:
        started_ms = self._clock.now_ms()
        reply = await self._send_to_entry(kind, headers, body)
        outcome = Outcome(
            self._organisation,
            kind.name,
            request,
            headers[NUMBER_HEADER],
            self._clients[0].port,
            started_ms,
            self._clock.now_ms(),
            0,
            "",
            "",
            False,
        )
        return _classify_reply(outcome, reply, body)

    async def _send_to_entry(
        self, kind: CallKind, headers: dict[str, str], body: bytes
    ) -> Result[Reply, NoReply]:
        reply: Result[Reply, NoReply] = Err(
            NoReply(False, "no entry port accepted a connection")
        )
        for _ in self._clients:
            sending = self._clients[0].send(kind.method, kind.target, headers, body)
            try:
                reply = await asyncio.wait_for(sending, REQUEST_TIMEOUT_S)
            except TimeoutError:
                return Err(NoReply(True, "the node sent no response in time"))
            if not isinstance(reply, Err) or reply.err_value.sent:
                return reply
            self._clients.append(self._clients.pop(0))
        return reply


def make_uuid7(clock: Clock, rng: random.Random) -> str:
    """Return a version 7 UUID, which contains its creation time."""
    time_bits = int(clock.wall_ms()) & (1 << 48) - 1
    bits = time_bits << 80 | rng.getrandbits(80)
    bits = bits & ~(0xF << 76) | 7 << 76
    bits = bits & ~(0x3 << 62) | 2 << 62
    return str(uuid.UUID(int=bits))


def _classify_reply(
    outcome: Outcome, reply: Result[Reply, NoReply], body: bytes
) -> tuple[Outcome, float | None]:
    """Return the outcome and the delay before a retry, None if there is none."""
    if isinstance(reply, Err):
        return outcome._replace(refusal="no_reply", ran="unknown"), None
    answer = reply.ok_value
    if answer.headers.get("Content-Type", "") == "application/problem+json":
        problem = json.loads(answer.body)
        refused = outcome._replace(
            status=answer.status, refusal=problem["kind"], ran=problem["ran"]
        )
        return refused, problem["retry_after_ms"]
    is_own_number = answer.headers.get(NUMBER_HEADER) == outcome.number
    is_complete = is_own_number and answer.body == (body or b"ok")
    return outcome._replace(status=answer.status, is_complete=is_complete), None
