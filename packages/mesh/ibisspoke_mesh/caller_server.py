"""HTTP/1.1 server for callers."""

import asyncio
import logging
from collections import deque
from typing import cast

from ibisspoke_policy.route_table import CallerLimits

from .caller_messages import CallerResponse, response_head
from .memory_budget import SMALL_BYTES, Need, Part
from .request_reader import (
    HEAD_SLICE_BYTES,
    ReadRequest,
    RejectedError,
    RequestReader,
)
from .server_state import ServerState
from .sockets import n_unacknowledged_bytes

DEFAULT_LIMITS = CallerLimits(16_384, 64 * 1024 * 1024, 3_000.0, 15_000.0)
MAX_READ_BYTES = 256 * 1024  # read at once by the event loop
# Of each caller's connection. The kernel would let them grow to several MB, which
# counts towards the node's memory; callers are on the same VM and need no more.
SOCKET_BUFFER_BYTES = 128 * 1024
MAX_PIPELINED_REQUESTS = 16  # read ahead on a connection before reading pauses
IDLE_GRACE_MS = 500.0  # after the idle timeout; no request should race the close
STOP_IDLE_TIMEOUT_MS = 300.0  # during a stop; lets new connections send their request
TAKEN_GRACE_MS = 300.0  # after the caller's kernel has the last answer; then it closes

logger = logging.getLogger("ibisspoke")


