"""Assembly of a node from its components."""

import asyncio
import logging
import os
import random
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import NamedTuple

from ibisspoke_policy.admission import AdmissionController
from ibisspoke_policy.admission_controller import UpstreamAdmissionController
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.context import ContextSigner
from ibisspoke_policy.early_shedding import CallChainLevels, EarlyShedder
from ibisspoke_policy.idempotency import ClaimSettings
from ibisspoke_policy.member import Member, MemberState, MemberTable
from ibisspoke_policy.member_index import NodeLocation
from ibisspoke_policy.nearest_router import NearestRouter
from ibisspoke_policy.quota import TokenSource
from ibisspoke_policy.static_split import StaticSplit
from ibisspoke_policy.table import Table

from .acceptance import Acceptance
from .buffer_budget import BufferBudget
from .claims import IdempotentAttemptHandler, KeyOwnerDirectory
from .control import ControlClient, ControlService, control_client, control_server
from .dispatch import Dispatcher
from .entry import Entry, EntryLimits, entry_server
from .executor import Announcement, Executor
from .in_force import CatalogueInForce
from .link_grant_service import LinkGrantService
from .link_pool import LinkPool
from .membership_service import FleetAccess, MembershipService, running_membership
from .metrics import Metrics, StatsdSender
from .node_page import describe, set_gauges
from .organisations import (
    OrganisationServices,
    PlatformStores,
    running_organisation_services,
    stores_from_settings,
)
from .parent_attempts import ParentTable
from .server_link import link_server
from .settings import NodeSettings
from .status import status_server
from .supervise import running_loops

TICK_MS = 50
METRICS_MS = 1_000
DRAIN_NOTICE_MS = 1_000

logger = logging.getLogger(__name__)


class Ports(NamedTuple):
    """Ports on which a node listens."""

    entry: int
    call: int
    control: int
    status: int


