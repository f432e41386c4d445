"""Runs quota and configuration of nodes over real control connections on loopback."""

import asyncio
import asyncio.selector_events
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager
from typing import Any, NamedTuple

from result import Err

from ibisspoke_node.control import (
    ControlClient,
    ControlError,
    ControlErrorKind,
    ControlService,
    control_client,
    control_server,
)
from ibisspoke_node.in_force import CatalogueInForce
from ibisspoke_node.organisations import (
    OrganisationServices,
    PlatformStores,
    running_organisation_services,
)
from ibisspoke_node.settings import NodeSettings
from ibisspoke_policy.catalogue import Catalogue
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.member import Member, MemberState, MemberTable
from ibisspoke_policy.table import Table
from ibisspoke_standins.memory_store import MemoryStore
from ibisspoke_storage.config_store import ChangeMetadata, ConfigStore
from ibisspoke_storage.http_store import HttpStore

HOST = "127.0.0.1"
SECRETS = (b"benchmark fleet secret",)
PARTITION_ERROR = ControlError(
    ControlErrorKind.UNREACHABLE, "partitioned", "wait until it heals"
)


class DataCentreSpec(NamedTuple):
    """Region and number of nodes of a data centre."""

    id: str
    region: str
    n_nodes: int


class Network:
    """Simulates delays and partitions between data centres, and counts bytes.

    :param near_ms: round-trip time between data centres of one region.
    :param far_ms: round-trip time between regions.
    """

    def __init__(
        self, region_by_data_centre: Mapping[str, str], near_ms: float, far_ms: float
    ) -> None:
        self._region_by_data_centre = region_by_data_centre
        self._near_ms = near_ms
        self._far_ms = far_ms
        self.data_centre_by_port: dict[int, str] = {}
        self.partitioned: set[str] = set()
        self.n_bytes = 0
        self.n_calls = 0

    def round_trip_ms(self, one: str, other: str) -> float:
        """Return the round-trip time between two data centres."""
        if one == other:
            return 0.0
        regions = self._region_by_data_centre
        return self._near_ms if regions[one] == regions[other] else self._far_ms

    def is_partitioned(self, one: str, other: str) -> bool:
        """Return whether a partition separates two data centres."""
        return one != other and (one in self.partitioned or other in self.partitioned)

    @contextmanager
    def counting_bytes(self) -> Iterator[None]:
        """Count the bytes that all connections of this process write."""
        transport: Any = asyncio.selector_events._SelectorSocketTransport  # type: ignore[attr-defined]
        write = transport.write

        def counting_write(sender: Any, data: bytes) -> None:
            self.n_bytes += len(data)
            write(sender, data)

        transport.write = counting_write
        try:
            yield
        finally:
            transport.write = write


class DelayedControl:
    """Control client of one node that applies the simulated network."""

    def __init__(
        self, client: ControlClient, network: Network, data_centre: str
    ) -> None:
        self._client = client
        self._network = network
        self._data_centre = data_centre

    async def call(
        self, host: str, port: int, method: Any, request: Any, timeout_ms: float
    ) -> Any:
        """Send ``request`` after the delay to the data centre of ``port``."""
        network = self._network
        other = network.data_centre_by_port[port]
        network.n_calls += 1
        if network.is_partitioned(self._data_centre, other):
            await asyncio.sleep(min(timeout_ms, 100.0) / 1000.0)
            return Err(PARTITION_ERROR)
        await asyncio.sleep(network.round_trip_ms(self._data_centre, other) / 1000.0)
        return await self._client.call(host, port, method, request, timeout_ms)


class BenchNode(NamedTuple):
    """One node and its services."""

    id: str
    data_centre: str
    services: OrganisationServices
    catalogue_in_force: CatalogueInForce
    stack: AsyncExitStack


Store = MemoryStore | HttpStore