class CallerConnection(asyncio.Protocol):
    """A connection of a caller; pipelined requests are answered in order.

    The next request is handled only when the caller has taken the earlier responses.
    """

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self._budget = state.budget
        self._memory = state.budget.memory
        self._reader = RequestReader(state.limits, state.clock, state.budget, self)
        self._transport: asyncio.Transport | None = None
        self._pipelined: deque[ReadRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._last_active_ms = state.clock.now_ms()
        self._untaken_ms = float("-inf")
        self._n_untaken_bytes = 0
        self._is_closing = False
        self._is_half_closed = False
        self._n_discarded_bytes = 0
        self._is_unread = False
        self._is_paused = False
        self._rejection_status = 0
        self._unparsed = b""
        self._n_parsed = 0

    def __repr__(self) -> str:
        return f"CallerConnection(busy={self._task is not None})"

    @property
    def is_handling(self) -> bool:
        """Whether a request of it is being handled."""
        return self._task is not None

    @property
    def n_unwritten_bytes(self) -> int:
        """Size of the responses that the caller's socket has not taken yet."""
        assert self._transport is not None
        return self._transport.get_write_buffer_size()

    @property
    def n_unfinished_bytes(self) -> int:
        """Size of what is held of requests that were not read whole."""
        n_bytes = self._reader.n_counted_bytes + len(self._unparsed)
        return n_bytes + (SOCKET_BUFFER_BYTES if self._is_paused else 0)

    @property
    def is_costly(self) -> bool:
        """Whether its input takes long to parse, compared with its size."""
        return self._reader.is_costly

    @property
    def unfinished_since_ms(self) -> float | None:
        """When the first byte of an unfinished request came, or None without one."""
        return self._reader.reading_since_ms

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection."""
        self._transport = cast(asyncio.Transport, transport)
        # so that writing pauses as soon as the caller's socket takes no more
        self._transport.set_write_buffer_limits(high=0)
        self._state.connections.add(self)
        self._budget.add_connection(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or keep them if parsing them takes long."""
        if self._is_closing:
            if self._is_half_closed:
                self._discard(len(data))
            return
        self._budget.idle.pop(self, None)
        if self._unparsed:  # received before reading paused
            self._keep_unparsed(self._unparsed[self._n_parsed :] + data, 0)
        elif len(data) <= HEAD_SLICE_BYTES and self._may_parse:
            self._feed(data)
        else:
            self._feed_slices(data)
        if self._unparsed or len(self._pipelined) > MAX_PIPELINED_REQUESTS:
            self._update_reading()

    def _feed_slices(self, data: bytes) -> None:
        view, start = memoryview(data), 0
        while start < len(data) and not self._is_closing:
            if not self._may_parse or self._reader.is_costly:
                self._keep_unparsed(data, start)
                return
            end = start + self._reader.slice_bytes
            self._feed(view[start:end])
            start = end

    def _feed(self, data: bytes | memoryview) -> None:
        try:
            self._reader.feed(data)
        except RejectedError as error:
            self.refuse(error.status, error.reason)

    def _keep_unparsed(self, data: bytes, n_parsed: int) -> None:
        self._drop_unparsed()
        need = Need(len(data), len(data), self)
        if not self._budget.has_room_for_input or not self._memory.make_room(need):
            self.refuse(503, "out of memory")
            return
        self._unparsed, self._n_parsed = data, n_parsed
        self._memory.add(Part.INPUT, len(data))
        if self._may_parse:
            self._state.parsing.add(self)

    def _drop_unparsed(self) -> None:
        if self._unparsed:
            self._memory.add(Part.INPUT, -len(self._unparsed))
            self._unparsed, self._n_parsed = b"", 0

    def _drop_input(self) -> None:
        """Drop input that is not parsed yet, and requests that will not be handled."""
        self._drop_unparsed()
        for read in self._pipelined:
            self._forget(read)
        self._pipelined.clear()

    def parse_slice(self) -> bool:
        """Parse a part of the input, and return whether to go on with it later."""
        if self._is_closing or not self._unparsed or not self._may_parse:
            return False
        end = self._n_parsed + self._reader.slice_bytes
        part = memoryview(self._unparsed)[self._n_parsed : end]
        self._n_parsed = end
        self._feed(part)
        if end >= len(self._unparsed) or self._is_closing:
            self._drop_unparsed()
        self._update_reading()
        return bool(self._unparsed) and self._may_parse

    @property
    def _may_parse(self) -> bool:
        """Whether requests may be read ahead."""
        return len(self._pipelined) <= MAX_PIPELINED_REQUESTS and not self._is_unread

    def _update_reading(self) -> None:
        """Pause or resume reading."""
        if self._transport is None or self._transport.is_closing():
            return
        must_pause = bool(self._unparsed) or not self._may_parse
        must_pause = must_pause and not self._is_half_closed
        if must_pause is self._is_paused:
            return
        self._set_paused(must_pause)
        if must_pause:
            self._transport.pause_reading()
        else:
            self._reader.restart_time()
            self._transport.resume_reading()

    def _set_paused(self, is_paused: bool) -> None:
        """Count what the kernel may receive while nothing is read."""
        if is_paused is not self._is_paused:
            self._is_paused = is_paused
            n_bytes = SOCKET_BUFFER_BYTES if is_paused else -SOCKET_BUFFER_BYTES
            self._memory.add(Part.KERNEL, n_bytes)

    def eof_received(self) -> bool:
        """Return False, so that the transport closes itself."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that is being handled, and drop those that wait."""
        self._is_closing = True
        self._state.connections.discard(self)
        self._state.parsing.remove(self)
        self._budget.remove_connection(self)
        self._reader.close()
        self._drop_input()
        self._set_paused(False)
        if self._task is not None:
            self._task.cancel()

    def cut_off(self, reason: str) -> None:
        """Close the connection immediately."""
        self._budget.count(reason)
        self._is_closing = True
        if self._transport is not None:
            self._transport.abort()

    def refuse(self, status: int, reason: str) -> None:
        """Close the connection after the responses to the requests that were read.

        :param status: of the response to the unfinished request.
        """
        self._budget.count(reason)
        self._reader.close()
        self._drop_unparsed()
        self._reject(status)

    def pause_writing(self) -> None:
        """Stop reading and handling requests until the caller takes the responses."""
        self._is_unread = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Go on with the requests that were read."""
        self._is_unread = False
        self._budget.remove_unread(self)
        if self._transport is not None and not self._transport.is_closing():
            self._advance()

    def check_timeouts(self, now_ms: float, limits: CallerLimits) -> None:
        """Close the connection if it is idle or its headers arrive too slowly."""
        if self._task is not None or self._transport is None or self._pipelined:
            return
        if self._transport.is_closing():
            return
        if self._is_half_closed:
            self._check_taken(now_ms, limits)
            return
        if self._is_paused and not self._state.is_stopping:
            return
        since_ms = self._reader.reading_since_ms
        if since_ms is not None:
            is_late = now_ms - since_ms > limits.header_timeout_ms
            if not self._reader.is_in_body and is_late:
                self.refuse(408, "head too slow")
            return
        self._check_idle(now_ms, limits)

    def _check_idle(self, now_ms: float, limits: CallerLimits) -> None:
        assert self._transport is not None
        idle_ms = now_ms - self._last_active_ms
        bound_ms = limits.idle_timeout_ms + IDLE_GRACE_MS
        if self._state.is_stopping:
            idle_ms = min(idle_ms, self._taken_for_ms(now_ms))
            bound_ms = STOP_IDLE_TIMEOUT_MS
        if idle_ms <= bound_ms:
            return
        if self._taken_for_ms(now_ms) > 0.0:
            self._transport.close()
        else:
            self._close_gracefully()

    def _check_taken(self, now_ms: float, limits: CallerLimits) -> None:
        """Close both sides once the caller has the last answer, or takes no more."""
        assert self._transport is not None
        if self._taken_for_ms(now_ms) > TAKEN_GRACE_MS:
            self._transport.close()
        elif now_ms - self._last_active_ms > limits.idle_timeout_ms + IDLE_GRACE_MS:
            self.cut_off("last answer not taken")

    def _taken_for_ms(self, now_ms: float) -> float:
        """Return for how long the caller's kernel has had all answers.

        What it has not received yet is lost if a request of the caller, which it may
        send at any time, arrives at a closed socket.
        """
        assert self._transport is not None
        n_untaken = self._transport.get_write_buffer_size()
        n_untaken += n_unacknowledged_bytes(self._transport) or 0
        if n_untaken:
            self._untaken_ms = now_ms
            if n_untaken < self._n_untaken_bytes:
                self._last_active_ms = now_ms
        self._n_untaken_bytes = n_untaken
        return now_ms - self._untaken_ms

    def send_continue(self) -> None:
        """Send "100 Continue"."""
        if self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def receive(self, read: ReadRequest) -> None:
        """Queue a request, and handle it if no other is being handled."""
        if self._pipelined and self._memory.is_exhausted:
            self._forget(read)
            raise RejectedError(503, "out of memory")
        self._pipelined.append(read)
        if self._task is None and not self._is_unread:
            self._start_next()

    def _forget(self, read: ReadRequest) -> None:
        if read.request.body:
            self._memory.add(Part.BODIES, -len(read.request.body))
        self._memory.add(Part.INPUT, -read.n_head_bytes)

    def _start_next(self) -> None:
        read = self._pipelined.popleft()
        state = self._state
        state.n_active += 1

        def on_done(task: asyncio.Task[None]) -> None:
            state.n_active -= 1
            self._forget(read)

        self._task = asyncio.ensure_future(self._handle(read))
        # A task that is cancelled before it starts runs no "finally" of its own.
        self._task.add_done_callback(on_done)

    async def _handle(self, read: ReadRequest) -> None:
        request = read.request
        try:
            response = await self._state.handler(request)
        except Exception:
            logger.exception("handler failed", extra={"target": repr(request.target)})
            response = CallerResponse(500, b"", b"")
        finally:
            self._task = None
        if self._transport is None or self._transport.is_closing():
            return
        is_stopping = self._state.is_stopping
        closes = not read.keeps_alive or (is_stopping and self._has_read_all)
        self._write(response, closes, request.method == b"HEAD")
        self._last_active_ms = self._state.clock.now_ms()
        if closes:
            self._close_gracefully()
        elif not self._is_unread:
            self._advance()

    def _close_gracefully(self) -> None:
        """Close the sending side, and discard input until the caller closes as well.

        Input that is unread when a socket is closed resets the connection, and the
        caller loses what it has not yet received of the answer.
        """
        assert self._transport is not None
        self._is_closing = self._is_half_closed = True
        self._last_active_ms = self._untaken_ms = self._state.clock.now_ms()
        self._reader.close()
        self._drop_input()
        self._update_reading()
        self._transport.write_eof()

    def _discard(self, n_bytes: int) -> None:
        """Count input that is dropped, and cut off a caller that sends too much."""
        self._n_discarded_bytes += n_bytes
        if self._n_discarded_bytes > self._state.limits().max_body_bytes:
            self.cut_off("input after the last answer")

    def _advance(self) -> None:
        """Go on after a response that the caller has taken."""
        if self._task is not None or self._is_half_closed:
            return
        if self._pipelined:
            self._start_next()
        elif self._rejection_status:
            self._reject(self._rejection_status)
            return
        elif self._reader.reading_since_ms is None and not self._unparsed:
            self._budget.idle[self] = None
        if self._unparsed and self._may_parse:
            self._state.parsing.add(self)
        if self._is_paused:
            self._update_reading()

    @property
    def _has_read_all(self) -> bool:
        """Whether no further request was read, not even in part."""
        is_reading = self._reader.reading_since_ms is not None
        return not self._pipelined and not self._unparsed and not is_reading

    def _write(self, response: CallerResponse, closes: bool, is_head: bool) -> None:
        assert self._transport is not None
        head = response_head(response, closes)
        n_body = 0 if is_head else len(response.body)
        if n_body > SMALL_BYTES:  # without copying it behind its head
            self._transport.writelines((head, response.body))
        else:
            self._transport.write(head + response.body if n_body else head)
        if self._is_unread:
            self._budget.add_unread(self, len(head) + n_body)

    def _reject(self, status: int) -> None:
        """Respond with an error to an unreadable or late request, and close.

        Requests that were read before it are answered first.
        """
        self._is_closing = True
        self._rejection_status = status
        if self._transport is None or self._transport.is_closing():
            return
        if self._task is not None or self._pipelined or self._is_unread:
            return
        self._write(CallerResponse(status, b"", b""), closes=True, is_head=False)
        self._close_gracefully()
