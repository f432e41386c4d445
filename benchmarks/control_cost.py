"""Memory, processor time and traffic of a node: idle, by state size, and under load.

The last line printed is JSON; see README.md for its keys.
"""

import argparse
import asyncio
import gc
import json
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from _caller import Caller, CallerAnswer
from _harness import (
    KEY,
    Fleet,
    NodeSpec,
    benchmark_catalogue,
    bytes_by_mechanism,
    machine_info,
    process_usage,
    publish,
    push_state,
    running_child,
    running_fleet,
    running_platform,
    settings_file,
)

from ibisspoke_policy.catalogue import Catalogue, Key, Organisation
from ibisspoke_policy.member import Member, MemberState

SPEC = NodeSpec("node-a")
N_MEMBERS = 6_600
N_SLOTS = 16
KEY_HEADER = {"Authorization": f"Bearer {KEY}"}
TARGETS = {"rss_mb": 32.0, "control_cpu_percent": 1.9, "control_bytes_per_s": 10_000}
UPLOAD_BYTES = 8_388_608
BUFFER_BYTES = 67_108_864
N_NODES_PER_PROCESS = 16
SETTLE_S = 1.5
CHANGE_PERIOD_S = 1.25
SOAK_S = 600.0
SOAK_CALLS_PER_S = 130.0
N_READY_TRIES = 600
N_READY_ANSWERS = 10
SLOW_SEND_S = 3.0
SLOW_SEND_STEP_S = 0.003


class Plan(NamedTuple):
    """Sizes of the measurement.

    :param idle_s: how long idle nodes are measured.
    :param n_nodes: sizes of fleets without calls.
    :param n_changes: changes of the catalogue, at ``n_nodes_changed`` nodes.
    """

    idle_s: float
    n_nodes: tuple[int, ...]
    load_s: float
    n_changes: int
    n_nodes_changed: int


QUICK = Plan(2.0, (8, 24), 2.0, 2, 8)
FULL = Plan(20.0, (16, 64, 256), 10.0, 8, 64)


def measure_idle(plan: Plan) -> dict[str, float]:
    """Measure one idle ``ibisspoke-node`` process, started as installed."""
    catalogue = benchmark_catalogue(["alpha"])
    with running_platform(catalogue) as url, settings_file(SPEC, url) as path:
        with running_child("-m", "ibisspoke_node.main", path):
            pass
        with running_child("-m", "ibisspoke_node.main", path) as node:
            time.sleep(SETTLE_S)
            before = process_usage(node.pid)
            time.sleep(plan.idle_s)
            after = process_usage(node.pid)
    cpu_percent = (after.cpu_s - before.cpu_s) / plan.idle_s * 100
    return {
        "rss_mb": round(after.rss_mb, 2),
        "pss_mb": round(after.pss_mb, 2),
        "peak_rss_mb": round(after.peak_rss_mb, 2),
        "cpu_percent": round(cpu_percent, 3),
    }


def measure_slopes() -> dict[str, float]:
    """Return memory per member, organisation with a key, and call of the catalogue."""
    calls = [f"service-{number}" for number in range(2_000)]
    steps: list[tuple[str, int, list[Member], Catalogue]] = [
        (
            "kb_per_member",
            N_MEMBERS,
            _members(N_MEMBERS),
            benchmark_catalogue(["alpha"], 2),
        ),
        ("kb_per_organisation", 4_000, [], _with_organisations(4_000, 2)),
        ("kb_per_catalogue_call", 2_000, [], benchmark_catalogue(calls, 2)),
    ]
    slopes = {}
    for name, n_items, members, catalogue in steps:
        with running_fleet(
            [NodeSpec("node-a")], benchmark_catalogue(["a"]), with_platform=False
        ) as fleet:
            before = process_usage(fleet.pids()[0]).rss_mb
            push_state(fleet, members, catalogue)
            time.sleep(0.5)
            after = process_usage(fleet.pids()[0]).rss_mb
        slopes[name] = round((after - before) * 1024 / n_items, 3)
    return slopes


