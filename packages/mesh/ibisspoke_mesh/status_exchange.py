"""Sends this node's status to others by datagram, and takes theirs in."""

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
from .status_intake import StatusIntake
from .status_messages import (
    Digest,
    NodeStatus,
    Status,
    decode,
    encode,
    packed_load,
    packed_usage,
)
from .status_relay import StatusRelay

INTERVAL_MS = 500.0
NEWS_MS = 200.0  # between two datagrams to one node for changes of usage
USAGE_STEP = 0.02  # of a second's rate: a change that is told at once
USAGE_KEPT_MS = 2_500.0  # totals are repeated for that long, since datagrams get lost
PROOF_WANTED_MS = 1_200.0  # age of the own proof from which others are asked for theirs
PROOF_ASK_MS = 250.0  # between two questions
N_ASKED = 2  # of the nodes that prove first: one may be cut off
RECORD_SHARE = 0.05  # of the datagrams that bear the record though it is known
MAX_AGE_MS = 1e9  # stands for no proof


class StatusExchange(asyncio.DatagramProtocol):
    """Tell the nodes of the data centre of this one, and the others of changes.

    :param cold_ms: returns how long the upstream stays slow after its start.
    :param has_lost_store: returns whether this node cannot reach the store.
    :param on_unknown: called when a node is named that nothing is known of.
    """

    def __init__(
        self,
        fleet: Fleet,
        config: ConfigState,
        rates: SharedRates,
        intake: StatusIntake,
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
        self._intake = intake
        self._ranks = ranks
        self._clock = clock
        self._rng = rng
        self._log = log
        self._cold_ms = cold_ms
        self._has_lost_store = has_lost_store
        self._relay = StatusRelay(
            fleet, intake, ranks, clock, self._send_digest, on_unknown
        )
        self._transport: asyncio.DatagramTransport | None = None
        self._told_by_organisation: dict[str, int] = {}
        self._told_version = 0
        self._asked_ms = 0.0

    def __repr__(self) -> str:
        return f"StatusExchange({self._fleet!r})"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take in the new connection."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in a datagram of another node."""
        try:
            message = decode(data)
        except msgspec.MsgspecError as error:
            self._log.write("datagram unreadable", sender=addr[0], detail=str(error))
            return
        if isinstance(message, Digest):
            self._relay.take(message)
        else:
            self._take(message, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore refused datagrams: silence of a node is noticed by time."""

    def tick(self) -> None:
        """Send to the nodes whose turn it is, and ask some for a proof."""
        now_ms = self._clock.now_ms()
        own = self._fleet.own
        if own is None:
            return
        news = self._organisations_with_news(now_ms)
        interval_ms = NEWS_MS if news else INTERVAL_MS
        if self._has_version_to_tell():
            interval_ms = 0.0
        for peer in self._fleet.peers_by_id.values():
            is_due = now_ms - peer.told_ms >= interval_ms
            if peer.distance.same_data_centre and is_due:
                self._send(peer)
        is_tight = any(self._rates.is_tight(name) for name in news)
        self._relay.tick(self._relayed_status, is_tight)
        self._ask_for_proof(now_ms)

    def broadcast(self) -> None:
        """Tell a change of this node to all others at once."""
        for peer in self._fleet.peers_by_id.values():
            self._send(peer, with_record=True)

    def _take(self, message: Status, addr: tuple[str, int]) -> None:
        status = message.status
        peer = self._intake.take(status, 0.0)
        own = self._fleet.own
        if peer is None:
            if own is not None and status.record is None and status.node != own.node:
                self._write(addr, self._status(own, has_record=True))
            return
        if peer.distance.same_data_centre:
            self._relay.note(status)
        if message.echo:
            self._config.freshness.relay(
                status.version, message.echo, message.proof_age_ms
            )
        if message.nonce and own is not None:
            address = (peer.record.node, peer.record.status_port)
            self._write(address, self._status(own), echo=message.nonce)

    def _organisations_with_news(self, now_ms: float) -> list[str]:
        """Return the organisations whose totals have changed much since told."""
        names = []
        for usage in self._rates.totals(now_ms - USAGE_KEPT_MS):
            told = self._told_by_organisation.get(usage.organisation, 0)
            step = self._rates.rate(usage.organisation) * USAGE_STEP
            if abs(usage.n_admitted - told) >= max(2.0, step):
                names.append(usage.organisation)
        return names

    def _relayed_status(self) -> NodeStatus:
        own = self._fleet.own
        assert own is not None
        return self._status(own, has_record=self._rng.random() < RECORD_SHARE)

    def _has_version_to_tell(self) -> bool:
        """Whether this node has a new version that the others learn from it."""
        is_new = self._config.version > self._told_version
        self._told_version = self._config.version
        return is_new and self._ranks.is_watcher

    def _ask_for_proof(self, now_ms: float) -> None:
        """Ask the nodes that prove before the others, and a chance one."""
        own = self._fleet.own
        age_ms = self._config.proof_age_ms()
        if own is None or age_ms < PROOF_WANTED_MS:
            return
        if now_ms - self._asked_ms < PROOF_ASK_MS:
            return
        self._asked_ms = now_ms
        asked = self._ranks.sources[:N_ASKED]
        if others := self._ranks.sources[N_ASKED:]:
            asked.append(self._rng.choice(others))
        for peer in asked:
            address = (peer.record.node, peer.record.status_port)
            nonce = max(1, int(self._clock.boot_ms()))
            self._write(address, self._status(own, has_usages=False), nonce=nonce)

    def _send(self, peer: Peer, with_record: bool = False) -> None:
        own = self._fleet.own
        if own is None:
            return
        is_new = peer.heard_ms is None or self._rng.random() < RECORD_SHARE
        peer.told_ms = self._clock.now_ms()
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
        age_ms = int(min(self._config.proof_age_ms(), MAX_AGE_MS)) + 1
        self._transport.sendto(encode(Status(status, nonce, echo, age_ms)), address)

    def _status(
        self, own: MemberRecord, has_record: bool = False, has_usages: bool = True
    ) -> NodeStatus:
        """Return what this node tells of itself now."""
        usages = []
        if has_usages:
            usages = self._rates.totals(self._clock.now_ms() - USAGE_KEPT_MS)
        for usage in usages:
            self._told_by_organisation[usage.organisation] = usage.n_admitted
        return NodeStatus(
            own.node,
            own.incarnation,
            own.revision,
            own if has_record else None,
            packed_load(self._fleet.own_load()),
            max(0, int(self._cold_ms())),
            [packed_usage(usage) for usage in usages],
            self._config.version,
            self._has_lost_store(),
        )
