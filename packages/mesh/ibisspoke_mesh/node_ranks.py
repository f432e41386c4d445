"""Selection of the nodes that serve as watchers and relays, the same on all nodes."""

import random
from typing import NamedTuple

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.rendezvous import score

from .fleet import Fleet, Peer

WATCH_TOPIC = "configuration"
RELAY_TOPIC = "status"
N_WATCHERS = 2  # per data centre; one may lose its connection to the store
N_RELAYS = 2  # per data centre, to different nodes; one may be disconnected
REFRESH_MS = 250.0  # half of the status interval


class _Ranked(NamedTuple):
    score: tuple[bytes, str]
    peer: Peer


class NodeRanks:
    """Ranks the nodes that are alive.

    A few nodes of each data centre watch the configuration in the store, a few of each
    region verify that it is current, and a few relay statuses between data centres. The
    others rely on these, so that neither calls to the store nor traffic between data
    centres and regions grow with the square of the fleet size.
    """

    def __init__(self, fleet: Fleet, clock: Clock, rng: random.Random) -> None:
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._refreshed_ms = float("-inf")
        self._watch_rank = 0
        self._verify_rank = 0
        self._relay_rank = 0
        self._sources: list[Peer] = []
        self._relays_by_data_centre: dict[str, list[Peer]] = {}

    def __repr__(self) -> str:
        return f"NodeRanks(watch={self._watch_rank}, relay={self._relay_rank})"

    @property
    def is_watcher(self) -> bool:
        """Whether this node watches the configuration in the store."""
        self._refresh()
        return self._watch_rank < N_WATCHERS

    @property
    def verify_rank(self) -> int:
        """Number of nodes of the region that verify the configuration first."""
        self._refresh()
        return self._verify_rank

    @property
    def sources(self) -> list[Peer]:
        """Nodes to ask for configuration and proof, the preferred ones first.

        They are of this region if any node of it is alive.
        """
        self._refresh()
        return self._sources

    @property
    def relay_rank(self) -> int:
        """Number of nodes of the data centre that precede this one as relays."""
        self._refresh()
        return self._relay_rank

    @property
    def relays_by_data_centre(self) -> dict[str, list[Peer]]:
        """Nodes of each other data centre to send digests to, by relay rank."""
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
        in_region = [peer for peer in alive if peer.distance.same_region]
        ranked = _ranked(WATCH_TOPIC, in_region or alive)
        connected = [entry for entry in ranked if not entry.peer.has_lost_store]
        disconnected = [entry for entry in ranked if entry.peer.has_lost_store]
        self._sources = [entry.peer for entry in connected + disconnected]
        preceding = [
            entry.peer
            for entry in connected
            if in_region and entry.score > _score(WATCH_TOPIC, own)
        ]
        self._verify_rank = len(preceding)
        self._watch_rank = sum(peer.distance.same_data_centre for peer in preceding)

    def _rank_relays(self, own: str, alive: list[Peer]) -> None:
        ranked = _ranked(RELAY_TOPIC, alive)
        self._relay_rank = sum(
            entry.peer.distance.same_data_centre
            and entry.score > _score(RELAY_TOPIC, own)
            for entry in ranked
        )
        relays: dict[str, list[Peer]] = {}
        for entry in ranked:
            if not entry.peer.distance.same_data_centre:
                relays.setdefault(entry.peer.record.data_centre, []).append(entry.peer)
        for data_centre, peers in self._peers_by_data_centre().items():
            if data_centre not in relays:
                relays[data_centre] = [self._rng.choice(peers)]
        self._relays_by_data_centre = relays

    def _peers_by_data_centre(self) -> dict[str, list[Peer]]:
        """Return all known nodes of other data centres, alive or not.

        One of them is tried if none of its data centre is alive, since the network may
        be connected again.
        """
        peers: dict[str, list[Peer]] = {}
        for peer in self._fleet.peers_by_id.values():
            if not peer.distance.same_data_centre:
                peers.setdefault(peer.record.data_centre, []).append(peer)
        return peers


def _score(topic: str, node: str) -> tuple[bytes, str]:
    return (score(topic, node), node)


def _ranked(topic: str, peers: list[Peer]) -> list[_Ranked]:
    """Return peers from the most to the least preferred for a role."""
    ranked = [_Ranked(_score(topic, peer.record.node), peer) for peer in peers]
    ranked.sort(key=lambda entry: entry.score, reverse=True)
    return ranked
