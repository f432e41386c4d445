"""HTTP/1.1 client of a caller, with persistent connections to one node."""

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
    """A complete response."""

    status: int
    headers: HTTPHeaders
    body: bytes


class NoReply(NamedTuple):
    """A request without a complete response.

    :param sent: whether any part of it may have reached the node.
    """

    sent: bool
    detail: str


class _ResponseCollector(HTTPMessageDelegate):
    """Collect one response."""

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
    """Send requests to the entry port of one node.

    :param host: IP address of the node.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self._idle_streams: deque[IOStream] = deque()
        self._tcp = TCPClient()

    def __repr__(self) -> str:
        return f"CallerClient({self.host}:{self.port}, {len(self._idle_streams)} idle)"

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle_streams:
            self._idle_streams.popleft().close()

    async def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Result[Reply, NoReply]:
        """Send one request and read the complete response."""
        stream = self._pop_idle_stream()
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
        collector = _ResponseCollector()
        request_headers = HTTPHeaders(headers)
        request_headers["Host"] = f"{self.host}:{self.port}"
        request_headers["Content-Length"] = str(len(body))
        reusable = False
        try:
            start_line = RequestStartLine(method, target, "HTTP/1.1")
            write_future = connection.write_headers(start_line, request_headers, body)
            write_future.add_done_callback(_discard_write_error)
            connection.finish()
            reusable = await connection.read_response(collector)
        except (StreamClosedError, OSError) as error:
            return Err(NoReply(True, str(error)))
        finally:
            must_close = collector.headers.get("Connection", "").lower() == "close"
            if must_close or not (reusable and collector.finished):
                stream.close()
        if not collector.finished:
            return Err(
                NoReply(True, "the connection closed before the response was complete")
            )
        if not stream.closed():
            self._idle_streams.append(stream)
        return Ok(Reply(collector.status, collector.headers, b"".join(collector.parts)))

    def _pop_idle_stream(self) -> IOStream | None:
        while self._idle_streams:
            stream = self._idle_streams.pop()
            if not stream.closed():
                return stream
        return None


def _discard_write_error(write_future: "asyncio.Future[None]") -> None:
    if not write_future.cancelled():
        write_future.exception()
