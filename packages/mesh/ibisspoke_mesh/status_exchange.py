"""Exchange of node statuses by datagram."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import cast

import msgspec

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.evacuations import UNKNOWN_POSITION
from ibisspoke_policy.shared_rate import SharedRates

from .config_state import ConfigState
from .decision_log import DecisionLog
from .digest_spread import Address, DigestSpread
from .fleet import Fleet
from .member_record import MemberRecord
from .node_ranks import NodeRanks
from .peer import Peer
from .status_messages import (
    Digest,
    ForwardedDigest,
    Message,
    NodeLoad,
    NodeStatus,
    RecordRequest,
    Status,
    decode,
    encode,
    pack_load,
    pack_pace,
    pack_usages,
)
from .status_receiver import StatusReceiver
from .status_relay import MAX_REQUESTED_RECORDS, StatusRelay

STATUS_INTERVAL_MS = 500.0
USAGE_INTERVAL_MS = 200.0  # minimum interval per node while usage changes
USAGE_REPEAT_MS = 1_100.0  # counts are sent again, as datagrams may be lost
USAGE_STEP = 0.02  # of one second's rate; larger changes are sent early
ACTIVE_RELAY_MS = 1_500.0  # nodes that sent digests lately are relays to someone
RECORD_REQUEST_INTERVAL_MS = 300.0
# Age of the own proof, from which others are asked: first the relays, with the statuses
# that they get anyway, then the nodes that verify it.
RELAY_PROOF_REQUEST_AGE_MS = 800.0
LATE_PROOF_REQUEST_AGE_MS = 2_400.0
PROOF_GAIN_MS = 300.0  # a reply must have a proof newer by this
# The same for relays and for nodes that would verify it next; these ask the others.
PROOF_REQUEST_AGE_MS = 1_200.0
N_STANDBY_VERIFIERS = 6  # of a region; later ones need the proof less urgently
PROOF_REQUEST_INTERVAL_MS = 250.0  # minimum interval between such requests
N_PROOF_SOURCES = 2  # of the preferred nodes; one may be disconnected
RECORD_REPEAT_SHARE = 0.05  # share of statuses that repeat a known record
MAX_PROOF_AGE_MS = 1e9  # sent if there is no proof


class StatusExchange(asyncio.DatagramProtocol):
    """Sends this node's status to the relays of its data centre.

    All nodes hear of it through :class:`StatusRelay`; those of its data centre are told
    of changes directly.

    :param cold_ms: returns how much longer the upstream warms up.
    :param has_lost_store: returns whether this node cannot reach the store.
    """

    def __init__(
        self,
        fleet: Fleet,
        config: ConfigState,
        rates: SharedRates,
        receiver: StatusReceiver,
        ranks: NodeRanks,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        cold_ms: Callable[[], float],
        has_lost_store: Callable[[], bool],
    ) -> None:
        self._fleet = fleet
        self._config = config
        self._rates = rates
        self._receiver = receiver
        self._ranks = ranks
        self._clock = clock
        self._rng = rng
        self._log = log
        self._cold_ms = cold_ms
        self._has_lost_store = has_lost_store
        self._relay = StatusRelay(
            fleet,
            receiver,
            rates,
            config,
            ranks,
            clock,
            rng,
            self._own_load,
            self._send_digest,
        )
        self._spread = DigestSpread(fleet, clock, rng, self._send_datagram)
        self._transport: asyncio.DatagramTransport | None = None
        self._reported_slot = 0
        self._usages_sent_ms = 0.0
        self._n_reported_by_organisation: dict[str, int] = {}
        self._records_requested_ms = 0.0
        self._sent_known = (0, UNKNOWN_POSITION)
        self._relayed_ms_by_node: dict[str, float] = {}
        self._proof_requested_ms = 0.0

    def __repr__(self) -> str:
        return f"StatusExchange({self._fleet!r})"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram of another node."""
        try:
            self._handle(decode(data), data, addr)
        except msgspec.MsgspecError as error:
            self._log.write("datagram unreadable", sender=addr[0], detail=str(error))

    def _handle(self, message: Message, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a message, which was encoded as ``data``."""
        if isinstance(message, ForwardedDigest):
            digest = decode(message.digest)
            if isinstance(digest, Digest):
                self._spread.pass_on(message)
                self._handle(digest, message.digest, addr)
        elif isinstance(message, Digest):
            self._request_records(message.node, self._relay.receive(message))
            self._note_relay(message.node)
            self._forward(message, data)
        elif isinstance(message, RecordRequest):
            self._relay.reply(message)
        else:
            self._receive(message, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore rejected datagrams; nodes that ended are detected by timeout."""

    def tick(self) -> None:
        """Send the statuses that are due, and request a proof if it is needed."""
        now_ms = self._clock.now_ms()
        own = self._fleet.own
        if own is None:
            return
        has_news = self._has_usage_news()
        interval_ms = USAGE_INTERVAL_MS if has_news else STATUS_INTERVAL_MS
        is_known_new = self._has_news()
        if is_known_new:
            targets = self._fleet.own_data_centre_peers()
        else:
            targets = self._status_targets(now_ms)
        for peer in targets:
            if is_known_new or now_ms - peer.status_sent_ms >= interval_ms:
                self._send(peer)
        self._relay.tick()
        self._request_proof(now_ms)

    def broadcast(self) -> None:
        """Send this node's record to its data centre; its relays pass it on."""
        own = self._fleet.own
        if own is None:
            return
        self._relay.record_changed(own.node)
        for peer in self._fleet.own_data_centre_peers():
            self._send(peer, with_record=True)

    def read_back(self, peer: Peer) -> None:
        """Send this node's record to another node, and request its copy of it."""
        own = self._fleet.own
        if own is None or self._transport is None:
            return
        self._send(peer, with_record=True)
        request = RecordRequest(own.node, [own.node])
        address = (peer.record.node, peer.record.status_port)
        self._transport.sendto(encode(request), address)

    def _status_targets(self, now_ms: float) -> list[Peer]:
        """Return the nodes of the data centre that this node reports to.

        Besides its relays these are nodes that act as relays to others, and nodes of an
        earlier version.
        """
        targets = list(self._ranks.relays)
        for node, relayed_ms in list(self._relayed_ms_by_node.items()):
            peer = self._fleet.peers_by_id.get(node)
            if peer is None or relayed_ms < now_ms - ACTIVE_RELAY_MS:
                del self._relayed_ms_by_node[node]
            elif peer not in targets:
                targets.append(peer)
        return targets

    def _note_relay(self, node: str) -> None:
        """Remember that a node of the data centre needs this node's status."""
        peer = self._fleet.peers_by_id.get(node)
        if peer is not None and peer.distance.same_data_centre:
            self._relayed_ms_by_node[node] = self._clock.now_ms()

    def _receive(self, message: Status, addr: tuple[str, int]) -> None:
        status = message.status
        order = self._fleet.order_of(status.node)
        peer = self._receiver.apply_status(status)
        own = self._fleet.own
        if peer is None:
            if own is not None and status.record is None and status.node != own.node:
                self._write(addr, self._status(own, has_record=True))
            return
        if status.usages is None:  # a version whose nodes all expect statuses
            self._note_relay(status.node)
        if peer.record.order != order:
            self._relay.record_changed(status.node)
        if message.echo:
            self._config.freshness.record_relayed(
                status.version, message.echo, message.proof_age_ms
            )
        if message.nonce and own is not None:
            gain_ms = message.proof_age_ms - self._config.proof_age_ms()
            if gain_ms > PROOF_GAIN_MS or self._config.version > status.version:
                address = (peer.record.node, peer.record.status_port)
                self._write(address, self._status(own), echo=message.nonce)

    def _has_usage_news(self) -> bool:
        """Return whether a count of the current slot grew much since it was sent."""
        if self._reported_slot != self._rates.slot:
            self._reported_slot = self._rates.slot
            self._n_reported_by_organisation = {}
        for usage in self._rates.own_usages(self._usages_sent_ms):
            name = usage.organisation
            n_new = self._rates.n_admitted(name) - (
                self._n_reported_by_organisation.get(name, 0)
            )
            if n_new >= max(2.0, self._rates.rate(name) * USAGE_STEP):
                return True
        return False

    def _forward(self, digest: Digest, data: bytes) -> None:
        """Pass on a digest that another data centre sent to this node by mistake.

        It does not know the relays here, for instance after a partition.
        """
        sender = self._fleet.peers_by_id.get(digest.node)
        if self._relay.is_relay or self._transport is None or sender is None:
            return
        if sender.distance.same_data_centre:
            return
        for peer in self._ranks.relays:
            self._transport.sendto(data, (peer.record.node, peer.record.status_port))

    def _request_records(self, relay: str, unknown: list[str]) -> None:
        """Request the records of unknown nodes from the relay that named them."""
        now_ms = self._clock.now_ms()
        peer, own = self._fleet.peers_by_id.get(relay), self._fleet.own
        if not unknown or peer is None or own is None or self._transport is None:
            return
        if now_ms - self._records_requested_ms < RECORD_REQUEST_INTERVAL_MS:
            return
        self._records_requested_ms = now_ms
        request = RecordRequest(own.node, unknown[:MAX_REQUESTED_RECORDS])
        address = (peer.record.node, peer.record.status_port)
        self._transport.sendto(encode(request), address)

    def _has_news(self) -> bool:
        """Return whether this node, as a watcher, has news of the operator to announce.

        Relays announce them with their digests.
        """
        is_new = self._config.known != self._sent_known
        self._sent_known = self._config.known
        return is_new and self._ranks.is_watcher

    def _request_proof(self, now_ms: float) -> None:
        """Request a proof from the preferred nodes and from a random other one."""
        own = self._fleet.own
        is_standby = self._ranks.verify_rank < N_STANDBY_VERIFIERS
        is_early = self._relay.is_relay or is_standby
        bound_ms = PROOF_REQUEST_AGE_MS if is_early else LATE_PROOF_REQUEST_AGE_MS
        if own is None or self._config.proof_age_ms() < bound_ms:
            return
        if now_ms - self._proof_requested_ms < PROOF_REQUEST_INTERVAL_MS:
            return
        self._proof_requested_ms = now_ms
        sources = self._ranks.sources[:N_PROOF_SOURCES]
        if (other := self._ranks.random_source()) is not None:
            sources.append(other)
        for peer in sources:
            address = (peer.record.node, peer.record.status_port)
            self._write(address, self._status(own), nonce=self._nonce())

    def _nonce(self) -> int:
        return max(1, int(self._clock.boot_ms()))

    def _send(self, peer: Peer, with_record: bool = False) -> None:
        own = self._fleet.own
        if own is None:
            return
        is_new = peer.last_seen_ms is None or self._rng.random() < RECORD_REPEAT_SHARE
        peer.status_sent_ms = self._clock.now_ms()
        has_usages = not with_record or peer in self._ranks.relays
        status = self._status(own, with_record or is_new, has_usages)
        needs_proof = self._config.proof_age_ms() > RELAY_PROOF_REQUEST_AGE_MS
        nonce = self._nonce() if needs_proof and not with_record else 0
        self._write((peer.record.node, peer.record.status_port), status, nonce)

    def _send_digest(self, peers: Sequence[Peer], digest: Digest) -> None:
        self._spread.send(encode(digest), peers)

    def _send_datagram(self, data: bytes, address: Address) -> None:
        if self._transport is not None:
            self._transport.sendto(data, address)

    def _write(
        self,
        address: tuple[str, int],
        status: NodeStatus,
        nonce: int = 0,
        echo: int = 0,
    ) -> None:
        if self._transport is None:
            return
        age_ms = int(min(self._config.proof_age_ms(), MAX_PROOF_AGE_MS)) + 1
        self._transport.sendto(encode(Status(status, nonce, echo, age_ms)), address)

    def _status(
        self, own: MemberRecord, has_record: bool = False, has_usages: bool = False
    ) -> NodeStatus:
        """Return the current status of this node."""
        usages = []
        if has_usages:
            now_ms = self._usages_sent_ms = self._clock.now_ms()
            usages = self._rates.own_usages(now_ms - USAGE_REPEAT_MS)
            for usage in usages:
                n_admitted = self._rates.n_admitted(usage.organisation)
                self._n_reported_by_organisation[usage.organisation] = n_admitted
        return NodeStatus(
            own.node,
            own.incarnation,
            own.revision,
            own if has_record else None,
            pack_load(self._fleet.own_load()),
            max(0, int(self._cold_ms())),
            [],
            self._config.version,
            self._has_lost_store(),
            pack_usages(usages),
            self._config.evacuations.reported_position,
            vm_pace=pack_pace(self._fleet.own_vm_pace()),
        )

    def _own_load(self) -> NodeLoad:
        own = self._fleet.own
        assert own is not None
        return NodeLoad(
            own.node,
            own.incarnation,
            0,
            pack_load(self._fleet.own_load()),
            max(0, int(self._cold_ms())),
            self._has_lost_store(),
            vm_pace=pack_pace(self._fleet.own_vm_pace()),
        )
