"""This node's view of the other nodes and their upstreams."""

import ipaddress
import random
from collections.abc import Callable

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.route_profile import Pace, RouteProfiles
from ibisspoke_policy.route_table import Regions
from ibisspoke_policy.upstream_choice import Candidate, Distance, choose, sample
from ibisspoke_policy.upstream_queue import Load
from ibisspoke_policy.vm_pace import slowdown

from .decision_log import DecisionLog
from .frames import ConfigReply
from .member_record import MemberRecord
from .memory_budget import MemoryBudget
from .peer import Peer
from .peer_link import NodeIncarnation, PeerLink
from .settings import NodeSettings
from .status_timeouts import StatusTimeouts

LOCAL_RTT_MS = 1.0  # within a data centre; mostly two kernels and two event loops
REGION_RTT_MS = 3.0
OTHER_REGION_RTT_MS = 42.0  # twice the one-way delay between regions that users state
PRESSURE_VALIDITY_MS = 50.0  # shorter than the shedding steps that depend on it
MAX_PRESSURE_ROUTES = 1_000
# Of a record, the time of its node's start; in the year 3084. Clocks may be wrong, but
# a node must be able to replace a record under its key by a later one.
MAX_INCARNATION_MS = 2**45
BROADCAST = ipaddress.ip_address("255.255.255.255")


_PressureKey = tuple[str, str, Regions | None]


