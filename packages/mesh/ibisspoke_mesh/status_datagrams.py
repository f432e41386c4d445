"""Short datagrams by which nodes tell each other of themselves."""

import asyncio
import random
import zlib
from collections.abc import Callable
from typing import cast

import msgspec

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.shared_rate import SharedRates, Usage
from ibisspoke_policy.upstream_queue import Load

from .config_asker import ConfigAsker
from .config_state import ConfigState
from .decision_log import DecisionLog
from .fleet import Fleet, MemberRecord, Peer
from .watch_duty import WatchDuty

NEAR_INTERVAL_MS = 500.0
FAR_INTERVAL_MS = 1_500.0  # bytes between regions are dear
NEAR_NEWS_MS = 200.0  # between two datagrams to one node for changes of usage
FAR_NEWS_MS = 500.0
USAGE_STEP = 0.02  # of a second's rate: a change that is told at once
USAGE_KEPT_MS = 2_500.0  # totals are repeated for that long, since datagrams get lost
PROOF_WANTED_MS = 1_200.0  # age of the own proof from which others are asked for theirs
PROOF_ASK_MS = 250.0  # between two questions
N_ASKED = 2  # of the nodes that prove first: one may be cut off
MARK_MASK = 0xFFFFFF  # few bytes, and hardly ever the same for two organisations
RECORD_SHARE = 0.05  # of the datagrams that bear the record though it is known
MAX_AGE_MS = 1e9  # stands for no proof
CLOCK_SKEW_MS = 3_000  # between VMs; a node that started earlier has old totals


