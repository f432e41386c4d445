"""Kept connections to the upstream of this VM."""

import asyncio
import re
from collections.abc import Callable
from typing import NamedTuple, cast

import httptools

from ibisspoke_policy.clock import Clock

from .dialect import HOP_BY_HOP, Dialect
from .sockets import watch_liveness

CONNECT_TIMEOUT_MS = 500  # the upstream is on this VM: a connection takes about 1 ms
DEFAULT_IDLE_MS = 4_000.0  # where the upstream states no timeout
IDLE_SHARE = 0.6  # of the stated timeout, so that no request meets the close
MAX_KEPT = 64  # idle connections beyond it are closed
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")


class UpstreamAnswer(NamedTuple):
    """A whole answer.

    :param headers: as lines on the wire, without those of one connection.
    """

    status: int
    headers: bytes
    body: bytes
    is_signed: bool
    is_not_run: bool
    is_encoded: bool


class UpstreamFailure(NamedTuple):
    """There is no whole answer.

    :param was_sent: whether bytes of the request left; False means that it cannot
        have run.
    """

    reason: str
    was_sent: bool


Result = UpstreamAnswer | UpstreamFailure
OnResult = Callable[[Result], None]


class UpstreamRequest(NamedTuple):
    """A request as it goes to the upstream."""

    id: bytes
    data: bytes
    is_head_request: bool
    on_result: OnResult


