"""Reads the requests of one connection, within the limits on what a caller may send."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

import httptools

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.route_table import CallerLimits

from .body_parts import BodyParts
from .caller_budget import BudgetedConnection, CallerBudget
from .caller_messages import CallerRequest
from .memory_budget import SMALL_BYTES, Need, Part

# Parsed at once; the requests in it are kept, and may be as small as 18 bytes.
HEAD_SLICE_BYTES = 4 * 1024
CHUNKS_SLICE_BYTES = 16 * 1024  # of a chunked body; a chunk may be as small as 6 bytes
BODY_SLICE_BYTES = 64 * 1024  # of a body of known length
REQUEST_COST_BYTES = 1_000  # that a request takes beside its head and body
HEADER_COST_BYTES = 200  # that a header takes beside its name and value
SMALL_INPUT_BYTES = 4 * 1024  # an unfinished request that is kept in any case
# Between two parts of a body, such as trailers and chunk extensions, beside the limit
# on heads. Callers that use extensions at all send some dozens of bytes.
MAX_FRAMING_BYTES = 64 * 1024
COSTLY_PARTS = 32  # in one slice, of less than COSTLY_PART_BYTES each
COSTLY_PART_BYTES = 64


class RejectedError(Exception):
    """The caller's bytes are no request, or exceed a limit.

    :param status: of the response to the caller.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class ReadRequest(NamedTuple):
    """A request that was read whole.

    :param n_head_bytes: what its head takes in memory.
    """

    request: CallerRequest
    keeps_alive: bool
    n_head_bytes: int


class RequestReceiver(BudgetedConnection, Protocol):
    """Takes the requests of a connection."""

    def receive(self, read: ReadRequest) -> None:
        """Take a complete request, which stays counted in the budget from now on."""

    def send_continue(self) -> None:
        """Tell the caller to send the body that it holds back."""


