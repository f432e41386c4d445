"""HTTP/1.1 towards callers: reads requests, writes answers."""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple, cast

import httptools

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.route_table import CallerLimits

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    403: b"Forbidden",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
DEFAULT_LIMITS = CallerLimits(16_384, 64 * 1024 * 1024, 3_000.0, 15_000.0)
MAX_PIPELINED = 16  # requests read ahead on one connection before reading pauses
IDLE_GRACE_MS = 500.0  # beyond the idle timeout, so that no request meets the close
STOP_IDLE_MS = 300.0  # in a stop; a caller that has just connected sends its request


class CallerRequest(NamedTuple):
    """A whole request.

    :param headers: names in lower case, with their spelling, and values.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes, bytes]]
    body: bytes
    arrived_ms: float


class CallerAnswer(NamedTuple):
    """An answer to write.

    :param headers: as lines on the wire, without length and connection.
    """

    status: int
    headers: bytes
    body: bytes


logger = logging.getLogger("ibisspoke")

Handler = Callable[[CallerRequest], Awaitable[CallerAnswer]]


class ServerState:
    """What all connections of one listener share.

    :param limits: returns the bounds on callers that are in force.
    """

    def __init__(
        self, handler: Handler, clock: Clock, limits: Callable[[], CallerLimits]
    ) -> None:
        self.handler = handler
        self.clock = clock
        self.limits = limits
        self.is_stopping = False
        self.connections: set[CallerConnection] = set()
        self.n_active = 0

    def __repr__(self) -> str:
        return f"ServerState(n_active={self.n_active})"

    def tick(self) -> None:
        """Close connections that are idle or slow for too long."""
        now_ms = self.clock.now_ms()
        limits = self.limits()
        for connection in list(self.connections):
            connection.check_time(now_ms, limits)


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; requests are answered in order."""

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._waiting: deque[tuple[CallerRequest, bool]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._active_ms = state.clock.now_ms()
        self._reading_since_ms: float | None = None
        self._in_body = False
        self._closes = False
        self._reset()

    def __repr__(self) -> str:
        return f"CallerConnection(busy={self._task is not None})"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take in the new connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._state.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Take in received bytes."""
        if self._closes:
            return
        if self._reading_since_ms is None:
            self._reading_since_ms = self._state.clock.now_ms()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            self._reject(self._fault or 400)

    def eof_received(self) -> bool:
        """Close when the other end has closed."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Clean up after the connection."""
        self._state.connections.discard(self)
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Stop reading while the caller reads slowly."""
        assert self._transport is not None
        self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Read on."""
        assert self._transport is not None
        self._transport.resume_reading()

    def check_time(self, now_ms: float, limits: CallerLimits) -> None:
        """Close the connection if it is idle or its headers are slow."""
        if self._task is not None or self._transport is None:
            return
        since_ms = self._reading_since_ms
        if since_ms is not None:
            if not self._in_body and now_ms - since_ms > limits.header_timeout_ms:
                self._reject(408)
            return
        bound_ms = limits.idle_timeout_ms + IDLE_GRACE_MS
        if self._state.is_stopping:
            bound_ms = STOP_IDLE_MS
        if now_ms - self._active_ms > bound_ms:
            self._transport.close()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a message."""
        self._reset()

    def on_url(self, url: bytes) -> None:
        """Take in a part of the target."""
        self._target += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header."""
        self._count(len(name) + len(value) + 4)
        lower = name.lower()
        if lower == b"expect" and value.lower() == b"100-continue":
            self._expects_continue = True
        self._headers.append((lower, name, value))

    def on_headers_complete(self) -> None:
        """Note the end of the headers."""
        self._in_body = True
        if self._expects_continue and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body."""
        self._n_body_bytes += len(body)
        if self._n_body_bytes > self._state.limits().max_body_bytes:
            self._fault = 413
            raise ValueError("the body is too large")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Note the end of the message."""
        now_ms = self._state.clock.now_ms()
        request = CallerRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            b"".join(self._body),
            now_ms,
        )
        self._reading_since_ms = None
        self._in_body = False
        self._waiting.append((request, self._parser.should_keep_alive()))
        if self._task is None:
            self._start()
        elif len(self._waiting) > MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()

    def _count(self, n_bytes: int) -> None:
        self._n_head_bytes += n_bytes
        if self._n_head_bytes > self._state.limits().max_header_bytes:
            self._fault = 431
            raise ValueError("the head of the request is too large")

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes, bytes]] = []
        self._body: list[bytes] = []
        self._n_head_bytes = 0
        self._n_body_bytes = 0
        self._fault = 0
        self._expects_continue = False

    def _start(self) -> None:
        request, keeps_alive = self._waiting.popleft()
        self._state.n_active += 1
        self._task = asyncio.ensure_future(self._answer(request, keeps_alive))

    async def _answer(self, request: CallerRequest, keeps_alive: bool) -> None:
        try:
            answer = await self._state.handler(request)
        except Exception:
            logger.exception("handler failed", extra={"target": repr(request.target)})
            answer = CallerAnswer(500, b"", b"")
        finally:
            self._state.n_active -= 1
            self._task = None
        if self._transport is None or self._transport.is_closing():
            return
        closes = not keeps_alive or self._state.is_stopping
        self._write(answer, closes, request.method == b"HEAD")
        self._active_ms = self._state.clock.now_ms()
        if closes:
            self._closes = True
            self._transport.close()
        elif self._waiting:
            if len(self._waiting) == MAX_PIPELINED:
                self._transport.resume_reading()
            self._start()

    def _write(self, answer: CallerAnswer, closes: bool, is_head: bool) -> None:
        assert self._transport is not None
        reason = REASONS.get(answer.status, b"Unknown")
        connection = b"connection: close\r\n" if closes else b""
        head = b"HTTP/1.1 %d %b\r\n%bcontent-length: %d\r\n%b\r\n" % (
            answer.status,
            reason,
            answer.headers,
            len(answer.body),
            connection,
        )
        self._transport.write(head if is_head else head + answer.body)

    def _reject(self, status: int) -> None:
        """Answer a request that cannot be read, and close the connection."""
        self._closes = True
        if self._transport is None:
            return
        if self._task is None:
            self._write(CallerAnswer(status, b"", b""), closes=True, is_head=False)
        self._transport.close()
