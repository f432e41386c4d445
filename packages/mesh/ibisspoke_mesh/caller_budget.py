"""Bounds on what callers make a node keep, over all its listeners."""

import asyncio
import resource
from collections import Counter
from collections.abc import Iterator
from itertools import islice
from typing import Protocol

from ibisspoke_policy.clock import Clock

from .decision_log import DecisionLog
from .memory_budget import SMALL_BYTES, MemoryBudget, Need, Part
from .metrics import Labels
from .settings import DEFAULT_MAX_DESCRIPTORS
from .sockets import CLOSING_S

# An unfinished body that grew by less in this time gives way to others; callers are on
# the same VM, where an upload takes milliseconds.
SLOW_UPLOAD_BYTES = 64 * 1024
SLOW_UPLOAD_MS = 5_000.0
STALLED_MS = 1_000.0  # without progress; such unread answers are cut off first
# How many times larger than what needs the room an upload in progress must be to give
# way. Uploads of about the same size would otherwise end one another.
LARGER_FACTOR = 4
CONNECTION_BYTES = 6 * 1024  # of the objects of a connection without a request
INPUT_SHARE = 0.25  # of the memory, for input that is not parsed yet
SCAN_INTERVAL_MS = 100.0  # between two searches of all connections for memory
# For files, the store, other nodes and the upstream; 200 of them for files.
RESERVED_DESCRIPTORS = 700
MAX_SCANNED_CONNECTIONS = 256  # when none is idle and one has to be closed
UNREAD = "unread answers"  # reason to cut a caller off


