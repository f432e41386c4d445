"""Phases of the membership benchmark on a running fleet."""

import asyncio
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

from _worker_pool import Fleet, Worker

DATA_CENTRES = ("north-1", "north-2", "south-1", "south-2")
NODES_PER_WORKER = 32
PAUSE_S = 1.0
AFTER_PAUSE_S = 1.5
SETTLE_STEP_S = 1.5
BETWEEN_FAILURES_S = 0.5
AFTER_FAILURES_S = 3.5
MAX_SETTLE_STEPS = 30
SETTLED_SHARE = 0.95
REMOVED_STATES = ("dead", "left")


class MeasurementPlan(NamedTuple):
    """Durations and sample sizes of the measurements."""

    window_s: float
    n_drains: int
    n_victims: int
    load_s: float
    n_busy_processes: int = 10


QUICK = MeasurementPlan(window_s=2.0, n_drains=3, n_victims=4, load_s=2.0)
FULL = MeasurementPlan(window_s=10.0, n_drains=10, n_victims=8, load_s=8.0)


class Usage(NamedTuple):
    """Average processor time and traffic of one node."""

    cpu_percent: float
    n_sent_per_s: float
    n_received_per_s: float


def percentile(values: list[float], share: float) -> float | None:
    """Return the value below which ``share`` of ``values`` lie."""
    if not values:
        return None
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 1)


async def start_nodes(fleet: Fleet, n: int, n_single: int, plan: str) -> list[Worker]:
    """Start ``n`` nodes, ``n_single`` of them in separate processes.

    :returns: the workers that run a single node.
    """
    specs = [
        {"id": f"n{i}", "data_centre": DATA_CENTRES[i % len(DATA_CENTRES)]}
        for i in range(n)
    ]
    single_specs, grouped = specs[:n_single], specs[n_single:]
    grouped.sort(key=lambda spec: spec["data_centre"])
    for start in range(0, len(grouped), NODES_PER_WORKER):
        await fleet.add(grouped[start : start + NODES_PER_WORKER], plan=plan)
    adding = [fleet.add([spec], plan=plan) for spec in single_specs]
    workers = list(await asyncio.gather(*adding))
    await fleet.wait_until_complete()
    await settle(fleet)
    await fleet.events()
    return workers


async def settle(fleet: Fleet) -> None:
    """Wait until the start no longer adds to the traffic of the heartbeats."""
    last_sent_per_s = float("inf")
    for _ in range(MAX_SETTLE_STEPS):
        usage = await measure_usage(fleet, SETTLE_STEP_S)
        if usage.n_sent_per_s > SETTLED_SHARE * last_sent_per_s:
            return
        last_sent_per_s = usage.n_sent_per_s


async def measure_usage(fleet: Fleet, window_s: float) -> Usage:
    """Return the usage of an idle node."""
    before = await fleet.request_all("sample")
    await asyncio.sleep(window_s)
    after = await fleet.request_all("sample")

    def rate(field: str) -> float:
        total = sum(b[field] - a[field] for a, b in zip(before, after, strict=True))
        return float(total / fleet.n_nodes / window_s)

    return Usage(rate("cpu_s") * 100.0, rate("n_sent"), rate("n_received"))


async def measure_drains(fleet: Fleet, n_drains: int) -> list[float]:
    """Drain nodes; return the times until each other node stopped sending to them."""
    drained_s_by_id: dict[str, float] = {}
    candidates = [
        (worker, member_id)
        for worker in fleet.workers
        if len(worker.ids) > 1
        for member_id in worker.ids[::2]
    ]
    for worker, member_id in candidates[:: max(1, len(candidates) // n_drains)]:
        reply = await worker.request("drain", id=member_id)
        drained_s_by_id[member_id] = reply["at_s"]
        await asyncio.sleep(0.3)
    await asyncio.sleep(1.0)
    return detection_delays_ms(await fleet.events(), drained_s_by_id, fleet.n_nodes - 1)


async def count_false_removals(
    fleet: Fleet, single_workers: list[Worker], measurement: MeasurementPlan
) -> dict[str, int]:
    """Pause processes, then load the CPU; count removals of live nodes."""
    for worker in (single_workers[0], fleet.workers[0]):
        worker.signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        worker.signal(signal.SIGCONT)
        await asyncio.sleep(AFTER_PAUSE_S)
    paused = removed_ids(await fleet.events())
    async with busy_cpu(measurement.n_busy_processes):
        await asyncio.sleep(measurement.load_s)
    await asyncio.sleep(1.0)
    loaded = removed_ids(await fleet.events())
    return {"under_pauses": len(paused), "under_load": len(loaded)}


async def measure_failures(
    fleet: Fleet, victims: list[Worker], signal_numbers: list[signal.Signals]
) -> dict[signal.Signals, list[float]]:
    """Signal processes; return the times until other nodes stopped sending to them."""
    await fleet.events()
    since_s_by_id: dict[signal.Signals, dict[str, float]] = {
        n: {} for n in signal_numbers
    }
    for i, worker in enumerate(victims):
        fleet.remove(worker)
        signal_number = signal_numbers[i % len(signal_numbers)]
        since_s_by_id[signal_number][worker.ids[0]] = worker.signal(signal_number)
        await asyncio.sleep(BETWEEN_FAILURES_S)
    await asyncio.sleep(AFTER_FAILURES_S)
    events = await fleet.events()
    ended = {id for since in since_s_by_id.values() for id in since}
    falsely_removed = removed_ids(events) - ended
    if falsely_removed:
        raise RuntimeError(f"live nodes were removed: {falsely_removed}")
    return {
        n: detection_delays_ms(events, since_s_by_id[n], fleet.n_nodes)
        for n in signal_numbers
    }


def detection_delays_ms(
    events: list[dict[str, Any]], since_s_by_id: dict[str, float], n_observers: int
) -> list[float]:
    """Return the times until each observer saw that a member takes no calls."""
    first_s_by_pair: dict[tuple[str, str], float] = {}
    for event in events:
        member_id = event["member"]
        is_own = event["observer"] == member_id
        if is_own or event["takes_calls"] or member_id not in since_s_by_id:
            continue
        pair = (event["observer"], member_id)
        first_s_by_pair.setdefault(pair, event["at_s"] - since_s_by_id[member_id])
    missing = n_observers * len(since_s_by_id) - len(first_s_by_pair)
    if missing:
        print(f"{missing} nodes never noticed", file=sys.stderr)
    undetected = [float("inf")] * missing
    return [delay_s * 1000.0 for delay_s in first_s_by_pair.values()] + undetected


def removed_ids(events: list[dict[str, Any]]) -> set[str]:
    """Return the members that any node removed."""
    return {
        event["member"]
        for event in events
        if event["state"] in REMOVED_STATES and event["observer"] != event["member"]
    }


@asynccontextmanager
async def busy_cpu(n: int) -> AsyncIterator[None]:
    """Keep ``n`` processes busy while the context is open."""
    processes = [
        await asyncio.create_subprocess_exec(sys.executable, "-c", "while True: pass")
        for _ in range(n)
    ]
    try:
        yield
    finally:
        for process in processes:
            process.kill()
        await asyncio.gather(*(process.wait() for process in processes))
