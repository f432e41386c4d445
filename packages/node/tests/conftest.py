"""Fleet of quota and configuration services on an in-process network with faults."""

import asyncio
import random

import pytest
from result import Err, Ok

from ibisspoke_node import config_sync
from ibisspoke_node.config_state import ConfigState
from ibisspoke_node.config_sync import (
    EXCHANGE_CONFIG,
    ConfigSync,
    PeerAddress,
    SyncIdentity,
)
from ibisspoke_node.control import ControlError, ControlErrorKind
from ibisspoke_node.in_force import CatalogueInForce
from ibisspoke_node.quota_service import DRAW, QuotaService
from ibisspoke_node.slot_holder import HolderIdentity, SlotHolder
from ibisspoke_node.slot_store import SlotStore
from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.isolation import IsolationWatch
from ibisspoke_policy.member import Member, MemberState
from ibisspoke_policy.slot_directory import SlotDirectory
from ibisspoke_standins.memory_store import Fault, FaultKind, MemoryStore
from ibisspoke_storage.config_store import ChangeMetadata, ConfigStore

HOST = "10.0.0.1"
MESSAGE_LOST = ControlError(ControlErrorKind.TIMEOUT, "lost", "retry")


class Network:
    """Deliver control messages between nodes, subject to injected faults."""

    def __init__(self):
        self.nodes_by_port = {}
        self.cut = set()
        self.n_lost_replies = 0
        self.doubled = False
        self.n_messages = 0

    def sender(self, data_centre):
        return _Sender(self, data_centre)

    def is_cut(self, one, other):
        return frozenset((one, other)) in self.cut

    async def deliver(self, source, port, method, request):
        self.n_messages += 1
        node = self.nodes_by_port[port]
        if node.stopped or self.is_cut(source, node.data_centre):
            return Err(MESSAGE_LOST)
        if self.doubled:
            await node.handle(method, request)
        reply = await node.handle(method, request)
        if self.n_lost_replies > 0:
            self.n_lost_replies -= 1
            return Err(MESSAGE_LOST)
        return Ok(reply)


class _Sender:
    def __init__(self, network, data_centre):
        self._network = network
        self._data_centre = data_centre

    async def call(self, host, port, method, request, timeout_ms):
        return await self._network.deliver(self._data_centre, port, method, request)


class Peer:
    """Quota and configuration services of one node."""

    def __init__(self, fleet, data_centre, port):
        self.data_centre = data_centre
        self.port = port
        self.id = f"{data_centre}-{port}"
        self.stopped = False
        self.clock = ManualClock()
        self.store = _NodeStore(fleet.store)
        self.catalogue_in_force = CatalogueInForce()
        self.isolation = IsolationWatch(self.clock)
        control = fleet.network.sender(data_centre)
        rng = random.Random(port)
        holder = SlotHolder(
            HolderIdentity(self.id, data_centre, HOST, port),
            self.clock,
            SlotStore(self.store, self.clock, rng),
            SlotDirectory(),
            lambda: [m.id for m in fleet.members() if m.data_centre == data_centre],
        )
        self.quota = QuotaService(holder, control, self.clock)
        self.config = ConfigSync(
            SyncIdentity(self.id, data_centre, PeerAddress(HOST, port)),
            ConfigState(self.catalogue_in_force),
            ConfigStore(self.store, self.store, self.clock),
            control,
            fleet.members,
            holder.directory,
            self.isolation,
            self.clock,
            rng,
        )
        self.catalogue_in_force.subscribe(self.quota.configure)

    async def handle(self, method, request):
        if method is DRAW:
            return self.quota.holder.draw(request)
        assert method is EXCHANGE_CONFIG
        return await self.config.answer(request)

    async def admit(self, organisation, n_requests):
        """Return how many of ``n_requests`` requests get a token."""
        n_admitted = 0
        for _ in range(n_requests):
            now_ms = self.clock.now_ms()
            decision = self.quota.take(organisation, now_ms)
            if decision.may_ask_other_nodes:
                decision = await self.quota.acquire(organisation, now_ms + 1_000.0)
            n_admitted += decision.granted
        return n_admitted


class _NodeStore:
    """The platform store as seen by one node; fails while ``down`` is set."""

    def __init__(self, store):
        self._store = store
        self.down = False
        self._failing_store = MemoryStore()
        self._failing_store.inject(Fault(FaultKind.DOWN))

    def __getattr__(self, name):
        return getattr(self._failing_store if self.down else self._store, name)


class Fleet:
    """Nodes of several data centres, and their platform store."""

    def __init__(self, n_nodes_by_data_centre):
        self.store = MemoryStore()
        self.network = Network()
        self.peers = []
        for data_centre, n_nodes in n_nodes_by_data_centre.items():
            for _ in range(n_nodes):
                self.add(data_centre)

    def add(self, data_centre):
        peer = Peer(self, data_centre, len(self.peers) + 1)
        self.peers.append(peer)
        self.network.nodes_by_port[peer.port] = peer
        return peer

    def members(self):
        return [_member(peer) for peer in self.peers if not peer.stopped]

    async def publish(self, **changes):
        """Publish a change of the catalogue."""
        config = ConfigStore(self.store, self.store, ManualClock())
        base = (await config.read_current_catalogue()).ok_value
        metadata = ChangeMetadata(f"op-{base.version}", "operator", "test")
        published = await config.publish(base, base._replace(**changes), metadata)
        return published.ok_value.version

    async def deliver_pending(self):
        """Wait until messages in flight are delivered."""
        for _ in range(200):
            await asyncio.sleep(0)

    async def run_rounds(self, n_rounds=6):
        """Run rounds in which every node polls, exchanges and renews its slots."""
        for _ in range(n_rounds):
            for peer in self.peers:
                if peer.stopped:
                    continue
                if peer.config.is_poller:
                    await peer.config.poll()
                for other in self._exchange_targets(peer):
                    await peer.config.exchange(PeerAddress(HOST, other.port))
                await peer.quota.holder.step()
            await self.deliver_pending()

    def _exchange_targets(self, peer):
        others = [p for p in self.peers if p is not peer and not p.stopped]
        near = [p for p in others if p.data_centre == peer.data_centre]
        far = [p for p in others if p.data_centre != peer.data_centre]
        return near[:1] + (far if peer.config.is_poller else [])

    def advance(self, by_ms):
        for peer in self.peers:
            peer.clock.advance(by_ms)


def _member(peer):
    version = peer.catalogue_in_force.version
    return Member(
        peer.id,
        0,
        "svealand",
        peer.data_centre,
        HOST,
        0,
        peer.port,
        0,
        "",
        0,
        False,
        MemberState.ALIVE,
        version,
    )


@pytest.fixture
def make_fleet(monkeypatch):
    """Return a function that creates a fleet with a catalogue in force."""
    monkeypatch.setattr(config_sync, "PUSH_DELAY_MS", 0.0)

    async def make(n_nodes_by_data_centre, organisations, n_slots=1):
        fleet = Fleet(n_nodes_by_data_centre)
        await fleet.publish(
            organisations_by_id={row.id: row for row in organisations},
            n_slots_by_data_centre=dict.fromkeys(n_nodes_by_data_centre, n_slots),
        )
        await fleet.run_rounds()
        return fleet

    return make
