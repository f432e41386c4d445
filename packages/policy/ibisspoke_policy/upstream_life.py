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


class UpstreamLife:
    """Order heartbeats and departures of the upstreams of one VM.

    A later start replaces an earlier one. Within one life a higher sequence replaces
    a lower one, draining is final, and after a departure nothing counts any more.
    """

    def __init__(self) -> None:
        self.latest: Announcement | None = None
        self.state = UpstreamState.ABSENT
        self._departed: dict[tuple[str, int], None] = {}

    def __repr__(self) -> str:
        return f"UpstreamLife({self.state}, {self.latest})"

    def announce(self, announcement: Announcement) -> bool:
        """Take in a heartbeat.

        :returns: whether it changed what is known; False for a late one.
        """
        life = (announcement.instance, announcement.born_ms)
        if life in self._departed:
            return False
        latest = self.latest
        if latest is not None and not self._replaces(announcement, latest):
            return False
        same_life = latest is not None and _life(latest) == life
        was_draining = same_life and self.state is UpstreamState.DRAINING
        self.latest = announcement
        draining = was_draining or announcement.is_draining
        self.state = UpstreamState.DRAINING if draining else UpstreamState.READY
        return True

    def depart(self, instance: str, born_ms: int | None) -> bool:
        """Take in that an upstream leaves.

        :returns: whether the latest upstream is the one that leaves.
        """
        latest = self.latest
        if latest is None or latest.instance != instance:
            return False
        if born_ms is not None and born_ms != latest.born_ms:
            return False
        self._departed[_life(latest)] = None
        self.state = UpstreamState.DRAINING
        return True

    def lose(self) -> None:
        """Note that the upstream does not answer."""
        if self.state is UpstreamState.READY:
            self.state = UpstreamState.ABSENT

    def _replaces(self, new: Announcement, latest: Announcement) -> bool:
        if _life(new) == _life(latest):
            return new.sequence > latest.sequence
        return new.born_ms >= latest.born_ms


def _life(announcement: Announcement) -> tuple[str, int]:
    return (announcement.instance, announcement.born_ms)
