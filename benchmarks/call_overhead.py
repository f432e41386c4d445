"""Measures the latency that nodes add to a call through one node and through two.

Two VMs, each with a node and an upstream, run as processes. Blocks of direct calls and
of calls over each path alternate in one run, so that the state of the machine affects
all paths alike. The last line printed is JSON; see README.md for its keys.
"""

import argparse
import asyncio
import gc
import itertools
import json
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from _caller import Caller
from _harness import (
    KEY,
    SECRET,
    Fleet,
    NodeSpec,
    benchmark_catalogue,
    machine_info,
    process_usage,
    running_fleet,
)
from hdrh.histogram import HdrHistogram

from ibisspoke_node.buffer_budget import BufferBudget
from ibisspoke_node.client_link import ClientLink

SPECS = [NodeSpec("node-a", "alpha"), NodeSpec("node-b", "beta")]
PATHS = ("direct", "one_node", "two_nodes")
HISTOGRAM_MAX_US = 60_000_000
TARGET_ADDED_P99_MS = 0.74
BLOCK_S = 0.5
SEED = 7
REFUSED_STATUS = 503
N_CONNECTIONS = 16
N_READY_TRIES = 100
READY_RETRY_S = 0.2
TIMER_ERROR_S = 0.0015


class RefusedError(RuntimeError):
    """The admission controller refused a call."""


class Target(NamedTuple):
    """Client, path prefix and headers of the calls over one path."""

    caller: Caller
    target: str
    headers: dict[str, str]


class Plan(NamedTuple):
    """Sizes of the measurement.

    :param n_sequential: sequential calls per path.
    :param n_blocks: open-loop blocks per path and rate.
    """

    n_sequential: int
    n_blocks: int
    rates_per_s: tuple[int, ...]
    body_sizes: tuple[int, ...]
    hop_counts: tuple[int, ...]


QUICK = Plan(300, 4, (130, 500), (512, 65_536), (1, 2, 3))
FULL = Plan(2_000, 16, (130, 500), (512, 65_536), (1, 2, 3))


class PathCaller:
    """Clients that call one fleet over each path."""

    def __init__(self, fleet: Fleet) -> None:
        key = {"Authorization": f"Bearer {KEY}"}
        ids_by_service = {"alpha": "node-a", "beta": "node-b"}
        other = {"alpha": "node-b", "beta": "node-a"}
        self._targets_by_path: dict[str, list[Target]] = {path: [] for path in PATHS}
        for service, node_id in ids_by_service.items():
            direct = Target(Caller(fleet.upstream_port(node_id)), "", {})
            one = Target(Caller(fleet.entry_port(node_id)), f"/{service}", key)
            two = Target(Caller(fleet.entry_port(other[service])), f"/{service}", key)
            for path, target in zip(PATHS, (direct, one, two), strict=True):
                self._targets_by_path[path].append(target)
        self._services = list(ids_by_service)
        self._pids = fleet.pids()
        self.n_refused = 0
        self.cpu_s_by_path = dict.fromkeys(PATHS, 0.0)

    def cpu_s(self) -> float:
        """Return the processor time of both nodes so far."""
        return sum(process_usage(pid).cpu_s for pid in self._pids)

    async def connect(self) -> None:
        """Open the connections of all paths before the calls."""
        for target in itertools.chain(*self._targets_by_path.values()):
            await target.caller.connect(N_CONNECTIONS)
        for path in PATHS:
            for number in range(2):
                await self._wait_until_answered(path, number)

    async def _wait_until_answered(self, path: str, number: int) -> None:
        for _ in range(N_READY_TRIES):
            try:
                await self.call(path, number, 1, b"")
                return
            except RuntimeError as error:
                last = error
                await asyncio.sleep(READY_RETRY_S)
        raise last

    async def call(self, path: str, number: int, n_hops: int, body: bytes) -> None:
        """Make one call and check its answer."""
        target = self._targets_by_path[path][number % 2]
        next_services = [self._services[(number + hop) % 2] for hop in range(1, n_hops)]
        if path == "one_node":
            next_services = [self._services[number % 2]] * (n_hops - 1)
        url = f"{target.target}/hops/{n_hops}/" + "/".join(next_services)
        answer = await target.caller.post(url, target.headers, body)
        if answer.status == REFUSED_STATUS:
            raise RefusedError(f"{path}: {answer.body[:200]!r}")
        if answer.status != 200 or answer.body != body:
            raise RuntimeError(f"{path}: status {answer.status}, {answer.body[:200]!r}")


