"""State of the upstream of this VM, derived from heartbeats and departures."""

from enum import StrEnum
from typing import NamedTuple


class UpstreamState(StrEnum):
    """Whether an upstream accepts new requests."""

    READY = "ready"
    DRAINING = "draining"
    ABSENT = "absent"


class Announcement(NamedTuple):
    """One heartbeat of an upstream.

    :param born_ms: Unix time of its start; distinguishes processes with the same id.
    :param sequence: increases with each heartbeat of one process.
    :param cold_ms: remaining time for which it is slow after its start.
    """

    instance: str
    born_ms: int
    service: str
    address: str
    n_slots: int
    is_draining: bool
    sequence: int
    cold_ms: float


class Life(NamedTuple):
    """One process of an upstream; a later one may have the same id."""

    instance: str
    born_ms: int


class UpstreamLife:
    """Track the upstream of one VM from heartbeats and departures that may be late.

    An upstream that started later replaces an earlier one. For one upstream process, a
    higher sequence replaces a lower one, draining is final, and all heartbeats after a
    departure are ignored.

    A node that has just started does not know which departures its predecessor has
    acknowledged. A delayed heartbeat may come from an upstream that has left since.
    Until :meth:`recall` is called, a single heartbeat therefore does not make an
    upstream ready.
    """

    def __init__(self) -> None:
        self.latest: Announcement | None = None
        self.state = UpstreamState.ABSENT
        self._is_history_known = False
        self._departed_start_ms_by_instance: dict[str, int] = {}

    def __repr__(self) -> str:
        return f"UpstreamLife({self.state}, {self.latest})"

    @property
    def is_leaving(self) -> bool:
        """Whether the latest upstream is draining or has departed."""
        return self.state is UpstreamState.DRAINING

    def recall(self, departed: Life | None) -> bool:
        """Apply the departure that an earlier node process on this VM acknowledged.

        :param departed: the upstream process that departed, or None if none has.
        :returns: whether the state of the latest upstream changed.
        """
        self._is_history_known = True
        if departed is not None:
            self._note_departure(departed)
        latest, state = self.latest, self.state
        if latest is not None and state is not UpstreamState.DRAINING:
            has_left = self._is_departed(latest)
            self.state = UpstreamState.DRAINING if has_left else UpstreamState.READY
        return self.state is not state

    def announce(self, announcement: Announcement) -> bool:
        """Apply a heartbeat.

        :returns: whether it was applied; False if it is outdated.
        """
        if self._is_departed(announcement):
            return False
        latest = self.latest
        if latest is not None and not self._replaces(announcement, latest):
            return False
        same_life = latest is not None and _life(latest) == _life(announcement)
        was_draining = same_life and self.state is UpstreamState.DRAINING
        self.latest = announcement
        if was_draining or announcement.is_draining:
            self.state = UpstreamState.DRAINING
        elif self._is_history_known or same_life:
            self.state = UpstreamState.READY
        else:
            self.state = UpstreamState.ABSENT
        return True

    def depart(self, instance: str, born_ms: int | None, wall_ms: float) -> bool:
        """Record the departure of an upstream.

        :param born_ms: start of the process that departs; None for the running one.
        :param wall_ms: the current wall time, an upper bound on that start time.
        :returns: whether the latest upstream has departed.
        """
        latest = self.latest
        is_known = latest is not None and latest.instance == instance
        if born_ms is None:
            born_ms = latest.born_ms if latest and is_known else int(wall_ms)
        self._note_departure(Life(instance, born_ms))
        if latest is None or not self._is_departed(latest):
            return False
        self.state = UpstreamState.DRAINING
        return True

    def lose(self) -> None:
        """Record that the upstream does not answer."""
        if self.state is UpstreamState.READY:
            self.state = UpstreamState.ABSENT

    def _note_departure(self, life: Life) -> None:
        known_ms = self._departed_start_ms_by_instance.get(life.instance, life.born_ms)
        self._departed_start_ms_by_instance[life.instance] = max(known_ms, life.born_ms)

    def _is_departed(self, announcement: Announcement) -> bool:
        born_ms = self._departed_start_ms_by_instance.get(announcement.instance)
        return born_ms is not None and announcement.born_ms <= born_ms

    def _replaces(self, new: Announcement, latest: Announcement) -> bool:
        if _life(new) == _life(latest):
            return new.sequence > latest.sequence
        return new.born_ms >= latest.born_ms


def _life(announcement: Announcement) -> Life:
    return Life(announcement.instance, announcement.born_ms)
