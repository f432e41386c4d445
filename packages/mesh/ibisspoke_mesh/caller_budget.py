"""Bounds on what callers make a node keep, over all its listeners."""

import resource
from collections import Counter
from collections.abc import Callable
from itertools import islice
from typing import Protocol

from ibisspoke_policy.clock import Clock

from .decision_log import DecisionLog
from .metrics import Labels
from .settings import DEFAULT_MAX_DESCRIPTORS

# Of request bodies that are read or handled, answers that callers have not taken, and
# unfinished answers of upstreams. With an idle node's 60 MB and a body that is being
# joined, it stays within the smallest memory of a node, 200 MB.
MAX_HELD_BYTES = 112 * 1024 * 1024
# Beyond that, for heads, input that is not parsed yet, and small bodies.
MAX_SMALL_BYTES = 8 * 1024 * 1024
# An unfinished body that grew by less in this time gives way to others; callers are on
# the same VM, where an upload takes milliseconds.
SLOW_UPLOAD_BYTES = 64 * 1024
SLOW_UPLOAD_MS = 5_000.0
STALLED_MS = 1_000.0  # without progress; such unread answers are cut off first
# For files, the store, other nodes and the upstream; 200 of them for files.
RESERVED_DESCRIPTORS = 700
MAX_SCANNED_CONNECTIONS = 256  # when none is idle and one has to be closed


class BudgetedConnection(Protocol):
    """A connection of a caller."""

    @property
    def is_handling(self) -> bool:
        """Whether a request of it is being handled."""

    @property
    def n_unwritten_bytes(self) -> int:
        """Size of the responses that the caller's socket has not taken yet."""

    def cut_off(self, reason: str) -> None:
        """Close the connection immediately."""

    def refuse(self, status: int, reason: str) -> None:
        """Close the connection after the responses to the requests that were read."""


class Upload:
    """A large body that is being read.

    :ivar progress_ms: when it last had grown enough.
    """

    __slots__ = ("n_bytes", "n_bytes_then", "progress_ms")

    def __init__(self, now_ms: float) -> None:
        self.n_bytes = 0
        self.n_bytes_then = 0
        self.progress_ms = now_ms


class UnreadAnswers:
    """Answers that a caller has not taken yet.

    :ivar n_bytes: their size in memory, which is freed only when all are taken.
    """

    __slots__ = ("n_bytes", "n_left", "progress_ms")

    def __init__(self, now_ms: float) -> None:
        self.n_bytes = 0
        self.n_left = 0
        self.progress_ms = now_ms


