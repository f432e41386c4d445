"""Minimal keep-alive HTTP client that adds little overhead to the measurements."""

import asyncio
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple


class CallerAnswer(NamedTuple):
    """A complete answer."""

    status: int
    body: bytes


class _Connection(asyncio.Protocol):
    """A keep-alive connection with at most one request in flight."""

    def __init__(self, caller: "Caller") -> None:
        self._caller = caller
        self._buffer = b""
        self._n_expected = -1
        self._head = b""
        self.pending_answer: asyncio.Future[CallerAnswer] | None = None
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
            self._finish_answer()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        pending_answer = self.pending_answer
        if pending_answer is not None and not pending_answer.done():
            pending_answer.set_exception(
                ConnectionError("closed before a whole answer")
            )

    def _finish_answer(self) -> None:
        answer = CallerAnswer(int(self._head[9:12]), self._buffer)
        must_close = b"connection: close" in self._head
        self._buffer = b""
        self._n_expected = -1
        pending_answer, self.pending_answer = self.pending_answer, None
        assert self.transport is not None
        if must_close:
            self.transport.close()
        else:
            self._caller.idle.append(self)
        if pending_answer is not None and not pending_answer.done():
            pending_answer.set_result(answer)


class Caller:
    """Posts bodies to one port on loopback over keep-alive connections."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.idle: deque[_Connection] = deque()

    async def post(
        self, target: str, headers: Mapping[str, str], body: bytes
    ) -> CallerAnswer:
        """Send one request and return its answer."""
        connection = self._pop_idle()
        if connection is None:
            connection = await self._connect()
        lines = [f"POST {target} HTTP/1.1", "Host: 127.0.0.1"]
        lines.extend(f"{name}: {value}" for name, value in headers.items())
        lines.append(f"Content-Length: {len(body)}\r\n\r\n")
        connection.pending_answer = asyncio.get_running_loop().create_future()
        assert connection.transport is not None
        connection.transport.write("\r\n".join(lines).encode() + body)
        return await connection.pending_answer

    async def connect(self, n_connections: int) -> None:
        """Open idle connections in advance."""
        for _ in range(n_connections):
            self.idle.append(await self._connect())

    def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            transport = self.idle.pop().transport
            if transport is not None:
                transport.close()

    def _pop_idle(self) -> _Connection | None:
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