def measure_large_view(plan: Plan) -> dict[str, float]:
    """Measure one node that knows a fleet of full size whose members never answer.

    Configuration and quota run; no heartbeats are sent to these members.
    """
    data_centres = [f"data-centre-{number}" for number in range(5)]
    services = [f"service-{number}" for number in range(370)]
    catalogue = benchmark_catalogue(services, data_centres=data_centres)
    catalogue = catalogue._replace(
        n_slots_by_data_centre=dict.fromkeys(data_centres, N_SLOTS)
    )
    spec = NodeSpec("node-a", "", "region-0", data_centres[0])
    with running_fleet([spec], catalogue) as fleet:
        push_state(fleet, _members(N_MEMBERS, "127.0.0.1", 1), None)
        time.sleep(SETTLE_S)
        pid = fleet.pids()[0]
        before = process_usage(pid)
        time.sleep(plan.idle_s)
        after = process_usage(pid)
    cpu_percent = (after.cpu_s - before.cpu_s) / plan.idle_s * 100
    return {
        "n_members": N_MEMBERS,
        "rss_mb": round(after.rss_mb, 2),
        "cpu_percent": round(cpu_percent, 3),
    }


def _members(n_members: int, host: str = "", port: int = 7_001) -> list[Member]:
    return [
        Member(
            f"node-{number}",
            1_700_000_000_000 + number,
            f"region-{number % 2}",
            f"data-centre-{number % 5}",
            host or f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}",
            port,
            port,
            port,
            f"service-{number % 370}",
            50,
            False,
            MemberState.ALIVE,
            1,
        )
        for number in range(n_members)
    ]


def _with_organisations(n_organisations: int, version: int) -> Catalogue:
    catalogue = benchmark_catalogue(["alpha"], version)
    for number in range(n_organisations):
        name = f"organisation-{number}"
        digest = f"{number:064x}"
        catalogue.organisations_by_id[name] = Organisation(name, 100.0, 50.0)
        catalogue.keys_by_digest[digest] = Key(digest, name, "first", 0)
    return catalogue


async def _post(fleet: Fleet, target: str, body: bytes, caller: Caller) -> CallerAnswer:
    return await caller.post(target, KEY_HEADER, body)


async def _wait_until_answered(fleet: Fleet) -> None:
    """Call until the node has received its share of the rate."""
    caller = Caller(fleet.entry_port("node-a"))
    n_answered = 0
    for _ in range(N_READY_TRIES):
        answer = await _post(fleet, "/alpha/hops/1/", b"", caller)
        n_answered = n_answered + 1 if answer.status == 200 else 0
        if n_answered == N_READY_ANSWERS:
            return
        await asyncio.sleep(0.1)
    raise RuntimeError(f"the node does not answer: {answer.body.decode()}")


