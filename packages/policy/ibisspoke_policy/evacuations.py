"""Set of evacuated data centres, merged from the store and from other nodes.

The pattern is an operator who evacuates a data centre, or takes that back, while nodes
restart, links fail and the store is lost or restored from a copy.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .store_position import MAX_ERA, StorePosition

# After the era rose: by then, the operator has written again what the copy lacks.
SETTLE_MS = 8_000.0
# After the configuration was written again: the operator writes one row after another.
REWRITE_GRACE_MS = 2_000.0
# After the era rose, for which a row that was removed earlier is taken to be of the
# copy. It may also be a new row with the same version, and an evacuation has to be in
# force within 5 s.
DOUBT_MS = 2_000.0
MAX_REMOVED = 64  # kept for the comparison with a copy that is some seconds old


class EvacuationRows(NamedTuple):
    """The rows of evacuations as of one position of the store.

    :param position: of the last change.
    :param present: versions of the rows, by data centre.
    :param removed: last versions of rows that were removed, by data centre.
    """

    position: StorePosition
    present: dict[str, int]
    removed: dict[str, int]


class EvacuationPosition(NamedTuple):
    """What nodes compare to find out which of them lacks changes.

    :param era: highest known era; -1 if nothing is known.
    :param version: of the last change in this era; -1 if its rows are not known.
    :param settled_era: highest era in which only rows of this era count.
    :param earlier_era: position of the last change of an earlier era that counts.
    """

    era: int = 0
    version: int = 0
    settled_era: int = 0
    earlier_era: int = 0
    earlier_version: int = 0

    def lacks(self, other: "EvacuationPosition") -> bool:
        """Return whether a node at this position lacks what one at ``other`` knows."""
        if other[:2] > self[:2] or other.settled_era > self.settled_era:
            return True
        return self.settled_era < self.era and other[3:] > self[3:]


UNKNOWN_POSITION = EvacuationPosition(-1)


class EvacuationReport(NamedTuple):
    """What a node knows of evacuations, for other nodes."""

    era: int
    settled_era: int
    rows: EvacuationRows | None
    earlier: EvacuationRows | None


class Evacuations:
    """Merge the rows of evacuations, which may arrive late and more than once.

    Rows of a new era come from a copy that may lack evacuations and removals. Until the
    operator has had the time to write them again, evacuations of the earlier era stay
    in force, and only removals that were seen in the new era count.
    """

    def __init__(self) -> None:
        self.era = 0
        self._settled_era = 0
        self._rows: EvacuationRows | None = None
        self._read = StorePosition()  # up to which the rows have no later change
        self._earlier: EvacuationRows | None = None
        self._settle_ms = 0.0
        self._doubt_until_ms = 0.0

    def __repr__(self) -> str:
        return f"Evacuations({sorted(self.in_force)}, {self.position})"

    @property
    def is_known(self) -> bool:
        """Whether the evacuations have been learned from the store or from a node."""
        return self._rows is not None or self._earlier is not None

    @property
    def is_settled(self) -> bool:
        """Whether only rows of the present era count."""
        return self._settled_era >= self.era

    @property
    def in_force(self) -> frozenset[str]:
        """The evacuated data centres."""
        return frozenset(_combine(self._rows, self._earlier).present)

    @property
    def position(self) -> EvacuationPosition:
        """Position for comparison with other nodes."""
        if not self.is_known:
            return UNKNOWN_POSITION
        version = self._rows.position.version if self._rows is not None else -1
        earlier = self._earlier.position if self._earlier else StorePosition()
        return EvacuationPosition(self.era, version, self._settled_era, *earlier)

    def report(self) -> EvacuationReport | None:
        """Return what is known, for other nodes."""
        if not self.is_known:
            return None
        return EvacuationReport(self.era, self._settled_era, self._rows, self._earlier)

    def raise_era(self, era: int, now_ms: float) -> None:
        """Handle the news that the store was restored from a copy."""
        if not self.era < era <= MAX_ERA:
            return
        if self.is_known:
            self._earlier = _combine(self._rows, self._earlier)
        self.era = era
        self._rows = None
        self._read = StorePosition(era, 0)
        self._settle_ms = now_ms + SETTLE_MS
        self._doubt_until_ms = now_ms + DOUBT_MS

    def apply_snapshot(
        self, present: Mapping[str, int], position: StorePosition, started_ms: float
    ) -> None:
        """Apply all rows, as of a position of the store.

        :param started_ms: when the call that read them started.
        """
        if position.era != self.era or position < self._read:
            return
        self._read = position
        if self._rows is None:
            # Without rows, nodes that read the table at different moments agree.
            start = position if present else StorePosition(position.era, 0)
            self._rows = EvacuationRows(start, dict(present), {})
        elif self._rows.present != present:
            known = self._rows.present
            gone = {name: known[name] for name in known if name not in present}
            removed = {**self._rows.removed, **gone}
            self._rows = _rows(position, present, removed)
        self._confirm(started_ms)

    def apply_changes(
        self,
        changed: Mapping[str, int],
        removed: Iterable[str],
        position: StorePosition,
        started_ms: float,
    ) -> None:
        """Apply the rows that have changed up to a position of the store."""
        rows = self._rows
        if position.era != self.era or rows is None:
            return
        if position > self._read:
            self._read = position
            gone = {
                name: rows.present.get(name, 0)
                for name in removed
                if name in rows.present or self._is_earlier(name)
            }
            present = {**rows.present, **changed}
            present = {name: present[name] for name in present if name not in gone}
            self._trust(changed)
            if present != rows.present or gone:
                self._rows = _rows(position, present, {**rows.removed, **gone})
        self._confirm(started_ms)

    def apply_report(self, report: EvacuationReport, now_ms: float) -> None:
        """Apply what another node knows."""
        self.raise_era(report.era, now_ms)
        if report.era > self.era:
            return
        if report.era < self.era:
            if not self.is_settled:
                self._merge_earlier(_combine(report.rows, report.earlier))
            return
        if report.rows is not None:
            self._merge_rows(report.rows)
            if report.settled_era >= self.era:
                self._settle()
        if report.earlier is not None and not self.is_settled:
            self._merge_earlier(report.earlier)

    def record_rewrite(self, now_ms: float) -> None:
        """Record that the operator writes again what the copy lacks."""
        self._settle_ms = min(self._settle_ms, now_ms + REWRITE_GRACE_MS)

    def tick(self, now_ms: float) -> None:
        """Stop doubting rows of the copy."""
        earlier = self._earlier
        if earlier is not None and earlier.removed and now_ms >= self._doubt_until_ms:
            self._earlier = earlier._replace(removed={})

    def until_settled_ms(self, now_ms: float) -> float:
        """Return in how long the store should be read; infinite if that is not due."""
        return float("inf") if self.is_settled else max(0.0, self._settle_ms - now_ms)

    def _is_earlier(self, name: str) -> bool:
        return self._earlier is not None and name in self._earlier.present

    def _trust(self, changed: Mapping[str, int]) -> None:
        """Take rows that were written in this era for new ones."""
        earlier = self._earlier
        if earlier is not None:
            removed = {n: v for n, v in earlier.removed.items() if n not in changed}
            self._earlier = earlier._replace(removed=removed)

    def _confirm(self, started_ms: float) -> None:
        if not self.is_settled and started_ms >= self._settle_ms:
            self._settle()

    def _settle(self) -> None:
        self._settled_era = self.era
        self._earlier = None

    def _merge_rows(self, rows: EvacuationRows) -> None:
        known = self._rows
        if known is None or rows.position > self._read:
            self._rows = rows
            self._read = max(self._read, rows.position)
        elif rows.position > known.position:
            # The other node lacks later changes, which this node has read, or it knows
            # the same rows by a later position.
            is_same = rows.present == known.present
            position = rows.position if is_same else self._read
            self._rows = known._replace(position=position)

    def _merge_earlier(self, earlier: EvacuationRows) -> None:
        if self._earlier is None or earlier.position > self._earlier.position:
            self._earlier = earlier


def _combine(
    rows: EvacuationRows | None, earlier: EvacuationRows | None
) -> EvacuationRows:
    """Return the rows that count, of which some may be of an earlier era."""
    if rows is None or earlier is None:
        return rows or earlier or EvacuationRows(StorePosition(), {}, {})
    present = {
        name: version
        for name, version in earlier.present.items()
        if name not in rows.removed
    }
    for name, version in rows.present.items():
        if earlier.removed.get(name) != version:
            present[name] = version
    removed = {**earlier.removed, **rows.removed}
    return EvacuationRows(rows.position, present, removed)


def _rows(
    position: StorePosition, present: Mapping[str, int], removed: Mapping[str, int]
) -> EvacuationRows:
    kept = [item for item in removed.items() if item[0] not in present]
    return EvacuationRows(position, dict(present), dict(kept[-MAX_REMOVED:]))