def _histogram() -> Any:
    return HdrHistogram(1, HISTOGRAM_MAX_US, 3)


async def _sequential(
    path_caller: PathCaller, n_calls: int, n_hops: int, body: bytes
) -> dict[str, Any]:
    histogram_by_path = {path: _histogram() for path in PATHS}
    for number, path in itertools.product(range(-50, n_calls), PATHS):
        started = time.perf_counter_ns()
        await path_caller.call(path, number, n_hops, body)
        if number >= 0:
            elapsed_us = (time.perf_counter_ns() - started) // 1_000
            histogram_by_path[path].record_value(elapsed_us)
    return histogram_by_path


async def _open_loop(
    path_caller: PathCaller, rate_per_s: int, n_blocks: int, body: bytes
) -> dict[str, Any]:
    histogram_by_path = {path: _histogram() for path in PATHS}
    path_caller.cpu_s_by_path = dict.fromkeys(PATHS, 0.0)
    rng = random.Random(SEED)
    for block, path in itertools.product(range(-1, n_blocks), PATHS):
        histogram = histogram_by_path[path] if block >= 0 else _histogram()
        cpu_before_s = path_caller.cpu_s()
        await _run_block(path_caller, path, rate_per_s * 2, body, rng, histogram)
        if block >= 0:
            path_caller.cpu_s_by_path[path] += path_caller.cpu_s() - cpu_before_s
    return histogram_by_path


async def _run_block(
    path_caller: PathCaller,
    path: str,
    rate_per_s: int,
    body: bytes,
    rng: random.Random,
    histogram: Any,
) -> None:
    calls = []
    due = time.perf_counter()
    end = due + BLOCK_S
    while due < end:
        wait_s = due - time.perf_counter()
        if wait_s > 0:
            await asyncio.sleep(max(0.0, wait_s - TIMER_ERROR_S))
            continue
        calls.append(
            asyncio.ensure_future(_timed_call(path_caller, path, len(calls), due, body))
        )
        due += rng.expovariate(rate_per_s)
    for elapsed_us in await asyncio.gather(*calls):
        if elapsed_us is None:
            path_caller.n_refused += 1
        else:
            histogram.record_value(elapsed_us)


async def _timed_call(
    path_caller: PathCaller, path: str, number: int, due: float, body: bytes
) -> int | None:
    started = time.perf_counter()
    try:
        await path_caller.call(path, number, 1, body)
    except RefusedError:
        return None
    return int((time.perf_counter() - min(started, due)) * 1e6)


