"""Sums of what the nodes of a data centre report of organisations, by time slot."""

from collections.abc import Iterable

from ._rate_account import MAX_REPORT_INTERVAL_MS, SILENT_SOURCE_TIMEOUT_MS
from .usage_counts import KEPT_SLOTS, NO_COUNTS, Counts, Usage, latest_counts

# Slots whose counts a silent node is assumed to repeat.
REPEATED_SLOTS = 4


class UsageSums:
    """Add up the reports of other nodes by slot and organisation.

    A node's report on a slot replaces its earlier ones, unless it is older. A node that
    falls silent may still admit requests, so it is assumed to go on as before for a
    while.

    :ivar reported_ms: when any node reported last; None before the first report.
    """

    def __init__(self) -> None:
        self.reported_ms: float | None = None
        self._last_report_by_node: dict[str, tuple[float, int]] = {}
        self._counts_by_slot: dict[int, dict[str, dict[str, Counts]]] = {}

    def __repr__(self) -> str:
        return f"UsageSums(n_slots={len(self._counts_by_slot)})"

    def add(
        self, node: str, usages: Iterable[Usage], slot: int, now_ms: float
    ) -> list[Usage]:
        """Add a node's report, and return the sums that it changed.

        :param node: names the node and its incarnation.
        :param slot: the current slot; reports on slots far from it change nothing.
        """
        self.reported_ms = now_ms
        self._last_report_by_node[node] = (now_ms, slot)
        return self._add(node, usages, slot)

    def extend_silent(self, slot: int, now_ms: float) -> list[Usage]:
        """Assume that silent nodes go on as before, and return the changed sums."""
        self._drop_old_slots(slot)
        changed: list[Usage] = []
        for node, (reported_ms, last_slot) in list(self._last_report_by_node.items()):
            silence_ms = now_ms - reported_ms
            if silence_ms >= SILENT_SOURCE_TIMEOUT_MS:
                del self._last_report_by_node[node]
            elif silence_ms > MAX_REPORT_INTERVAL_MS:
                first = max(last_slot, slot - REPEATED_SLOTS) + 1
                for missed in range(first, slot + 1):
                    changed += self._add(node, self._assumed(node, missed), slot)
        return changed

    def _assumed(self, node: str, slot: int) -> list[Usage]:
        earlier = self._counts_by_slot.get(slot - REPEATED_SLOTS, {})
        return [
            Usage(organisation, slot, *by_node[node])
            for organisation, by_node in earlier.items()
            if node in by_node
        ]

    def _add(self, node: str, usages: Iterable[Usage], slot: int) -> list[Usage]:
        changed = []
        for usage in usages:
            if abs(usage.slot - slot) >= KEPT_SLOTS or min(usage[2:]) < 0:
                continue
            by_organisation = self._counts_by_slot.setdefault(usage.slot, {})
            by_node = by_organisation.setdefault(usage.organisation, {})
            last = by_node.get(node, NO_COUNTS)
            latest = latest_counts(last, usage[2:])
            if latest == last:
                continue
            by_node[node] = latest
            sums = (sum(counts) for counts in zip(*by_node.values(), strict=True))
            changed.append(Usage(usage.organisation, usage.slot, *sums))
        return changed

    def _drop_old_slots(self, slot: int) -> None:
        for old in [s for s in self._counts_by_slot if s <= slot - KEPT_SLOTS]:
            del self._counts_by_slot[old]