class RequestReader:
    """Parses requests, and counts what the unfinished one takes in the budget.

    :param receiver: subtracts complete requests from the budget when they have ended.
    :ivar reading_since_ms: when the first byte of the unfinished request was received.
    :ivar is_costly: whether parsing more of it takes long, compared with its size.
    """

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        clock: Clock,
        budget: CallerBudget,
        receiver: RequestReceiver,
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._budget = budget
        self._memory = budget.memory
        self._receiver = receiver
        self._body = BodyParts()
        self.on_body = self._body.staged.append  # called by the parser
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(
            self
        )
        self.reading_since_ms: float | None = None
        self.is_in_body = False
        self.is_costly = False
        self._n_body_counted = 0
        self._n_input_counted = 0
        self._n_unfinished_bytes = 0
        self._reset()

    def __repr__(self) -> str:
        return f"RequestReader(since={self.reading_since_ms}, {self._body!r})"

    @property
    def slice_bytes(self) -> int:
        """How many bytes to feed at once."""
        if not self.is_in_body:
            return HEAD_SLICE_BYTES
        for lower, _, value in self._headers:
            if lower == b"content-length" and value.isdigit():
                n_left = int(value) - self._n_body_bytes
                return max(1, min(n_left, BODY_SLICE_BYTES))
        return CHUNKS_SLICE_BYTES

    def feed(self, data: bytes | memoryview) -> None:
        """Parse received bytes.

        :raises RejectedError: if the connection has to be closed.
        """
        self._note_reading()
        self._n_unfinished_bytes += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserError as error:
            if isinstance(error.__context__, RejectedError):  # raised by a callback
                raise error.__context__ from None
            raise RejectedError(400, "unreadable") from error
        if self.reading_since_ms is None:
            return
        if self.is_in_body:
            self._check_body(len(data))
        elif self._n_unfinished_bytes > (
            self._limits().max_header_bytes + HEAD_SLICE_BYTES
        ):
            raise RejectedError(431, "head too large")
        self._count_input()

    @property
    def n_counted_bytes(self) -> int:
        """Size of what is held of the unfinished request."""
        return self._n_body_counted + self._n_input_counted

    def restart_time(self) -> None:
        """Start the time for the head again, after reading was paused."""
        if self.reading_since_ms is not None:
            self.reading_since_ms = self._clock.now_ms()

    def close(self) -> None:
        """Forget the unfinished request."""
        self._parser = None  # refers to this object, and keeps an unfinished header
        self._body.clear()
        self._set_counted(0, 0)
        self._budget.end_upload(self._receiver)

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse received bytes, also those after an offer to change the protocol."""
        while data:
            assert self._parser is not None
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
        assert self._parser is not None
        method, target = self._parser.get_method(), self._target
        version = self._parser.get_http_version().encode()
        lines = [b"%b %b HTTP/%b\r\n" % (method, target, version)]
        for lower, name, value in self._headers:
            if lower != b"upgrade":
                lines.append(b"%b: %b\r\n" % (name, value))
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(b"".join(lines) + b"\r\n")

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
        assert self._parser is not None
        if self._parser.get_method() == b"CONNECT":
            raise ValueError("a node is no proxy for connections")
        if self._parser.should_upgrade():
            return
        self.is_in_body = True
        if self._expects_continue:
            self._receiver.send_continue()

    def on_message_complete(self) -> None:
        """Pass the request on."""
        assert self._parser is not None
        if self._parser.should_upgrade():
            return
        n_head_bytes = REQUEST_COST_BYTES + self._n_kept_bytes
        body = self._take_body()
        request = CallerRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            body,
            self._clock.now_ms(),
            self._is_dropped,
        )
        # counted for the receiver from now on
        self._set_counted(len(body), n_head_bytes)
        self._n_body_counted = self._n_input_counted = 0
        self.reading_since_ms = None
        self.is_in_body = self.is_costly = False
        self._n_unfinished_bytes = 0
        keeps_alive = self._parser.should_keep_alive()
        self._receiver.receive(ReadRequest(request, keeps_alive, n_head_bytes))

    def _take_body(self) -> bytes:
        """Return the whole body, after the last part of it was counted."""
        staged = self._body.staged
        if not staged and not self._n_body_bytes:
            return b""
        if len(staged) == 1 and not self._n_body_bytes and not self._is_dropped:
            n_body = len(staged[0])
            if n_body <= min(SMALL_INPUT_BYTES, self._limits().max_body_bytes):
                return staged.pop()  # arrived whole; always taken
        self._count_body()
        self._budget.end_upload(self._receiver)
        return self._body.join()

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes, bytes]] = []
        self._n_head_bytes = 0
        self._max_head_bytes = self._limits().max_header_bytes
        self._n_framing_bytes = 0
        self._n_body_bytes = 0
        self._n_staged = 0
        self._is_dropped = False
        self._expects_continue = False

    def _note_reading(self) -> None:
        if self.reading_since_ms is None:
            self.reading_since_ms = self._clock.now_ms()

    @property
    def _n_kept_bytes(self) -> int:
        return self._n_head_bytes + HEADER_COST_BYTES * len(self._headers)

    def _count_head_bytes(self, n_bytes: int) -> None:
        self._n_head_bytes += n_bytes
        if self._n_head_bytes > self._max_head_bytes:
            raise RejectedError(431, "head too large")

    def _check_body(self, n_received: int) -> None:
        """Check what was received of an unfinished body, and of what surrounds it."""
        n_before, n_parts = self._n_body_bytes, len(self._body.staged) - self._n_staged
        self._count_body()
        if self._n_body_bytes > n_before:
            self._n_framing_bytes = 0
            self.is_costly = (
                n_parts > COSTLY_PARTS and n_received < n_parts * COSTLY_PART_BYTES
            )
            return
        # Trailers and chunk extensions, which the parser keeps or skips.
        self._n_framing_bytes += n_received
        limit = self._limits().max_header_bytes + MAX_FRAMING_BYTES
        if self._n_framing_bytes > limit:
            raise RejectedError(431, "trailers or chunk extensions too large")

    def _count_body(self) -> None:
        """Count the body in the budget, and drop it if bodies take too much memory."""
        if self._is_dropped:
            n_body = self._n_body_bytes + self._body.count()
            self._body.clear()
        else:
            n_body = self._body.count()
        self._n_staged = len(self._body.staged)
        self._n_body_bytes = n_body
        if n_body > self._limits().max_body_bytes:
            raise RejectedError(413, "body too large")
        if self._is_dropped:
            return
        self._memory.add(Part.BODIES, n_body - self._n_body_counted)
        self._n_body_counted = n_body
        if n_body > SMALL_BYTES:
            self._budget.note_upload(self._receiver, n_body)
        if not self._memory.is_full:
            return
        if not self._memory.make_room(Need(0, n_body, self._receiver)):
            self._is_dropped = True
            self._body.clear()
            self._n_staged = 0
            self._budget.end_upload(self._receiver)
            self._set_counted(0, self._n_input_counted)
            self._budget.count("bodies too large together")

    def _count_input(self) -> None:
        """Count the unfinished head; reject it if the node can't keep any more."""
        n_input = self._n_kept_bytes
        n_input += (
            self._n_framing_bytes if self.is_in_body else self._n_unfinished_bytes
        )
        self._set_counted(self._n_body_counted, n_input)
        if n_input <= SMALL_INPUT_BYTES or not self._memory.is_exhausted:
            return
        if not self._memory.make_room(Need(0, n_input, self._receiver)):
            raise RejectedError(503, "out of memory")

    def _set_counted(self, n_body: int, n_input: int) -> None:
        if n_body != self._n_body_counted:
            self._memory.add(Part.BODIES, n_body - self._n_body_counted)
        if n_input != self._n_input_counted:
            self._memory.add(Part.INPUT, n_input - self._n_input_counted)
        self._n_body_counted, self._n_input_counted = n_body, n_input
