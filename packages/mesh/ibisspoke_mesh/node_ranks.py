"""Selection of the nodes that serve as watchers and relays, the same on all nodes."""

import random
from collections.abc import Iterable, Iterator
from itertools import islice

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.rendezvous import ranked, score

from .fleet import Fleet
from .peer import Peer

WATCH_TOPIC = "configuration"
RELAY_TOPIC = "status"
N_WATCHERS = 3  # per region; some may fail or lose their connection to the store
GATEWAY_TOPIC = "gateway"
N_RELAYS = 2  # per data centre, to different nodes; one may be disconnected
REFRESH_MS = 250.0  # half of the status interval
MAX_RANK = 6  # higher ranks are not told apart
# Of a region; if all of them lose the store, it is down, and the others need not try.
N_CANDIDATES = 10
N_SOURCES = N_WATCHERS  # preferred nodes to ask for the configuration
SOURCE_TRIES = 8  # to find another one that is alive

Score = tuple[bytes, str]


class NodeRanks:
    """Ranks the nodes that are alive.

    A few nodes of each region watch the configuration in the store and verify that it
    is current, and a few of each data centre relay statuses. The others rely on these,
    so that neither calls to the store nor traffic grow with the square of the fleet
    size.

    The orders of nodes are kept until nodes join or leave, and only their first entries
    are read, so that the cost of a refresh does not grow with the fleet.
    """

    def __init__(self, fleet: Fleet, clock: Clock, rng: random.Random) -> None:
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._refreshed_ms = float("-inf")
        self._n_ordered_changes = -1
        self._region_order: list[Peer] = []
        self._fleet_order: list[Peer] = []
        self._order_by_data_centre: dict[str, list[Peer]] = {}
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
        """Number of nodes of the region that verify the configuration first.

        At most :data:`MAX_RANK`.
        """
        self._refresh()
        return self._verify_rank

    @property
    def sources(self) -> list[Peer]:
        """A few nodes to ask for configuration and proof, the preferred ones first.

        They are of this region if any node of it is alive.
        """
        self._refresh()
        return self._sources

    def random_source(self) -> Peer | None:
        """Return a node to ask that is not among the preferred ones."""
        now_ms = self._clock.now_ms()
        order = self._region_order or self._fleet_order
        for _ in range(SOURCE_TRIES if order else 0):
            peer = self._rng.choice(order)
            if peer.is_alive(now_ms) and peer not in self._sources:
                return peer
        return None

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
        self._order_peers()
        self._rank_watchers(own.node, now_ms)
        self._rank_relays(own.node, now_ms)
        self._choose_targets(now_ms)

    def _order_peers(self) -> None:
        """Order the nodes by preference, if any joined or left."""
        fleet = self._fleet
        if self._n_ordered_changes == fleet.n_membership_changes:
            return
        self._n_ordered_changes = fleet.n_membership_changes
        self._fleet_order = _ordered(WATCH_TOPIC, fleet.peers_by_id.values())
        self._region_order = [
            peer for peer in self._fleet_order if peer.distance.same_region
        ]
        self._order_by_data_centre = {
            name: _ordered(RELAY_TOPIC, fleet.data_centre_peers(name))
            for name in fleet.data_centres
        }

    def _rank_watchers(self, own: str, now_ms: float) -> None:
        connected: list[Peer] = []
        disconnected: list[Peer] = []
        n_preceding = self._verify_rank = 0
        own_score = _score(WATCH_TOPIC, own)
        for peer in islice(_alive(self._region_order, now_ms), N_CANDIDATES):
            precedes = _score(WATCH_TOPIC, peer.record.node) > own_score
            n_preceding += precedes
            if peer.has_lost_store:
                disconnected.append(peer)
                continue
            self._verify_rank += precedes
            connected.append(peer)
        if n_preceding == N_CANDIDATES or self._verify_rank > MAX_RANK:
            self._verify_rank = MAX_RANK
        if not connected and not disconnected:
            for peer in _alive(self._fleet_order, now_ms):
                target = disconnected if peer.has_lost_store else connected
                target.append(peer)
                if len(connected) >= N_SOURCES:
                    break
        self._sources = (connected + disconnected)[:N_SOURCES]

    def _rank_relays(self, own: str, now_ms: float) -> None:
        """Find the relays of the own data centre, and this node's rank among them.

        A relay that sends no digests is passed over.
        """
        since_ms_by_node: dict[str, float] = {}
        relays: list[Peer] = []
        own_rank = 0
        own_score = _score(RELAY_TOPIC, own)
        near = self._order_by_data_centre.get(self._own_data_centre, [])
        for peer in _alive(near, now_ms):
            if len(relays) >= N_RELAYS:
                break
            node = peer.record.node
            since_ms = self._relay_since_ms_by_node.get(node, now_ms)
            since_ms_by_node[node] = since_ms
            if now_ms - max(since_ms, peer.digest_ms) > self._fleet.timeouts.relay_ms:
                continue
            relays.append(peer)
            own_rank += _score(RELAY_TOPIC, node) > own_score
        self._relay_since_ms_by_node = since_ms_by_node
        self._relays, self._relay_rank = relays, own_rank

    @property
    def _own_data_centre(self) -> str:
        assert self._fleet.own is not None
        return self._fleet.own.data_centre

    def _choose_targets(self, now_ms: float) -> None:
        """Choose the nodes of other data centres to send digests to.

        If none of a data centre is alive, any of its nodes is tried, since the network
        may be connected again.
        """
        own = self._fleet.own
        assert own is not None
        targets_by_region: dict[str, dict[str, Peer]] = {}
        reachable: set[str] = set()
        for name, order in self._order_by_data_centre.items():
            if name == own.data_centre:
                continue
            target = self._target(order, now_ms)
            if target is None:
                target = self._rng.choice(order)
            else:
                reachable.add(name)
            targets_by_region.setdefault(target.record.region, {})[name] = target
        self._region_targets = list(targets_by_region.pop(own.region, {}).items())
        self._other_region_targets = []
        for targets in targets_by_region.values():
            names = [name for name in targets if name in reachable]
            if names:
                name = ranked(f"{GATEWAY_TOPIC}/{own.data_centre}", names)[0]
            else:
                name = self._rng.choice(list(targets))
            self._other_region_targets.append((name, targets[name]))

    def _target(self, order: list[Peer], now_ms: float) -> Peer | None:
        """Return the alive node of the same rank as this one, or the last one."""
        target = None
        for rank, peer in enumerate(_alive(order, now_ms)):
            target = peer
            if rank == min(self._relay_rank, N_RELAYS - 1):
                break
        return target


def _alive(order: list[Peer], now_ms: float) -> Iterator[Peer]:
    return (peer for peer in order if peer.is_alive(now_ms))


def _score(topic: str, node: str) -> Score:
    return (score(topic, node), node)


def _ordered(topic: str, peers: Iterable[Peer]) -> list[Peer]:
    """Return peers from the most to the least preferred for a role."""
    return sorted(peers, key=lambda peer: _score(topic, peer.record.node), reverse=True)
