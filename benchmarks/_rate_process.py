"""Runs nodes of one data centre for rate.py, controlled by JSON lines."""

import asyncio
import sys
import time
from collections.abc import Sequence
from contextlib import AsyncExitStack
from typing import Any, NamedTuple

import msgspec
from _control_fleet import BenchFleet, BenchNode, DataCentreSpec, Network
from _rate_load import SITE_BY_NAME, Arrival, arrivals_of

from ibisspoke_policy.member import Member
from ibisspoke_standins.memory_store import Fault, FaultKind, MemoryStore
from ibisspoke_standins.platform import serve_platform
from ibisspoke_storage.http_store import HttpStore

DEADLINE_MS = 500.0
DRAIN_MS = 1_000.0


class SiteRun(NamedTuple):
    """One run of a site.

    :param number: number of the data centre whose nodes this process runs.
    :param platform_url: empty if this process serves the platform.
    """

    site: str
    duration_s: float
    overloaded: bool
    with_faults: bool
    number: int
    platform_url: str


class Start(NamedTuple):
    """Start command; times are monotonic milliseconds of this machine."""

    members: list[Member]
    start_ms: float


class Measured(NamedTuple):
    """Results of the nodes of one process."""

    admitted_by_organisation: dict[str, list[float]]
    waits_ms: list[float]
    n_bytes: int
    n_calls: int
    cpu_share: float


class LoadGenerator:
    """Sends the requests of this data centre at their scheduled times."""

    def __init__(self, fleet: BenchFleet, run: SiteRun) -> None:
        self._fleet = fleet
        self._run = run
        self._nodes: list[BenchNode] = list(fleet.nodes)
        self._wait_tasks: set[asyncio.Task[None]] = set()
        self.admitted_by_organisation: dict[str, list[float]] = {}
        self.waits_ms: list[float] = []

    async def send(self, start_ms: float) -> None:
        """Send all requests and wait for those that need tokens from other nodes."""
        clock = self._fleet.clock
        for arrival in self._arrivals():
            due_ms = start_ms + arrival.at_ms
            while (now_ms := clock.now_ms()) < due_ms:
                await asyncio.sleep((due_ms - now_ms) / 1000.0)
            self._send_request(arrival, start_ms)
        await asyncio.gather(*self._wait_tasks)

    def _arrivals(self) -> Sequence[Arrival]:
        run = self._run
        site = SITE_BY_NAME[run.site]
        first = run.number * site.n_nodes_each
        arrivals = arrivals_of(site, run.duration_s, run.overloaded)
        return [
            arrival._replace(node=arrival.node - first)
            for arrival in arrivals
            if 0 <= arrival.node - first < site.n_nodes_each
        ]

    def _send_request(self, arrival: Arrival, start_ms: float) -> None:
        node = self._nodes[arrival.node]
        if node not in self._fleet.nodes:
            node = self._fleet.nodes[0]
        quota = node.services.quota
        now_ms = self._fleet.clock.now_ms()
        decision = quota.take(arrival.organisation, now_ms)
        if decision.granted:
            self._admit(arrival.organisation, now_ms - start_ms)
        elif decision.may_ask_other_nodes:
            wait = asyncio.ensure_future(self._acquire(quota, arrival, start_ms))
            self._wait_tasks.add(wait)
            wait.add_done_callback(self._wait_tasks.discard)

    async def _acquire(self, quota: Any, arrival: Arrival, start_ms: float) -> None:
        clock = self._fleet.clock
        asked_ms = clock.now_ms()
        organisation = arrival.organisation
        decision = await quota.acquire(organisation, asked_ms + DEADLINE_MS)
        now_ms = clock.now_ms()
        self.waits_ms.append(now_ms - asked_ms)
        if decision.granted:
            self._admit(organisation, now_ms - start_ms)

    def _admit(self, organisation: str, at_ms: float) -> None:
        self.admitted_by_organisation.setdefault(organisation, []).append(at_ms)


