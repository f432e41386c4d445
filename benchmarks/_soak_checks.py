"""Checks of the soak beside those of ``fleet_guarantees``."""

import json
import re
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

from _soak_callers import FAULT_MARGIN_MS, SoakCaller
from _soak_processes import RetryBounds, SoakVm
from fleet_harness import METRICS

from ibisspoke_mesh.http_client import HttpClient, HttpError
from ibisspoke_standins.fleet_guarantees import Arrival, Request

MAX_MEMORY_KB = 200 * 1024  # of the smallest VMs of the users
WINDOW_STEP_MS = 250.0
# Exceptions that no code expected.
FAILURE_EVENTS = {"loop failed", "handler failed"}
_VERSION = re.compile(rb"^ibisspoke_config_version ([0-9.e+]+)$", re.MULTILINE)


def stop_violations(
    callers: Iterable[SoakCaller], arrivals: Iterable[Arrival]
) -> list[str]:
    """Return requests that ran and whose connection a stopping node closed."""
    ran = {arrival.id for arrival in arrivals if arrival.ran}
    violations = []
    for caller in callers:
        for request, ended_ms in caller.unanswered:
            excuses = caller.vm.hard_faults(request.sent_ms, ended_ms, FAULT_MARGIN_MS)
            if request.id in ran and not excuses:
                violations.append(f"{request.id} ran and its connection was closed")
    return violations


def retry_violations(
    requests: Iterable[Request], arrivals: Iterable[Arrival]
) -> list[str]:
    """Return windows in which upstreams got too many arrivals beyond the first."""
    sent_ms = sorted(request.sent_ms for request in requests)
    times_by_id: dict[str, list[float]] = defaultdict(list)
    for arrival in arrivals:
        times_by_id[arrival.id].append(arrival.at_ms)
    repeats_ms = sorted(
        at_ms for times in times_by_id.values() for at_ms in sorted(times)[1:]
    )
    window_ms = RetryBounds.window_s * 1000.0
    violations = []
    start_ms = sent_ms[0] if sent_ms else 0.0
    while sent_ms and start_ms < sent_ms[-1]:
        n_requests = _count(sent_ms, start_ms, start_ms + window_ms)
        n_repeats = _count(repeats_ms, start_ms, start_ms + window_ms)
        if n_repeats > RetryBounds.ratio * n_requests + RetryBounds.slack:
            violations.append(f"{n_repeats} repeats of {n_requests} requests")
        start_ms += WINDOW_STEP_MS
    return violations


def exit_violations(vms: Iterable[SoakVm]) -> list[str]:
    """Return processes that ended by themselves, or did not end."""
    return [exit_text for vm in vms for exit_text in vm.exits]


def log_violations(directory: Path) -> list[str]:
    """Return unexpected exceptions, and lines that are not JSON.

    A node that starts with mistaken settings names them in plain text.
    """
    violations = []
    for path in sorted(directory.glob("*.log")):
        settings = f"{path.stem}.toml:"
        for line in path.read_text(errors="replace").splitlines():
            if settings in line:
                continue
            try:
                event = json.loads(line)["event"]
            except (ValueError, KeyError):
                violations.append(f"{path.name}: {line[:200]}")
                continue
            if event in FAILURE_EVENTS:
                violations.append(f"{path.name}: {line[:400]}")
    return violations


async def node_violations(vms: Iterable[SoakVm], version: int) -> list[str]:
    """Return nodes with an old configuration or too much memory, at the end."""
    violations = []
    for vm in vms:
        try:
            client = HttpClient(vm.host, METRICS)
            page = (await client.request("GET", "/metrics", b"")).body
        except HttpError as error:
            violations.append(f"{vm.host} has no metrics: {error}")
            continue
        found = _VERSION.search(page)
        if found is None or float(found[1]) != version:
            violations.append(f"{vm.host} has {found and found[1]!r}, not {version}")
        memory_kb = _peak_memory_kb(vm)
        if memory_kb > MAX_MEMORY_KB:
            violations.append(f"{vm.host} took {memory_kb} KB of memory")
    return violations


def _peak_memory_kb(vm: SoakVm) -> int:
    if vm.process is None:
        return 0
    status = Path(f"/proc/{vm.process.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0])


def _count(sorted_ms: list[float], start_ms: float, end_ms: float) -> int:
    return bisect_left(sorted_ms, end_ms) - bisect_left(sorted_ms, start_ms)
