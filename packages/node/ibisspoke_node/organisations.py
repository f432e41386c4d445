"""Builds and runs the quota and configuration services of a node."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import NamedTuple

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.isolation import IsolationWatch
from ibisspoke_policy.member import Member, MemberTable
from ibisspoke_policy.slot_directory import SlotDirectory
from ibisspoke_storage.config_reader import ConfigReader
from ibisspoke_storage.http_store import HttpStore
from ibisspoke_storage.store import ObjectStore, TableService

from .addresses import parse_address
from .config_state import ConfigState
from .config_sync import ConfigSync, PeerAddress, SyncIdentity, running_config
from .control import ControlClient, ControlService
from .in_force import CatalogueInForce
from .in_force_report import InForceReporter
from .quota_service import QuotaService, running_quota
from .settings import NodeSettings
from .slot_holder import HolderIdentity, SlotHolder
from .slot_store import SlotStore
from .supervise import running_loops

FINAL_PUSH_TIMEOUT_MS = 500.0


class PlatformStores(NamedTuple):
    """The storage services of the platform that a node uses."""

    table: TableService
    objects: ObjectStore


class OrganisationServices:
    """Keep the catalogue in force up to date and enforce the rate limits.

    :param members_by_id: the nodes of the fleet that this node knows.
    """

    def __init__(
        self,
        settings: NodeSettings,
        stores: PlatformStores,
        catalogue_in_force: CatalogueInForce,
        control: ControlClient,
        members_by_id: MemberTable,
        clock: Clock,
    ) -> None:
        self.settings = settings
        self._members_by_id = members_by_id
        self._present_members: tuple[Member, ...] | None = None
        self._present_local_ids: tuple[str, ...] | None = None
        members_by_id.subscribe(self._on_member_change)
        rng = random.Random()
        directory = SlotDirectory()
        self.isolation = IsolationWatch(clock)
        holder = SlotHolder(
            self._holder_identity(settings.control_port),
            clock,
            SlotStore(stores.table, clock, rng),
            directory,
            self._local_ids,
        )
        self.quota = QuotaService(holder, control, clock)
        self.config = ConfigSync(
            self._sync_identity(settings.control_port),
            ConfigState(catalogue_in_force),
            ConfigReader(stores.table, stores.objects),
            control,
            self._present,
            directory,
            self.isolation,
            clock,
            rng,
        )
        self.reporter = InForceReporter(
            settings.data_centre, self.config, stores.table, clock, rng
        )
        catalogue_in_force.subscribe(self.quota.configure)

    def __repr__(self) -> str:
        return f"OrganisationServices({self.quota!r}, {self.config!r})"

    def register(self, service: ControlService) -> None:
        """Register the handlers for quota draws and configuration exchange."""
        self.quota.register(service)
        self.config.register(service)

    def set_control_port(self, control_port: int) -> None:
        """Set the control port, which identifies this process on its host."""
        self.quota.holder.identity = self._holder_identity(control_port)
        self.config.identity = self._sync_identity(control_port)

    def _holder_identity(self, control_port: int) -> HolderIdentity:
        settings = self.settings
        return HolderIdentity(
            settings.id, settings.data_centre, settings.host, control_port
        )

    def _sync_identity(self, control_port: int) -> SyncIdentity:
        settings = self.settings
        address = PeerAddress(settings.host, control_port)
        return SyncIdentity(settings.id, settings.data_centre, address)

    def _on_member_change(self, member_id: str) -> None:
        self._present_members = None
        self._present_local_ids = None

    def _present(self) -> tuple[Member, ...]:
        if self._present_members is None:
            self._present_members = tuple(self._members_by_id.where(_is_reachable))
        return self._present_members

    def _local_ids(self) -> tuple[str, ...]:
        if self._present_local_ids is None:
            own = self.settings.data_centre
            local = [member for member in self._present() if member.data_centre == own]
            self._present_local_ids = tuple(member.id for member in local)
        return self._present_local_ids


@asynccontextmanager
async def running_organisation_services(
    services: OrganisationServices,
) -> AsyncIterator[None]:
    """Run the configuration and quota services; release the slots at the end."""
    seeds = [PeerAddress(*parse_address(seed)) for seed in services.settings.seeds]
    async with running_config(services.config, seeds):
        async with (
            running_quota(services.quota),
            running_loops(services.reporter.run),
        ):
            yield
        with suppress(TimeoutError):
            async with asyncio.timeout(FINAL_PUSH_TIMEOUT_MS / 1000.0):
                await services.config.push()


def stores_from_settings(settings: NodeSettings) -> PlatformStores | None:
    """Return the platform named in the settings, or None when none is named."""
    if not settings.platform_url:
        return None
    store = HttpStore(settings.platform_url)
    return PlatformStores(store, store)


def _is_reachable(member: Member) -> bool:
    return member.is_present and member.control_port > 0
