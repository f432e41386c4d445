"""HTTP/1.1 client of the upstream on this VM, with persistent connections."""

import asyncio
import socket
import sys
from collections import deque
from collections.abc import Awaitable
from functools import lru_cache
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

from ibisspoke_policy.clock import Clock

from .buffer_budget import BufferBudget
from .head_writer import set_permanent_nodelay, write_request
from .headers import ATTEMPT_HEADER
from .messages import Header

CONNECT_TIMEOUT_MS = 1_000
MAX_HEADER_BYTES = 65_536
PARAMETER_CACHE_SIZE = 64
MAX_IDLE_MS = 1_000.0
# Larger answers wait for the buffer budget before their body is read.
MAX_UNRESERVED_BYTES = 65_536


class UpstreamRequest(NamedTuple):
    """A request to the upstream.

    :param attempt_id: an answer that names another attempt is rejected.
    """

    method: str
    target: str
    headers: list[Header]
    body: bytes
    max_answer_bytes: int
    idempotent: bool = True
    attempt_id: str = ""


class UpstreamAnswer(NamedTuple):
    """A complete answer of the upstream."""

    status: int
    reason: str
    headers: list[Header]
    body: bytes


class UpstreamFailure(NamedTuple):
    """A request without a complete answer.

    :param sent: whether the upstream may have received the request.
    :param too_large: whether the answer exceeded the size limit.
    """

    sent: bool
    too_large: bool
    detail: str


class _AnswerReader(HTTPMessageDelegate):
    """Collect one answer."""

    def __init__(self, stream: IOStream, max_bytes: int, budget: BufferBudget) -> None:
        self._stream = stream
        self._budget = budget
        self._n_held = 0
        self.closes = False
        self.delimited = False
        self.start_line: ResponseStartLine | None = None
        self.headers: list[Header] = []
        self.finished = False
        self.too_large = False
        self._max_bytes = max_bytes
        self._parts: list[bytes] = []
        self._n_bytes = 0

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, ResponseStartLine)
        self.start_line = start_line
        self.headers = list(headers.get_all())
        self.closes = headers.get("Connection", "").lower() == "close"
        self.delimited = _is_delimited(start_line.code, headers)
        length = headers.get("Content-Length", "")
        n_bytes = int(length) if length.isascii() and length.isdigit() else 0
        if MAX_UNRESERVED_BYTES < n_bytes <= self._max_bytes:
            return self._reserve(n_bytes)
        return None

    async def _reserve(self, n_bytes: int) -> None:
        await self._budget.wait_for(n_bytes)
        self._n_held = n_bytes

    def data_received(self, chunk: bytes) -> None:
        self._n_bytes += len(chunk)
        if self._n_bytes > self._max_bytes:
            self.too_large = True
            self._stream.close()
            return
        if self._n_bytes > self._n_held:
            self._budget.hold(self._n_bytes - self._n_held)
            self._n_held = self._n_bytes
        self._parts.append(chunk)

    def release(self) -> None:
        """Release the bytes; the next owner of the body counts them again."""
        self._budget.release(self._n_held)
        self._n_held = 0

    def finish(self) -> None:
        self.finished = True

    def is_for_other_attempt(self, attempt_id: str) -> bool:
        """Return whether the answer names another attempt than ``attempt_id``."""
        for name, value in self.headers:
            if name.lower() == ATTEMPT_HEADER.lower():
                return value != attempt_id
        return False

    @property
    def is_complete(self) -> bool:
        return self.finished and self.delimited and not self.too_large

    @property
    def body(self) -> bytes:
        return self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)


class _IdleConnection(NamedTuple):
    """An idle connection and when it last carried a complete answer."""

    stream: IOStream
    last_answer_ms: float


