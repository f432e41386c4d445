"""Nodes of one data centre for benchmarks/propagation.py: commands in, JSON out."""

import asyncio
import sys
import time
from contextlib import AsyncExitStack
from typing import Any, NamedTuple

import msgspec
from _control_fleet import BenchFleet, DataCentreSpec, Network

from ibisspoke_policy.catalogue import EMPTY_CATALOGUE, Catalogue, Key, Organisation
from ibisspoke_policy.member import Member
from ibisspoke_standins.memory_store import MemoryStore
from ibisspoke_standins.platform import serve_platform
from ibisspoke_storage.http_store import HttpStore

REGIONS = {
    "svea-1": "svealand",
    "svea-2": "svealand",
    "gota-1": "gotaland",
    "gota-2": "gotaland",
}
NEAR_MS = 2.0
FAR_MS = 40.0
N_KEYS = 200
SETTLE_S = 1.0


class Part(NamedTuple):
    """The nodes of one process.

    :param number: of the process; the first one serves the platform.
    """

    number: int
    data_centre: str
    n_nodes: int
    n_changes: int
    gap_s: float
    platform_url: str


class Measured(NamedTuple):
    """What one process measured; times are monotonic milliseconds.

    :param accepted_ms_by_version: only from the process that publishes.
    """

    in_force_ms_by_version: dict[int, list[float]]
    accepted_ms_by_version: dict[int, float]
    n_reads: int
    n_writes: int
    n_bytes: int
    seconds: float
    cpu_s: float


def start_catalogue() -> Catalogue:
    """Return a catalogue with many keys."""
    keys = {f"{n:064x}": Key(f"{n:064x}", "svea", f"key {n}", 0) for n in range(N_KEYS)}
    return EMPTY_CATALOGUE._replace(
        organisations_by_id={"svea": Organisation("svea", 100.0, 100.0)},
        keys_by_digest=keys,
        n_slots_by_data_centre=dict.fromkeys(REGIONS, 1),
    )


class Recorder:
    """Note when each version came into force at each node."""

    def __init__(self, fleet: BenchFleet) -> None:
        self._fleet = fleet
        self.times_by_version: dict[int, list[float]] = {}
        for node in fleet.nodes:
            node.in_force.subscribe(self._note)

    def _note(self, catalogue: Catalogue) -> None:
        times = self.times_by_version.setdefault(catalogue.version, [])
        times.append(self._fleet.clock.now_ms())


async def run_part(part: Part) -> None:
    """Start the nodes, publish where it is this process's turn, print times."""
    async with AsyncExitStack() as stack:
        memory = MemoryStore()
        store: MemoryStore | HttpStore = memory
        url = part.platform_url
        if url:
            store = HttpStore(url)
        else:
            port = await stack.enter_async_context(serve_platform(memory))
            url = f"http://127.0.0.1:{port}"
        fleet = BenchFleet(Network(REGIONS, NEAR_MS, FAR_MS), store, part.number)
        stack.push_async_callback(fleet.close)
        if part.number == 0:
            await fleet.publish(start_catalogue())
        spec = DataCentreSpec(part.data_centre, REGIONS[part.data_centre], part.n_nodes)
        for _ in range(part.n_nodes):
            await fleet.add(spec)
        _print({"members": fleet.members.rows(), "platform_url": url})
        for member in await _command(list[Member]):
            fleet.join(member)
        await fleet.start(len(REGIONS))
        _print("ready")
        await _command(float)
        _print(await _measure(fleet, memory, part))
        await _command(str)


async def _measure(fleet: BenchFleet, memory: MemoryStore, part: Part) -> Measured:
    recorder = Recorder(fleet)
    accepted: dict[int, float] = {}
    before, cpu_s = memory.stats, time.process_time()
    began_ms = fleet.clock.now_ms()
    catalogue = start_catalogue()
    with fleet.network.counting_bytes():
        for number in range(part.n_changes):
            catalogue.keys_by_digest.pop(f"{number:064x}")
            if part.number == 0:
                version = await fleet.publish(catalogue)
                accepted[version] = fleet.clock.now_ms()
            await asyncio.sleep(part.gap_s)
    seconds = (fleet.clock.now_ms() - began_ms) / 1000.0
    after = memory.stats
    await asyncio.sleep(SETTLE_S)
    return Measured(
        recorder.times_by_version,
        accepted,
        after.n_reads - before.n_reads,
        after.n_writes - before.n_writes,
        fleet.network.n_bytes,
        seconds,
        time.process_time() - cpu_s,
    )


async def _command(kind: Any) -> Any:
    loop = asyncio.get_running_loop()
    line = await loop.run_in_executor(None, sys.stdin.readline)
    return msgspec.json.decode(line, type=kind)


def _print(message: Any) -> None:
    print(msgspec.json.encode(message).decode(), flush=True)


if __name__ == "__main__":
    asyncio.run(run_part(msgspec.json.decode(sys.argv[1], type=Part)))
