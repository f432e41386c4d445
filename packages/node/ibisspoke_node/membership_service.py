"""Runs the membership policy of this node over sockets."""

import asyncio
import logging
import random
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager, suppress
from typing import Any, NamedTuple

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.link_budget import LinkTraffic
from ibisspoke_policy.member import Member, MemberTable
from ibisspoke_policy.member_index import NodeLocation
from ibisspoke_policy.membership import Membership
from ibisspoke_policy.membership_messages import (
    Action,
    Changed,
    Check,
    MembershipMessage,
    ReachChanged,
    Reply,
    Send,
    Synchronise,
)
from ibisspoke_policy.nearest_router import NearestRouter
from ibisspoke_policy.watch_plan import WatchPlan
from ibisspoke_storage.store import TableService

from .addresses import NodeAddress, parse_address
from .control import ControlClient, ControlService
from .datagrams import Address, DatagramSocket, datagram_socket
from .direct_check import check_directly, serve_checks
from .member_rows import MemberRows
from .row_sweeper import RowSweeper
from .supervise import running_loops
from .view_exchange import ViewExchange

TICK_MS = 100.0
JOIN_RETRY_MS = 1_000.0
MAX_JOIN_RETRY_MS = 10_000.0
JOIN_CHECK_PERIOD_MS = 60_000.0
ROW_WRITE_PERIOD_MS = 1_800_000.0
LEAVE_NOTICE_MS = 200.0
N_JOIN_PEERS = 3

logger = logging.getLogger(__name__)


class FleetAccess(NamedTuple):
    """How this node finds other nodes and authenticates to them.

    :param seeds: control addresses ``host:port``.
    :param table: the platform's table service; None without a platform.
    """

    secrets: tuple[bytes, ...]
    seeds: tuple[str, ...]
    table: TableService | None = None


