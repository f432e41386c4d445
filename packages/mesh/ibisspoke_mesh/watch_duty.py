"""Which nodes follow the configuration in the store, and which ask these."""

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.rendezvous import score

from .fleet import Fleet, Peer

TOPIC = "configuration"
N_WATCHERS = 2  # of a data centre: one may be cut off from the store
REFRESH_MS = 250.0  # half of the interval between two statuses


class WatchDuty:
    """Rank the nodes that are alive and reach the store, alike at each node.

    Few nodes of each data centre wait for changes of the configuration, and few of a
    region prove that it is current. The others learn from these, so that calls to the
    store and bytes between regions do not grow with the fleet.
    """

    def __init__(self, fleet: Fleet, clock: Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        self._refreshed_ms = float("-inf")
        self._own_rank = 0
        self._own_region_rank = 0
        self._sources: list[Peer] = []

    def __repr__(self) -> str:
        return f"WatchDuty(rank={self._own_rank}, of_region={self._own_region_rank})"

    @property
    def is_watcher(self) -> bool:
        """Whether this node waits for changes."""
        self._refresh()
        return self._own_rank < N_WATCHERS

    @property
    def region_rank(self) -> int:
        """How many nodes of the region prove before this one does."""
        self._refresh()
        return self._own_region_rank

    @property
    def sources(self) -> list[Peer]:
        """The nodes to ask, those that know first; of this region if any is there."""
        self._refresh()
        return self._sources

    def _refresh(self) -> None:
        now_ms = self._clock.now_ms()
        own = self._fleet.own
        if own is None or now_ms - self._refreshed_ms < REFRESH_MS:
            return
        self._refreshed_ms = now_ms
        alive = [p for p in self._fleet.peers_by_id.values() if p.is_alive(now_ms)]
        near = [peer for peer in alive if peer.distance.same_region]
        own_score = (score(TOPIC, own.node), own.node)
        scores = {
            peer.record.node: (score(TOPIC, peer.record.node), peer.record.node)
            for peer in near or alive
        }
        before = [
            peer
            for peer in near
            if not peer.has_lost_store and scores[peer.record.node] > own_score
        ]
        self._own_region_rank = len(before)
        self._own_rank = sum(peer.distance.same_data_centre for peer in before)
        self._sources = sorted(
            near or alive,
            key=lambda peer: (not peer.has_lost_store, scores[peer.record.node]),
            reverse=True,
        )