class UpstreamClient:
    """Send requests to one upstream over persistent connections.

    :param host: IP address of the upstream.
    :param answers: limits the bytes of answers that are being read; None for no limit.
    """

    def __init__(
        self,
        host: str,
        port: int,
        clock: Clock,
        answers: BufferBudget | None = None,
    ) -> None:
        self._answers = answers or BufferBudget(sys.maxsize)
        self.host = host
        self.port = port
        self._clock = clock
        self._idle: deque[_IdleConnection] = deque()
        self._tcp = TCPClient()
        self._host_header = f"{host}:{port}"

    def __repr__(self) -> str:
        return f"UpstreamClient({self._host_header}, {len(self._idle)} idle)"

    async def fetch(
        self, request: UpstreamRequest
    ) -> Result[UpstreamAnswer, UpstreamFailure]:
        """Send ``request`` and read the complete answer.

        Cancellation closes the connection, which tells the upstream.
        """
        stream = self._take_idle()
        if stream is None:
            try:
                stream = await self._connect()
            except (OSError, StreamClosedError, TimeoutError) as error:
                return Err(UpstreamFailure(False, False, f"cannot connect: {error}"))
        return await self._exchange(stream, request)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.popleft().stream.close()

    async def _exchange(
        self, stream: IOStream, request: UpstreamRequest
    ) -> Result[UpstreamAnswer, UpstreamFailure]:
        connection = HTTP1Connection(
            stream, True, _parameters(request.max_answer_bytes)
        )
        reader = _AnswerReader(stream, request.max_answer_bytes, self._answers)
        reusable = False
        try:
            headers = self._request_headers(request)
            start_line = RequestStartLine(request.method, request.target, "HTTP/1.1")
            write_request(connection, start_line, headers, request.body)
            connection.finish()
            reusable = await connection.read_response(reader) and not reader.closes
        except (StreamClosedError, OSError) as error:
            return Err(UpstreamFailure(True, reader.too_large, str(error)))
        finally:
            reader.release()
            if not (reusable and reader.is_complete):
                stream.close()
        if reader.is_for_other_attempt(request.attempt_id):
            stream.close()
            return Err(UpstreamFailure(True, False, "the answer is to another request"))
        if not reader.is_complete or reader.start_line is None:
            detail = "the connection ended before a whole answer of stated length"
            return Err(UpstreamFailure(True, reader.too_large, detail))
        if not stream.closed():
            self._idle.append(_IdleConnection(stream, self._clock.now_ms()))
        start = reader.start_line
        return Ok(UpstreamAnswer(start.code, start.reason, reader.headers, reader.body))

    def _take_idle(self) -> IOStream | None:
        """Return a connection that recently carried an answer, or None.

        Older ones are closed, as network equipment in between may have dropped them.
        """
        oldest_ms = self._clock.now_ms() - MAX_IDLE_MS
        while self._idle:
            idle = self._idle.pop()
            if idle.last_answer_ms >= oldest_ms and _is_reusable(idle.stream):
                return idle.stream
            idle.stream.close()
        return None

    async def _connect(self) -> IOStream:
        # asyncio.wait_for loses a cancellation that coincides with the connection.
        async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000.0):
            stream = await self._tcp.connect(self.host, self.port)
        set_permanent_nodelay(stream)
        return stream

    def _request_headers(self, request: UpstreamRequest) -> list[Header]:
        return [
            ("Host", self._host_header),
            *request.headers,
            ("Content-Length", str(len(request.body))),
        ]


@lru_cache(maxsize=PARAMETER_CACHE_SIZE)
def _parameters(max_answer_bytes: int) -> HTTP1ConnectionParameters:
    return HTTP1ConnectionParameters(
        no_keep_alive=False,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=max_answer_bytes,
        decompress=False,
    )


def _is_reusable(stream: IOStream) -> bool:
    """Return whether an idle connection is open and holds no unread bytes.

    Unread bytes belong to a late or duplicate answer to an earlier request.
    """
    if stream.closed() or stream._read_buffer_size:
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _is_delimited(status: int, headers: HTTPHeaders) -> bool:
    if status in (204, 304):
        return True
    return "Content-Length" in headers or "Transfer-Encoding" in headers
