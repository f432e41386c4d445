"""Cost of the node on the users' platform: requests, refusals, logs and idle time.

All nodes run in this process, so the figures are the processor time of the process
divided by the number of nodes or requests. Run from the root:
``python benchmarks/mesh_cost.py``.
"""

import asyncio
import json
import logging
import os
import sys
import time
from pathlib import Path
from unittest import mock

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / "tests" / "fleet"), str(ROOT / "platform")]

import uvloop  # noqa: E402
from fleet_harness import connect, request_bytes, running_fleet  # noqa: E402

from ibisspoke_mesh import decision_log  # noqa: E402

N_REQUESTS = 3_000
N_WARM_UP = 300
IDLE_S = 6.0
FLEET_SIZES = (2, 8, 24)


async def request_cpu_ms() -> float:
    """Return the processor time of a request over two nodes, in ms.

    It includes the caller and the stand-in upstream, which run in this process.
    """
    async with running_fleet(2) as fleet:
        entry, other = fleet.vms
        await entry.upstream.announce("draining")
        entry.upstream.execution_s = other.upstream.execution_s = 0.0
        caller = await connect(entry.host)

        async def call(n: int) -> None:
            for _ in range(n):
                caller.transport.write(request_bytes("/lookup/1"))
                assert (await caller.responses.get()).status == 200

        await call(N_WARM_UP)
        started = time.process_time()
        await call(N_REQUESTS)
        return (time.process_time() - started) * 1000.0 / N_REQUESTS


async def idle_usage(n_nodes: int) -> dict[str, float]:
    """Return processor time and datagram bytes per second of one idle node."""
    async with running_fleet(n_nodes) as fleet:
        n_bytes = 0
        for vm in fleet.vms:
            transport = vm.node.status._transport
            assert transport is not None
            vm.node.status._transport = _CountingTransport(transport)
        await asyncio.sleep(1.0)
        started = time.process_time()
        before = _CountingTransport.n_bytes
        await asyncio.sleep(IDLE_S)
        n_bytes = _CountingTransport.n_bytes - before
        used_ms = (time.process_time() - started) * 1000.0
    return {
        "n_nodes": n_nodes,
        "cpu_ms_per_s": round(used_ms / IDLE_S / n_nodes, 2),
        "datagram_bytes_per_s": round(n_bytes / IDLE_S / n_nodes),
    }


async def refusal_cost() -> dict[str, dict[str, float]]:
    """Return the cost of a refused request with limited, unlimited and no log lines.

    Log lines have the format of a node and go to the null device.
    """
    unbounded = mock.patch.object(decision_log, "LINES_PER_S", 1e9)
    unbounded_burst = mock.patch.object(decision_log, "BURST_LINES", 1e9)
    report = {"bounded": await _measure_refusals()}
    with unbounded, unbounded_burst:
        report["unbounded"] = await _measure_refusals()
    logging.getLogger("ibisspoke").disabled = True
    report["no log"] = await _measure_refusals()
    logging.getLogger("ibisspoke").disabled = False
    return report


async def _measure_refusals() -> dict[str, float]:
    handler = _CountingHandler(os.open(os.devnull, os.O_WRONLY))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    async with running_fleet(1) as fleet:
        caller = await connect(fleet.vms[0].host)

        async def call(n: int) -> None:
            for _ in range(n):
                caller.transport.write(request_bytes("/lookup/1", key="unknown"))
                assert (await caller.responses.get()).status == 401

        await call(N_WARM_UP)
        handler.n_lines = 0
        started, began = time.process_time(), time.monotonic()
        await call(N_REQUESTS)
        used_ms = (time.process_time() - started) * 1000.0
        elapsed_s = time.monotonic() - began
    return {
        "cpu_ms": round(used_ms / N_REQUESTS, 3),
        "refusals_per_s": round(N_REQUESTS / elapsed_s),
        "lines_per_s": round(handler.n_lines / elapsed_s),
    }


class _CountingHandler(decision_log.PipeHandler):
    """Writes lines as a node does, and counts them."""

    def __init__(self, descriptor: int) -> None:
        super().__init__(descriptor)
        self.setFormatter(decision_log.line_formatter("n1"))
        self.n_lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line."""
        self.n_lines += 1
        super().emit(record)


class _CountingTransport:
    n_bytes = 0

    def __init__(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Count and send a datagram."""
        _CountingTransport.n_bytes += len(data)
        self._transport.sendto(data, address)


async def run() -> None:
    """Print all figures as JSON."""
    report = {
        "request_cpu_ms_with_both_ends": round(await request_cpu_ms(), 3),
        "burst": await refusal_cost(),
        "idle": [await idle_usage(n_nodes) for n_nodes in FLEET_SIZES],
    }
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    uvloop.run(run())