class Fleet:
    """All other nodes, by id.

    :ivar n_membership_changes: how often a node was added, removed or replaced.
    :ivar on_superseded: called with a record of this node that is later than its own.
    :ivar has_vm_paces: whether any upstream has reported the pace of its VM, as those
        do that share their VMs with other programs.
    :ivar own_load: returns the load of this node's upstream.
    :param on_config: called with a configuration that another node sent.
    """

    def __init__(
        self,
        settings: NodeSettings,
        own_incarnation: NodeIncarnation,
        clock: Clock,
        log: DecisionLog,
        rng: random.Random,
        on_config: Callable[[ConfigReply], None],
        memory: MemoryBudget | None = None,
    ) -> None:
        self._memory = MemoryBudget() if memory is None else memory
        self.peers_by_id: dict[str, Peer] = {}
        self.n_membership_changes = 0
        self.timeouts = StatusTimeouts()
        self._peers_by_service: dict[str, dict[str, Peer]] = {}
        self._peers_by_data_centre: dict[str, list[Peer]] = {}
        self._groups_by_service: dict[str, list[list[Peer]]] = {}
        self._waiting_links: set[PeerLink] = set()
        self._pressure_by_route: dict[_PressureKey, tuple[float, float]] = {}
        self.own: MemberRecord | None = None
        self.profiles = RouteProfiles()
        self._own_pace = Pace()
        self.on_superseded: Callable[[MemberRecord], None] = lambda _: None
        self.own_load: Callable[[], Load] = lambda: Load(0, 0, 0, 0.0, 0.0, ())
        self.own_vm_pace: Callable[[], float] = lambda: 0.0
        self.has_vm_paces = False
        self.own_cold_until_ms = 0.0
        self._settings = settings
        self._ip_version = ipaddress.ip_address(settings.host).version
        self._own_incarnation = own_incarnation
        self._clock = clock
        self._log = log
        self._rng = rng
        self._on_config = on_config

    def __repr__(self) -> str:
        return f"Fleet(n_peers={len(self.peers_by_id)})"

    @property
    def data_centres(self) -> list[str]:
        """Data centres of the other nodes."""
        return list(self._peers_by_data_centre)

    @property
    def regions(self) -> set[str]:
        """Regions of all known nodes, and of this one."""
        regions = {peer.record.region for peer in self.peers_by_id.values()}
        return regions | {self._settings.region}

    def data_centre_peers(self, data_centre: str) -> list[Peer]:
        """Return the other nodes of a data centre."""
        return self._peers_by_data_centre.get(data_centre, [])

    def own_data_centre_peers(self) -> list[Peer]:
        """Return the other nodes of this node's data centre."""
        return self.data_centre_peers(self._settings.data_centre)

    def record_of(self, node: str) -> MemberRecord | None:
        """Return the record of a node, which may be this one."""
        if self.own is not None and node == self.own.node:
            return self.own
        peer = self.peers_by_id.get(node)
        return peer.record if peer is not None else None

    def order_of(self, node: str) -> tuple[int, int] | None:
        """Return the sort key of a node's record, or None if it is not known."""
        record = self.record_of(node)
        return record.order if record is not None else None

    def is_own(self, record: MemberRecord) -> bool:
        """Return whether a record is of this node."""
        return record.node == self._settings.host

    def fault_of(self, record: MemberRecord) -> str | None:
        """Return why a record cannot be used, or None if it can."""
        if record.incarnation > MAX_INCARNATION_MS:
            return f"its incarnation is far in the future: {record.incarnation}"
        address = ipaddress.ip_address(record.node)
        if address.version != self._ip_version:
            return "its address is of another family"
        is_broad = address.is_multicast or address == BROADCAST
        if "%" in record.node or address.is_unspecified or is_broad:
            return "its address is not that of one node"
        return None

    def update_record(self, record: MemberRecord) -> Peer | None:
        """Add or update a node by a record from the store or from a node.

        The departures of both records are kept, since the node may have restarted
        without knowing of them.

        :returns: the node, or None if the record is this node's own or cannot be used.
        """
        known = self.record_of(record.node)
        is_later = known is None or record.order > known.order
        fault = self.fault_of(record) if is_later else None
        if fault is not None:
            self._log.write("record unusable", peer=record.node, detail=fault)
            return None
        if self.is_own(record):
            if known is not None and is_later:
                self.on_superseded(record)
            return None
        peer = self.peers_by_id.get(record.node)
        if peer is not None:
            record = record.with_departures(peer.record.all_departures)
        if peer is not None and record.order <= peer.record.order:
            peer.record = peer.record.with_departures(record.departures)
            return peer
        if peer is not None and record.incarnation == peer.record.incarnation:
            if peer.record.instance != record.instance:
                peer.load = Load(0, 0, record.n_slots, 0.0, 0.0, ())
            self._log_change(record, peer.record)
            self._replace_record(peer, record)
            return peer
        earlier_incarnation = 0
        if peer is not None:
            earlier_incarnation = peer.heard_incarnation
            self._remove(peer)
            peer.link.close()
        peer = self._new_peer(record)
        peer.earlier_incarnation = earlier_incarnation
        self._add(peer)
        self._log_change(record, None)
        return peer

    def remove_node(self, node: str) -> None:
        """Remove a node whose row was removed, unless it is alive."""
        peer = self.peers_by_id.get(node)
        if peer is None or peer.is_alive(self._clock.now_ms()):
            return
        self._remove(peer)
        peer.link.close()
        self._log.write("node forgotten", peer=node)

    def choose(
        self,
        service: str,
        route: str,
        objective_ms: float,
        excluded: set[str],
        regions: Regions | None = None,
    ) -> MemberRecord | None:
        """Return the record of the node that should run a request, or None.

        :param regions: where it may run; None for all regions.
        """
        now_ms = self._clock.now_ms()
        own = self.own
        serves = (
            own is not None
            and _serves(own, service, regions)
            and own.node not in excluded
        )
        peers = self._sample(service, excluded, regions, now_ms, is_fallback=False)
        if not peers and not serves:
            peers = self._sample(service, excluded, regions, now_ms, is_fallback=True)
        candidates = [
            Candidate(
                peer.record.node,
                peer.distance,
                peer.load,
                peer.link.n_pending,
                peer.n_pending_at_report,
                peer.cold_until_ms > now_ms,
                peer.pace.at(now_ms),
                peer.vm_pace.at(now_ms),
            )
            for peer in peers
        ]
        if own is not None and serves:
            distance = Distance(True, True, LOCAL_RTT_MS)
            is_cold = self.own_cold_until_ms > now_ms
            load = self.own_load()
            pace = self._own_pace.at(now_ms)
            vm_pace = self.own_vm_pace()
            candidates.append(
                Candidate(own.node, distance, load, 0, 0, is_cold, pace, vm_pace)
            )
        chosen = choose(candidates, self.profiles.of(route), objective_ms, self._rng)
        if chosen is None:
            return None
        if own is not None and chosen.id == own.node:
            return own
        return self.peers_by_id[chosen.id].record

    def _sample(
        self,
        service: str,
        excluded: set[str],
        regions: Regions | None,
        now_ms: float,
        is_fallback: bool,
    ) -> list[Peer]:
        """Return a few random nodes of a service whose upstream accepts requests.

        :param is_fallback: whether to include nodes that may have failed, and upstreams
            that accept nothing at the moment.
        """

        def is_usable(peer: Peer) -> bool:
            return (
                peer.record.is_ready
                and peer.record.node not in excluded
                and peer.link.unreachable_until_ms <= now_ms
                and peer.is_alive(now_ms)
                and (is_fallback or (peer.load.limit > 0 and not peer.link.is_suspect))
            )

        if regions is None:
            return sample(self._groups(service), is_usable, self._rng)

        def is_allowed(peer: Peer) -> bool:
            return peer.record.region in regions and is_usable(peer)

        return sample(self._groups(service), is_allowed, self._rng)

    def _groups(self, service: str) -> list[list[Peer]]:
        """Return the nodes of a service by distance, the nearest ones first."""
        groups = self._groups_by_service.get(service)
        if groups is None:
            by_place: dict[tuple[bool, bool], list[Peer]] = {}
            for peer in self._peers_by_service.get(service, {}).values():
                place = (peer.distance.same_data_centre, peer.distance.same_region)
                by_place.setdefault(place, []).append(peer)
            groups = [by_place[place] for place in sorted(by_place, reverse=True)]
            self._groups_by_service[service] = groups
        return groups

    def record_response(
        self, node: str, route: str, running_ms: float, n_bytes: int
    ) -> None:
        """Update route and node statistics by a response of a node's upstream.

        They hold the times at the usual pace of its VM, of which the choice of an
        upstream takes a multiple.

        :param running_ms: how long the request ran at the upstream.
        :param n_bytes: size of the request and its response.
        """
        peer = self.peers_by_id.get(node)
        pace = peer.pace if peer is not None else self._own_pace
        now_ms = self._clock.now_ms()
        profile = self.profiles.of(route)
        vm_pace = peer.vm_pace.at(now_ms) if peer is not None else self.own_vm_pace()
        self.has_vm_paces |= vm_pace > 0.0
        running_ms = max(1.0, running_ms / slowdown(vm_pace))
        profile.add(running_ms, pace.at(now_ms) or 1.0, n_bytes)
        pace.add(running_ms, profile.median_ms, now_ms)

    def pace_of(self, node: str) -> tuple[float | None, float]:
        """Return the recent pace of a node's upstream, and the round trip time."""
        now_ms = self._clock.now_ms()
        peer = self.peers_by_id.get(node)
        if peer is None:
            return self._own_pace.at(now_ms), LOCAL_RTT_MS
        return peer.pace.at(now_ms), peer.distance.rtt_ms

    def is_full(self, node: str) -> bool:
        """Return whether a request sent to a node has to wait for a slot."""
        peer = self.peers_by_id.get(node)
        load = peer.load if peer is not None else self.own_load()
        return load.n_queued > 0 or load.n_running >= load.limit

    def pressure(
        self, service: str, route: str, regions: Regions | None = None
    ) -> float:
        """Return the share of a route's requests that starve downstream.

        Upstreams are weighted by their running requests, so that idle ones do not hide
        the overload of others.

        :param regions: of the upstreams to consider; None for all regions.
        """
        now_ms = self._clock.now_ms()
        key = (service, route, regions)
        pressure, computed_ms = self._pressure_by_route.get(key, (0.0, float("-inf")))
        if now_ms - computed_ms >= PRESSURE_VALIDITY_MS:
            pressure = self._current_pressure(service, route, regions, now_ms)
            if len(self._pressure_by_route) >= MAX_PRESSURE_ROUTES:
                self._pressure_by_route.clear()
            self._pressure_by_route[key] = (pressure, now_ms)
        return pressure

    def _current_pressure(
        self, service: str, route: str, regions: Regions | None, now_ms: float
    ) -> float:
        loads = [
            peer.load
            for peer in self._peers_by_service.get(service, {}).values()
            if peer.record.is_ready
            and peer.is_alive(now_ms)
            and (regions is None or peer.record.region in regions)
        ]
        if self.own is not None and _serves(self.own, service, regions):
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
        """Check the timeouts of all links in use."""
        for link in list(self._waiting_links):
            link.tick()
            if not link.is_waiting:
                self._waiting_links.discard(link)

    def close(self) -> None:
        """Close all links."""
        for peer in self.peers_by_id.values():
            peer.link.close()

    def _replace_record(self, peer: Peer, record: MemberRecord) -> None:
        if record.service == peer.record.service:
            peer.record = record
            return
        self._remove(peer)
        peer.record = record
        self._add(peer)

    def _add(self, peer: Peer) -> None:
        node, service = peer.record.node, peer.record.service
        self.peers_by_id[node] = peer
        self.n_membership_changes += 1
        self._peers_by_service.setdefault(service, {})[node] = peer
        self._groups_by_service.pop(service, None)
        data_centre = peer.record.data_centre
        self._peers_by_data_centre.setdefault(data_centre, []).append(peer)
        self._update_timeouts()

    def _remove(self, peer: Peer) -> None:
        node, service = peer.record.node, peer.record.service
        del self.peers_by_id[node]
        self.n_membership_changes += 1
        del self._peers_by_service[service][node]
        self._groups_by_service.pop(service, None)
        if not self._peers_by_service[service]:
            del self._peers_by_service[service]
        data_centre = peer.record.data_centre
        self._peers_by_data_centre[data_centre].remove(peer)
        if not self._peers_by_data_centre[data_centre]:
            del self._peers_by_data_centre[data_centre]
        self._update_timeouts()

    def _update_timeouts(self) -> None:
        n_near = len(self.own_data_centre_peers())
        self.timeouts.set_sizes(n_near, len(self.peers_by_id) - n_near)

    def _new_peer(self, record: MemberRecord) -> Peer:
        settings = self._settings
        same_data_centre = record.data_centre == settings.data_centre
        same_region = record.region == settings.region
        rtt_ms = LOCAL_RTT_MS if same_data_centre else REGION_RTT_MS
        distance = Distance(
            same_data_centre,
            same_region,
            rtt_ms if same_region else OTHER_REGION_RTT_MS,
        )

        def on_load(load: Load, vm_pace: float) -> None:
            peer.update_load(load, self._clock.now_ms(), vm_pace)

        link = PeerLink(
            record.node,
            record.node,
            record.link_port,
            distance.rtt_ms,
            self._own_incarnation,
            self._clock,
            self._log,
            on_load,
            self._on_config,
            self._waiting_links.add,
            self._memory,
        )
        now_ms = self._clock.now_ms()
        peer = Peer(record, link, distance, self.timeouts, now_ms)
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


def _serves(record: MemberRecord, service: str, regions: Regions | None) -> bool:
    if regions is not None and record.region not in regions:
        return False
    return record.service == service and record.is_ready
