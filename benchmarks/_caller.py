"""Keep-alive HTTP caller with as little work a call as the measurement allows."""

import asyncio
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple


class CallerAnswer(NamedTuple):
    """A whole answer."""

    status: int
    body: bytes


class _Connection(asyncio.Protocol):
    """One kept connection with at most one request on it."""

    def __init__(self, caller: "Caller") -> None:
        self._caller = caller
        self._buffer = b""
        self._n_expected = -1
        self._head = b""
        self.answered: asyncio.Future[CallerAnswer] | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        if self._n_expected < 0:
            end = self._buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            self._head = self._buffer[:end].lower() + b"\r\n"
            self._buffer = self._buffer[end + 4 :]
            self._n_expected = _content_length(self._head)
        if len(self._buffer) >= self._n_expected:
            self._end()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        answered = self.answered
        if answered is not None and not answered.done():
            answered.set_exception(ConnectionError("closed before a whole answer"))

    def _end(self) -> None:
        answer = CallerAnswer(int(self._head[9:12]), self._buffer)
        closes = b"connection: close" in self._head
        self._buffer = b""
        self._n_expected = -1
        answered, self.answered = self.answered, None
        assert self.transport is not None
        if closes:
            self.transport.close()
        else:
            self._caller.idle.append(self)
        if answered is not None and not answered.done():
            answered.set_result(answer)


class Caller:
    """Post bodies to one port on loopback over kept connections."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.idle: deque[_Connection] = deque()

    async def post(
        self, target: str, headers: Mapping[str, str], body: bytes
    ) -> CallerAnswer:
        """Send one request and return its whole answer."""
        connection = self._take_idle()
        if connection is None:
            connection = await self._connect()
        lines = [f"POST {target} HTTP/1.1", "Host: 127.0.0.1"]
        lines.extend(f"{name}: {value}" for name, value in headers.items())
        lines.append(f"Content-Length: {len(body)}\r\n\r\n")
        connection.answered = asyncio.get_running_loop().create_future()
        assert connection.transport is not None
        connection.transport.write("\r\n".join(lines).encode() + body)
        return await connection.answered

    async def connect(self, n_connections: int) -> None:
        """Open connections ahead of need."""
        for _ in range(n_connections):
            self.idle.append(await self._connect())

    def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            transport = self.idle.pop().transport
            if transport is not None:
                transport.close()

    def _take_idle(self) -> _Connection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.transport is not None:
                return connection
        return None

    async def _connect(self) -> _Connection:
        loop = asyncio.get_running_loop()
        connection = _Connection(self)
        await loop.create_connection(lambda: connection, "127.0.0.1", self.port)
        return connection


def _content_length(head: bytes) -> int:
    start = head.index(b"content-length:") + len(b"content-length:")
    return int(head[start : head.index(b"\r\n", start)])
