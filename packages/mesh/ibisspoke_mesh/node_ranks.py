"""Selection of the nodes that serve as watchers and relays, the same on all nodes."""

import random
from functools import lru_cache
from typing import NamedTuple

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.rendezvous import ranked, score

from .fleet import Fleet, Peer

WATCH_TOPIC = "configuration"
RELAY_TOPIC = "status"
N_WATCHERS = 3  # per region; some may fail or lose their connection to the store
GATEWAY_TOPIC = "gateway"
N_RELAYS = 2  # per data centre, to different nodes; one may be disconnected
RELAY_TIMEOUT_MS = (
    1_200.0  # without a digest; before the other nodes seem to have failed
)
REFRESH_MS = 250.0  # half of the status interval
MAX_SCORES = 20_000  # cached; a few for each node


class _Ranked(NamedTuple):
    score: tuple[bytes, str]
    peer: Peer


class NodeRanks:
    """Ranks the nodes that are alive.

    A few nodes of each region watch the configuration in the store and verify that it
    is current, and a few of each data centre relay statuses. The others rely on these,
    so that neither calls to the store nor traffic grow with the square of the fleet
    size.
    """

    def __init__(self, fleet: Fleet, clock: Clock, rng: random.Random) -> None:
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._refreshed_ms = float("-inf")
        self._verify_rank = 0
        self._relay_rank = 0
        self._sources: list[Peer] = []
        self._relays: list[Peer] = []
        self._relay_since_ms_by_node: dict[str, float] = {}
        self._region_targets: list[tuple[str, Peer]] = []
        self._other_region_targets: list[tuple[str, Peer]] = []

    def __repr__(self) -> str:
        return f"NodeRanks(verify={self._verify_rank}, relay={self._relay_rank})"

    @property
    def is_watcher(self) -> bool:
        """Whether this node watches the configuration in the store."""
        return self.verify_rank < N_WATCHERS

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
    def relays(self) -> list[Peer]:
        """The other nodes of the data centre that are its relays."""
        self._refresh()
        return self._relays

    @property
    def region_targets(self) -> list[tuple[str, Peer]]:
        """The other data centres of the region, each with a node to send digests to."""
        self._refresh()
        return self._region_targets

    @property
    def other_region_targets(self) -> list[tuple[str, Peer]]:
        """A data centre of each other region, with a node to send digests to."""
        self._refresh()
        return self._other_region_targets

    def _refresh(self) -> None:
        now_ms = self._clock.now_ms()
        own = self._fleet.own
        if own is None or now_ms - self._refreshed_ms < REFRESH_MS:
            return
        self._refreshed_ms = now_ms
        alive = [p for p in self._fleet.peers_by_id.values() if p.is_alive(now_ms)]
        self._rank_watchers(own.node, alive)
        self._rank_relays(own.node, now_ms)
        self._choose_targets(alive)

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

    def _rank_relays(self, own: str, now_ms: float) -> None:
        """Find the relays of the own data centre, and this node's rank among them.

        A relay that sends no digests is passed over.
        """
        since_ms_by_node: dict[str, float] = {}
        relays: list[Peer] = []
        own_rank = 0
        alive = [p for p in self._fleet.own_data_centre_peers() if p.is_alive(now_ms)]
        for _, peer in _ranked(RELAY_TOPIC, alive):
            if len(relays) >= N_RELAYS:
                break
            node = peer.record.node
            since_ms = self._relay_since_ms_by_node.get(node, now_ms)
            since_ms_by_node[node] = since_ms
            if now_ms - max(since_ms, peer.digest_ms) > RELAY_TIMEOUT_MS:
                continue
            relays.append(peer)
            own_rank += _score(RELAY_TOPIC, node) > _score(RELAY_TOPIC, own)
        self._relay_since_ms_by_node = since_ms_by_node
        self._relays, self._relay_rank = relays, own_rank

    def _choose_targets(self, alive: list[Peer]) -> None:
        """Choose the nodes of other data centres to send digests to.

        If none of a data centre is alive, any of its nodes is tried, since the network
        may be connected again.
        """
        alive_by_data_centre: dict[str, list[Peer]] = {}
        for peer in alive:
            name = peer.record.data_centre
            alive_by_data_centre.setdefault(name, []).append(peer)
        own = self._fleet.own
        assert own is not None
        targets_by_region: dict[str, list[tuple[str, Peer]]] = {}
        for name in self._fleet.data_centres:
            if name == own.data_centre:
                continue
            peers = _ranked(RELAY_TOPIC, alive_by_data_centre.get(name, []))
            if peers:
                target = peers[min(self._relay_rank, len(peers) - 1)].peer
            else:
                target = self._rng.choice(self._fleet.data_centre_peers(name))
            region = target.record.region
            targets_by_region.setdefault(region, []).append((name, target))
        self._region_targets = targets_by_region.pop(own.region, [])
        self._other_region_targets = []
        for targets in targets_by_region.values():
            by_name = dict(targets)
            reachable = [name for name in by_name if name in alive_by_data_centre]
            names = ranked(f"{GATEWAY_TOPIC}/{own.data_centre}", reachable or by_name)
            name = names[0] if reachable else self._rng.choice(names)
            self._other_region_targets.append((name, by_name[name]))


@lru_cache(maxsize=MAX_SCORES)
def _score(topic: str, node: str) -> tuple[bytes, str]:
    return (score(topic, node), node)


def _ranked(topic: str, peers: list[Peer]) -> list[_Ranked]:
    """Return peers from the most to the least preferred for a role."""
    ranked = [_Ranked(_score(topic, peer.record.node), peer) for peer in peers]
    ranked.sort(key=lambda entry: entry.score, reverse=True)
    return ranked
