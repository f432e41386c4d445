"""What the upstream of this VM says of itself, in order of its own counting."""

from enum import StrEnum
from typing import NamedTuple


class UpstreamState(StrEnum):
    """Whether an upstream takes new requests."""

    READY = "ready"
    DRAINING = "draining"
    ABSENT = "absent"


class Announcement(NamedTuple):
    """One heartbeat of an upstream.

    :param born_ms: Unix time of its start; tells apart lives under one id.
    :param sequence: grows with each heartbeat of one life.
    :param cold_ms: how much longer it stays slow after its start.
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
    """One life of an upstream: the same id may start again."""

    instance: str
    born_ms: int


class UpstreamLife:
    """Order heartbeats and departures of the upstreams of one VM.

    A later start replaces an earlier one. Within one life a higher sequence replaces
    a lower one, draining is final, and after a departure nothing counts any more.

    A process that has just started does not know what an earlier one acknowledged. A
    heartbeat that was held up may come from an upstream that has left meanwhile, so
    one alone makes nothing ready until :meth:`recall` has been called.
    """

    def __init__(self) -> None:
        self.latest: Announcement | None = None
        self.state = UpstreamState.ABSENT
        self._knows_past = False
        self._departed_born_by_instance: dict[str, int] = {}

    def __repr__(self) -> str:
        return f"UpstreamLife({self.state}, {self.latest})"

    @property
    def is_leaving(self) -> bool:
        """Whether the latest upstream has said that it leaves."""
        return self.state is UpstreamState.DRAINING

    def recall(self, departed: Life | None) -> bool:
        """Take in what an earlier process of this VM acknowledged.

        :param departed: the life that said that it leaves, or None if none has.
        :returns: whether this has changed the state of the latest upstream.
        """
        self._knows_past = True
        if departed is not None:
            self._note_departure(departed)
        latest, state = self.latest, self.state
        if latest is not None and state is not UpstreamState.DRAINING:
            has_left = self._is_departed(latest)
            self.state = UpstreamState.DRAINING if has_left else UpstreamState.READY
        return self.state is not state

    def announce(self, announcement: Announcement) -> bool:
        """Take in a heartbeat.

        :returns: whether it changed what is known; False for a late one.
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
        elif self._knows_past or same_life:
            self.state = UpstreamState.READY
        else:
            self.state = UpstreamState.ABSENT
        return True

    def depart(self, instance: str, born_ms: int | None, wall_ms: float) -> bool:
        """Take in that an upstream leaves.

        :param born_ms: start of the life that leaves; None means the one that runs.
        :param wall_ms: the time of day, which no life that leaves is younger than.
        :returns: whether the latest upstream is the one that leaves.
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
        """Note that the upstream does not answer."""
        if self.state is UpstreamState.READY:
            self.state = UpstreamState.ABSENT

    def _note_departure(self, life: Life) -> None:
        known_ms = self._departed_born_by_instance.get(life.instance, life.born_ms)
        self._departed_born_by_instance[life.instance] = max(known_ms, life.born_ms)

    def _is_departed(self, announcement: Announcement) -> bool:
        born_ms = self._departed_born_by_instance.get(announcement.instance)
        return born_ms is not None and announcement.born_ms <= born_ms

    def _replaces(self, new: Announcement, latest: Announcement) -> bool:
        if _life(new) == _life(latest):
            return new.sequence > latest.sequence
        return new.born_ms >= latest.born_ms


def _life(announcement: Announcement) -> Life:
    return Life(announcement.instance, announcement.born_ms)
