"""Keeps the catalogue in force up to date.

A few nodes of each data centre poll the platform; the others get new versions from
their peers.
"""

import asyncio
import logging
import random
from collections.abc import (
    AsyncIterator,
    Callable,
    Collection,
    Coroutine,
    Sequence,
)
from contextlib import asynccontextmanager
from typing import Any, NamedTuple, Protocol

from result import Err, Ok, Result

from ibisspoke_policy.backoff import Backoff
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.config_messages import ConfigQuery, ConfigReply
from ibisspoke_policy.isolation import IsolationWatch
from ibisspoke_policy.member import Member
from ibisspoke_policy.rendezvous import rank_of
from ibisspoke_policy.slot_directory import SlotAddress, SlotDirectory

from .config_state import ConfigState
from .control import ControlError, ControlService, Method
from .supervise import running_loops
from .version_reader import VersionReader

EXCHANGE_CONFIG = Method("ExchangeConfig", ConfigQuery, ConfigReply)
N_POLLERS = 2
N_PUSH_PEERS = 3
N_BOOT_PEERS = 3
POLL_INTERVAL_MS = 1_000.0
PULL_INTERVAL_MS = 2_000.0
PUSH_DELAY_MS = 10.0
QUERY_TIMEOUT_MS = 2_000.0
MAX_REPLY_AGE_MS = 10_000.0  # a node without newer replies polls the platform itself

logger = logging.getLogger(__name__)


class PeerAddress(NamedTuple):
    """Address at which a node serves control messages."""

    host: str
    control_port: int


class SyncIdentity(NamedTuple):
    """Identity and address of this node."""

    node_id: str
    data_centre: str
    address: PeerAddress


class ConfigCaller(Protocol):
    """Send control messages to other nodes."""

    async def call(
        self,
        host: str,
        port: int,
        method: Method[ConfigQuery, ConfigReply],
        request: ConfigQuery,
        timeout_ms: float,
    ) -> Result[ConfigReply, ControlError]:
        """Send ``request`` and wait for its reply."""


class _Peers(NamedTuple):
    """The other nodes, grouped by data centre.

    :param members: the members that were grouped.
    :param near: those in the data centre of this node.
    :param far: those in other data centres.
    :param rank: rank of this node among those of its data centre.
    """

    members: tuple[Member, ...]
    near: tuple[Member, ...]
    far: tuple[Member, ...]
    rank: int