async def _frame_round_trip(fleet: Fleet, n_pings: int) -> Any:
    loop = asyncio.get_running_loop()
    link = ClientLink((SECRET.encode(),), BufferBudget(1_000_000), "benchmark")
    port = fleet.ports_by_id["node-b"]["call"]
    await loop.create_connection(lambda: link, "127.0.0.1", port)
    await link.ready()
    histogram = _histogram()
    for _ in range(n_pings):
        started = time.perf_counter_ns()
        await link.ping(1_000.0)
        histogram.record_value((time.perf_counter_ns() - started) // 1_000)
    link.abort()
    return histogram


def _summary(histogram_by_path: dict[str, Any]) -> dict[str, Any]:
    summary: dict[str, Any] = {}
    for path, histogram in histogram_by_path.items():
        summary[path] = {
            "n": histogram.get_total_count(),
            "p50_ms": _ms(histogram, 50),
            "p99_ms": _ms(histogram, 99),
        }
    for path in ("one_node", "two_nodes"):
        for name in ("p50_ms", "p99_ms"):
            added = summary[path][name] - summary["direct"][name]
            summary[path][f"added_{name}"] = round(added, 3)
    return summary


def _add_cpu(summary: dict[str, Any], cpu_s_by_path: dict[str, float]) -> None:
    """Add the processor time of all nodes per call."""
    for path, cpu_s in cpu_s_by_path.items():
        n_calls = max(1, summary[path]["n"])
        summary[path]["cpu_ms_per_call"] = round(cpu_s * 1000 / n_calls, 3)


def _ms(histogram: Any, percentile: float) -> float:
    return round(histogram.get_value_at_percentile(percentile) / 1000.0, 3)


async def measure(fleet: Fleet, plan: Plan) -> dict[str, Any]:
    """Run every part of the plan and return the figures."""
    path_caller = PathCaller(fleet)
    await path_caller.connect()
    results: dict[str, Any] = {}
    parts: list[tuple[str, Callable[[], Awaitable[dict[str, Any]]]]] = []
    for size, n_hops in itertools.product(plan.body_sizes, plan.hop_counts):
        body = b"x" * size
        if size == plan.body_sizes[0] or n_hops == 1:
            parts.append(
                (
                    f"idle_{size}_bytes_{n_hops}_hops",
                    lambda n_hops=n_hops, body=body: _sequential(
                        path_caller, plan.n_sequential, n_hops, body
                    ),
                )
            )
    for rate_per_s in plan.rates_per_s:
        body = b"x" * plan.body_sizes[0]
        parts.append(
            (
                f"open_{rate_per_s}_per_s",
                lambda rate_per_s=rate_per_s, body=body: _open_loop(
                    path_caller, rate_per_s, plan.n_blocks, body
                ),
            )
        )
    for name, run in parts:
        results[name] = _summary(await run())
        if name.startswith("open"):
            _add_cpu(results[name], path_caller.cpu_s_by_path)
            results[name]["n_refused"] = path_caller.n_refused
            path_caller.n_refused = 0
        print(name, json.dumps(results[name]), flush=True)
    frame = await _frame_round_trip(fleet, plan.n_sequential)
    return {
        "frame_p50_ms": _ms(frame, 50),
        "frame_p99_ms": _ms(frame, 99),
        "admission_limit_after": [
            fleet.status(spec.id)["gauges"].get("admission.limit") for spec in SPECS
        ],
        "parts": results,
    }


def report(measured: dict[str, Any]) -> dict[str, Any]:
    """Return the JSON of one run; its top figures are those at 130 calls/s per node."""
    headline = measured["parts"]["open_130_per_s"]
    return {
        "benchmark": "call_overhead",
        "target_added_p99_ms": TARGET_ADDED_P99_MS,
        "added_p50_ms": {path: headline[path]["added_p50_ms"] for path in PATHS[1:]},
        "added_p99_ms": {path: headline[path]["added_p99_ms"] for path in PATHS[1:]},
        **measured,
        "machine": machine_info(),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="under a minute")
    arguments = parser.parse_args()
    gc.freeze()
    gc.set_threshold(50_000)
    catalogue = benchmark_catalogue(["alpha", "beta"])
    with running_fleet(SPECS, catalogue) as fleet:
        ports = {spec.service: fleet.upstream_port(spec.id) for spec in SPECS}
        for upstream in fleet.upstream_by_id.values():
            upstream.request({"ports_by_service": ports})
        plan = QUICK if arguments.quick else FULL
        measured = asyncio.run(measure(fleet, plan))
    print(json.dumps(report(measured)))


if __name__ == "__main__":
    main()
