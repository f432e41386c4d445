"""Counts of an organisation's requests by time slot."""

from typing import NamedTuple

# Slots whose counts are kept: enough for late reports and for clocks that differ.
KEPT_SLOTS = 16


class Usage(NamedTuple):
    """Requests of one organisation at one or more nodes, in one time slot.

    Each count only grows while the slot lasts, so of two reports on a slot the larger
    one is the later one, over whichever path it came.

    :param slot: number of the slot; the nodes' clocks roughly agree on it.
    :param n_asked: requests received.
    :param n_admitted: requests admitted.
    :param n_refunded: requests admitted in this or an earlier slot that did not run.
    """

    organisation: str
    slot: int
    n_asked: int
    n_admitted: int
    n_refunded: int


Counts = tuple[int, int, int]  # asked, admitted and refunded
NO_COUNTS: Counts = (0, 0, 0)


class SlotCounts:
    """Counts by slot, each with the time of its last change.

    :ivar changed_ms: time of the last change of any of them.
    """

    __slots__ = ("_by_slot", "changed_ms")

    def __init__(self) -> None:
        self._by_slot: dict[int, tuple[Counts, float]] = {}
        self.changed_ms = float("-inf")

    def get(self, slot: int) -> Counts:
        """Return the counts of a slot."""
        known = self._by_slot.get(slot)
        return known[0] if known is not None else NO_COUNTS

    def set(self, slot: int, counts: Counts, oldest_slot: int, now_ms: float) -> None:
        """Set the counts of a slot, and drop those before ``oldest_slot``."""
        if slot not in self._by_slot:
            for old in [known for known in self._by_slot if known < oldest_slot]:
                del self._by_slot[old]
        self._by_slot[slot] = (counts, now_ms)
        self.changed_ms = now_ms

    def changed_slots(self, since_ms: float) -> list[int]:
        """Return the slots whose counts changed after ``since_ms``."""
        if self.changed_ms <= since_ms:
            return []
        return [slot for slot, (_, at_ms) in self._by_slot.items() if at_ms > since_ms]

    def has_recent(self, oldest_slot: int) -> bool:
        """Return whether there are counts from ``oldest_slot`` on."""
        return any(slot >= oldest_slot for slot in self._by_slot)


def latest_counts(first: Counts, second: Counts) -> Counts:
    """Return the latest of two reports on a slot, whichever came first."""
    return (
        max(first[0], second[0]),
        max(first[1], second[1]),
        max(first[2], second[2]),
    )


def sum_counts(first: Counts, second: Counts) -> Counts:
    """Return the counts of two nodes together."""
    return (first[0] + second[0], first[1] + second[1], first[2] + second[2])