class Node:
    """All components of one node.

    :param settings: validated settings.
    :param controller: admission control of this node; an adaptive limit by default.
    :param stores: the platform; without it, rates are divided among the known nodes.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        control: ControlClient,
        controller: AdmissionController | None = None,
        stores: PlatformStores | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.control = control
        self.service = ControlService()
        self.metrics = Metrics(_create_statsd_client(settings))
        self.catalogue_in_force = CatalogueInForce()
        self.budget = BufferBudget(
            settings.max_buffer_bytes, BufferBudget(settings.max_buffer_bytes)
        )
        self.members_by_id: MemberTable = Table("members")
        self.ports = Ports(0, 0, 0, 0)
        signer = ContextSigner(settings.secrets)
        shedder = EarlyShedder()
        parents = ParentTable(settings.id, CallChainLevels(shedder))
        self.controller = controller or UpstreamAdmissionController(
            now_ms=clock.now_ms()
        )
        self.executor = Executor(
            self.controller, parents, signer, clock, self.budget.answers
        )
        claim_settings = ClaimSettings()
        key_owners = KeyOwnerDirectory(self.members_by_id, claim_settings.horizon_ms)
        location = NodeLocation(settings.id, settings.region, settings.data_centre)
        self.handler = IdempotentAttemptHandler(
            location, self.executor, key_owners, claim_settings, clock
        )
        self.links = LinkPool(settings.secrets, self.budget, settings.id)
        self.router = NearestRouter(
            self.members_by_id, location, random.Random(), clock.now_ms()
        )
        access = FleetAccess(
            settings.secrets, settings.seeds, stores.table if stores else None
        )
        self.membership = MembershipService(
            _initial_member(settings, int(clock.wall_ms())),
            self.members_by_id,
            self.router,
            control,
            access,
            clock,
        )
        self.membership.serve(self.service)
        self.dispatcher = Dispatcher(
            settings.id,
            self.router,
            self.links,
            self.handler,
            parents,
            key_owners,
            shedder,
            clock,
        )
        self.link_grants = LinkGrantService(
            self.members_by_id, location, self.router.budget, control, clock
        )
        self.link_grants.register(self.service)
        self.dispatcher.link_capacity = self.link_grants
        self.handler.forward = self.dispatcher.forward
        self.handler.is_cut_off = lambda: self.membership.membership.is_cut_off
        self.organisations = self._create_organisations(stores)
        acceptance = Acceptance(
            settings.id,
            self.catalogue_in_force,
            self._create_token_source(),
            signer,
            clock,
            self.organisations.isolation if self.organisations else None,
        )
        self.entry = Entry(
            acceptance, self.dispatcher, self.budget, self.metrics, clock
        )

    def __repr__(self) -> str:
        return f"Node({self.settings.id!r}, {self.ports})"

    def _create_organisations(
        self, stores: PlatformStores | None
    ) -> OrganisationServices | None:
        if stores is None:
            return None
        organisations = OrganisationServices(
            self.settings,
            stores,
            self.catalogue_in_force,
            self.control,
            self.members_by_id,
            self.clock,
        )
        organisations.register(self.service)
        return organisations

    def _create_token_source(self) -> TokenSource:
        if self.organisations is not None:
            return self.organisations.quota
        return StaticSplit(
            lambda: self.catalogue_in_force.limits,
            lambda: len(self.members_by_id),
        )

    def own_member(self) -> Member:
        """Return the member row of this node."""
        return self.membership.own

    def announce(self, announcement: Announcement) -> None:
        """Apply an announcement of the upstream of this VM and pass it to the fleet."""
        self.executor.announce(announcement)
        self.membership.announce(
            service=announcement.service,
            n_slots=announcement.capacity.n_slots,
            draining=announcement.capacity.draining or self.executor.stopping,
        )

    async def run_ticks(self) -> None:
        """Run the periodic work of the components, until cancelled."""
        flushed_ms = self.clock.now_ms()
        while True:
            await asyncio.sleep(TICK_MS / 1000.0)
            self.executor.tick()
            self.handler.tick()
            self.entry.tick()
            self.links.tick()
            now_ms = self.clock.now_ms()
            if now_ms - flushed_ms >= METRICS_MS:
                flushed_ms = now_ms
                set_gauges(self)
                self.membership.membership.set_catalogue_version(
                    self.catalogue_in_force.version
                )
                self.metrics.flush()

    async def drain(self) -> None:
        """Stop without aborting a request.

        The fleet is notified first; requests that still arrive are sent to other
        nodes. The entry listens until the requests at the upstream, which may make
        nested calls through it, have ended.
        """
        started_ms = self.clock.now_ms()
        self.membership.announce(draining=True)
        self.entry.stopping = True
        await self.executor.drain(self.settings.drain_timeout_ms)
        since_notice_ms = self.clock.now_ms() - started_ms
        await asyncio.sleep(max(0.0, DRAIN_NOTICE_MS - since_notice_ms) / 1000.0)
        await self.entry.drain(self.settings.drain_timeout_ms)
        await self.membership.leave()


@asynccontextmanager
async def running_node(
    settings: NodeSettings,
    clock: Clock,
    controller: AdmissionController | None = None,
    stores: PlatformStores | None = None,
) -> AsyncIterator[Node]:
    """Run a node while the context is open.

    :param stores: the platform; by default the one given in the settings.
    """
    async with AsyncExitStack() as stack:
        control = await stack.enter_async_context(control_client(settings.secrets))
        stores = stores or stores_from_settings(settings)
        node = Node(settings, clock, control, controller, stores)
        await _start_servers(stack, node)
        node.membership.announce(
            call_port=node.ports.call,
            control_port=node.ports.control,
            entry_port=node.ports.entry,
        )
        await stack.enter_async_context(
            running_membership(
                node.membership, settings.secrets, settings.membership_port
            )
        )
        await stack.enter_async_context(running_loops(node.run_ticks))
        stack.callback(node.executor.close)
        stack.callback(node.handler.close)
        stack.callback(node.links.close)
        stack.callback(node.link_grants.close)
        if node.organisations is not None:
            node.organisations.set_control_port(node.ports.control)
            await stack.enter_async_context(
                running_organisation_services(node.organisations)
            )
        logger.info("node started", extra={"node": settings.id, "pid": os.getpid()})
        yield node


def _initial_member(settings: NodeSettings, incarnation: int) -> Member:
    return Member(
        id=settings.id,
        incarnation=incarnation,
        region=settings.region,
        data_centre=settings.data_centre,
        host=settings.host,
        call_port=0,
        control_port=0,
        entry_port=0,
        service="",
        n_slots=0,
        draining=False,
        state=MemberState.ALIVE,
        catalogue_version=0,
    )


async def _start_servers(stack: AsyncExitStack, node: Node) -> None:
    settings = node.settings
    call_port = await stack.enter_async_context(
        link_server(
            node.handler,
            settings.secrets,
            node.budget,
            settings.host,
            settings.call_port,
        )
    )
    control_port = await stack.enter_async_context(
        control_server(
            node.service, settings.secrets, settings.host, settings.control_port
        )
    )
    limits = EntryLimits(settings.max_body_bytes, settings.max_header_bytes)
    entry_port = await stack.enter_async_context(
        entry_server(node.entry, limits, settings.host, settings.entry_port)
    )
    status_port = await stack.enter_async_context(
        status_server(node.announce, lambda: describe(node), settings.status_port)
    )
    node.ports = Ports(entry_port, call_port, control_port, status_port)


def _create_statsd_client(settings: NodeSettings) -> StatsdSender | None:
    if not settings.statsd_host:
        return None
    from statsd import StatsClient

    client: StatsdSender = StatsClient(
        settings.statsd_host, settings.statsd_port, prefix=settings.statsd_prefix
    )
    return client