class MembershipService:
    """Run the membership policy: execute its actions and pass messages to it.

    :param own: row of this node; its ports are announced once they are known.
    :param members: the member table to maintain.
    :param router: is told which data centres are unreachable.
    """

    def __init__(
        self,
        own: Member,
        members: MemberTable,
        router: NearestRouter,
        control: ControlClient,
        access: FleetAccess,
        clock: Clock,
        plan: WatchPlan | None = None,
    ) -> None:
        self._rng = random.Random()
        self.membership = Membership(own, members, self._rng, clock.now_ms(), plan=plan)
        self._router = router
        self._access = access
        self._clock = clock
        self._socket: DatagramSocket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._exchange = ViewExchange(self.membership.view, self._merge, control)
        self._rows = MemberRows(access.table) if access.table is not None else None
        self._row_written_ms: float | None = None
        location = NodeLocation(own.id, own.region, own.data_centre)
        self.sweeper = (
            RowSweeper(self._rows, self.membership, location, clock)
            if self._rows is not None
            else None
        )
        self._seeds = [parse_address(seed) for seed in access.seeds]
        router.observe(self)

    def __repr__(self) -> str:
        return f"MembershipService({self.membership!r})"

    @property
    def own(self) -> Member:
        """The row of this node."""
        return self.membership.own

    @property
    def n_sent_bytes(self) -> int:
        """Bytes of datagrams sent."""
        return self._socket.n_sent_bytes if self._socket is not None else 0

    @property
    def n_received_bytes(self) -> int:
        """Bytes of datagrams received."""
        return self._socket.n_received_bytes if self._socket is not None else 0

    def serve(self, service: ControlService) -> None:
        """Register the handlers for checks and view comparisons.

        Call this before the control server listens.
        """
        serve_checks(service, self.own.id)
        self._exchange.serve(service)

    def attach_socket(self, socket: DatagramSocket, port: int) -> None:
        """Send and receive messages through ``socket``."""
        self._socket = socket
        socket.set_receiver(self.receive)
        self.announce(membership_port=port)

    def announce(self, **fields: Any) -> None:
        """Update fields of the own row; announce the row if any has changed."""
        own = self.own
        if own._replace(**fields) != own:
            self._run_actions(self.membership.announce(self._clock.now_ms(), **fields))

    def call_answered(self, member_id: str) -> None:
        """Record an answer to a call as proof that the member is alive."""
        self.membership.record_sign_of_life(member_id)

    def call_unanswered(self, member_id: str) -> None:
        """Check a member that did not answer several calls."""
        now_ms = self._clock.now_ms()
        self._run_actions(self.membership.connection_lost(member_id, now_ms))

    def receive(self, message: MembershipMessage, source: Address) -> None:
        """Pass a message to the policy."""
        actions = self.membership.receive(message, self._clock.now_ms())
        self._run_actions(actions, source)

    async def leave(self) -> None:
        """Announce that this node leaves, and remove its row from the table.

        The other nodes then stop sending to it.
        """
        self._run_actions(self.membership.leave(self._clock.now_ms()))
        if self._rows is not None:
            with suppress(TimeoutError):
                removing = self._rows.remove(self.own)
                await asyncio.wait_for(removing, LEAVE_NOTICE_MS / 1000.0)
        await asyncio.sleep(LEAVE_NOTICE_MS / 1000.0)

    async def run_ticks(self) -> None:
        """Run the policy each tick, until cancelled."""
        while True:
            self._run_actions(self.membership.tick(self._clock.now_ms()))
            await asyncio.sleep(TICK_MS / 1000.0)

    async def run_joining(self) -> None:
        """Find other nodes at the start, and again while some cannot be reached."""
        retry_ms = JOIN_RETRY_MS
        while not await self._join():
            await asyncio.sleep(retry_ms / 1000.0)
            retry_ms = min(2.0 * retry_ms, MAX_JOIN_RETRY_MS)
        while True:
            period_ms = JOIN_CHECK_PERIOD_MS * self._rng.uniform(0.75, 1.25)
            await asyncio.sleep(period_ms / 1000.0)
            await self.write_row()
            is_split = self.membership.is_relay and self.membership.unreachable
            if self._is_alone or is_split:
                await self._join()

    def stop(self) -> None:
        """Cancel the running tasks."""
        for task in list(self._tasks):
            task.cancel()

    @property
    def _is_alone(self) -> bool:
        return len(self.membership.view.members) < 2

    async def _join(self) -> bool:
        """Compare views with seeds and with some of the nodes in the table.

        :returns: whether another node answered or none is known.
        """
        await self.write_row()
        own_address = (self.own.host, self.own.control_port)
        addresses = [seed for seed in self._seeds if seed != own_address]
        if self._rows is not None:
            rows = [row for row in await self._rows.read() if row.id != self.own.id]
            sampled = self._rng.sample(rows, min(N_JOIN_PEERS, len(rows)))
            addresses.extend(NodeAddress(row.host, row.control_port) for row in sampled)
        self._rng.shuffle(addresses)
        is_answered = False
        for address in addresses:
            is_answered |= await self._exchange.exchange(*address)
            if is_answered and not self.membership.unreachable:
                break
        if is_answered:
            self._run_actions(self.membership.announce(self._clock.now_ms()))
        return is_answered or not addresses

    async def write_row(self) -> None:
        """Write the own row if it is due, because a sweep may have removed it."""
        now_ms = self._clock.now_ms()
        written_ms = self._row_written_ms
        is_fresh = written_ms is not None and now_ms - written_ms < ROW_WRITE_PERIOD_MS
        if self._rows is None or is_fresh:
            return
        if await self._rows.write(self.own):
            self._row_written_ms = now_ms

    def _merge(self, rows: list[Member]) -> None:
        self._run_actions(self.membership.merge(rows, self._clock.now_ms()))

    def _run_actions(
        self, actions: list[Action], source: Address | None = None
    ) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, Reply):
                if source is not None and self._socket is not None:
                    self._socket.send(action.message, source)
            elif isinstance(action, Check):
                self._start_task(self._check(action.member_id))
            elif isinstance(action, Synchronise):
                self._start_task(self._synchronise(action.member_id))
            else:
                self._report_change(action)

    def _send(self, action: Send) -> None:
        member = self.membership.view.members.get(action.member_id)
        if member is None or self._socket is None or not member.membership_port:
            return
        address = (member.host, member.membership_port)
        n_bytes = self._socket.send(action.message, address)
        if member.region != self.own.region:
            now_ms = self._clock.now_ms()
            self._router.budget.spend(LinkTraffic.CONTROL, n_bytes, now_ms)

    def _report_change(self, action: Changed | ReachChanged) -> None:
        if isinstance(action, ReachChanged):
            self._router.set_unreachable(action.unreachable)
            logger.warning(
                "reachability of data centres changed",
                extra={"unreachable": sorted(action.unreachable)},
            )
            return
        member = self.membership.view.members.get(action.member_id)
        if member is not None and member.id != self.own.id:
            logger.info(
                "member changed",
                extra={"member": member.id, "state": member.state.value},
            )

    async def _check(self, member_id: str) -> None:
        member = self.membership.view.present(member_id)
        if member is None:
            return
        started_ms = self._clock.now_ms()
        evidence = await check_directly(member, self.own.id, self._access.secrets)
        now_ms = self._clock.now_ms()
        self._run_actions(
            self.membership.handle_check_result(member_id, evidence, started_ms, now_ms)
        )

    async def _synchronise(self, member_id: str) -> None:
        member = self.membership.view.present(member_id)
        is_answered = member is not None and await self._exchange.exchange(
            member.host, member.control_port
        )
        self.membership.handle_comparison_result(is_answered, self._clock.now_ms())

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(_log_failure)


def _log_failure(task: "asyncio.Task[None]") -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.error("membership task failed", exc_info=task.exception())


@asynccontextmanager
async def running_membership(
    service: MembershipService, secrets: tuple[bytes, ...], port: int
) -> AsyncIterator[None]:
    """Run the membership of this node while the context is open.

    :param port: UDP port; 0 lets the kernel choose one.
    """
    async with datagram_socket(secrets, service.own.host, port) as (socket, bound):
        service.attach_socket(socket, bound)
        try:
            async with running_loops(service.run_ticks, service.run_joining):
                yield
        finally:
            service.stop()
