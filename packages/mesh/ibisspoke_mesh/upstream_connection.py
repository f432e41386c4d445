"""A connection to the upstream of this VM, with one request at a time."""

import asyncio
import re
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple, cast

import httptools

from .answer_size import AnswerSize
from .body_parts import BodyParts
from .dialect import HOP_BY_HOP
from .frames import FINAL_STATUSES
from .memory_budget import UnsentBytes
from .sockets import (
    NO_USER_TIMEOUT,
    RECEIVE_WINDOW_BYTES,
    USER_TIMEOUT_MS,
    enable_liveness_checks,
    pause_reading,
    set_user_timeout,
)

if TYPE_CHECKING:
    from .upstream_pool import UpstreamPool

DEFAULT_IDLE_TIMEOUT_MS = 4_000.0  # if the upstream sends no timeout
IDLE_TIMEOUT_SHARE = 0.6  # of the upstream's timeout; no request should race its close
# Another answer follows these, unless they state a length, which they must not.
INTERIM_STATUSES = (100, 102, 103)
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")


class UpstreamResponse(NamedTuple):
    """A complete response.

    :param headers: encoded header lines, without hop-by-hop headers.
    :param is_signed: whether it is marked as the upstream's own.
    :param is_not_run: whether it is marked as a response to a request that did not run.
    :param is_encoded: whether it has a content encoding.
    :param load_report: value of the header that tells the upstream's load, if any.
    """

    status: int
    headers: bytes
    body: bytes
    is_signed: bool
    is_not_run: bool
    is_encoded: bool
    load_report: bytes = b""


class UpstreamFailure(NamedTuple):
    """No complete response was received.

    :param was_sent: whether bytes of the request may have been sent; if not, it cannot
        have run.
    """

    reason: str
    was_sent: bool


Result = UpstreamResponse | UpstreamFailure
OnResult = Callable[[Result], None]


