"""One bound on what a process holds in memory for others, counted by part."""

import asyncio
from collections import deque
from enum import IntEnum
from typing import NamedTuple, Protocol

from .settings import DEFAULT_MEMORY_MB

MB = 1_000_000
# Of a process that holds nothing for others, with the state of a large fleet.
IDLE_BYTES = 60 * MB
HELD_SHARE = 0.9  # of the rest; the allocator keeps a part of what was freed
MIN_HELD_BYTES = 16 * MB  # where the VM has hardly more than an idle process takes
SMALL_SHARE = 1 / 15  # of the bound, which only small requests may take
SMALL_BYTES = 64 * 1024  # a body or answer that counts as small
PEAK_STEP_BYTES = 1024 * 1024  # by which a peak must grow to be recorded again


class Part(IntEnum):
    """What memory is held for; an index, since it is used several times a request."""

    CONNECTIONS = 0  # of callers, whatever they send
    INPUT = 1  # heads and unparsed bytes of callers
    KERNEL = 2  # receive buffers of callers that nothing is read from now
    BODIES = 3  # of callers' requests that are read or handled
    ATTEMPTS = 4  # for other nodes, or for callers that have left
    UPSTREAM_ANSWERS = 5  # of the upstream, not read whole yet
    ANSWERS = 6  # whole, on their way to the caller's connection
    UNREAD = 7  # answers that callers have not taken
    CLOSING = 8  # unread answers of callers that were cut off
    PEER_FRAMES = 9  # of other nodes, not received whole yet
    UNSENT = 10  # frames that other nodes have not taken
    KEPT_OUTCOMES = 11  # in case their link is lost


class Reclaimer(Protocol):
    """A holder of memory that can let go of some."""

    def reclaim(self, need: "Need") -> None:
        """Release memory until the need is met, as far as others may be cut off."""


class Need(NamedTuple):
    """Memory that is to be taken.

    :param n_bytes: how much, beyond what is counted already.
    :param n_holder_bytes: size of what it is taken for. Uploads that are several times
        as large may give way to it.
    :param holder: connection that it is taken for, which does not give way itself.
    :param is_answer: whether it is for an answer, to which unread ones may give way.
    """

    n_bytes: int
    n_holder_bytes: int
    holder: object | None = None
    is_answer: bool = False

    @property
    def is_small(self) -> bool:
        """Whether it may use the part of the bound that is left to small requests."""
        return self.n_holder_bytes <= SMALL_BYTES


class MemoryBudget:
    """Counts what a process holds for others, and has it let go of some when full.

    :param memory_bytes: memory that the process may take altogether.
    :ivar max_bytes: bound on all parts together.
    :ivar max_large_bytes: bound beyond which only small requests are taken.
    :ivar n_bytes_by_part: what is held now.
    :ivar peak_bytes_by_part: what was held when all parts together were largest, to
        within ``PEAK_STEP_BYTES``.
    :ivar reclaimers: holders that let go, in the order in which they are asked.
    """

    def __init__(self, memory_bytes: float = DEFAULT_MEMORY_MB * MB) -> None:
        self.n_held_bytes = 0
        self.n_bytes_by_part = [0] * len(Part)
        self.peak_bytes_by_part = list(self.n_bytes_by_part)
        self.reclaimers: list[Reclaimer] = []
        self._n_next_peak_bytes = PEAK_STEP_BYTES
        self.set_memory(memory_bytes)

    def __repr__(self) -> str:
        return f"MemoryBudget({self.n_held_bytes} of {self.max_bytes} bytes)"

    def set_memory(self, memory_bytes: float) -> None:
        """Set the memory that the process may take altogether."""
        held = HELD_SHARE * (memory_bytes - IDLE_BYTES)
        self.set_max_bytes(int(max(MIN_HELD_BYTES, held)))

    def set_max_bytes(self, max_bytes: int) -> None:
        """Set the bound on all parts together."""
        self.max_bytes = max_bytes
        self.max_large_bytes = int(max_bytes * (1.0 - SMALL_SHARE))

    @property
    def is_full(self) -> bool:
        """Whether only small requests can be taken."""
        return self.n_held_bytes > self.max_large_bytes

    @property
    def is_exhausted(self) -> bool:
        """Whether nothing more can be taken."""
        return self.n_held_bytes > self.max_bytes

    def add(self, part: Part, n_bytes: int) -> None:
        """Count memory that was taken, or released if ``n_bytes`` is negative."""
        self.n_bytes_by_part[part] += n_bytes
        self.n_held_bytes += n_bytes
        if self.n_held_bytes > self._n_next_peak_bytes:
            self._n_next_peak_bytes = self.n_held_bytes + PEAK_STEP_BYTES
            self.peak_bytes_by_part = list(self.n_bytes_by_part)

    def fits(self, need: Need) -> bool:
        """Return whether memory can be taken now."""
        limit = self.max_bytes if need.is_small else self.max_large_bytes
        return self.n_held_bytes + need.n_bytes <= limit

    def will_fit(self, need: Need) -> bool:
        """Return whether memory can be taken once that of closing connections is free.

        Their transports release it only in later iterations of the event loop. Others
        need not let go for it, but until then it cannot be taken.
        """
        n_closing = self.n_bytes_by_part[Part.CLOSING]
        return self.fits(need._replace(n_bytes=need.n_bytes - n_closing))

    def make_room(self, need: Need) -> bool:
        """Return whether memory can be taken, if need be once others have let go."""
        for reclaimer in self.reclaimers:
            if self.will_fit(need):
                break
            reclaimer.reclaim(need)
        return self.fits(need)


class UnsentBytes:
    """Counts what one connection's transport holds until its peer takes it.

    A transport joins what is written in one iteration of the event loop, and releases
    it when all of that is sent.
    """

    __slots__ = ("_batches", "_is_batch_open", "_memory", "n_bytes")

    def __init__(self, memory: MemoryBudget) -> None:
        self._memory = memory
        self._batches: deque[int] = deque()
        self._is_batch_open = False
        self.n_bytes = 0

    def note_large(self, n_bytes: int) -> None:
        """Note the size of a large write, before it is written."""
        if self._is_batch_open and self._batches:
            self._batches[-1] += n_bytes
            return
        self._batches.append(n_bytes)
        if not self._is_batch_open:
            self._is_batch_open = True
            asyncio.get_running_loop().call_soon(self._end_batch)

    def _end_batch(self) -> None:
        self._is_batch_open = False

    def count(self, n_unsent: int) -> None:
        """Count what the transport holds, by what it has not sent yet."""
        n_held = sum(self._batches)
        while self._batches and n_held - self._batches[0] >= n_unsent:
            n_held -= self._batches.popleft()
        n_held = max(n_held, n_unsent, 0)
        self._memory.add(Part.UNSENT, n_held - self.n_bytes)
        self.n_bytes = n_held
