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
BETWEEN_DEATHS_S = 0.5
AFTER_DEATHS_S = 3.5
MAX_SETTLE_STEPS = 30
SETTLED_SHARE = 0.95
REMOVED_STATES = ("dead", "left")


class Effort(NamedTuple):
    """How long and how often to measure."""

    window_s: float
    n_drains: int
    n_victims: int
    load_s: float
    n_burners: int = 10


QUICK = Effort(window_s=2.0, n_drains=3, n_victims=4, load_s=2.0)
WHOLE = Effort(window_s=10.0, n_drains=10, n_victims=8, load_s=8.0)


class Usage(NamedTuple):
    """What one node spent on average, as a share of a core and bytes a second."""

    cpu_percent: float
    n_sent_per_s: float
    n_received_per_s: float


def percentile(values: list[float], share: float) -> float | None:
    """Return a value below which ``share`` of ``values`` lie."""
    if not values:
        return None
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 1)


async def start_nodes(fleet: Fleet, n: int, n_single: int, plan: str) -> list[Worker]:
    """Start ``n`` nodes; ``n_single`` of them in processes of their own.

    :returns: the workers of the single nodes.
    """
    specs = [
        {"id": f"n{i}", "data_centre": DATA_CENTRES[i % len(DATA_CENTRES)]}
        for i in range(n)
    ]
    single, grouped = specs[:n_single], specs[n_single:]
    grouped.sort(key=lambda spec: spec["data_centre"])
    for start in range(0, len(grouped), NODES_PER_WORKER):
        await fleet.add(grouped[start : start + NODES_PER_WORKER], plan=plan)
    adding = [fleet.add([spec], plan=plan) for spec in single]
    workers = list(await asyncio.gather(*adding))
    await fleet.complete()
    await settle(fleet)
    await fleet.events()
    return workers


async def settle(fleet: Fleet) -> None:
    """Wait until the news of the start no longer adds to the heartbeats."""
    last = float("inf")
    for _ in range(MAX_SETTLE_STEPS):
        usage = await measure_usage(fleet, SETTLE_STEP_S)
        if usage.n_sent_per_s > SETTLED_SHARE * last:
            return
        last = usage.n_sent_per_s


async def measure_usage(fleet: Fleet, window_s: float) -> Usage:
    """Return what a node spends while nothing happens."""
    before = await fleet.all("sample")
    await asyncio.sleep(window_s)
    after = await fleet.all("sample")

    def rate(field: str) -> float:
        total = sum(b[field] - a[field] for a, b in zip(before, after, strict=True))
        return float(total / fleet.n_nodes / window_s)

    return Usage(rate("cpu_s") * 100.0, rate("n_sent"), rate("n_received"))


async def measure_drains(fleet: Fleet, n_drains: int) -> list[float]:
    """Drain nodes; return for each other node when it stopped to send there."""
    drained_s_by_id: dict[str, float] = {}
    places = [
        (worker, member_id)
        for worker in fleet.workers
        if len(worker.ids) > 1
        for member_id in worker.ids[::2]
    ]
    for worker, member_id in places[:: max(1, len(places) // n_drains)]:
        reply = await worker.ask("drain", id=member_id)
        drained_s_by_id[member_id] = reply["at_s"]
        await asyncio.sleep(0.3)
    await asyncio.sleep(1.0)
    return delays(await fleet.events(), drained_s_by_id, fleet.n_nodes - 1)


async def count_false_removals(
    fleet: Fleet, single: list[Worker], effort: Effort
) -> dict[str, int]:
    """Pause processes and load the CPU; count removals of live nodes."""
    for worker in (single[0], fleet.workers[0]):
        worker.signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        worker.signal(signal.SIGCONT)
        await asyncio.sleep(AFTER_PAUSE_S)
    paused = removed_ids(await fleet.events())
    async with busy_cpu(effort.n_burners):
        await asyncio.sleep(effort.load_s)
    await asyncio.sleep(1.0)
    loaded = removed_ids(await fleet.events())
    return {"under_pauses": len(paused), "under_load": len(loaded)}


async def measure_deaths(
    fleet: Fleet, victims: list[Worker], numbers: list[signal.Signals]
) -> dict[signal.Signals, list[float]]:
    """End or stop processes; return when each other node stopped to send there."""
    await fleet.events()
    since_s_by_id: dict[signal.Signals, dict[str, float]] = {n: {} for n in numbers}
    for i, worker in enumerate(victims):
        fleet.drop(worker)
        number = numbers[i % len(numbers)]
        since_s_by_id[number][worker.ids[0]] = worker.signal(number)
        await asyncio.sleep(BETWEEN_DEATHS_S)
    await asyncio.sleep(AFTER_DEATHS_S)
    events = await fleet.events()
    ended = {id for since in since_s_by_id.values() for id in since}
    wrong = removed_ids(events) - ended
    if wrong:
        raise RuntimeError(f"nodes were removed that live: {wrong}")
    return {n: delays(events, since_s_by_id[n], fleet.n_nodes) for n in numbers}


def delays(
    events: list[dict[str, Any]], since_s_by_id: dict[str, float], n_observers: int
) -> list[float]:
    """Return the milliseconds until each observer's first row without calls."""
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
    never = [float("inf")] * missing
    return [took_s * 1000.0 for took_s in first_s_by_pair.values()] + never


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
    burners = [
        await asyncio.create_subprocess_exec(sys.executable, "-c", "while True: pass")
        for _ in range(n)
    ]
    try:
        yield
    finally:
        for burner in burners:
            burner.kill()
        await asyncio.gather(*(burner.wait() for burner in burners))
