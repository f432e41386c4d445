"""Short datagrams by which nodes tell each other of themselves."""

import asyncio
import random
from collections.abc import Callable
from typing import cast

import msgspec

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.shared_rate import SharedRates, Usage
from ibisspoke_policy.upstream_queue import Load

from .config_state import ConfigState
from .fleet import Fleet, MemberRecord, Peer

NEAR_INTERVAL_MS = 500.0
FAR_INTERVAL_MS = 1_200.0  # bytes between regions are dear
MIN_INTERVAL_MS = 200.0  # between two datagrams to one node for changes of usage
USAGE_STEP = 0.015  # of a second's rate: a change that is told at once
USAGE_KEPT_MS = 3_000.0  # totals are repeated for that long, since datagrams get lost
PROOF_WANTED_MS = 2_600.0  # age of the own proof from which others are asked for theirs
STARTUP_MS = 2_500.0  # before it, totals of other nodes may tell of long ago


class Status(msgspec.Struct, array_like=True, frozen=True):
    """One datagram.

    :param record: left out where it has not changed lately.
    :param proof_age_ms: of the proof for ``version``, answering ``echo``.
    :param nonce: when this was sent, to be echoed if the receiver's proof is wanted;
        0 if not.
    :param echo: the nonce that this answers; 0 if it answers none.
    """

    node: str
    incarnation: int
    revision: int
    record: MemberRecord | None
    load: tuple[int, int, int, float, float]
    cold_ms: int
    version: int
    usages: list[tuple[str, int, int]]
    nonce: float
    echo: float
    proof_age_ms: float


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Status)


class StatusExchange(asyncio.DatagramProtocol):
    """Send this node's status, and take in those of others."""

    def __init__(
        self,
        fleet: Fleet,
        config: ConfigState,
        rates: SharedRates,
        clock: Clock,
        rng: random.Random,
        cold_ms: Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._config = config
        self._rates = rates
        self._clock = clock
        self._rng = rng
        self._cold_ms = cold_ms
        self._transport: asyncio.DatagramTransport | None = None
        self._told_by_organisation: dict[str, int] = {}
        self._usage_told_ms = 0.0
        self._started_ms = clock.now_ms()
        self.n_unreadable = 0

    def __repr__(self) -> str:
        return f"StatusExchange({self._fleet!r})"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            status = _decoder.decode(data)
        except msgspec.MsgspecError:
            self.n_unreadable += 1
            return
        now_ms = self._clock.now_ms()
        peer = self._peer(status)
        if peer is None:
            if status.record is None and status.node != self._own_node():
                self._send_to(addr, wants_record=True)
            return
        peer.take_load(Load(*status.load), now_ms)
        peer.cold_until_ms = now_ms + status.cold_ms
        peer.version = status.version
        is_baseline = now_ms - self._started_ms < STARTUP_MS
        usages = [Usage(*usage) for usage in status.usages]
        life = f"{status.node}/{status.incarnation}"
        self._rates.report(life, usages, is_baseline, now_ms)
        self._rates.heard(life, now_ms)
        if status.echo:
            self._config.freshness.relay(
                status.version, status.echo, status.proof_age_ms
            )
        if status.version > self._config.version:
            peer.link.ask_config(self._config.version)
        if status.nonce:
            self._send(peer, echo=status.nonce)

    def error_received(self, exc: Exception) -> None:
        """Ignore refused datagrams: silence of a node is noticed by time."""

    def tick(self) -> None:
        """Send to the nodes whose turn it is."""
        now_ms = self._clock.now_ms()
        has_news = self._has_usage_news(now_ms)
        for peer in self._fleet.peers_by_id.values():
            interval_ms = (
                NEAR_INTERVAL_MS if peer.distance.same_region else FAR_INTERVAL_MS
            )
            since_ms = now_ms - peer.told_ms
            if since_ms >= interval_ms or (has_news and since_ms >= MIN_INTERVAL_MS):
                self._send(peer)

    def broadcast(self) -> None:
        """Tell a change of this node to all others at once."""
        for peer in self._fleet.peers_by_id.values():
            self._send(peer, with_record=True)

    def _has_usage_news(self, now_ms: float) -> bool:
        for usage in self._rates.totals(now_ms - USAGE_KEPT_MS):
            told = self._told_by_organisation.get(usage.organisation, 0)
            step = self._rates.rate(usage.organisation) * USAGE_STEP
            if abs(usage.n_admitted - told) >= max(2.0, step):
                return True
        return False

    def _own_node(self) -> str:
        return self._fleet.own.node if self._fleet.own else ""

    def _peer(self, status: Status) -> Peer | None:
        if status.record is not None:
            return self._fleet.learn(status.record)
        peer = self._fleet.peers_by_id.get(status.node)
        if peer is None or peer.record.incarnation != status.incarnation:
            return None
        return peer

    def _send(self, peer: Peer, echo: float = 0.0, with_record: bool = False) -> None:
        own = self._fleet.own
        if own is None or self._transport is None:
            return
        now_ms = self._clock.now_ms()
        is_new = peer.heard_ms is None or self._rng.random() < 0.1
        peer.told_ms = now_ms
        usages = self._rates.totals(now_ms - USAGE_KEPT_MS)
        for usage in usages:
            self._told_by_organisation[usage.organisation] = usage.n_admitted
        self._write(
            (peer.record.node, peer.record.status_port),
            own if with_record or is_new else None,
            usages,
            echo,
        )

    def _send_to(self, addr: tuple[str, int], wants_record: bool) -> None:
        """Answer a node that is not known yet, so that it tells of itself."""
        if self._fleet.own is not None and self._transport is not None:
            self._write(addr, self._fleet.own, [], 0.0)

    def _write(
        self,
        address: tuple[str, int],
        record: MemberRecord | None,
        usages: list[Usage],
        echo: float,
    ) -> None:
        own = self._fleet.own
        assert own is not None and self._transport is not None
        elapsed_ms = self._clock.elapsed_ms()
        proof_age_ms = self._config.proof_age_ms()
        wants_proof = not echo and proof_age_ms > PROOF_WANTED_MS
        status = Status(
            own.node,
            own.incarnation,
            own.revision,
            record,
            tuple(self._fleet.own_load()),
            max(0, int(self._cold_ms())),
            self._config.version,
            [tuple(usage) for usage in usages],
            elapsed_ms if wants_proof else 0.0,
            echo,
            min(proof_age_ms, 1e9),
        )
        self._transport.sendto(_encoder.encode(status), address)
