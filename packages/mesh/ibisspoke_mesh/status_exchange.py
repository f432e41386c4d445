"""Exchange of node statuses by datagram."""

import asyncio
import random
from collections.abc import Callable
from typing import cast

import msgspec

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.shared_rate import SharedRates

from .config_state import ConfigState
from .decision_log import DecisionLog
from .fleet import Fleet, MemberRecord, Peer
from .node_ranks import NodeRanks
from .status_messages import (
    Digest,
    NodeStatus,
    Status,
    decode,
    encode,
    pack_load,
    pack_usage,
)
from .status_receiver import StatusReceiver
from .status_relay import StatusRelay

STATUS_INTERVAL_MS = 500.0
USAGE_INTERVAL_MS = 200.0  # minimum interval per node while usage changes
USAGE_STEP = 0.02  # of one second's rate; larger changes are sent early
# Totals are sent at least twice, also over the relays, since datagrams may be lost.
USAGE_REPEAT_MS = 1_500.0
PROOF_REQUEST_AGE_MS = 1_200.0  # age of the own proof, from which others are asked
PROOF_REQUEST_INTERVAL_MS = 250.0  # minimum interval between such requests
N_PROOF_SOURCES = 2  # of the preferred nodes; one may be disconnected
RECORD_REPEAT_SHARE = 0.05  # share of datagrams that repeat a known record
MAX_PROOF_AGE_MS = 1e9  # sent if there is no proof


class StatusExchange(asyncio.DatagramProtocol):
    """Sends this node's status to the data centre, and its changes to all nodes.

    Other data centres receive unchanged statuses through :class:`StatusRelay`.

    :param cold_ms: returns how much longer the upstream warms up.
    :param has_lost_store: returns whether this node cannot reach the store.
    :param on_unknown: called when a digest contains an unknown node.
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
        on_unknown: Callable[[], None],
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
            fleet, receiver, ranks, clock, self._send_digest, on_unknown
        )
        self._transport: asyncio.DatagramTransport | None = None
        self._sent_totals_by_organisation: dict[str, int] = {}
        self._sent_version = 0
        self._proof_requested_ms = 0.0

    def __repr__(self) -> str:
        return f"StatusExchange({self._fleet!r})"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram of another node."""
        try:
            message = decode(data)
        except msgspec.MsgspecError as error:
            self._log.write("datagram unreadable", sender=addr[0], detail=str(error))
            return
        if isinstance(message, Digest):
            self._relay.receive(message)
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
        changed = self._organisations_to_report(now_ms)
        interval_ms = USAGE_INTERVAL_MS if changed else STATUS_INTERVAL_MS
        if self._has_new_version():
            interval_ms = 0.0
        for peer in self._fleet.peers_by_id.values():
            is_due = now_ms - peer.status_sent_ms >= interval_ms
            if peer.distance.same_data_centre and is_due:
                self._send(peer)
        is_rate_low = any(self._rates.is_low(name) for name in changed)
        self._relay.tick(self._relayed_status, is_rate_low)
        self._request_proof(now_ms)

    def broadcast(self) -> None:
        """Send this node's record to all other nodes immediately."""
        for peer in self._fleet.peers_by_id.values():
            self._send(peer, with_record=True)

    def _receive(self, message: Status, addr: tuple[str, int]) -> None:
        status = message.status
        peer = self._receiver.apply(status, 0.0)
        own = self._fleet.own
        if peer is None:
            if own is not None and status.record is None and status.node != own.node:
                self._write(addr, self._status(own, has_record=True))
            return
        if peer.distance.same_data_centre:
            self._relay.store(status)
        if message.echo:
            self._config.freshness.record_relayed(
                status.version, message.echo, message.proof_age_ms
            )
        if message.nonce and own is not None:
            address = (peer.record.node, peer.record.status_port)
            self._write(address, self._status(own), echo=message.nonce)

    def _organisations_to_report(self, now_ms: float) -> list[str]:
        """Return the organisations whose totals changed much since they were sent."""
        names = []
        for usage in self._rates.totals(now_ms - USAGE_REPEAT_MS):
            sent = self._sent_totals_by_organisation.get(usage.organisation, 0)
            step = self._rates.rate(usage.organisation) * USAGE_STEP
            if abs(usage.n_admitted - sent) >= max(2.0, step):
                names.append(usage.organisation)
        return names

    def _relayed_status(self) -> NodeStatus:
        own = self._fleet.own
        assert own is not None
        return self._status(own, has_record=self._rng.random() < RECORD_REPEAT_SHARE)

    def _has_new_version(self) -> bool:
        """Return whether this node, as a watcher, has a new version to announce."""
        is_new = self._config.version > self._sent_version
        self._sent_version = self._config.version
        return is_new and self._ranks.is_watcher

    def _request_proof(self, now_ms: float) -> None:
        """Request a proof from the preferred nodes and from a random other one."""
        own = self._fleet.own
        age_ms = self._config.proof_age_ms()
        if own is None or age_ms < PROOF_REQUEST_AGE_MS:
            return
        if now_ms - self._proof_requested_ms < PROOF_REQUEST_INTERVAL_MS:
            return
        self._proof_requested_ms = now_ms
        sources = self._ranks.sources[:N_PROOF_SOURCES]
        if others := self._ranks.sources[N_PROOF_SOURCES:]:
            sources.append(self._rng.choice(others))
        for peer in sources:
            address = (peer.record.node, peer.record.status_port)
            nonce = max(1, int(self._clock.boot_ms()))
            self._write(address, self._status(own, has_usages=False), nonce=nonce)

    def _send(self, peer: Peer, with_record: bool = False) -> None:
        own = self._fleet.own
        if own is None:
            return
        is_new = peer.last_seen_ms is None or self._rng.random() < RECORD_REPEAT_SHARE
        peer.status_sent_ms = self._clock.now_ms()
        status = self._status(own, has_record=with_record or is_new)
        self._write((peer.record.node, peer.record.status_port), status)

    def _send_digest(self, peer: Peer, digest: Digest) -> None:
        if self._transport is not None:
            address = (peer.record.node, peer.record.status_port)
            self._transport.sendto(encode(digest), address)

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
        self, own: MemberRecord, has_record: bool = False, has_usages: bool = True
    ) -> NodeStatus:
        """Return the current status of this node."""
        usages = []
        if has_usages:
            usages = self._rates.totals(self._clock.now_ms() - USAGE_REPEAT_MS)
        for usage in usages:
            self._sent_totals_by_organisation[usage.organisation] = usage.n_admitted
        return NodeStatus(
            own.node,
            own.incarnation,
            own.revision,
            own if has_record else None,
            pack_load(self._fleet.own_load()),
            max(0, int(self._cold_ms())),
            [pack_usage(usage) for usage in usages],
            self._config.version,
            self._has_lost_store(),
        )