class CallerBudget:
    """Counts memory and connections of callers, and cuts off what exceeds them.

    :param n_answer_bytes: returns the size of unfinished answers of the upstream.
    :param log: None to log nothing.
    :ivar n_body_bytes: size of the bodies of all requests that are read or handled.
    :ivar n_input_bytes: size of their heads, and of input that is not parsed yet.
    :ivar n_unread_bytes: size of the answers that callers have not taken yet.
    :ivar idle: connections without a request, longest idle first.
    :ivar cut_offs: connections that were closed and bodies that were dropped, by
        reason.
    """

    def __init__(
        self,
        clock: Clock,
        cut_offs: Counter[Labels] | None = None,
        log: DecisionLog | None = None,
        n_answer_bytes: Callable[[], int] = lambda: 0,
        max_descriptors: int = DEFAULT_MAX_DESCRIPTORS,
    ) -> None:
        self.max_descriptors = max_descriptors
        self.n_body_bytes = 0
        self.n_input_bytes = 0
        self.n_unread_bytes = 0
        self.idle: dict[BudgetedConnection, None] = {}
        self.cut_offs: Counter[Labels] = Counter() if cut_offs is None else cut_offs
        self._clock = clock
        self._log = log
        self._n_answer_bytes = n_answer_bytes
        self._connections: dict[BudgetedConnection, None] = {}
        self._unread: dict[BudgetedConnection, UnreadAnswers] = {}
        self._uploads: dict[BudgetedConnection, Upload] = {}

    def __repr__(self) -> str:
        return f"CallerBudget({self.n_held_bytes} of {MAX_HELD_BYTES} bytes)"

    @property
    def n_held_bytes(self) -> int:
        """Size of bodies and answers."""
        return self.n_body_bytes + self.n_unread_bytes + self._n_answer_bytes()

    @property
    def is_exhausted(self) -> bool:
        """Whether not even small requests can be kept any more."""
        return self.n_held_bytes + self.n_input_bytes > MAX_HELD_BYTES + MAX_SMALL_BYTES

    @property
    def n_connections(self) -> int:
        """How many callers are connected."""
        return len(self._connections)

    @property
    def max_connections(self) -> int:
        """How many callers may be connected; at least half of the descriptors."""
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        n = self.max_descriptors
        if soft != resource.RLIM_INFINITY:
            n = min(n, soft)
        return max(n - RESERVED_DESCRIPTORS, n // 2)

    def count(self, reason: str) -> None:
        """Count and log that a caller was cut off."""
        self.cut_offs[(reason,)] += 1
        if self._log is not None:
            self._log.write("caller cut off", reason=reason)

    def add_connection(self, connection: BudgetedConnection) -> None:
        """Add a connection; close another one, or else this one, if there are many."""
        if len(self._connections) >= self.max_connections:
            surplus = self._least_needed() or connection
            self._forget(surplus)
            surplus.cut_off("too many connections")
            if surplus is connection:
                return
        self._connections[connection] = None
        self.idle[connection] = None

    def remove_connection(self, connection: BudgetedConnection) -> None:
        """Remove a connection that is closed."""
        self.remove_unread(connection)
        self._forget(connection)

    def note_upload(self, connection: BudgetedConnection, n_bytes: int) -> None:
        """Note how much of a large body was read."""
        now_ms = self._clock.now_ms()
        upload = self._uploads.get(connection)
        if upload is None:
            upload = self._uploads[connection] = Upload(now_ms)
        upload.n_bytes = n_bytes
        if n_bytes - upload.n_bytes_then >= SLOW_UPLOAD_BYTES:
            upload.n_bytes_then, upload.progress_ms = n_bytes, now_ms

    def end_upload(self, connection: BudgetedConnection) -> None:
        """Forget a body that was read whole, dropped or given up."""
        self._uploads.pop(connection, None)

    def make_room(self, needy: BudgetedConnection | None = None) -> bool:
        """Return whether bodies and answers fit, if need be without slow uploads.

        :param needy: the connection that needs the room, which is not closed for it.
        """
        if self.n_held_bytes <= MAX_HELD_BYTES:
            return True
        slow_ms = self._clock.now_ms() - SLOW_UPLOAD_MS
        slow = [each for each in self._uploads.items() if each[1].progress_ms < slow_ms]
        for connection, _ in sorted(slow, key=lambda each: -each[1].n_bytes):
            if connection is not needy:
                connection.refuse(503, "slow upload")
            if self.n_held_bytes <= MAX_HELD_BYTES:
                return True
        return False

    def add_unread(self, connection: BudgetedConnection, n_bytes: int) -> None:
        """Count an answer that was written and not taken at once."""
        unread = self._unread.get(connection)
        if unread is None:
            unread = self._unread[connection] = UnreadAnswers(self._clock.now_ms())
        unread.n_bytes += n_bytes
        unread.n_left = connection.n_unwritten_bytes
        self.n_unread_bytes += n_bytes
        self._limit_unread()

    def remove_unread(self, connection: BudgetedConnection) -> None:
        """Remove the answers of a connection, which were taken or are lost."""
        unread = self._unread.pop(connection, None)
        if unread is not None:
            self.n_unread_bytes -= unread.n_bytes

    def tick(self) -> None:
        """Note which callers have taken a part of their answers."""
        now_ms = self._clock.now_ms()
        for connection, unread in self._unread.items():
            n_left = connection.n_unwritten_bytes
            if n_left < unread.n_left:
                unread.n_left = n_left
                unread.progress_ms = now_ms

    def _limit_unread(self) -> None:
        """Cut off unread answers while the node holds too much.

        Those without progress are first, then the largest. The last one is kept: a
        single answer fits, whatever else is held.
        """
        if self.make_room() or len(self._unread) < 2:
            return
        stalled_ms = self._clock.now_ms() - STALLED_MS
        by_need = sorted(
            self._unread.items(),
            key=lambda item: (
                item[1].progress_ms > stalled_ms,
                -item[1].n_bytes,
                item[1].progress_ms,
            ),
        )
        for connection, _ in by_need[:-1]:
            if self.n_held_bytes <= MAX_HELD_BYTES:
                return
            self.remove_unread(connection)
            connection.cut_off("unread answers")

    def _least_needed(self) -> BudgetedConnection | None:
        """Return the connection to close, or None if all have requests in work.

        The longest idle one is first, then answers without progress, then the oldest
        with an unfinished request.
        """
        for connection in self.idle:
            return connection
        stalled_ms = self._clock.now_ms() - STALLED_MS
        for connection, unread in self._unread.items():
            if unread.progress_ms <= stalled_ms:
                return connection
        for connection in islice(self._connections, MAX_SCANNED_CONNECTIONS):
            if not connection.is_handling:
                return connection
        return None

    def _forget(self, connection: BudgetedConnection) -> None:
        self._connections.pop(connection, None)
        self.idle.pop(connection, None)
