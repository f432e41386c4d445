"""HTTP/1.1 server for callers."""

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
# Read at once by the event loop; bytes of a head count only once they were parsed.
MAX_READ_BYTES = 256 * 1024
MAX_PIPELINED_REQUESTS = 16  # read ahead on a connection before reading pauses
# Of all requests that are read or handled. With an idle node's 60 MB and a body that is
# being joined, it stays within the smallest memory of a node, 200 MB.
MAX_HELD_BODY_BYTES = 112 * 1024 * 1024
SMALL_BODY_BYTES = 64 * 1024  # taken whatever is held
IDLE_GRACE_MS = 500.0  # after the idle timeout; no request should race the close
STOP_IDLE_TIMEOUT_MS = 300.0  # during a stop; lets new connections send their request


class CallerRequest(NamedTuple):
    """A complete request.

    :param headers: names in lower case, with their spelling, and values.
    :param is_dropped: whether the body was dropped, since other bodies took the memory.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes, bytes]]
    body: bytes
    arrived_ms: float
    is_dropped: bool = False


class CallerResponse(NamedTuple):
    """A response to write.

    :param headers: encoded header lines without content-length and connection.
    """

    status: int
    headers: bytes
    body: bytes


logger = logging.getLogger("ibisspoke")

Handler = Callable[[CallerRequest], Awaitable[CallerResponse]]


class ServerState:
    """State shared by all connections of one listener.

    :param limits: returns the caller limits in force.
    :ivar n_held_bytes: size of the bodies of all requests that are read or handled.
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
        self.n_held_bytes = 0

    def __repr__(self) -> str:
        return f"ServerState(n_active={self.n_active})"

    def tick(self) -> None:
        """Close connections that have exceeded a timeout."""
        now_ms = self.clock.now_ms()
        limits = self.limits()
        for connection in list(self.connections):
            connection.check_timeouts(now_ms, limits)


