"""Digests of statuses, which a few nodes of each data centre compose for the others."""

import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.evacuations import EvacuationPosition
from ibisspoke_policy.shared_rate import SharedRates, Usage

from ._digest_sections import datagrams, node_load, split_section
from .config_state import ConfigState
from .fleet import Fleet
from .member_record import MemberRecord
from .node_ranks import N_RELAYS, NodeRanks
from .peer import Peer
from .status_messages import (
    Digest,
    LostNode,
    NodeLoad,
    RecordRequest,
    Section,
)
from .status_receiver import StatusReceiver
from .status_timeouts import (
    DIGEST_INTERVAL_MS,
    LOADS_PER_DIGEST,
    REMOTE_LOADS_PER_DIGEST,
)

OTHER_REGION_INTERVAL_MS = 1_000.0  # traffic between regions is costly
SHORT_INTERVAL_FACTOR = 0.4  # for organisations whose rate is nearly used up
MIN_INTERVAL_MS = 60.0  # also for changed records, so that several share a datagram
N_RANDOM_RECORDS = 1  # of the own data centre, for nodes that missed a change
REPEATED_INTERVALS = 2.2  # in which changes are sent again, as datagrams may be lost
REPEATED_USAGE_INTERVALS = 1.2  # of usages; fewer, as these are most of the bytes
LOST_REPEAT_MS = 4_000.0  # time for which the loss of a node is told
MAX_ENTERED_AGE_MS = 3_000.0  # of sections that came from another region
MAX_SEARCH_PEERS = 32  # that a node asks which hears of no other node
MAX_REQUESTED_RECORDS = 16

Send = Callable[[Sequence[Peer], Digest], None]


class _Since(NamedTuple):
    """The times of the earliest changes that are sent."""

    records_ms: float
    usages_ms: float


class _Target(NamedTuple):
    """A data centre that gets digests.

    :param sources: the data centres that it is told of.
    """

    name: str
    peers: Sequence[Peer]
    sources: list[str]
    interval_ms: float


