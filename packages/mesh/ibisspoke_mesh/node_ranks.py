"""Which nodes do a duty for others, by an order on which all nodes agree."""

import random
from typing import NamedTuple

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.rendezvous import score

from .fleet import Fleet, Peer

WATCH = "configuration"
RELAY = "status"
N_WATCHERS = 2  # of a data centre: one may be cut off from the store
N_RELAYS = 2  # of a data centre, on paths of their own: one may be cut off
REFRESH_MS = 250.0  # half of the interval between two statuses


class _Ranked(NamedTuple):
    score: tuple[bytes, str]
    peer: Peer


class NodeRanks:
    """Rank the nodes that are alive.

    Few nodes of each data centre wait for changes of the configuration, few of a region
    prove that it is current, and few pass statuses between data centres. The others
    learn from these, so that neither calls to the store nor bytes between data centres
    and regions grow with the square of the fleet.
    """

    def __init__(self, fleet: Fleet, clock: Clock, rng: random.Random) -> None:
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._refreshed_ms = float("-inf")
        self._watch_rank = 0
        self._prove_rank = 0
        self._relay_rank = 0
        self._sources: list[Peer] = []
        self._relays_by_data_centre: dict[str, list[Peer]] = {}

    def __repr__(self) -> str:
        return f"NodeRanks(watch={self._watch_rank}, relay={self._relay_rank})"

    @property
    def is_watcher(self) -> bool:
        """Whether this node waits for changes of the configuration."""
        self._refresh()
        return self._watch_rank < N_WATCHERS

    @property
    def prove_rank(self) -> int:
        """How many nodes of the region prove before this one does."""
        self._refresh()
        return self._prove_rank

    @property
    def sources(self) -> list[Peer]:
        """The nodes to ask for configuration and proof, the likeliest to know first.

        They are of this region if any of it is there.
        """
        self._refresh()
        return self._sources

    @property
    def relay_rank(self) -> int:
        """How many nodes of the data centre pass statuses before this one does."""
        self._refresh()
        return self._relay_rank

    @property
    def relays_by_data_centre(self) -> dict[str, list[Peer]]:
        """The nodes of each other data centre that pass statuses on there."""
        self._refresh()
        return self._relays_by_data_centre

    def _refresh(self) -> None:
        now_ms = self._clock.now_ms()
        own = self._fleet.own
        if own is None or now_ms - self._refreshed_ms < REFRESH_MS:
            return
        self._refreshed_ms = now_ms
        alive = [p for p in self._fleet.peers_by_id.values() if p.is_alive(now_ms)]
        self._rank_watchers(own.node, alive)
        self._rank_relays(own.node, alive)

    def _rank_watchers(self, own: str, alive: list[Peer]) -> None:
        near = [peer for peer in alive if peer.distance.same_region]
        ranked = _ranked(WATCH, near or alive)
        able = [one for one in ranked if not one.peer.has_lost_store]
        unable = [one for one in ranked if one.peer.has_lost_store]
        self._sources = [one.peer for one in able + unable]
        before = [o.peer for o in able if near and o.score > _score(WATCH, own)]
        self._prove_rank = len(before)
        self._watch_rank = sum(peer.distance.same_data_centre for peer in before)

    def _rank_relays(self, own: str, alive: list[Peer]) -> None:
        ranked = _ranked(RELAY, alive)
        self._relay_rank = sum(
            one.peer.distance.same_data_centre and one.score > _score(RELAY, own)
            for one in ranked
        )
        relays: dict[str, list[Peer]] = {}
        for one in ranked:
            if not one.peer.distance.same_data_centre:
                relays.setdefault(one.peer.record.data_centre, []).append(one.peer)
        for data_centre, silent in self._silent_by_data_centre().items():
            if data_centre not in relays:
                relays[data_centre] = [self._rng.choice(silent)]
        self._relays_by_data_centre = relays

    def _silent_by_data_centre(self) -> dict[str, list[Peer]]:
        """Return the nodes that may be back after a cut, when all are silent."""
        silent: dict[str, list[Peer]] = {}
        for peer in self._fleet.peers_by_id.values():
            if not peer.distance.same_data_centre:
                silent.setdefault(peer.record.data_centre, []).append(peer)
        return silent


def _score(topic: str, node: str) -> tuple[bytes, str]:
    return (score(topic, node), node)


def _ranked(topic: str, peers: list[Peer]) -> list[_Ranked]:
    """Return peers from the most to the least preferred for a duty."""
    ranked = [_Ranked(_score(topic, peer.record.node), peer) for peer in peers]
    ranked.sort(key=lambda one: one.score, reverse=True)
    return ranked