class CallerConnection(asyncio.Protocol):
    """A connection of a caller; pipelined requests are answered in order."""

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._pipelined: deque[tuple[CallerRequest, bool]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._last_active_ms = state.clock.now_ms()
        self._reading_since_ms: float | None = None
        self._in_body = False
        self._is_closing = False
        self._rejection_status = 0
        self._is_dropped = False
        self._n_unfinished_head_bytes = 0
        self._reset()

    def __repr__(self) -> str:
        return f"CallerConnection(busy={self._task is not None})"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._state.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._is_closing:
            return
        self._note_reading()
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self._reject(self._error_status or 400)
        else:
            self._limit_unfinished_head(len(data))

    def _parse(self, data: bytes) -> None:
        """Parse received bytes, also those after an offer to change the protocol."""
        while data:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as offer:
                (n_parsed,) = offer.args
                data = data[n_parsed:]
                self._ignore_offer()
            else:
                return

    def _ignore_offer(self) -> None:
        """Parse the head that was just read again, without its offer.

        The parser takes the body of a request with an offer for the other protocol.
        """
        method, target = self._parser.get_method(), self._target
        version = self._parser.get_http_version().encode()
        lines = [b"%b %b HTTP/%b\r\n" % (method, target, version)]
        for lower, name, value in self._headers:
            if lower != b"upgrade":
                lines.append(b"%b: %b\r\n" % (name, value))
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(b"".join(lines) + b"\r\n")

    def eof_received(self) -> bool:
        """Return False, so that the transport closes itself."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that is being handled, and drop those that wait."""
        self._state.connections.discard(self)
        self._drop_body()
        for request, _ in self._pipelined:
            self._state.n_held_bytes -= len(request.body)
        self._pipelined.clear()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Stop reading while the caller reads slowly."""
        assert self._transport is not None
        self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading."""
        assert self._transport is not None
        self._transport.resume_reading()

    def check_timeouts(self, now_ms: float, limits: CallerLimits) -> None:
        """Close the connection if it is idle or its headers arrive too slowly."""
        if self._task is not None or self._transport is None:
            return
        since_ms = self._reading_since_ms
        if since_ms is not None:
            if not self._in_body and now_ms - since_ms > limits.header_timeout_ms:
                self._reject(408)
            return
        bound_ms = limits.idle_timeout_ms + IDLE_GRACE_MS
        if self._state.is_stopping:
            bound_ms = STOP_IDLE_TIMEOUT_MS
        if now_ms - self._last_active_ms > bound_ms:
            self._transport.close()

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Reset the state for the next request."""
        self._note_reading()
        self._reset()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._count_head_bytes(len(name) + len(value) + 4)
        lower = name.lower()
        if lower == b"expect" and value.lower() == b"100-continue":
            self._expects_continue = True
        self._headers.append((lower, name, value))

    def on_headers_complete(self) -> None:
        """Send "100 Continue" if the caller waits for it."""
        if self._parser.get_method() == b"CONNECT":
            raise ValueError("a node is no proxy for connections")
        if self._parser.should_upgrade():
            return
        self._in_body = True
        if self._expects_continue and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._n_body_bytes += len(body)
        if self._n_body_bytes > self._state.limits().max_body_bytes:
            self._error_status = 413
            raise ValueError("request body exceeds the limit")
        if self._is_dropped:
            return
        self._body.append(body)
        self._n_held_bytes += len(body)
        state = self._state
        state.n_held_bytes += len(body)
        has_others = state.n_held_bytes > self._n_held_bytes
        if has_others and state.n_held_bytes > MAX_HELD_BODY_BYTES:
            self._is_dropped = self._n_held_bytes > SMALL_BODY_BYTES
        if self._is_dropped:
            self._drop_body()

    def on_message_complete(self) -> None:
        """Queue the request, and handle it if no other is being handled."""
        if self._parser.should_upgrade():
            return
        now_ms = self._state.clock.now_ms()
        body = b"".join(self._body)
        self._body.clear()
        self._n_held_bytes = 0  # counted with the request from now on
        request = CallerRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            body,
            now_ms,
            self._is_dropped,
        )
        self._reading_since_ms = None
        self._in_body = False
        self._pipelined.append((request, self._parser.should_keep_alive()))
        if self._task is None:
            self._start_next()
        elif (
            len(self._pipelined) > MAX_PIPELINED_REQUESTS
            and self._transport is not None
        ):
            self._transport.pause_reading()

    def _note_reading(self) -> None:
        if self._reading_since_ms is None:
            self._reading_since_ms = self._state.clock.now_ms()

    def _limit_unfinished_head(self, n_bytes: int) -> None:
        """Reject a head whose single line is longer than all of a head may be."""
        if self._in_body or self._reading_since_ms is None:
            self._n_unfinished_head_bytes = 0
            return
        self._n_unfinished_head_bytes += n_bytes
        limit = self._state.limits().max_header_bytes + MAX_READ_BYTES
        if self._n_unfinished_head_bytes > limit:
            self._reject(431)

    def _count_head_bytes(self, n_bytes: int) -> None:
        self._n_head_bytes += n_bytes
        if self._n_head_bytes > self._state.limits().max_header_bytes:
            self._error_status = 431
            raise ValueError("request line and headers exceed the limit")

    def _drop_body(self) -> None:
        self._body.clear()
        self._state.n_held_bytes -= self._n_held_bytes
        self._n_held_bytes = 0

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes, bytes]] = []
        self._body: list[bytes] = []
        self._n_head_bytes = 0
        self._n_body_bytes = 0
        self._n_held_bytes = 0
        self._is_dropped = False
        self._error_status = 0
        self._expects_continue = False

    def _start_next(self) -> None:
        request, keeps_alive = self._pipelined.popleft()
        state = self._state
        state.n_active += 1

        def on_done(task: asyncio.Task[None]) -> None:
            state.n_active -= 1
            state.n_held_bytes -= len(request.body)

        self._task = asyncio.ensure_future(self._handle(request, keeps_alive))
        # A task that is cancelled before it starts runs no "finally" of its own.
        self._task.add_done_callback(on_done)

    async def _handle(self, request: CallerRequest, keeps_alive: bool) -> None:
        try:
            response = await self._state.handler(request)
        except Exception:
            logger.exception("handler failed", extra={"target": repr(request.target)})
            response = CallerResponse(500, b"", b"")
        finally:
            self._task = None
        if self._transport is None or self._transport.is_closing():
            return
        closes = not keeps_alive or (self._state.is_stopping and self._has_read_all)
        self._write(response, closes, request.method == b"HEAD")
        self._last_active_ms = self._state.clock.now_ms()
        if closes:
            self._is_closing = True
            self._transport.close()
        elif self._pipelined:
            if len(self._pipelined) == MAX_PIPELINED_REQUESTS:
                self._transport.resume_reading()
            self._start_next()
        elif self._rejection_status:
            self._reject(self._rejection_status)

    @property
    def _has_read_all(self) -> bool:
        """Whether no further request was read, not even in part."""
        return not self._pipelined and self._reading_since_ms is None

    def _write(self, response: CallerResponse, closes: bool, is_head: bool) -> None:
        assert self._transport is not None
        reason = REASONS.get(response.status, b"Unknown")
        connection = b"connection: close\r\n" if closes else b""
        head = b"HTTP/1.1 %d %b\r\n%bcontent-length: %d\r\n%b\r\n" % (
            response.status,
            reason,
            response.headers,
            len(response.body),
            connection,
        )
        self._transport.write(head if is_head else head + response.body)

    def _reject(self, status: int) -> None:
        """Respond with an error to an unreadable or late request, and close.

        Requests that were read before it are answered first.
        """
        self._is_closing = True
        self._rejection_status = status
        if self._transport is None or self._task is not None:
            return
        self._write(CallerResponse(status, b"", b""), closes=True, is_head=False)
        self._transport.close()