class UpstreamRequest(NamedTuple):
    """A request to the upstream, encoded.

    :param body: apart from the head, since it may be large and is held elsewhere too.
    :param on_sent: called when it is written to a connection, before its result.
    """

    id: bytes
    head: bytes
    body: bytes
    is_head_request: bool
    on_result: OnResult
    on_sent: Callable[[], None] = lambda: None


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries at most one request at a time."""

    def __init__(self, pool: "UpstreamPool") -> None:
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._request: UpstreamRequest | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS
        self._answer: UpstreamResponse | None = None
        self._answered_id: bytes | None = None
        self._closes = False
        self._is_closed_here = False
        self._is_reusable = False
        self._has_answered = False
        self._may_stall = False
        self._size = AnswerSize()
        self._body = BodyParts()
        self._unsent = UnsentBytes(pool.memory)
        self.n_buffered_bytes = self._n_counted = 0
        self.idle_until_ms = 0.0
        self._reset_response()

    def __repr__(self) -> str:
        return f"UpstreamConnection(busy={self._request is not None})"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and enable liveness checks."""
        self._transport = cast(asyncio.Transport, transport)
        self._pool.add_open(self)
        enable_liveness_checks(transport)

    @property
    def is_open(self) -> bool:
        """Whether the connection can send a request."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, request: UpstreamRequest) -> None:
        """Send a request; its callback receives the result.

        The upstream may read a large body slowly. The request's deadline then bounds
        the time that the kernel waits for it.
        """
        assert self._transport is not None
        self._request = request
        if len(request.body) > RECEIVE_WINDOW_BYTES:
            self._may_stall = True
            set_user_timeout(self._transport, NO_USER_TIMEOUT)
        self._size = AnswerSize()
        if request.body:
            self._transport.writelines((request.head, request.body))
        else:
            self._transport.write(request.head)
        request.on_sent()

    def abort(self) -> None:
        """Close immediately, and drop the request without a result."""
        self._request = None
        self._is_closed_here = True
        self._drop_body()
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; unsolicited ones close the connection."""
        if self._request is None:
            self.abort()
            return
        self._size.add_received(len(data))
        error: Exception | None = None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as caught:
            error = caught
        if self._answer is not None:
            self._deliver(reusable=self._is_reusable and error is None)
        elif error is not None:
            cause = error.__context__ or error  # of a callback, its own error
            self._fail(f"the upstream's answer cannot be read: {cause}")
        elif excess := self._size.excess():
            self._fail(excess)
        else:
            self._body.count()  # joins parts if they are many or large
            self._pool.count_buffered(self.n_buffered_bytes - self._n_counted)
            self._n_counted = self.n_buffered_bytes
            self._pool.limit_buffered_bytes(self)

    def pause_reading(self) -> None:
        """Read no more of an answer until memory that is being freed is free."""
        pause_reading(self._transport)

    def cut_off(self) -> None:
        """Fail the request, as unfinished answers take too much memory together."""
        self._fail("unfinished answers take too much memory together")

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete a response that ends with the connection, or fail the request."""
        ends_with_close = exc is None and self._in_body and self._ends_with_connection
        is_whole = (
            self._request is not None and ends_with_close and self._matches_request()
        )
        self._unsent.count(0)
        self._pool.remove(self, is_reset=not is_whole and not self._is_closed_here)
        if self._request is None:
            return
        if is_whole:
            self._complete(reusable=False)
            self._deliver(reusable=False)
        else:
            self._fail("the connection to the upstream ended without a whole answer")

    def eof_received(self) -> bool:
        """Return False, so that the transport closes itself."""
        return False

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Reset the state for the next response."""
        if self._answer is not None:
            self._is_reusable = False  # bytes after the response belong to no request
            return
        self._reset_response()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, and evaluate those that nodes use."""
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
        elif lower == dialect.load_report:
            # several are joined like one list, which has too many figures then
            self._load_report += (b"," if self._load_report else b"") + value
        else:
            self._read_connection_header(lower, value)
        if lower not in HOP_BY_HOP:
            self._headers.append(name + b": " + value + b"\r\n")

    def _read_connection_header(self, lower: bytes, value: bytes) -> None:
        if lower == b"connection":
            self._closes = self._closes or b"close" in value.lower()
        elif lower == b"keep-alive":
            found = _KEEP_ALIVE_TIMEOUT.search(value)
            if found:
                self._idle_timeout_ms = int(found[1]) * 1000.0 * IDLE_TIMEOUT_SHARE
        elif lower == b"content-encoding":
            self._is_encoded = value.strip().lower() != b"identity"

    def on_headers_complete(self) -> None:
        """Complete the response if it cannot have a body.

        :raises ValueError: if the status is not one of an answer; the parser passes it
            on as an error of its own.
        """
        if self._answer is not None:
            return
        self._status = self._parser.get_status_code()
        if self._status in INTERIM_STATUSES and self._ends_with_connection:
            return
        if self._status not in FINAL_STATUSES:
            raise ValueError(f"the status {self._status} is not valid")
        self._in_body = True
        if self._status in (204, 304):
            self._ends_with_connection = False
        request = self._request
        if request is not None and request.is_head_request and self._matches_request():
            self._complete(reusable=False)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        if self._answer is None:
            self._size.add_body(len(body))
            self._body.staged.append(body)
            self.n_buffered_bytes += len(body)

    def on_message_complete(self) -> None:
        """Complete the response if it belongs to the current request."""
        if self._answer is not None:
            return
        self._in_body = False
        if self._status in FINAL_STATUSES and self._matches_request():
            self._complete(reusable=not self._closes)

    def _matches_request(self) -> bool:
        """Return whether the response belongs to the current request.

        A failure that names no request may be that of an earlier one on a connection
        that has been used before.
        """
        assert self._request is not None
        if self._answered_id is not None:
            return self._answered_id == self._request.id
        return self._status >= 400 and not self._has_answered

    def _drop_body(self) -> None:
        self._body.clear()
        self.n_buffered_bytes = 0
        if self._n_counted:  # not of an answer that came whole
            self._pool.count_buffered(-self._n_counted)
            self._n_counted = 0

    def _reset_response(self) -> None:
        self._status = 0
        self._headers: list[bytes] = []
        self._drop_body()
        self._answered_id = None
        self._load_report = b""
        self._is_signed = self._is_not_run = self._is_encoded = False
        self._closes = False
        self._in_body = False
        self._ends_with_connection = True

    def _complete(self, reusable: bool) -> None:
        self._is_reusable = reusable
        self._answer = UpstreamResponse(
            self._status,
            b"".join(self._headers),
            self._body.join(),
            self._is_signed,
            self._is_not_run or self._status == 421,
            self._is_encoded,
            self._load_report,
        )
        self._drop_body()

    def _deliver(self, reusable: bool) -> None:
        request, self._request = self._request, None
        answer, self._answer = self._answer, None
        self._has_answered = True
        assert self._transport is not None
        if self._may_stall:
            self._may_stall = False
            set_user_timeout(self._transport, USER_TIMEOUT_MS)
        if not reusable or self._transport.get_write_buffer_size():
            self._is_closed_here = True
            if request is not None:
                self._unsent.note_large(len(request.body))
            self._unsent.count(self._transport.get_write_buffer_size())
            self._transport.close()  # once the rest of the request has been written
        elif self.is_open:
            self._pool.add_idle(self, self._idle_timeout_ms)
        if request is not None and answer is not None:
            request.on_result(answer)

    def _fail(self, reason: str) -> None:
        request, self._request = self._request, None
        self._is_closed_here = True
        self._drop_body()
        if self._transport is not None:
            self._transport.abort()
        if request is not None:
            request.on_result(UpstreamFailure(reason, was_sent=True))