async def inject_faults(fleet: BenchFleet, run: SiteRun) -> None:
    """Partition a data centre, stop the platform and a slot holder, change a rate."""
    first = SITE_BY_NAME[run.site].data_centres[0]
    if run.number == 0 and isinstance(fleet.store, MemoryStore):
        fleet.store.inject(Fault(FaultKind.DOWN, for_ms=2_000.0))
    await asyncio.sleep(0.5)
    fleet.network.partitioned.add(first)
    await asyncio.sleep(1.5)
    fleet.network.partitioned.clear()
    await asyncio.sleep(0.5)
    if run.number == 0:
        await _change_rate(fleet)
    if run.number == 1:
        await _stop_slot_holder(fleet)


async def _change_rate(fleet: BenchFleet) -> None:
    catalogue = fleet.nodes[0].catalogue_in_force.catalogue
    organisations = catalogue.organisations_by_id
    row = organisations["org-1"]
    lowered = row._replace(rate_per_s=row.rate_per_s / 2.0, burst=row.burst / 2.0)
    changed = {**organisations, "org-1": lowered}
    await fleet.publish(catalogue._replace(organisations_by_id=changed))
    await asyncio.sleep(1.0)
    await fleet.publish(catalogue)


async def _stop_slot_holder(fleet: BenchFleet) -> None:
    holders = [node for node in fleet.nodes if node.services.quota.holder.slots]
    await fleet.stop(holders[0])
    for node in fleet.nodes:
        node.services.quota.holder.scan_soon()


async def run_process(run: SiteRun) -> None:
    """Start the nodes, wait for the start command, and print the results."""
    site = SITE_BY_NAME[run.site]
    async with AsyncExitStack() as stack:
        memory = MemoryStore()
        store: MemoryStore | HttpStore = memory
        url = run.platform_url
        if url:
            store = HttpStore(url)
        else:
            port = await stack.enter_async_context(serve_platform(memory))
            url = f"http://127.0.0.1:{port}"
        network = Network(site.region_by_data_centre, site.near_ms, site.far_ms)
        fleet = BenchFleet(network, store)
        stack.push_async_callback(fleet.close)
        if run.number == 0:
            await fleet.publish(site.catalogue)
        name = site.data_centres[run.number]
        spec = DataCentreSpec(name, site.regions[run.number], site.n_nodes_each)
        for _ in range(site.n_nodes_each):
            await fleet.add(spec)
        _print({"members": fleet.members.rows(), "platform_url": url})
        for member in await _read_command(list[Member]):
            fleet.add_remote(member)
        await fleet.start(sum(site.catalogue.n_slots_by_data_centre.values()))
        _print("ready")
        start_ms = await _read_command(float)
        _print(await _measure(fleet, run, start_ms))
        await _read_command(str)


async def _measure(fleet: BenchFleet, run: SiteRun, start_ms: float) -> Measured:
    load = LoadGenerator(fleet, run)
    network = fleet.network
    await asyncio.sleep(max(0.0, start_ms - fleet.clock.now_ms()) / 1000.0)
    loop = asyncio.get_running_loop()
    cpu_s, started_s = _cpu_s(), loop.time()
    network.n_calls = 0
    with network.counting_bytes():
        work = [load.send(start_ms)]
        if run.with_faults:
            work.append(inject_faults(fleet, run))
        await asyncio.gather(*work)
    share = (_cpu_s() - cpu_s) / (loop.time() - started_s)
    admitted = load.admitted_by_organisation
    return Measured(admitted, load.waits_ms, network.n_bytes, network.n_calls, share)


def _cpu_s() -> float:

    return time.process_time()


async def _read_command(message_type: Any) -> Any:
    loop = asyncio.get_running_loop()
    line = await loop.run_in_executor(None, sys.stdin.readline)
    return msgspec.json.decode(line, type=message_type)


def _print(message: Any) -> None:
    print(msgspec.json.encode(message).decode(), flush=True)


if __name__ == "__main__":
    asyncio.run(run_process(msgspec.json.decode(sys.argv[1], type=SiteRun)))