class ConfigSync:
    """Poll the platform, pull from peers, and push changes to them.

    :param members: returns the present members of the fleet; the tuple is the same
        object until they change.
    """

    def __init__(
        self,
        identity: SyncIdentity,
        state: ConfigState,
        reader: VersionReader,
        control: ConfigCaller,
        members: Callable[[], tuple[Member, ...]],
        directory: SlotDirectory,
        isolation: IsolationWatch,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.identity = identity
        self.state = state
        self.directory = directory
        self.isolation = isolation
        self._reader = reader
        self._control = control
        self._members = members
        self._cached_peers: _Peers | None = None
        self._clock = clock
        self._rng = rng
        self._backoff = Backoff(rng)
        self._last_reply_ms = clock.now_ms()
        self._pushed_version = state.version
        self._unpushed_addresses: set[SlotAddress] = set()
        self._is_push_scheduled = False
        self._tasks: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        return f"ConfigSync({self.identity.node_id!r}, version={self.state.version})"

    def register(self, service: ControlService) -> None:
        """Serve queries of peers."""
        service.register(EXCHANGE_CONFIG, self.answer)

    async def answer(self, query: ConfigQuery) -> ConfigReply:
        """Apply what a peer sends and return what it is missing."""
        self._record_contact(query.data_centre)
        self.directory.merge(query.addresses)
        self.state.adopt_deltas(query.deltas)
        self.schedule_push()
        if query.version > self.state.version:
            self._start_task(self.exchange(PeerAddress(query.host, query.control_port)))
        reply = self.state.reply(
            query, self.identity.data_centre, self.isolation.isolated_ms
        )
        if query.directory_digest == self.directory.digest:
            return reply
        return reply._replace(addresses=self.directory.addresses)

    async def exchange(self, peer: PeerAddress) -> None:
        """Get the changes that ``peer`` has, and send it those that it is missing."""
        sent_elapsed_ms = self._clock.elapsed_ms()
        answer = await self._query(peer, self._build_query())
        if answer is None:
            return
        self._last_reply_ms = self._clock.now_ms()
        self._record_contact(answer.data_centre)
        self.isolation.record_peer_contact(answer.isolated_ms, sent_elapsed_ms)
        self.directory.merge(answer.addresses)
        self.state.adopt_reply(answer)
        self.schedule_push()
        if answer.version < self.state.version:
            await self._query(peer, self._build_query(with_latest_deltas=True))

    async def poll(self) -> bool:
        """Adopt a newer version from the platform; return whether it answered."""
        current = await self._reader.read_current_version()
        if isinstance(current, Err):
            return False
        self.isolation.record_contact()
        if current.ok_value.version <= self.state.version:
            return True
        snapshot = await self._reader.read_catalogue(
            current.ok_value, self.state.catalogue
        )
        if isinstance(snapshot, Ok):
            self.state.adopt(snapshot.ok_value)
            self.schedule_push()
        return snapshot.is_ok()

    async def boot(self, seeds: Collection[PeerAddress]) -> None:
        """Query several peers and the platform, and adopt the highest version."""
        peers = list(seeds) or [_address(member) for member in self._other_members()]
        chosen = self._rng.sample(peers, min(N_BOOT_PEERS, len(peers)))
        await asyncio.gather(self.poll(), *(self.exchange(peer) for peer in chosen))

    def schedule_push(self) -> None:
        """Schedule a push to some peers of the changes since the last push."""
        changed_addresses = self.directory.take_changes()
        self._unpushed_addresses.update(changed_addresses)
        changed = self.state.version > self._pushed_version
        if (changed or self._unpushed_addresses) and not self._is_push_scheduled:
            self._is_push_scheduled = True
            self._start_task(self._push_after_delay())

    @property
    def is_poller(self) -> bool:
        """Whether this node reads the version from the platform."""
        if self._clock.now_ms() - self._last_reply_ms > MAX_REPLY_AGE_MS:
            return True
        return self._rank < N_POLLERS

    @property
    def is_reporter(self) -> bool:
        """Whether this node reports the version in force in its data centre."""
        return self._rank == 0

    @property
    def version(self) -> int:
        """Version in force at this node."""
        return self.state.version

    def local_peers(self) -> list[PeerAddress]:
        """Return the other nodes of the data centre."""
        return [_address(member) for member in self._near_members()]

    async def query_version(self, peer: PeerAddress) -> int | None:
        """Return the version in force at ``peer``, or None without an answer."""
        answer = await self._query(peer, self._build_query())
        return None if answer is None else answer.version

    @property
    def _rank(self) -> int:
        """Rank of this node among those of its data centre."""
        return self._peers().rank

    async def run_polls(self) -> None:
        """Poll while this node is one of the pollers, until cancelled."""
        while True:
            wait_ms = self._backoff.jittered_ms(POLL_INTERVAL_MS)
            if self.is_poller:
                if await self.poll():
                    self._backoff.succeeded()
                else:
                    wait_ms = self._backoff.next_delay_ms()
            await asyncio.sleep(wait_ms / 1000.0)

    async def run_pulls(self) -> None:
        """Exchange changes with random peers, until cancelled."""
        while True:
            await asyncio.sleep(self._backoff.jittered_ms(PULL_INTERVAL_MS) / 1000.0)
            near = self._near_members()
            if near:
                await self.exchange(_address(self._rng.choice(near)))
            far = self._far_members() if self.is_poller else []
            if far:
                await self.exchange(_address(self._rng.choice(far)))

    async def push(self) -> None:
        """Push the changes since the last push without delay, before a planned stop."""
        self._unpushed_addresses.update(self.directory.take_changes())
        await self._send_changes()

    async def _push_after_delay(self) -> None:
        await asyncio.sleep(PUSH_DELAY_MS / 1000.0)
        self._is_push_scheduled = False
        await self._send_changes()

    async def _send_changes(self) -> None:
        query = self._build_query(
            with_latest_deltas=self.state.version > self._pushed_version
        )
        query = query._replace(addresses=sorted(self._unpushed_addresses))
        self._pushed_version = self.state.version
        self._unpushed_addresses.clear()
        near = self._near_members()
        chosen = self._rng.sample(near, min(N_PUSH_PEERS, len(near)))
        if self.is_poller:
            far = self._far_members()
            chosen += self._rng.sample(far, min(1, len(far)))
        await asyncio.gather(
            *(self._query(_address(member), query) for member in chosen)
        )

    async def _query(self, peer: PeerAddress, query: ConfigQuery) -> ConfigReply | None:
        answer = await self._control.call(
            peer.host, peer.control_port, EXCHANGE_CONFIG, query, QUERY_TIMEOUT_MS
        )
        return None if isinstance(answer, Err) else answer.ok_value

    def _build_query(self, with_latest_deltas: bool = False) -> ConfigQuery:
        own = self.identity
        return ConfigQuery(
            own.address.host,
            own.address.control_port,
            own.data_centre,
            self.state.version,
            self.directory.digest,
            self.state.latest_deltas if with_latest_deltas else [],
            [],
        )

    def _record_contact(self, data_centre: str) -> None:
        if data_centre != self.identity.data_centre:
            self.isolation.record_contact()

    def _other_members(self) -> Sequence[Member]:
        peers = self._peers()
        return (*peers.near, *peers.far)

    def _near_members(self) -> Sequence[Member]:
        return self._peers().near

    def _far_members(self) -> Sequence[Member]:
        return self._peers().far

    def _peers(self) -> "_Peers":
        """Return the other nodes, grouped again only after a change."""
        members = self._members()
        if self._cached_peers is None or self._cached_peers.members is not members:
            self._cached_peers = _group_peers(members, self.identity)
        return self._cached_peers

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel the running tasks."""
        for task in list(self._tasks):
            task.cancel()


def _group_peers(members: tuple[Member, ...], own: SyncIdentity) -> _Peers:
    others = [member for member in members if member.id != own.node_id]
    near = tuple(peer for peer in others if peer.data_centre == own.data_centre)
    far = tuple(peer for peer in others if peer.data_centre != own.data_centre)
    names = {peer.id for peer in near} | {own.node_id}
    rank = rank_of(f"config-poller/{own.data_centre}", own.node_id, names)
    return _Peers(members, near, far, rank)


@asynccontextmanager
async def running_config(
    sync: ConfigSync, seeds: Collection[PeerAddress]
) -> AsyncIterator[ConfigSync]:
    """Boot, then poll and pull while the context is open."""
    await sync.boot(seeds)
    try:
        async with running_loops(sync.run_polls, sync.run_pulls):
            yield sync
    finally:
        sync.close()


def _address(member: Member) -> PeerAddress:
    return PeerAddress(member.host, member.control_port)
