"""Callers that send requests at random times over keep-alive connections."""

import asyncio
import json
import random
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

BODY = b"x" * 200
REQUEST = (
    b"POST /bench/look HTTP/1.1\r\nHost: bench\r\n"
    b"Content-Type: application/octet-stream\r\n"
    b"Content-Length: %d\r\n\r\n" % len(BODY)
) + BODY
ANSWER_TIMEOUT_S = 6.0


class Caller:
    """One caller, which connects to the next entry port when its connection ends.

    :param ports: entry ports in order of preference.
    :param period_s: mean time between two requests.
    :param rng: random generator for the times between requests.
    """

    def __init__(
        self, ports: Sequence[int], period_s: float, rng: random.Random
    ) -> None:
        self._ports = list(ports)
        self._period_s = period_s
        self._rng = rng
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._is_stopping = False
        self.n_by_outcome: Counter[str] = Counter()

    def stop(self) -> None:
        """Stop after the current request."""
        self._is_stopping = True

    async def run(self) -> None:
        """Send requests until stopped."""
        loop = asyncio.get_running_loop()
        next_s = loop.time()
        try:
            while not self._is_stopping:
                next_s = max(next_s + self._pause_s(), loop.time() - 1.0)
                await asyncio.sleep(max(0.0, next_s - loop.time()))
                self.n_by_outcome[await self._request()] += 1
        finally:
            self._close()

    def _pause_s(self) -> float:
        return self._rng.expovariate(1.0 / self._period_s)

    async def _request(self) -> str:
        if self._stream is None:
            self._stream = await self._connect()
        reader, writer = self._stream
        try:
            writer.write(REQUEST)
            status, must_close, detail = await asyncio.wait_for(
                _read_answer(reader), ANSWER_TIMEOUT_S
            )
        except (OSError, EOFError, TimeoutError):
            self._close()
            return "cut"
        if must_close:
            self._close()
        return "answered" if status == 200 else f"refused_{detail}"

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while True:
            for _ in self._ports:
                port = self._ports[0]
                try:
                    return await asyncio.open_connection("127.0.0.1", port)
                except OSError:
                    self._ports.append(self._ports.pop(0))
            await asyncio.sleep(0.05)

    def _close(self) -> None:
        if self._stream is not None:
            self._stream[1].close()
            self._stream = None
            self._ports.append(self._ports.pop(0))


@asynccontextmanager
async def running_callers(callers: list[Caller]) -> AsyncIterator[None]:
    """Run callers while the context is open."""
    tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
    try:
        yield
    finally:
        for caller in callers:
            caller.stop()
        _, pending_tasks = await asyncio.wait(tasks, timeout=ANSWER_TIMEOUT_S)
        for task in pending_tasks:
            task.cancel()


def total_outcomes(callers: list[Caller]) -> Counter[str]:
    """Return the number of requests of all callers by outcome."""
    return sum((caller.n_by_outcome for caller in callers), Counter())


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, bool, str]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines if line)
    }
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    status = int(first.split()[1])
    detail = "" if status == 200 else str(json.loads(body)["kind"])
    return status, headers.get("connection", "").lower() == "close", detail
