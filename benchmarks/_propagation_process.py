"""Runs nodes of one data centre for propagation.py, controlled by JSON lines."""

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


class ProcessSpec(NamedTuple):
    """Settings of one process.

    :param number: number of the process; process 0 serves the platform.
    """

    number: int
    data_centre: str
    n_nodes: int
    n_changes: int
    gap_s: float
    platform_url: str


class Measured(NamedTuple):
    """Results of one process; times are monotonic milliseconds.

    :param accepted_ms_by_version: set only by the process that publishes.
    """

    in_force_ms_by_version: dict[int, list[float]]
    accepted_ms_by_version: dict[int, float]
    n_reads: int
    n_writes: int
    n_bytes: int
    seconds: float
    cpu_s: float


def initial_catalogue() -> Catalogue:
    """Return a catalogue with ``N_KEYS`` keys."""
    keys = {f"{n:064x}": Key(f"{n:064x}", "svea", f"key {n}", 0) for n in range(N_KEYS)}
    return EMPTY_CATALOGUE._replace(
        organisations_by_id={"svea": Organisation("svea", 100.0, 100.0)},
        keys_by_digest=keys,
        n_slots_by_data_centre=dict.fromkeys(REGIONS, 1),
    )


class Recorder:
    """Records the times at which nodes put each version in force."""

    def __init__(self, fleet: BenchFleet) -> None:
        self._fleet = fleet
        self.times_by_version: dict[int, list[float]] = {}
        for node in fleet.nodes:
            node.catalogue_in_force.subscribe(self._note)

    def _note(self, catalogue: Catalogue) -> None:
        times = self.times_by_version.setdefault(catalogue.version, [])
        times.append(self._fleet.clock.now_ms())


async def run_process(process_spec: ProcessSpec) -> None:
    """Start the nodes, publish changes from process 0, and print the results."""
    async with AsyncExitStack() as stack:
        memory = MemoryStore()
        store: MemoryStore | HttpStore = memory
        url = process_spec.platform_url
        if url:
            store = HttpStore(url)
        else:
            port = await stack.enter_async_context(serve_platform(memory))
            url = f"http://127.0.0.1:{port}"
        fleet = BenchFleet(
            Network(REGIONS, NEAR_MS, FAR_MS), store, process_spec.number
        )
        stack.push_async_callback(fleet.close)
        if process_spec.number == 0:
            await fleet.publish(initial_catalogue())
        spec = DataCentreSpec(
            process_spec.data_centre,
            REGIONS[process_spec.data_centre],
            process_spec.n_nodes,
        )
        for _ in range(process_spec.n_nodes):
            await fleet.add(spec)
        _print({"members": fleet.members.rows(), "platform_url": url})
        for member in await _read_command(list[Member]):
            fleet.add_remote(member)
        await fleet.start(len(REGIONS))
        _print("ready")
        await _read_command(float)
        _print(await _measure(fleet, memory, process_spec))
        await _read_command(str)


async def _measure(
    fleet: BenchFleet, memory: MemoryStore, process_spec: ProcessSpec
) -> Measured:
    recorder = Recorder(fleet)
    accepted: dict[int, float] = {}
    before, cpu_s = memory.stats, time.process_time()
    started_ms = fleet.clock.now_ms()
    catalogue = initial_catalogue()
    with fleet.network.counting_bytes():
        for number in range(process_spec.n_changes):
            catalogue.keys_by_digest.pop(f"{number:064x}")
            if process_spec.number == 0:
                version = await fleet.publish(catalogue)
                accepted[version] = fleet.clock.now_ms()
            await asyncio.sleep(process_spec.gap_s)
    seconds = (fleet.clock.now_ms() - started_ms) / 1000.0
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


async def _read_command(message_type: Any) -> Any:
    loop = asyncio.get_running_loop()
    line = await loop.run_in_executor(None, sys.stdin.readline)
    return msgspec.json.decode(line, type=message_type)


def _print(message: Any) -> None:
    print(msgspec.json.encode(message).decode(), flush=True)


if __name__ == "__main__":
    asyncio.run(run_process(msgspec.json.decode(sys.argv[1], type=ProcessSpec)))
