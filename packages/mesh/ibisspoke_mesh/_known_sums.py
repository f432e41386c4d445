"""Sums of organisations that were applied already."""

from collections.abc import Iterable

from ibisspoke_policy.shared_rate import KEPT_SLOTS

from .status_messages import PackedUsages

Entry = tuple[int, int, int, int]


class KnownSums:
    """Remembers sums as they were received, so that repeated ones cost little.

    Each sum comes over two relays, and several times over each.
    """

    def __init__(self) -> None:
        self._known: dict[tuple[str, int], dict[int, Entry]] = {}

    def __repr__(self) -> str:
        return f"KnownSums(n_slots={len(self._known)})"

    def unknown(
        self, source: str, packed: Iterable[PackedUsages]
    ) -> list[PackedUsages]:
        """Return the sums of a data centre that differ from the last known ones."""
        remaining = []
        for slot, entries in packed:
            known = self._known.get((source, slot))
            if known is not None:
                entries = [entry for entry in entries if known.get(entry[0]) != entry]
            if entries:
                remaining.append((slot, entries))
        return remaining

    def add(self, source: str, packed: Iterable[PackedUsages], slot: int) -> None:
        """Remember sums that were applied.

        :param slot: the current slot; sums of slots long before it are dropped.
        """
        for reported_slot, entries in packed:
            if (source, reported_slot) not in self._known:
                self._drop_old(slot)
            known = self._known.setdefault((source, reported_slot), {})
            known.update((entry[0], entry) for entry in entries)

    def clear(self) -> None:
        """Forget all sums, for instance since other organisations are counted now."""
        self._known.clear()

    def _drop_old(self, slot: int) -> None:
        for key in [key for key in self._known if key[1] <= slot - KEPT_SLOTS]:
            del self._known[key]
