"""A small HTTP/1.1 client with persistent connections, for control calls."""

import asyncio
from typing import NamedTuple, cast

import httptools

from .answer_size import AnswerSize
from .sockets import enable_liveness_checks

CONNECT_TIMEOUT_MS = 700  # a round trip between regions takes 40 ms
MAX_IDLE_CONNECTIONS = 4


class HttpResponse(NamedTuple):
    """A complete response.

    :param headers: values by name in lower case; of repeated ones, the last.
    """

    status: int
    body: bytes
    headers: dict[str, str]


class HttpError(Exception):
    """No complete response was received.

    :param was_sent: whether the request may have reached the server.
    """

    def __init__(self, detail: str, was_sent: bool) -> None:
        super().__init__(detail)
        self.was_sent = was_sent


class _Connection(asyncio.Protocol):
    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._answer: asyncio.Future[HttpResponse] | None = None
        self._body: list[bytes] = []
        self._headers: dict[str, str] = {}
        self._size = AnswerSize()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and enable liveness checks."""
        self.transport = cast(asyncio.Transport, transport)
        enable_liveness_checks(transport)

    async def request(self, data: bytes) -> HttpResponse:
        assert self.transport is not None
        self._answer = asyncio.get_running_loop().create_future()
        self._body = []
        self._size = AnswerSize()
        self.transport.write(data)
        return await self._answer

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; unsolicited ones close the connection."""
        if self._answer is None:
            self._fail("bytes that belong to no answer")
            return
        self._size.add_received(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"unreadable answer: {error}")
        if excess := self._size.excess():
            self._fail(excess)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request, if any."""
        self._fail(str(exc) if exc else "the connection was closed")

    def on_message_begin(self) -> None:
        """Forget the headers of an interim response."""
        self._headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._size.add_body(len(body))
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Deliver the response."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        keeps = self._parser.should_keep_alive()
        if self._answer is not None and not self._answer.done():
            response = HttpResponse(status, b"".join(self._body), self._headers)
            self._answer.set_result(response)
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
    """Sends requests to one server.

    :param host: IP address of the server.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._idle: list[_Connection] = []

    def __repr__(self) -> str:
        return f"HttpClient({self._host}:{self._port})"

    async def request(self, method: str, target: str, body: bytes) -> HttpResponse:
        """Send a request, and return the response.

        :raises HttpError: if no complete response was received.
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
        if (
            not connection.transport.is_closing()
            and len(self._idle) < MAX_IDLE_CONNECTIONS
        ):
            self._idle.append(connection)
        return answer

    async def _connection(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
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
