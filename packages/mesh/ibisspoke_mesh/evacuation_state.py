"""Evacuated data centres, as this node knows them from the store and other nodes."""

from collections.abc import Callable, Iterable

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.evacuations import (
    UNKNOWN_POSITION,
    EvacuationPosition,
    EvacuationReport,
    Evacuations,
)
from ibisspoke_policy.store_position import StoreEra, StorePosition

from .decision_log import DecisionLog
from .store import Changes

# A starting node learns of the nodes of other data centres within this time.
UNKNOWN_GRACE_MS = 5_000.0
UNKNOWN_REMEDY = "check the name in the key of the row"
ALL_REMEDY = "remove the row of a data centre that is to serve"


class EvacuationState:
    """Follows the rows of evacuations, and logs what changes.

    :param prefix: of the keys of these rows, followed by the name of a data centre;
        empty if the platform has no evacuations.
    :param era: of the store; it is also learned from other nodes.
    :ivar on_change: called after each change of what is known.
    """

    def __init__(
        self,
        prefix: str,
        clock: Clock,
        log: DecisionLog,
        era: StoreEra | None = None,
    ) -> None:
        self.on_change: Callable[[], None] = lambda: None
        self._prefix = prefix
        self._clock = clock
        self._log = log
        self._evacuations = Evacuations()
        self._era = era or StoreEra()
        self._era.on_rise.append(self._raise_era)
        self._since_ms_by_name: dict[str, float] = {}
        self._unknown: set[str] = set()
        self._are_all_evacuated = False

    def __repr__(self) -> str:
        return f"EvacuationState({self._evacuations!r})"

    @property
    def is_enabled(self) -> bool:
        """Whether the platform has evacuations."""
        return bool(self._prefix)

    @property
    def is_known(self) -> bool:
        """Whether the evacuations are known, or there can be none."""
        return not self._prefix or self._evacuations.is_known

    @property
    def era(self) -> int:
        """The highest known era of the store."""
        return self._evacuations.era

    @property
    def is_settled(self) -> bool:
        """Whether the operator has had the time to write again what a copy lacks."""
        return not self._prefix or self._evacuations.is_settled

    @property
    def in_force(self) -> frozenset[str]:
        """The evacuated data centres."""
        return self._evacuations.in_force

    @property
    def needs_checks(self) -> bool:
        """Whether a data centre is evacuated, or rows cannot be believed yet."""
        return bool(self._since_ms_by_name) or not self._evacuations.is_settled

    @property
    def position(self) -> EvacuationPosition:
        """Position for comparison with other nodes."""
        return self._evacuations.position

    @property
    def reported_position(self) -> EvacuationPosition | None:
        """The position for statuses; None while there is nothing to tell."""
        position = self._evacuations.position
        is_plain = position in (UNKNOWN_POSITION, EvacuationPosition())
        return None if is_plain else position

    def lacks(self, position: EvacuationPosition) -> bool:
        """Return whether a node at ``position`` knows what this node does not."""
        if self._prefix:
            self._era.learn(position.era)
        return bool(self._prefix) and self.position.lacks(position)

    def report(self) -> EvacuationReport | None:
        """Return what is known, for another node."""
        return self._evacuations.report()

    def _raise_era(self, era: int) -> None:
        before = self._known()
        self._evacuations.raise_era(era, self._clock.boot_ms())
        self._notify(before, "store")

    def record_rewrite(self) -> None:
        """Record that the operator writes again what a copy of the store lacks."""
        self._evacuations.record_rewrite(self._clock.boot_ms())

    def until_settled_ms(self) -> float:
        """Return in how long the store should be read; infinite if that is not due."""
        if not self._prefix or not self._evacuations.is_known:
            return float("inf")
        return self._evacuations.until_settled_ms(self._clock.boot_ms())

    def apply_changes(
        self, changes: Changes, is_snapshot: bool, started_ms: float
    ) -> None:
        """Apply changes from the store."""
        if not self._prefix:
            return
        before = self._known()
        position = StorePosition(changes.era, changes.version)
        rows = {
            name: row.version
            for row in changes.rows
            if (name := self._name(row.key)) is not None
        }
        if is_snapshot:
            self._evacuations.apply_snapshot(rows, position, started_ms)
        else:
            names = [self._name(key) for key in changes.removed]
            removed = [name for name in names if name is not None]
            self._evacuations.apply_changes(rows, removed, position, started_ms)
        self._notify(before, "store")

    def apply_report(self, report: EvacuationReport) -> None:
        """Apply what another node knows."""
        if not self._prefix:
            return
        self._era.learn(report.era)
        before = self._known()
        self._evacuations.apply_report(report, self._clock.boot_ms())
        self._notify(before, "node")

    def tick(self, data_centres: Iterable[str], serving: frozenset[str]) -> None:
        """Check evacuations against the fleet.

        :param data_centres: those of the known nodes.
        :param serving: those that have upstreams.
        """
        before = self._known()
        self._evacuations.tick(self._clock.boot_ms())
        self._notify(before, "copy")
        if not self._since_ms_by_name:
            self._are_all_evacuated = False
            return
        in_force = self.in_force
        now_ms = self._clock.now_ms()
        known = set(data_centres)
        for name, since_ms in self._since_ms_by_name.items():
            is_unknown = name not in known and now_ms - since_ms > UNKNOWN_GRACE_MS
            if is_unknown and name not in self._unknown:
                self._unknown.add(name)
                self._log.write(
                    "evacuation of unknown data centre",
                    data_centre=name,
                    remedy=UNKNOWN_REMEDY,
                )
        are_all = bool(serving) and serving <= in_force
        if are_all and not self._are_all_evacuated:
            names = " ".join(sorted(in_force))
            self._log.write(
                "all data centres evacuated", data_centres=names, remedy=ALL_REMEDY
            )
        self._are_all_evacuated = are_all

    def _name(self, key: str) -> str | None:
        """Return the data centre that the key of a row names, or None."""
        return key.removeprefix(self._prefix) if key.startswith(self._prefix) else None

    def _known(self) -> tuple[bool, frozenset[str], EvacuationPosition]:
        return self.is_known, self.in_force, self.position

    def _notify(
        self, before: tuple[bool, frozenset[str], EvacuationPosition], source: str
    ) -> None:
        if self._known() == before:
            return
        _, earlier, _ = before
        in_force = self.in_force
        now_ms = self._clock.now_ms()
        for name in sorted(in_force - earlier):
            self._since_ms_by_name[name] = now_ms
            self._log.write("evacuation in force", data_centre=name, source=source)
        for name in sorted(earlier - in_force):
            del self._since_ms_by_name[name]
            self._unknown.discard(name)
            self._log.write("evacuation ended", data_centre=name, source=source)
        self._are_all_evacuated &= bool(in_force)
        self.on_change()