class BenchFleet:
    """Nodes in this process that share a member table."""

    def __init__(self, network: Network, store: Store, process_number: int = 0) -> None:
        self._process_number = process_number
        self.network = network
        self.store = store
        self.members: MemberTable = Table("members")
        self.nodes: list[BenchNode] = []
        self.clock = Clock()

    async def add(self, spec: DataCentreSpec) -> BenchNode:
        """Start one node."""
        number = len(self.nodes)
        stack = AsyncExitStack()
        node_id = f"{spec.id}-{self._process_number}-{number}"
        settings = NodeSettings(node_id, spec.region, spec.id, HOST, "", SECRETS)
        client = await stack.enter_async_context(control_client(SECRETS))
        control: Any = DelayedControl(client, self.network, spec.id)
        catalogue_in_force = CatalogueInForce()
        stores = PlatformStores(self.store, self.store)
        services = OrganisationServices(
            settings, stores, catalogue_in_force, control, self.members, self.clock
        )
        service = ControlService()
        services.register(service)
        port = await stack.enter_async_context(
            control_server(service, SECRETS, HOST, 0)
        )
        services.set_control_port(port)
        self.network.data_centre_by_port[port] = spec.id
        self.members.put(node_id, _member(node_id, spec, port))
        node = BenchNode(node_id, spec.id, services, catalogue_in_force, stack)
        self.nodes.append(node)
        return node

    async def stop(self, node: BenchNode) -> None:
        """Remove one node from the member table and stop it."""
        self.members.pop(node.id)
        self.nodes.remove(node)
        await node.stack.aclose()

    def add_remote(self, member: Member) -> None:
        """Add a node of another process to the member table."""
        self.network.data_centre_by_port[member.control_port] = member.data_centre
        self.members.put(member.id, member)

    async def start(self, n_slots: int) -> None:
        """Start all nodes; wait until each knows the holders of ``n_slots`` slots."""
        starts = [
            node.stack.enter_async_context(running_organisation_services(node.services))
            for node in self.nodes
        ]
        await asyncio.gather(*starts)
        await _wait_for_slots(self, n_slots)

    async def close(self) -> None:
        """Stop all nodes of this process."""
        for node in list(self.nodes):
            await self.stop(node)

    async def publish(self, catalogue: Catalogue) -> int:
        """Publish ``catalogue`` and return its version."""
        config = ConfigStore(self.store, self.store, self.clock)
        base = (await config.read_current_catalogue()).unwrap()
        metadata = ChangeMetadata(f"operation-{base.version}", "benchmark", "measure")
        return (await config.publish(base, catalogue, metadata)).unwrap().version


@asynccontextmanager
async def running_fleet(
    specs: list[DataCentreSpec], network: Network, catalogue: Catalogue
) -> AsyncIterator[BenchFleet]:
    """Run all nodes in this process with ``catalogue`` in force."""
    fleet = BenchFleet(network, MemoryStore())
    try:
        await fleet.publish(catalogue)
        for spec in specs:
            for _ in range(spec.n_nodes):
                await fleet.add(spec)
        await fleet.start(sum(catalogue.n_slots_by_data_centre.values()))
        yield fleet
    finally:
        await fleet.close()


async def _wait_for_slots(fleet: BenchFleet, n_slots: int) -> None:
    def is_ready(node: BenchNode) -> bool:
        directory = node.services.config.directory
        held = [address for address in directory.addresses if address.host]
        return len(held) == n_slots

    for _ in range(600):
        if all(is_ready(node) for node in fleet.nodes):
            return
        await asyncio.sleep(0.05)
    raise RuntimeError(
        "quota slots had no holder within 30 s; is the machine overloaded?"
    )


def _member(node_id: str, spec: DataCentreSpec, port: int) -> Member:
    return Member(
        node_id,
        0,
        spec.region,
        spec.id,
        HOST,
        0,
        port,
        0,
        "",
        0,
        False,
        MemberState.ALIVE,
        0,
    )
