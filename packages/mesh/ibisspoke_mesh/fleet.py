"""The other nodes and their upstreams, as this node knows them."""

import random
from collections.abc import Callable

import msgspec

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.route_profile import Pace, RouteProfiles
from ibisspoke_policy.upstream_choice import Candidate, Distance, choose
from ibisspoke_policy.upstream_life import UpstreamState
from ibisspoke_policy.upstream_queue import Load

from .decision_log import DecisionLog
from .frames import ConfigReply
from .peer_link import Origin, PeerLink
from .settings import NodeSettings

LOCAL_RTT_MS = 1.0  # two kernels and two event loops, without a network
REGION_RTT_MS = 3.0
FAR_RTT_MS = 42.0  # twice the delay between regions that the users state
SILENCE_MS = 1_700.0  # three status datagrams of the own data centre and some more
RELAYED_SILENCE_MS = 2_700.0  # of others, while a relay that has ended is replaced
UNHEARD_MS = 3_000.0  # a node that was never heard of is tried for that long


class MemberRecord(msgspec.Struct, frozen=True):
    """What a node tells of itself: a row of the store, and part of each status.

    :param incarnation: when the node started, in Unix milliseconds.
    :param revision: grows with each change in one incarnation.
    :param state: whether the node takes requests for its upstream.
    :param born_ms: when the upstream started, in Unix milliseconds.
    :param is_leaving: whether the upstream has said that it leaves; a later process
        of the same VM must not take it for ready.
    """

    node: str
    incarnation: int
    revision: int
    region: str
    data_centre: str
    link_port: int
    status_port: int
    service: str
    instance: str
    n_slots: int
    state: UpstreamState
    born_ms: int = 0
    is_leaving: bool = False

    @property
    def order(self) -> tuple[int, int]:
        """Sort key: a later record replaces an earlier one."""
        return (self.incarnation, self.revision)


class Peer:
    """Another node."""

    def __init__(
        self, record: MemberRecord, link: PeerLink, distance: Distance, now_ms: float
    ) -> None:
        self.record = record
        self.link = link
        self.distance = distance
        self.load = Load(0, 0, record.n_slots, 0.0, 0.0, ())
        self.pace = Pace()
        self.n_own_known = 0
        self.known_ms = now_ms
        self.heard_ms: float | None = None
        self.told_ms = 0.0
        self.cold_until_ms = 0.0
        self.has_lost_store = False

    def __repr__(self) -> str:
        return f"Peer({self.record.node!r}, {self.record.service!r})"

    def is_alive(self, now_ms: float) -> bool:
        """Return whether the node was heard of lately."""
        if self.heard_ms is None:
            return now_ms - self.known_ms < UNHEARD_MS
        is_direct = self.distance.same_data_centre
        bound_ms = SILENCE_MS if is_direct else RELAYED_SILENCE_MS
        return now_ms - self.heard_ms < bound_ms

    def heard(self, now_ms: float) -> None:
        """Note a sign of life."""
        self.heard_ms = now_ms

    def take_load(self, load: Load, told_ms: float) -> None:
        """Take in the load that the node told at a moment."""
        self.load = load
        self.n_own_known = self.link.n_pending
        self.heard_ms = told_ms


