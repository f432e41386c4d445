"""Plans of which members of a data centre monitor which others."""

from collections.abc import Callable
from typing import Protocol

from .member_ring import MemberRing

IsSilent = Callable[[str], bool]


class WatchPlan(Protocol):
    """Choose the peers that receive heartbeats and those that are monitored.

    :ivar pings_at_once: whether a newly monitored peer is pinged at once, not only
        after a silence.
    """

    pings_at_once: bool

    def heartbeat_targets(self, own_id: str, ring: MemberRing) -> list[str]:
        """Return the peers that expect this node's heartbeats."""

    def watched(self, own_id: str, ring: MemberRing, is_silent: IsSilent) -> list[str]:
        """Return the peers whose heartbeats this node monitors."""


class RingWatch:
    """Monitor the next nodes on the ring, and more if some of these are silent.

    :param n_watchers: nodes that monitor one node.
    :param n_max_watched: limit on the monitored nodes.
    """

    pings_at_once = False

    def __init__(self, n_watchers: int, n_max_watched: int) -> None:
        self._n_watchers = n_watchers
        self._n_max_watched = n_max_watched

    def __repr__(self) -> str:
        return f"RingWatch({self._n_watchers})"

    def heartbeat_targets(self, own_id: str, ring: MemberRing) -> list[str]:
        """Return the nodes before this one."""
        return ring.predecessors(own_id, self._n_watchers)

    def watched(self, own_id: str, ring: MemberRing, is_silent: IsSilent) -> list[str]:
        """Return the nodes after this one, until enough of them are not silent."""
        watched: list[str] = []
        n_heard = 0
        for member_id in ring.successors(own_id, self._n_max_watched):
            watched.append(member_id)
            n_heard += not is_silent(member_id)
            if n_heard == self._n_watchers:
                break
        return watched