class BudgetedConnection(Protocol):
    """A connection of a caller."""

    @property
    def is_handling(self) -> bool:
        """Whether a request of it is being handled."""

    @property
    def n_unwritten_bytes(self) -> int:
        """Size of the responses that the caller's socket has not taken yet."""

    @property
    def n_unfinished_bytes(self) -> int:
        """Size of what is held of requests that were not read whole."""

    @property
    def is_costly(self) -> bool:
        """Whether its input takes long to parse, compared with its size."""

    @property
    def unfinished_since_ms(self) -> float | None:
        """When the first byte of an unfinished request came, or None without one."""

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

    :param log: None to log nothing.
    :param memory: bound that is shared with the other parts of the node.
    :ivar idle: connections without a request, longest idle first.
    :ivar cut_offs: connections that were closed and bodies that were dropped, by
        reason.
    """

    def __init__(
        self,
        clock: Clock,
        cut_offs: Counter[Labels] | None = None,
        log: DecisionLog | None = None,
        memory: MemoryBudget | None = None,
        max_descriptors: int = DEFAULT_MAX_DESCRIPTORS,
    ) -> None:
        self.max_descriptors = max_descriptors
        self.memory = MemoryBudget() if memory is None else memory
        self.memory.reclaimers.append(self)
        self.idle: dict[BudgetedConnection, None] = {}
        self.cut_offs: Counter[Labels] = Counter() if cut_offs is None else cut_offs
        self._clock = clock
        self._log = log
        self._connections: dict[BudgetedConnection, None] = {}
        self._unread: dict[BudgetedConnection, UnreadAnswers] = {}
        self._uploads: dict[BudgetedConnection, Upload] = {}
        self._closing: dict[BudgetedConnection, int] = {}
        self._scanned_ms = float("-inf")

    def __repr__(self) -> str:
        return f"CallerBudget({self.memory!r}, {len(self._connections)} connections)"

    @property
    def n_body_bytes(self) -> int:
        """Size of the bodies of all requests that are read or handled."""
        return self.memory.n_bytes_by_part[Part.BODIES]

    @property
    def n_input_bytes(self) -> int:
        """Size of their heads, and of input that is not parsed yet."""
        return self.memory.n_bytes_by_part[Part.INPUT]

    @property
    def n_unread_bytes(self) -> int:
        """Size of the answers that callers have not taken yet."""
        return self.memory.n_bytes_by_part[Part.UNREAD]

    @property
    def has_room_for_input(self) -> bool:
        """Whether bytes may be kept until their turn to be parsed."""
        return self.n_input_bytes <= INPUT_SHARE * self.memory.max_bytes

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
        self.memory.add(Part.CONNECTIONS, CONNECTION_BYTES)

    def remove_connection(self, connection: BudgetedConnection) -> None:
        """Remove a connection that is closed."""
        self.remove_unread(connection)
        n_closing = self._closing.pop(connection, 0)
        if n_closing:
            loop = asyncio.get_running_loop()
            loop.call_later(CLOSING_S, self.memory.add, Part.CLOSING, -n_closing)
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

    def reclaim(self, need: Need) -> None:
        """Cut off callers that hold memory without progress, or more than others."""
        for connection, reason in self._yielding(need):
            if self.memory.will_fit(need):
                return
            if connection is need.holder:
                continue
            if reason == UNREAD:
                self._cut_off_unread(connection)
            else:
                connection.refuse(503, reason)

    def _yielding(self, need: Need) -> Iterator[tuple[BudgetedConnection, str]]:
        """Return whom to cut off for a need, and why, the first one first.

        The last ones are for small needs only: unfinished requests that may be as
        small.
        """
        now_ms = self._clock.now_ms()
        yield from self._yielding_uploads(need, now_ms - SLOW_UPLOAD_MS)
        unread = sorted(self._unread.items(), key=lambda each: -each[1].n_bytes)
        for connection, answers in unread:
            is_stalled = answers.progress_ms <= now_ms - STALLED_MS
            if is_stalled and connection in self._unread:
                yield connection, UNREAD
        for connection, answers in unread[:-1] if need.is_answer else ():
            if answers.n_bytes >= need.n_holder_bytes and connection in self._unread:
                yield connection, UNREAD
        if need.is_small and now_ms - self._scanned_ms >= SCAN_INTERVAL_MS:
            self._scanned_ms = now_ms
            for connection in self._unfinished(now_ms - STALLED_MS):
                yield connection, "out of memory"

    def _yielding_uploads(
        self, need: Need, slow_ms: float
    ) -> Iterator[tuple[BudgetedConnection, str]]:
        """Return uploads without progress, then those in tiny chunks, then larger ones.

        :param slow_ms: time after which an upload must have grown.
        """
        uploads = sorted(self._uploads.items(), key=lambda each: -each[1].n_bytes)
        for connection, upload in uploads:
            if upload.progress_ms < slow_ms:
                yield connection, "slow upload"
        is_costly = need.holder in self._uploads and need.holder.is_costly
        for connection, _ in uploads:
            if connection.is_costly and not is_costly and connection in self._uploads:
                yield connection, "upload in tiny chunks"
        n_larger = LARGER_FACTOR * max(need.n_holder_bytes, SMALL_BYTES)
        for connection, upload in uploads:
            if upload.n_bytes >= n_larger and connection in self._uploads:
                yield connection, "larger upload"

    def _unfinished(self, until_ms: float) -> list[BudgetedConnection]:
        """Return connections whose request began before a time, the largest first."""
        unfinished = [
            connection
            for connection in self._connections
            if (since_ms := connection.unfinished_since_ms) is not None
            and since_ms <= until_ms
        ]
        return sorted(unfinished, key=lambda each: -each.n_unfinished_bytes)

    def add_unread(self, connection: BudgetedConnection, n_bytes: int) -> None:
        """Count an answer that was written and not taken at once."""
        unread = self._unread.get(connection)
        if unread is None:
            unread = self._unread[connection] = UnreadAnswers(self._clock.now_ms())
        unread.n_bytes += n_bytes
        unread.n_left = connection.n_unwritten_bytes
        self.memory.add(Part.UNREAD, n_bytes)
        if self.memory.is_full:
            self._limit_unread()

    def remove_unread(self, connection: BudgetedConnection) -> None:
        """Remove the answers of a connection, which were taken or are lost."""
        unread = self._unread.pop(connection, None)
        if unread is not None:
            self.memory.add(Part.UNREAD, -unread.n_bytes)

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
        need = Need(0, SMALL_BYTES + 1)
        if self.memory.make_room(need) or len(self._unread) < 2:
            return
        by_need = sorted(
            self._unread.items(),
            key=lambda item: (-item[1].n_bytes, item[1].progress_ms),
        )
        for connection, _ in by_need[:-1]:
            if self.memory.will_fit(need):
                return
            self._cut_off_unread(connection)

    def _cut_off_unread(self, connection: BudgetedConnection) -> None:
        """Cut off unread answers, which stay counted until the transport frees them."""
        unread = self._unread.get(connection)
        if unread is None:
            return
        n_bytes = unread.n_bytes
        self.remove_unread(connection)
        self.memory.add(Part.CLOSING, n_bytes)
        self._closing[connection] = n_bytes
        connection.cut_off(UNREAD)

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
        self.idle.pop(connection, None)
        if connection in self._connections:
            del self._connections[connection]
            self.memory.add(Part.CONNECTIONS, -CONNECTION_BYTES)