class Fleet:
    """All other nodes by id.

    :param own_load: returns the load of this node's upstream.
    :param on_config: called with a configuration that another node sent.
    """

    def __init__(
        self,
        settings: NodeSettings,
        origin: Origin,
        clock: Clock,
        log: DecisionLog,
        rng: random.Random,
        on_config: Callable[[ConfigReply], None],
    ) -> None:
        self.peers_by_id: dict[str, Peer] = {}
        self._peers_by_service: dict[str, dict[str, Peer]] = {}
        self.own: MemberRecord | None = None
        self.profiles = RouteProfiles()
        self._own_pace = Pace()
        self.own_load: Callable[[], Load] = lambda: Load(0, 0, 0, 0.0, 0.0, ())
        self.own_cold_until_ms = 0.0
        self._settings = settings
        self._origin = origin
        self._clock = clock
        self._log = log
        self._rng = rng
        self._on_config = on_config

    def __repr__(self) -> str:
        return f"Fleet(n_peers={len(self.peers_by_id)})"

    def learn(self, record: MemberRecord) -> Peer | None:
        """Take in a record of a node, from the store or from the node itself."""
        if record.node == self._settings.host:
            return None
        peer = self.peers_by_id.get(record.node)
        if peer is not None and record.order <= peer.record.order:
            return peer
        if peer is not None and record.incarnation == peer.record.incarnation:
            if peer.record.instance != record.instance:
                peer.load = Load(0, 0, record.n_slots, 0.0, 0.0, ())
            self._log_change(record, peer.record)
            self._remove(peer)
            peer.record = record
            self._add(peer)
            return peer
        if peer is not None:
            self._remove(peer)
            peer.link.close()
        peer = self._new_peer(record)
        self._add(peer)
        self._log_change(record, None)
        return peer

    def forget(self, node: str) -> None:
        """Drop a node whose row was removed."""
        peer = self.peers_by_id.get(node)
        if peer is None or peer.is_alive(self._clock.now_ms()):
            return
        self._remove(peer)
        peer.link.close()
        self._log.write("node forgotten", peer=node)

    def choose(
        self, service: str, route: str, objective_ms: float, excluded: set[str]
    ) -> MemberRecord | None:
        """Return the node whose upstream should serve a request."""
        now_ms = self._clock.now_ms()
        peers = self._reachable(service, excluded, now_ms)
        own = self.own
        serves = own is not None and _serves(own, service) and own.node not in excluded
        sound = [peer for peer in peers if not peer.link.is_suspect]
        candidates = [
            Candidate(
                peer.record.node,
                peer.distance,
                peer.load,
                peer.link.n_pending,
                peer.n_own_known,
                peer.cold_until_ms > now_ms,
                peer.pace.at(now_ms),
            )
            for peer in (sound if sound or serves else peers)
        ]
        if own is not None and serves:
            distance = Distance(True, True, LOCAL_RTT_MS)
            is_cold = self.own_cold_until_ms > now_ms
            load = self.own_load()
            pace = self._own_pace.at(now_ms)
            candidates.append(Candidate(own.node, distance, load, 0, 0, is_cold, pace))
        chosen = choose(candidates, self.profiles.of(route), objective_ms, self._rng)
        if chosen is None:
            return None
        if own is not None and chosen.id == own.node:
            return own
        return self.peers_by_id[chosen.id].record

    def _reachable(self, service: str, excluded: set[str], now_ms: float) -> list[Peer]:
        """Return the nodes of a service whose upstream takes requests."""
        return [
            peer
            for peer in self._peers_by_service.get(service, {}).values()
            if peer.record.state is UpstreamState.READY
            and peer.record.node not in excluded
            and peer.link.unreachable_until_ms <= now_ms
            and peer.is_alive(now_ms)
        ]

    def note_answer(self, node: str, route: str, took_ms: float, n_bytes: int) -> None:
        """Learn from an answer of a node's upstream.

        :param n_bytes: of the request and its answer.
        """
        peer = self.peers_by_id.get(node)
        pace = peer.pace if peer is not None else self._own_pace
        now_ms = self._clock.now_ms()
        profile = self.profiles.of(route)
        if peer is not None:
            took_ms = max(1.0, took_ms - peer.distance.rtt_ms)
        profile.add(took_ms, pace.at(now_ms) or 1.0, n_bytes)
        pace.add(took_ms, profile.usual_ms, now_ms)

    def pressure(self, service: str, route: str) -> float:
        """Return the share of a route's requests that starve deeper down.

        Upstreams count by what they run, so that idle ones do not hide the others.
        """
        now_ms = self._clock.now_ms()
        loads = [
            peer.load
            for peer in self._peers_by_service.get(service, {}).values()
            if peer.record.state is UpstreamState.READY and peer.is_alive(now_ms)
        ]
        if self.own is not None and _serves(self.own, service):
            loads.append(self.own_load())
        total = starved = 0.0
        for load in loads:
            weight = load.n_running + 1.0
            total += weight
            for name, share in load.pressures:
                if name == route:
                    starved += weight * share
        return starved / total if total else 0.0

    def tick(self) -> None:
        """Look after the links."""
        for peer in self.peers_by_id.values():
            peer.link.tick()

    def close(self) -> None:
        """Close all links."""
        for peer in self.peers_by_id.values():
            peer.link.close()

    def _add(self, peer: Peer) -> None:
        node, service = peer.record.node, peer.record.service
        self.peers_by_id[node] = peer
        self._peers_by_service.setdefault(service, {})[node] = peer

    def _remove(self, peer: Peer) -> None:
        node, service = peer.record.node, peer.record.service
        del self.peers_by_id[node]
        del self._peers_by_service[service][node]
        if not self._peers_by_service[service]:
            del self._peers_by_service[service]

    def _new_peer(self, record: MemberRecord) -> Peer:
        settings = self._settings
        same_zone = record.data_centre == settings.data_centre
        same_region = record.region == settings.region
        rtt_ms = LOCAL_RTT_MS if same_zone else REGION_RTT_MS
        distance = Distance(
            same_zone, same_region, rtt_ms if same_region else FAR_RTT_MS
        )

        def on_load(load: Load) -> None:
            peer.take_load(load, self._clock.now_ms())

        link = PeerLink(
            record.node,
            record.node,
            record.link_port,
            distance.rtt_ms,
            self._origin,
            self._clock,
            self._log,
            on_load,
            self._on_config,
        )
        peer = Peer(record, link, distance, self._clock.now_ms())
        return peer

    def _log_change(self, record: MemberRecord, old: MemberRecord | None) -> None:
        self._log.write(
            "node found" if old is None else "node changed",
            peer=record.node,
            service=record.service,
            state=record.state,
            instance=record.instance,
            revision=record.revision,
        )


def _serves(record: MemberRecord, service: str) -> bool:
    return record.service == service and record.state is UpstreamState.READY
