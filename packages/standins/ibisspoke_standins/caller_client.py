"""HTTP/1.1 client of a caller, with kept connections to one node."""

import asyncio
from collections import deque
from typing import NamedTuple

from result import Err, Ok, Result
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

MAX_ANSWER_BYTES = 16_777_216


class Reply(NamedTuple):
    """A whole answer."""

    status: int
    headers: HTTPHeaders
    body: bytes


class NoReply(NamedTuple):
    """A request without a whole answer.

    :param sent: whether any part of it may have reached the node.
    """

    sent: bool
    detail: str


class _Reader(HTTPMessageDelegate):
    """Collect one answer."""

    def __init__(self) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self.parts: list[bytes] = []
        self.finished = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        self.parts.append(chunk)

    def finish(self) -> None:
        self.finished = True


class CallerClient:
    """Send requests to the entry of one node.

    :param host: IP number of the node.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self._idle: deque[IOStream] = deque()
        self._tcp = TCPClient()

    def __repr__(self) -> str:
        return f"CallerClient({self.host}:{self.port}, {len(self._idle)} idle)"

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.popleft().close()

    async def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Result[Reply, NoReply]:
        """Send one request and read the whole answer."""
        stream = self._take_idle()
        if stream is None:
            try:
                stream = await self._tcp.connect(self.host, self.port)
            except (OSError, StreamClosedError) as error:
                return Err(NoReply(False, str(error)))
        return await self._exchange(stream, method, target, headers, body)

    async def _exchange(
        self,
        stream: IOStream,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> Result[Reply, NoReply]:
        parameters = HTTP1ConnectionParameters(max_body_size=MAX_ANSWER_BYTES)
        connection = HTTP1Connection(stream, True, parameters)
        reader = _Reader()
        fields = HTTPHeaders(headers)
        fields["Host"] = f"{self.host}:{self.port}"
        fields["Content-Length"] = str(len(body))
        reusable = False
        try:
            start_line = RequestStartLine(method, target, "HTTP/1.1")
            writing = connection.write_headers(start_line, fields, body)
            writing.add_done_callback(_ignore_closed)
            connection.finish()
            reusable = await connection.read_response(reader)
        except (StreamClosedError, OSError) as error:
            return Err(NoReply(True, str(error)))
        finally:
            closes = reader.headers.get("Connection", "").lower() == "close"
            if closes or not (reusable and reader.finished):
                stream.close()
        if not reader.finished:
            return Err(NoReply(True, "the connection ended before a whole answer"))
        if not stream.closed():
            self._idle.append(stream)
        return Ok(Reply(reader.status, reader.headers, b"".join(reader.parts)))

    def _take_idle(self) -> IOStream | None:
        while self._idle:
            stream = self._idle.pop()
            if not stream.closed():
                return stream
        return None


def _ignore_closed(written: "asyncio.Future[None]") -> None:
    if not written.cancelled():
        written.exception()
