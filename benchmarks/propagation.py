"""Time from an accepted change until it is in force at every node, by fleet size.

Nodes run in eight processes with real control connections on loopback, in four data
centres with the delays of the sites. In the baseline every node polls the platform.
"""

import argparse
import json
import math
from contextlib import ExitStack
from typing import Any, NamedTuple

import msgspec
from _harness import Child, read_replies, running_child, send_to_all
from _propagation_process import REGIONS, Measured, ProcessSpec

from ibisspoke_node.config_sync import POLL_INTERVAL_MS

N_PROCESSES_EACH = 2
N_TARGET_NODES = 6_600
FLEET_SIZES = (16, 64, 256)
CHANGE_INTERVAL_S = 2.5
NOT_REACHED_MS = 60_000.0


class SizeResult(NamedTuple):
    """Figures of one fleet size.

    :param store_reads_per_s: reads of the whole fleet while changes are accepted.
    """

    n_nodes: int
    n_changes: int
    in_force_p50_ms: float
    in_force_p99_ms: float
    store_reads_per_s: float
    store_writes_per_s: float
    every_node_polls_reads_per_s: float
    control_bytes_per_s: float
    core_share_of_a_node: float


def run_size(n_nodes: int, n_changes: int) -> SizeResult:
    """Withdraw keys one after the other in a fleet of ``n_nodes``."""
    n_each = n_nodes // (len(REGIONS) * N_PROCESSES_EACH)
    names = [name for name in REGIONS for _ in range(N_PROCESSES_EACH)]
    with ExitStack() as stack:
        children: list[Child] = []
        for number, name in enumerate(names):
            url = children[0].ready["platform_url"] if children else ""
            spec = ProcessSpec(number, name, n_each, n_changes, CHANGE_INTERVAL_S, url)
            argument = msgspec.json.encode(spec).decode()
            script = "_propagation_process.py"
            children.append(stack.enter_context(running_child(script, argument)))
        members = [row for process in children for row in process.ready["members"]]
        send_to_all(children, members)
        read_replies(children)
        send_to_all(children, 0.0)
        measured = [
            msgspec.convert(row, Measured, strict=False)
            for row in read_replies(children)
        ]
    return _result(n_nodes, n_changes, measured)


def _result(n_nodes: int, n_changes: int, measured: list[Measured]) -> SizeResult:
    first = measured[0]
    times_ms: list[float] = []
    for version, accepted_ms in first.accepted_ms_by_version.items():
        reached = [
            at_ms - accepted_ms
            for part in measured
            for at_ms in part.in_force_ms_by_version.get(version, [])
        ]
        times_ms += reached + [NOT_REACHED_MS] * (n_nodes - len(reached))
    times_ms.sort()
    seconds = first.seconds
    cpu_s = sum(part.cpu_s for part in measured)
    return SizeResult(
        n_nodes,
        n_changes,
        round(times_ms[len(times_ms) // 2], 1),
        round(times_ms[int(len(times_ms) * 0.99)], 1),
        round(first.n_reads / seconds, 2),
        round(first.n_writes / seconds, 2),
        n_nodes * 1000.0 / POLL_INTERVAL_MS,
        round(sum(part.n_bytes for part in measured) / seconds / n_nodes, 1),
        round(cpu_s / seconds / n_nodes, 4),
    )


def extrapolate_to_target(results: list[SizeResult]) -> dict[str, float]:
    """Extrapolate the growth between the two largest fleets to the target size.

    Each round of a push reaches four times as many nodes, so its time should grow with
    the logarithm of the fleet size; the linear extrapolation is an upper bound.
    """
    first, last = results[-2], results[-1]
    growth_ms = max(0.0, last.in_force_p99_ms - first.in_force_p99_ms)
    n_doublings = math.log2(last.n_nodes / first.n_nodes)
    n_more_doublings = math.log2(N_TARGET_NODES / last.n_nodes)
    n_more_nodes = N_TARGET_NODES - last.n_nodes
    per_node_ms = growth_ms / (last.n_nodes - first.n_nodes)
    by_doubling_ms = last.in_force_p99_ms + growth_ms / n_doublings * n_more_doublings
    return {
        "n_nodes": N_TARGET_NODES,
        "in_force_p99_ms_by_doubling": round(by_doubling_ms, 1),
        "in_force_p99_ms_by_line": round(
            last.in_force_p99_ms + per_node_ms * n_more_nodes, 1
        ),
        "store_reads_per_s": last.store_reads_per_s,
    }


def measure(n_changes: int) -> dict[str, Any]:
    """Run every fleet size."""
    results = [run_size(n_nodes, n_changes) for n_nodes in FLEET_SIZES]
    by_size = {str(result.n_nodes): result._asdict() for result in results}
    names = (
        "in_force_p50_ms",
        "in_force_p99_ms",
        "store_reads_per_s",
        "store_writes_per_s",
        "every_node_polls_reads_per_s",
    )
    by_key = {name: {n: row[name] for n, row in by_size.items()} for name in names}
    return {
        **by_key,
        "at_target": extrapolate_to_target(results),
        "by_n_nodes": by_size,
    }


def main() -> None:
    """Print one JSON object as the last line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="run under a minute")
    arguments = parser.parse_args()
    print(json.dumps(measure(4 if arguments.quick else 20)))


if __name__ == "__main__":
    main()