class Status(msgspec.Struct, array_like=True, frozen=True):
    """One datagram.

    :param record: left out where it has not changed lately.
    :param load: the time in milliseconds, the shares in thousandths.
    :param usages: organisations by a checksum of their names, and their totals.
    :param has_lost_store: whether the node cannot reach the store to wait for changes.
    :param proof_age_ms: of the proof for ``version``, answering ``echo``.
    :param nonce: when this was sent, to be echoed if the receiver's proof is wanted;
        0 if not.
    :param echo: the nonce that this answers; 0 if it answers none.
    """

    node: str
    incarnation: int
    revision: int
    record: MemberRecord | None
    load: tuple[int, int, int, int, int, int]
    cold_ms: int
    version: int
    usages: list[tuple[int, int, int]]
    nonce: int
    echo: int
    proof_age_ms: int
    has_lost_store: bool


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
        log: DecisionLog,
        duty: WatchDuty,
        asker: ConfigAsker,
        cold_ms: Callable[[], float],
        has_lost_store: Callable[[], bool],
    ) -> None:
        self._fleet = fleet
        self._config = config
        self._rates = rates
        self._clock = clock
        self._rng = rng
        self._log = log
        self._duty = duty
        self._asker = asker
        self._cold_ms = cold_ms
        self._has_lost_store = has_lost_store
        self._told_version = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._told_by_organisation: dict[str, int] = {}
        self._asked_ms = 0.0
        self._names_by_mark: dict[int, str] = {}

    def __repr__(self) -> str:
        return f"StatusExchange({self._fleet!r})"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take in the new connection."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in the status of another node."""
        try:
            status = _decoder.decode(data)
        except msgspec.MsgspecError as error:
            self._log.write("datagram unreadable", sender=addr[0], detail=str(error))
            return
        now_ms = self._clock.now_ms()
        peer = self._peer(status)
        if peer is None:
            if status.record is None and status.node != self._own_node():
                self._write(addr, self._fleet.own, [])
            return
        n_running, n_queued, limit, service_ms, failures, pressure = status.load
        load = Load(
            n_running,
            n_queued,
            limit,
            float(service_ms),
            failures / 1000.0,
            pressure / 1000.0,
        )
        peer.take_load(load, now_ms)
        peer.proof_at_ms = now_ms - status.proof_age_ms
        peer.has_lost_store = status.has_lost_store
        peer.cold_until_ms = now_ms + status.cold_ms
        own = self._fleet.own
        is_baseline = (
            own is not None and status.incarnation < own.incarnation - CLOCK_SKEW_MS
        )
        usages = [
            Usage(name, n_asked, n_admitted)
            for mark, n_asked, n_admitted in status.usages
            if (name := self._names_by_mark.get(mark)) is not None
        ]
        life = f"{status.node}/{status.incarnation}"
        self._rates.report(life, usages, is_baseline, now_ms)
        self._rates.heard(life, now_ms)
        if status.echo:
            self._config.freshness.relay(
                status.version, status.echo, status.proof_age_ms
            )
        self._asker.heard(peer, status.version)
        if status.nonce:
            address = (peer.record.node, peer.record.status_port)
            self._write(address, None, [], echo=status.nonce)

    def error_received(self, exc: Exception) -> None:
        """Ignore refused datagrams: silence of a node is noticed by time."""

    def know_organisations(self, names: list[str]) -> None:
        """Take in the organisations whose usage nodes report."""
        self._names_by_mark = {_mark(name): name for name in names}

    def tick(self) -> None:
        """Send to the nodes whose turn it is, and ask some for a proof."""
        now_ms = self._clock.now_ms()
        news = self._organisations_with_news(now_ms)
        is_tight = any(self._rates.is_tight(name) for name in news)
        has_version = self._config.version > self._told_version
        tells_version = has_version and self._duty.is_watcher
        self._told_version = self._config.version
        for peer in self._fleet.peers_by_id.values():
            near = peer.distance.same_region
            interval_ms = NEAR_INTERVAL_MS if near else FAR_INTERVAL_MS
            news_ms = NEAR_NEWS_MS if near else FAR_NEWS_MS
            if tells_version and peer.distance.same_data_centre:
                self._send(peer)
                continue
            has_news = bool(news) if near else is_tight
            since_ms = now_ms - peer.told_ms
            if since_ms >= interval_ms or (has_news and since_ms >= news_ms):
                self._send(peer)
        self._ask_for_proof(now_ms)

    def broadcast(self) -> None:
        """Tell a change of this node to all others at once."""
        for peer in self._fleet.peers_by_id.values():
            self._send(peer, with_record=True)

    def _organisations_with_news(self, now_ms: float) -> list[str]:
        """Return the organisations whose totals have changed much since told."""
        names = []
        for usage in self._rates.totals(now_ms - USAGE_KEPT_MS):
            told = self._told_by_organisation.get(usage.organisation, 0)
            step = self._rates.rate(usage.organisation) * USAGE_STEP
            if abs(usage.n_admitted - told) >= max(2.0, step):
                names.append(usage.organisation)
        return names

    def _own_node(self) -> str:
        return self._fleet.own.node if self._fleet.own else ""

    def _peer(self, status: Status) -> Peer | None:
        if status.record is not None:
            return self._fleet.learn(status.record)
        peer = self._fleet.peers_by_id.get(status.node)
        if peer is None or peer.record.incarnation != status.incarnation:
            return None
        return peer

    def _ask_for_proof(self, now_ms: float) -> None:
        """Ask the nodes that prove before the others, and a chance one."""
        age_ms = self._config.proof_age_ms()
        if age_ms < PROOF_WANTED_MS or now_ms - self._asked_ms < PROOF_ASK_MS:
            return
        self._asked_ms = now_ms
        asked = self._duty.sources[:N_ASKED]
        if others := self._duty.sources[N_ASKED:]:
            asked.append(self._rng.choice(others))
        for peer in asked:
            address = (peer.record.node, peer.record.status_port)
            nonce = max(1, int(self._clock.boot_ms()))
            self._write(address, None, [], nonce=nonce)

    def _send(self, peer: Peer, with_record: bool = False) -> None:
        own = self._fleet.own
        if own is None or self._transport is None:
            return
        now_ms = self._clock.now_ms()
        is_new = peer.heard_ms is None or self._rng.random() < RECORD_SHARE
        peer.told_ms = now_ms
        usages = self._rates.totals(now_ms - USAGE_KEPT_MS)
        for usage in usages:
            self._told_by_organisation[usage.organisation] = usage.n_admitted
        self._write(
            (peer.record.node, peer.record.status_port),
            own if with_record or is_new else None,
            usages,
        )

    def _write(
        self,
        address: tuple[str, int],
        record: MemberRecord | None,
        usages: list[Usage],
        nonce: int = 0,
        echo: int = 0,
    ) -> None:
        own = self._fleet.own
        if own is None or self._transport is None:
            return
        load = self._fleet.own_load()
        status = Status(
            own.node,
            own.incarnation,
            own.revision,
            record,
            (
                load.n_running,
                load.n_queued,
                load.limit,
                int(load.service_ms),
                int(load.failure_share * 1000.0),
                int(load.pressure * 1000.0),
            ),
            max(0, int(self._cold_ms())),
            self._config.version,
            [(_mark(u.organisation), u.n_asked, u.n_admitted) for u in usages],
            nonce,
            echo,
            int(min(self._config.proof_age_ms(), MAX_AGE_MS)) + 1,
            self._has_lost_store(),
        )
        self._transport.sendto(_encoder.encode(status), address)


def _mark(name: str) -> int:
    return zlib.crc32(name.encode()) & MARK_MASK