async def _send_slowly(port: int, duration_s: float) -> int:
    """Send the body of one call in small parts and return the status."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = "POST /alpha/hops/1/ HTTP/1.1\r\nHost: h\r\n"
    head += f"Authorization: Bearer {KEY}\r\nContent-Length: 4096\r\n\r\n"
    writer.write(head.encode())
    for _ in range(7):
        writer.write(b"x" * 512)
        await asyncio.sleep(duration_s / 7)
    writer.write(b"x" * 512)
    status = int((await reader.readuntil(b"\r\n"))[9:12])
    writer.close()
    return status


async def _slow_callers(fleet: Fleet, n_callers: int) -> dict[str, float]:
    """Measure the memory while many callers send their bodies slowly."""
    port = fleet.entry_port("node-a")
    pid = fleet.pids()[0]
    await _post(fleet, "/alpha/hops/1/", b"x" * 512, Caller(port))
    before = process_usage(pid).rss_mb
    calls = [
        asyncio.ensure_future(
            _send_slowly(port, SLOW_SEND_S + number * SLOW_SEND_STEP_S)
        )
        for number in range(n_callers)
    ]
    await asyncio.sleep(SLOW_SEND_S - 1.0)
    n_open = await asyncio.to_thread(_n_open_requests, fleet)
    during = process_usage(pid).rss_mb
    n_ok = sum(status == 200 for status in await asyncio.gather(*calls))
    return {
        "n_callers": n_callers,
        "n_open": n_open,
        "n_answered": n_ok,
        "n_refused": n_callers - n_ok,
        "kb_per_open_call": round((during - before) * 1024 / max(1, n_open), 2),
        "peak_rss_mb": round(process_usage(pid).peak_rss_mb, 1),
    }


def _n_open_requests(fleet: Fleet) -> int:
    return int(fleet.status("node-a")["n_open_requests"])


async def _uploads(fleet: Fleet, n_uploads: int) -> dict[str, float]:
    """Send large bodies concurrently; those above the byte budget are refused."""
    caller = Caller(fleet.entry_port("node-a"))
    body = b"x" * UPLOAD_BYTES
    answers = await asyncio.gather(
        *(_post(fleet, "/alpha/hops/1/", body, caller) for _ in range(n_uploads))
    )
    n_ok = sum(answer.status == 200 and answer.body == body for answer in answers)
    usage = process_usage(fleet.pids()[0])
    return {
        "n_uploads": n_uploads,
        "n_whole": n_ok,
        "n_refused": sum(answer.status != 200 for answer in answers),
        "budget_mb": BUFFER_BYTES / 1_048_576,
        "peak_rss_mb": round(usage.peak_rss_mb, 1),
        "rss_after_mb": round(usage.rss_mb, 1),
    }


async def _throughput(fleet: Fleet, load_s: float, n_callers: int) -> dict[str, Any]:
    """Measure the highest rate of calls that one node answers."""
    pid = fleet.pids()[0]
    caller = Caller(fleet.entry_port("node-a"))
    n_by_status: dict[int, int] = {}
    before = process_usage(pid).cpu_s
    started = time.perf_counter()

    async def call_repeatedly() -> None:
        while time.perf_counter() - started < load_s:
            answer = await _post(fleet, "/alpha/hops/1/", b"x" * 512, caller)
            n_by_status[answer.status] = n_by_status.get(answer.status, 0) + 1

    await asyncio.gather(*(call_repeatedly() for _ in range(n_callers)))
    elapsed_s = time.perf_counter() - started
    cpu_s = process_usage(pid).cpu_s - before
    n_calls = sum(n_by_status.values())
    return {
        "n_callers": n_callers,
        "calls_per_s": round(n_calls / elapsed_s),
        "n_by_status": n_by_status,
        "cpu_ms_per_call": round(cpu_s / n_calls * 1000, 3),
        "cpu_percent": round(cpu_s / elapsed_s * 100, 1),
    }


async def _soak(fleet: Fleet, soak_s: float, rate_per_s: float) -> dict[str, Any]:
    """Record the memory during calls at a steady rate."""
    pid = fleet.pids()[0]
    caller = Caller(fleet.entry_port("node-a"))
    rss_mb_by_second: dict[int, float] = {}
    n_failed = 0
    started = time.perf_counter()
    n_calls = 0
    while (elapsed_s := time.perf_counter() - started) < soak_s:
        while n_calls < elapsed_s * rate_per_s:
            answer = await _post(fleet, "/alpha/hops/1/", b"x" * 512, caller)
            n_failed += answer.status != 200
            n_calls += 1
        if int(elapsed_s) % 10 == 0:
            rss_mb_by_second[int(elapsed_s)] = round(process_usage(pid).rss_mb, 2)
        await asyncio.sleep(0.02)
    return {
        "soak_s": soak_s,
        "n_calls": n_calls,
        "n_failed": n_failed,
        "rss_mb_by_second": rss_mb_by_second,
    }


def measure_load(plan: Plan) -> dict[str, Any]:
    """Return the figures of slow callers, uploads and throughput, on new nodes."""
    parts: dict[str, Callable[[Fleet], Any]] = {
        "slow_callers": lambda fleet: _slow_callers(fleet, 1_000),
        "uploads": lambda fleet: _uploads(fleet, 24),
        "throughput": lambda fleet: _throughput(fleet, plan.load_s, 16),
    }
    return _run_parts(parts)


def measure_soak(soak_s: float) -> dict[str, Any]:
    """Return the memory of a node under steady calls."""
    return _run_parts({"soak": lambda fleet: _soak(fleet, soak_s, SOAK_CALLS_PER_S)})


def _run_parts(parts: dict[str, Callable[[Fleet], Any]]) -> dict[str, Any]:
    results = {}
    settings = {"limits": {"max_buffer_bytes": BUFFER_BYTES}}
    for name, run in parts.items():
        catalogue = benchmark_catalogue(["alpha"])
        specs = [NodeSpec("node-a", "alpha")]
        with running_fleet(specs, catalogue, settings=settings) as fleet:
            asyncio.run(_wait_until_answered(fleet))
            results[name] = asyncio.run(run(fleet))
        print(name, json.dumps(results[name]), flush=True)
    return results


def measure_fleet(n_nodes: int, plan: Plan, with_platform: bool) -> dict[str, Any]:
    """Measure what the nodes of a fleet without calls use for control.

    :param with_platform: whether configuration and quota run.
    """
    specs = [
        NodeSpec(f"node-{number}", "", f"r{number % 2}", f"dc-{number % 4}")
        for number in range(n_nodes)
    ]
    started = time.perf_counter()
    data_centres = [f"dc-{number}" for number in range(4)]
    catalogue = benchmark_catalogue(["alpha"], data_centres=data_centres)
    with running_fleet(
        specs, catalogue, N_NODES_PER_PROCESS, with_platform=with_platform
    ) as fleet:
        time.sleep(SETTLE_S)
        pids = fleet.pids()
        settled_s = time.perf_counter() - started
        cpu_before = sum(process_usage(pid).cpu_s for pid in pids)
        bytes_before = bytes_by_mechanism(fleet)
        time.sleep(plan.idle_s)
        cpu_s = sum(process_usage(pid).cpu_s for pid in pids) - cpu_before
        bytes_after = bytes_by_mechanism(fleet)
        n_members = fleet.status(specs[-1].id)["n_members"]
    per_node = 1.0 / n_nodes / plan.idle_s
    return {
        "n_nodes": n_nodes,
        "with_platform": with_platform,
        "n_members_seen": n_members,
        "settled_s": round(settled_s, 1),
        "cpu_percent_per_node": round(cpu_s * per_node * 100, 3),
        "bytes_per_s_per_node": {
            name: round((n - bytes_before.get(name, 0)) * per_node, 1)
            for name, n in bytes_after.items()
        },
    }


def measure_changes(n_nodes: int, n_changes: int) -> dict[str, Any]:
    """Measure repeated changes of one call in a large catalogue."""
    data_centres = [f"dc-{number}" for number in range(4)]
    services = [f"service-{number}" for number in range(370)]
    catalogue = benchmark_catalogue(services, data_centres=data_centres)
    specs = [
        NodeSpec(f"node-{number}", "", f"r{number % 2}", f"dc-{number % 4}")
        for number in range(n_nodes)
    ]
    with running_fleet(specs, catalogue, N_NODES_PER_PROCESS) as fleet:
        time.sleep(SETTLE_S)
        without_changes = _usage_during(fleet, n_changes, None)
        in_force_ms: list[float] = []
        change = _make_change(fleet, catalogue, in_force_ms)
        with_changes = _usage_during(fleet, n_changes, change)
    used = {
        name: with_changes[name] - without_changes[name] for name in without_changes
    }
    per_change = 1.0 / n_nodes / n_changes
    return {
        "n_nodes": n_nodes,
        "n_changes": n_changes,
        "n_catalogue_calls": len(services),
        "bytes_per_change_per_node": round(used["connections"] * per_change, 1),
        "cpu_ms_per_change_per_node": round(used["cpu_ms"] * per_change, 3),
        "in_force_everywhere_ms": [round(value) for value in in_force_ms],
    }


def _usage_during(
    fleet: Fleet, n_changes: int, change: Callable[[int], None] | None
) -> dict[str, float]:
    """Return what the nodes use during changes, or in the same time without any."""
    before = _usage_so_far(fleet)
    for number in range(n_changes):
        end_s = time.monotonic() + CHANGE_PERIOD_S
        if change is not None:
            change(number)
        time.sleep(max(0.0, end_s - time.monotonic()))
    return {name: value - before[name] for name, value in _usage_so_far(fleet).items()}


def _usage_so_far(fleet: Fleet) -> dict[str, float]:
    cpu_ms = sum(process_usage(pid).cpu_s for pid in fleet.pids()) * 1000
    return {**bytes_by_mechanism(fleet), "cpu_ms": cpu_ms}


def _make_change(
    fleet: Fleet, catalogue: Catalogue, in_force_ms: list[float]
) -> Callable[[int], None]:
    def change(number: int) -> None:
        call = catalogue.calls_by_id["service-0.any"]
        changed = call._replace(timeout_ms=call.timeout_ms + 1 + number)
        calls_by_id = {**catalogue.calls_by_id, call.id: changed}
        started = time.monotonic()
        following = catalogue._replace(calls_by_id=calls_by_id)
        version = asyncio.run(publish(fleet.platform_url, following))
        while any(
            fleet.status(node_id)["catalogue_version"] < version
            for node_id in fleet.nodes_by_id
        ):
            time.sleep(0.02)
        in_force_ms.append((time.monotonic() - started) * 1000)

    return change


def report(plan: Plan) -> dict[str, Any]:
    """Run every part and return the JSON of one run."""
    idle = measure_idle(plan)
    print("idle", json.dumps(idle), flush=True)
    slopes = measure_slopes()
    print("slopes", json.dumps(slopes), flush=True)
    large_view = measure_large_view(plan)
    print("large_view", json.dumps(large_view), flush=True)
    load = measure_load(plan)
    fleets = []
    sizes = [(plan.n_nodes[-1], False), *((n_nodes, True) for n_nodes in plan.n_nodes)]
    for n_nodes, with_platform in sizes:
        fleets.append(measure_fleet(n_nodes, plan, with_platform))
        print("fleet", json.dumps(fleets[-1]), flush=True)
    changes = measure_changes(plan.n_nodes_changed, plan.n_changes)
    print("changes", json.dumps(changes), flush=True)
    largest = fleets[-1]
    return {
        "benchmark": "control_cost",
        "targets": TARGETS,
        "rss_mb": idle["rss_mb"],
        "control_cpu_percent": largest["cpu_percent_per_node"],
        "control_bytes_per_s": sum(largest["bytes_per_s_per_node"].values()),
        "idle": idle,
        "slopes": slopes,
        "large_view": large_view,
        **load,
        "fleets": fleets,
        "changes": changes,
        "machine": machine_info(),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="under a minute")
    parser.add_argument("--soak", action="store_true", help="only ten minutes of calls")
    arguments = parser.parse_args()
    gc.freeze()
    plan = QUICK if arguments.quick else FULL
    if arguments.soak:
        measured = measure_soak(SOAK_S)
        print(json.dumps({"benchmark": "soak", **measured, "machine": machine_info()}))
        return
    print(json.dumps(report(plan)))


if __name__ == "__main__":
    main()
