"""Callers with open connections that send requests at a steady rate."""

import asyncio
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
    """One caller; moves to the next entry when its connection ends.

    :param ports: entries in order of preference.
    :param period_s: from one request to the next.
    """

    def __init__(self, ports: Sequence[int], period_s: float) -> None:
        self._ports = list(ports)
        self._period_s = period_s
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.n_by_outcome: Counter[str] = Counter()

    async def run(self) -> None:
        """Send requests until cancelled."""
        loop = asyncio.get_running_loop()
        next_s = loop.time()
        try:
            while True:
                next_s = max(next_s + self._period_s, loop.time() - 1.0)
                await asyncio.sleep(max(0.0, next_s - loop.time()))
                self.n_by_outcome[await self._request()] += 1
        finally:
            self._close()

    async def _request(self) -> str:
        if self._stream is None:
            self._stream = await self._connect()
        reader, writer = self._stream
        try:
            writer.write(REQUEST)
            status, closes = await asyncio.wait_for(_read(reader), ANSWER_TIMEOUT_S)
        except (OSError, EOFError, TimeoutError):
            self._close()
            return "cut"
        if closes:
            self._close()
        return "answered" if status == 200 else f"refused_{status}"

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
async def calling(callers: list[Caller]) -> AsyncIterator[None]:
    """Run callers while the context is open."""
    tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def total(callers: list[Caller]) -> Counter[str]:
    """Return the outcomes of all callers together."""
    return sum((caller.n_by_outcome for caller in callers), Counter())


async def _read(reader: asyncio.StreamReader) -> tuple[int, bool]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines if line)
    }
    await reader.readexactly(int(headers.get("content-length", "0")))
    return int(first.split()[1]), headers.get("connection", "").lower() == "close"