class StatusRelay:
    """Composes digests while this node is a relay of its data centre.

    The nodes of a data centre send their statuses to its relays. A relay tells every
    node of its data centre about all data centres, and the relays of the other data
    centres of the region about its own one. Of the other region it tells one data
    centre, whose relays pass that on within their region, so that a sum crosses the
    link between regions once for each relay. The relays of a data centre send to
    different nodes, and each keeps all sums, so that one may fail.

    :param send: sends a digest to nodes.
    """

    def __init__(
        self,
        fleet: Fleet,
        receiver: StatusReceiver,
        rates: SharedRates,
        config: ConfigState,
        ranks: NodeRanks,
        clock: Clock,
        rng: random.Random,
        own_load: Callable[[], NodeLoad],
        send: Send,
    ) -> None:
        self._fleet = fleet
        self._receiver = receiver
        self._rates = rates
        self._config = config
        self._ranks = ranks
        self._clock = clock
        self._rng = rng
        self._own_load = own_load
        self._send = send
        self._sent_ms_by_target: dict[str, float] = {}
        self._usages_sent_ms_by_target: dict[str, float] = {}
        self._sent_known_by_target: dict[str, tuple[int, EvacuationPosition]] = {}
        self._changed_ms_by_node: dict[str, float] = {}
        self._entered_ms_by_data_centre: dict[str, float] = {}
        self._position_by_data_centre: dict[str, int] = {}

    def __repr__(self) -> str:
        return f"StatusRelay({self._ranks!r})"

    @property
    def is_relay(self) -> bool:
        """Whether this node is a relay of its data centre."""
        return self._ranks.relay_rank < N_RELAYS

    def record_changed(self, node: str) -> None:
        """Send a node's record with the next digests."""
        self._changed_ms_by_node[node] = self._clock.now_ms()

    def receive(self, digest: Digest) -> list[str]:
        """Apply a digest.

        :returns: the nodes in it whose records are not known.
        """
        now_ms = self._clock.now_ms()
        known = {
            record.node: self._fleet.order_of(record.node)
            for section in digest.sections
            for record in section.records
        }
        unknown = self._receiver.apply_digest(digest)
        for node, order in known.items():
            if self._fleet.order_of(node) != order:
                self._changed_ms_by_node[node] = now_ms
        relay = self._fleet.peers_by_id.get(digest.node)
        if relay is not None and not relay.distance.same_region:
            for section in digest.sections:
                self._entered_ms_by_data_centre[section.data_centre] = now_ms
        return unknown

    def reply(self, request: RecordRequest) -> None:
        """Send the requested records that are known."""
        peer = self._fleet.peers_by_id.get(request.node)
        if peer is None:
            return
        by_data_centre: dict[str, list[MemberRecord]] = {}
        for node in request.nodes[:MAX_REQUESTED_RECORDS]:
            record = self._fleet.record_of(node)
            if record is not None:
                by_data_centre.setdefault(record.data_centre, []).append(record)
        for data_centre, records in by_data_centre.items():
            age_ms = self._age_ms(data_centre)
            section = Section(data_centre, age_ms, [], records, [], [])
            heard = peer.earlier_incarnation if request.node in request.nodes else 0
            self._send_sections([peer], split_section(section, []), heard)

    def tick(self) -> None:
        """Send the digests that are due, if this node is a relay."""
        if not self.is_relay or self._fleet.own is None:
            return
        now_ms = self._clock.now_ms()
        self._receiver.extend_silent()
        self._drop_old(now_ms)
        urgent = self._rates.urgent_organisations()
        for target in self._targets(now_ms):
            if self._is_due(target, now_ms):
                self._send_digest(target, now_ms)
            elif urgent and self._is_urgent_due(target, now_ms):
                self._send_usages(target, urgent, now_ms)

    def _targets(self, now_ms: float) -> list[_Target]:
        """Return where this relay sends digests, and of which data centres."""
        peers = self._fleet.own_data_centre_peers()
        if not any(peer.is_alive(now_ms) for peer in peers):
            peers = self._rng.sample(peers, min(len(peers), MAX_SEARCH_PEERS))
        own = self._rates.source
        remote = [name for name in self._fleet.data_centres if name != own]
        interval_ms = self._fleet.timeouts.digest_interval_ms
        entered = [own, *self._entered_ms_by_data_centre]
        return [
            _Target(own, peers, [own, *remote], interval_ms),
            *(
                _Target(name, [peer], entered, DIGEST_INTERVAL_MS)
                for name, peer in self._ranks.region_targets
            ),
            *(
                _Target(name, [peer], [own], OTHER_REGION_INTERVAL_MS)
                for name, peer in self._ranks.other_region_targets
            ),
        ]

    def _is_due(self, target: _Target, now_ms: float) -> bool:
        """Return whether a digest is due, which may be before its time."""
        sent_ms = self._sent_ms_by_target.get(target.name, float("-inf"))
        known = self._config.known
        has_changed = self._sent_known_by_target.get(target.name) != known or any(
            changed_ms > sent_ms and self._is_of(node, target.sources)
            for node, changed_ms in self._changed_ms_by_node.items()
        )
        interval_ms = MIN_INTERVAL_MS if has_changed else target.interval_ms
        return now_ms - sent_ms >= interval_ms

    def _is_urgent_due(self, target: _Target, now_ms: float) -> bool:
        """Return whether usages of organisations are due that are nearly used up."""
        elapsed_ms = now_ms - self._usages_sent_ms(target)
        return elapsed_ms >= target.interval_ms * SHORT_INTERVAL_FACTOR

    def _usages_sent_ms(self, target: _Target) -> float:
        """Return when usages were last sent, in a digest of either kind."""
        return max(
            self._sent_ms_by_target.get(target.name, float("-inf")),
            self._usages_sent_ms_by_target.get(target.name, float("-inf")),
        )

    def _is_of(self, node: str, data_centres: Iterable[str]) -> bool:
        record = self._fleet.record_of(node)
        return record is not None and record.data_centre in data_centres

    def _send_digest(self, target: _Target, now_ms: float) -> None:
        """Send a digest of what is known of some data centres."""
        sent_ms = self._sent_ms_by_target.get(target.name, float("-inf"))
        interval_ms = target.interval_ms
        since = _Since(
            min(sent_ms, now_ms - REPEATED_INTERVALS * interval_ms),
            min(sent_ms, now_ms - REPEATED_USAGE_INTERVALS * interval_ms),
        )
        sections = []
        for source in target.sources:
            if source != target.name or target.name == self._rates.source:
                n_loads = self._n_loads(target, source)
                sections += self._sections(source, n_loads, since, now_ms)
        self._sent_ms_by_target[target.name] = now_ms
        self._sent_known_by_target[target.name] = self._config.known
        self._send_sections(target.peers, sections)

    def _n_loads(self, target: _Target, source: str) -> int:
        own = self._rates.source
        if target.name != own:
            return REMOTE_LOADS_PER_DIGEST
        if source == own:
            return LOADS_PER_DIGEST
        return -(-REMOTE_LOADS_PER_DIGEST // (len(target.sources) - 1))

    def _send_usages(
        self, target: _Target, organisations: frozenset[str], now_ms: float
    ) -> None:
        """Send a digest that has only the usages of some organisations."""
        interval_ms = target.interval_ms * SHORT_INTERVAL_FACTOR
        sent_ms = self._usages_sent_ms(target)
        since_ms = min(sent_ms, now_ms - REPEATED_INTERVALS * interval_ms)
        sections = []
        for source in target.sources:
            usages = self._usages(source, since_ms, now_ms, organisations)
            if usages and (source != target.name or target.name == self._rates.source):
                section = Section(source, self._age_ms(source), [], [], [], [])
                sections += split_section(section, usages)
        self._usages_sent_ms_by_target[target.name] = now_ms
        self._send_sections(target.peers, sections)

    def _send_sections(
        self,
        peers: Sequence[Peer],
        sections: list[Section],
        earlier_incarnation: int = 0,
    ) -> None:
        """Send sections in datagrams of limited size."""
        own = self._fleet.own
        assert own is not None
        for parts in datagrams(sections):
            evacuations = self._config.evacuations.reported_position
            digest = Digest(
                own.node,
                self._config.version,
                parts,
                evacuations,
                earlier_incarnation,
            )
            self._send(peers, digest)

    def _sections(
        self, source: str, n_loads: int, since: _Since, now_ms: float
    ) -> list[Section]:
        """Return what to tell about a data centre, in parts."""
        return split_section(
            Section(
                source,
                self._age_ms(source),
                self._loads(source, n_loads, now_ms),
                self._records(source, since.records_ms, now_ms),
                self._lost(source, now_ms),
                [],
            ),
            self._usages(source, since.usages_ms, now_ms),
        )

    def _usages(
        self,
        source: str,
        since_ms: float,
        now_ms: float,
        organisations: frozenset[str] | None = None,
    ) -> list[Usage]:
        """Return the changed usages of a data centre, unless they are too old."""
        age_ms = self._age_ms(source)
        if age_ms >= MAX_ENTERED_AGE_MS and source != self._rates.source:
            return []
        return self._rates.usages(source, since_ms, now_ms, organisations)

    def _age_ms(self, source: str) -> int:
        """Return the age of the usages of a data centre."""
        now_ms = self._clock.now_ms()
        reported_ms = self._rates.report_time(source)
        if source == self._rates.source:
            peers = self._fleet.data_centre_peers(source)
            if reported_ms is None or not any(p.is_alive(now_ms) for p in peers):
                return 0  # this node is all that is left of it
        elif reported_ms is None:
            return int(MAX_ENTERED_AGE_MS)
        return max(0, int(now_ms - reported_ms)) + 1

    def _loads(self, source: str, n_wanted: int, now_ms: float) -> list[NodeLoad]:
        """Return the next loads of a data centre in turn."""
        peers = self._fleet.data_centre_peers(source)
        position = self._position_by_data_centre.get(source, 0)
        loads: list[NodeLoad] = []
        if source == self._rates.source:
            loads.append(self._own_load())
        for offset in range(len(peers)):
            peer = peers[(position + offset) % len(peers)]
            self._position_by_data_centre[source] = (position + offset + 1) % len(peers)
            if peer.is_heard and peer.is_alive(now_ms):
                loads.append(node_load(peer, now_ms))
            if len(loads) >= n_wanted:
                break
        return loads

    def _records(
        self, source: str, since_ms: float, now_ms: float
    ) -> list[MemberRecord]:
        """Return the records of a data centre that changed, and a few others."""
        records = [
            record
            for node, changed_ms in self._changed_ms_by_node.items()
            if changed_ms >= since_ms
            and (record := self._fleet.record_of(node)) is not None
            and record.data_centre == source
        ]
        if source != self._rates.source:
            return records
        peers = self._fleet.data_centre_peers(source)
        for peer in self._rng.sample(peers, min(N_RANDOM_RECORDS, len(peers))):
            if peer.is_alive(now_ms) and peer.record not in records:
                records.append(peer.record)
        return records

    def _lost(self, source: str, now_ms: float) -> list[LostNode]:
        """Return the nodes of the own data centre that were lost recently."""
        lost: list[LostNode] = []
        if source != self._rates.source:
            return lost
        timeout_ms = self._fleet.timeouts.data_centre_ms
        for peer in self._fleet.data_centre_peers(source):
            if peer.last_seen_ms is None or peer.is_alive(now_ms):
                continue
            silent_ms = now_ms - peer.last_seen_ms
            if silent_ms < timeout_ms + LOST_REPEAT_MS:
                record = peer.record
                lost.append(LostNode(record.node, record.incarnation, int(silent_ms)))
        return lost

    def _drop_old(self, now_ms: float) -> None:
        kept_ms = now_ms - (REPEATED_INTERVALS + 1.0) * OTHER_REGION_INTERVAL_MS
        for node, changed_ms in list(self._changed_ms_by_node.items()):
            if changed_ms < kept_ms:
                del self._changed_ms_by_node[node]
        entered = self._entered_ms_by_data_centre
        for data_centre, entered_ms in list(entered.items()):
            if now_ms - entered_ms > MAX_ENTERED_AGE_MS:
                del entered[data_centre]