class UpstreamConnection(asyncio.Protocol):
    """One connection, with at most one request on it."""

    def __init__(self, pool: "UpstreamPool") -> None:
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._request: UpstreamRequest | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._idle_ms = DEFAULT_IDLE_MS
        self._answer: UpstreamAnswer | None = None
        self._answered_id: bytes | None = None
        self._closes = False
        self._is_reusable = False
        self.kept_until_ms = 0.0
        self._begin()

    def __repr__(self) -> str:
        return f"UpstreamConnection(busy={self._request is not None})"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take in the new connection."""
        self._transport = cast(asyncio.Transport, transport)
        watch_liveness(transport)

    @property
    def is_open(self) -> bool:
        """Whether a request may be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, request: UpstreamRequest) -> None:
        """Send a request; its result is passed to its callback."""
        assert self._transport is not None
        self._request = request
        self._transport.write(request.data)

    def abort(self) -> None:
        """Close at once, and drop the request without a result."""
        self._request = None
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Take in received bytes."""
        if self._request is None:
            self.abort()
            return
        error: Exception | None = None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as caught:
            error = caught
        if self._answer is not None:
            self._deliver(reusable=self._is_reusable and error is None)
        elif error is not None:
            self._fail(f"the upstream's answer cannot be read: {error}")

    def connection_lost(self, exc: Exception | None) -> None:
        """Clean up after the connection."""
        self._pool.forget(self)
        if self._request is None:
            return
        ends_here = exc is None and self._in_body and self._ends_with_connection
        if ends_here and self._is_ours():
            self._complete(reusable=False)
            self._deliver(reusable=False)
        else:
            self._fail("the connection to the upstream ended without a whole answer")

    def eof_received(self) -> bool:
        """Close when the other end has closed."""
        return False

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a message."""
        if self._answer is not None:
            self._is_reusable = False  # bytes beyond the answer belong to no request
            return
        self._begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header."""
        if self._answer is not None:
            return
        lower = name.lower()
        dialect = self._pool.dialect
        if lower in (b"content-length", b"transfer-encoding"):
            self._ends_with_connection = False
        elif lower == dialect.request_id:
            self._answered_id = value.strip()
        elif lower == dialect.signature:
            self._is_signed = True
        elif lower == dialect.not_run:
            self._is_not_run = True
        else:
            self._note_connection_header(lower, value)
        if lower not in HOP_BY_HOP:
            self._headers.append(name + b": " + value + b"\r\n")

    def _note_connection_header(self, lower: bytes, value: bytes) -> None:
        if lower == b"connection":
            self._closes = self._closes or b"close" in value.lower()
        elif lower == b"keep-alive":
            found = _KEEP_ALIVE_TIMEOUT.search(value)
            if found:
                self._idle_ms = int(found[1]) * 1000.0 * IDLE_SHARE
        elif lower == b"content-encoding":
            self._is_encoded = value.strip().lower() != b"identity"

    def on_headers_complete(self) -> None:
        """Note the end of the headers."""
        if self._answer is not None:
            return
        self._status = self._parser.get_status_code()
        self._in_body = True
        if self._status in (204, 304):
            self._ends_with_connection = False
        request = self._request
        if request is not None and request.is_head_request and self._is_ours():
            self._complete(reusable=False)

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body."""
        if self._answer is None:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Note the end of the message."""
        if self._answer is not None or self._status < 200:
            return
        if self._is_ours():
            self._complete(reusable=not self._closes)
        else:
            self._in_body = False

    def _is_ours(self) -> bool:
        """Tell an answer to this request from a late one to an earlier request."""
        assert self._request is not None
        if self._answered_id is not None:
            return self._answered_id == self._request.id
        return self._status >= 400

    def _begin(self) -> None:
        self._status = 0
        self._headers: list[bytes] = []
        self._body: list[bytes] = []
        self._answered_id = None
        self._is_signed = self._is_not_run = self._is_encoded = False
        self._closes = False
        self._in_body = False
        self._ends_with_connection = True

    def _complete(self, reusable: bool) -> None:
        self._is_reusable = reusable
        self._answer = UpstreamAnswer(
            self._status,
            b"".join(self._headers),
            b"".join(self._body),
            self._is_signed,
            self._is_not_run or self._status == 421,
            self._is_encoded,
        )

    def _deliver(self, reusable: bool) -> None:
        request, self._request = self._request, None
        answer, self._answer = self._answer, None
        assert self._transport is not None
        if not reusable or self._transport.get_write_buffer_size():
            self._transport.close()  # after the rest of the body has been written
        elif self.is_open:
            self._pool.keep(self, self._idle_ms)
        if request is not None and answer is not None:
            request.on_result(answer)

    def _fail(self, reason: str) -> None:
        request, self._request = self._request, None
        if self._transport is not None:
            self._transport.abort()
        if request is not None:
            request.on_result(UpstreamFailure(reason, was_sent=True))


class UpstreamPool:
    """Connections to one upstream, the last used first.

    :param host: address of the upstream.
    """

    def __init__(self, host: str, port: int, dialect: Dialect, clock: Clock) -> None:
        self.dialect = dialect
        self._host = host
        self._port = port
        self._clock = clock
        self._kept: list[UpstreamConnection] = []
        self._busy: dict[object, UpstreamConnection] = {}
        self._opening: dict[object, asyncio.Task[None]] = {}
        self.n_opened = 0

    def __repr__(self) -> str:
        return f"UpstreamPool({self._host}:{self._port}, n_kept={len(self._kept)})"

    def send(self, token: object, request: UpstreamRequest) -> None:
        """Send a request on a kept connection, or on a new one.

        :param token: names the request to :meth:`cancel`.
        """
        connection = self._take_kept()
        if connection is not None:
            self._busy[token] = connection
            connection.send(request)
            return
        task = asyncio.ensure_future(self._open_and_send(token, request))
        self._opening[token] = task

    def cancel(self, token: object) -> bool:
        """Drop a request; its upstream stops when the connection closes.

        :returns: whether any byte of the request has been sent.
        """
        task = self._opening.pop(token, None)
        if task is not None:
            task.cancel()
            return False
        connection = self._busy.pop(token, None)
        if connection is not None:
            connection.abort()
        return True

    def release(self, token: object) -> None:
        """Forget a request that has ended."""
        self._busy.pop(token, None)

    def keep(self, connection: UpstreamConnection, idle_ms: float) -> None:
        """Keep a connection for later requests."""
        connection.kept_until_ms = self._clock.now_ms() + idle_ms
        self._kept.append(connection)
        if len(self._kept) > MAX_KEPT:
            self._kept.pop(0).abort()

    def forget(self, connection: UpstreamConnection) -> None:
        """Drop a connection that has closed."""
        if connection in self._kept:
            self._kept.remove(connection)

    def close_kept(self) -> None:
        """Close idle connections, for example because the upstream has changed."""
        while self._kept:
            self._kept.pop().abort()

    def tick(self) -> None:
        """Close connections that have been idle for too long."""
        now_ms = self._clock.now_ms()
        while self._kept and self._kept[0].kept_until_ms <= now_ms:
            self._kept.pop(0).abort()

    def _take_kept(self) -> UpstreamConnection | None:
        now_ms = self._clock.now_ms()
        while self._kept:
            connection = self._kept.pop()
            if connection.is_open and connection.kept_until_ms > now_ms:
                return connection
            connection.abort()
        return None

    async def _open_and_send(self, token: object, request: UpstreamRequest) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000.0):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(self), self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            self._opening.pop(token, None)
            reason = f"no connection to the upstream: {error or 'timed out'}"
            request.on_result(UpstreamFailure(reason, was_sent=False))
            return
        self.n_opened += 1
        if self._opening.pop(token, None) is None:
            connection.abort()
            return
        self._busy[token] = connection
        connection.send(request)
