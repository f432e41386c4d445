"""A small HTTP/1.1 client with kept connections, for control calls."""

import asyncio
from typing import NamedTuple, cast

import httptools

from .sockets import watch_liveness

CONNECT_TIMEOUT_MS = 700  # a round trip between regions takes 40 ms
MAX_KEPT = 4


class HttpAnswer(NamedTuple):
    """A whole answer."""

    status: int
    body: bytes


class HttpError(Exception):
    """There is no whole answer.

    :param was_sent: whether the request may have reached the server.
    """

    def __init__(self, detail: str, was_sent: bool) -> None:
        super().__init__(detail)
        self.was_sent = was_sent


class _Connection(asyncio.Protocol):
    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._answer: asyncio.Future[HttpAnswer] | None = None
        self._body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take in the new connection."""
        self.transport = cast(asyncio.Transport, transport)
        watch_liveness(transport)

    async def request(self, data: bytes) -> HttpAnswer:
        assert self.transport is not None
        self._answer = asyncio.get_running_loop().create_future()
        self._body = []
        self.transport.write(data)
        return await self._answer

    def data_received(self, data: bytes) -> None:
        """Take in received bytes."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"unreadable answer: {error}")

    def connection_lost(self, exc: Exception | None) -> None:
        """Clean up after the connection."""
        self._fail(str(exc) if exc else "the connection was closed")

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Note the end of the message."""
        status = self._parser.get_status_code()
        keeps = self._parser.should_keep_alive()
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(HttpAnswer(status, b"".join(self._body)))
        self._answer = None
        if not keeps and self.transport is not None:
            self.transport.close()

    def _fail(self, detail: str) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(HttpError(detail, was_sent=True))
        self._answer = None
        if self.transport is not None:
            self.transport.abort()


class HttpClient:
    """Send requests to one server.

    :param host: IP number of the server.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._kept: list[_Connection] = []

    def __repr__(self) -> str:
        return f"HttpClient({self._host}:{self._port})"

    async def request(self, method: str, target: str, body: bytes) -> HttpAnswer:
        """Return the answer to a request.

        :raises HttpError: if there is none.
        """
        connection = await self._connection()
        assert connection.transport is not None
        lines = [f"{method} {target} HTTP/1.1", f"host: {self._host}:{self._port}"]
        if body:
            lines.append("content-type: application/json")
        lines.append(f"content-length: {len(body)}\r\n\r\n")
        try:
            answer = await connection.request("\r\n".join(lines).encode() + body)
        except BaseException:
            connection.transport.abort()
            raise
        if not connection.transport.is_closing() and len(self._kept) < MAX_KEPT:
            self._kept.append(connection)
        return answer

    async def _connection(self) -> _Connection:
        while self._kept:
            connection = self._kept.pop()
            if connection.transport and not connection.transport.is_closing():
                return connection
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000.0):
                _, connection = await loop.create_connection(
                    _Connection, self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            detail = f"no connection: {error or 'timed out'}"
            raise HttpError(detail, was_sent=False) from error
        return connection
