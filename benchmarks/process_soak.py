"""Soak of the real program: processes on one machine under faults from outside.

Each VM has a node as a process of its own; stand-ins of upstreams and of the store, and
proxies on loopback, run in this process. Callers keep their connections until the node
has closed them. A seed determines the faults, several at a time and also on one VM. All
end before the run ends, and nearly all requests must then be answered again.

Run from the root: ``python benchmarks/process_soak.py --seconds 60 --seed 1``. The exit
code is 1 if a guarantee was broken; the logs of the nodes are then kept.
"""

import argparse
import asyncio
import json
import random
import shutil
import sys
import tempfile
from collections import Counter, defaultdict
from contextlib import AsyncExitStack
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [
    str(ROOT / "tests" / "fleet"),
    str(ROOT / "platform"),
    str(ROOT / "benchmarks"),
]

from _soak_callers import SoakCaller  # noqa: E402
from _soak_checks import (  # noqa: E402
    exit_violations,
    log_violations,
    node_violations,
    retry_violations,
    stop_violations,
)
from _soak_faults import FAULTS, Fault, FaultScene  # noqa: E402
from _soak_operator import Operator  # noqa: E402
from _soak_processes import FaultSpan, SoakVm, now_ms  # noqa: E402
from fleet_harness import running_store  # noqa: E402

from ibisspoke_standins.fleet_guarantees import (  # noqa: E402
    MIN_ANSWERED_SHARE,
    answered_share,
    find_violations,
)

PLACES = (("a", "north"), ("b", "north"), ("c", "south"))
N_CALLERS = 3  # per VM
PAUSE_S = (0.1, 1.0)  # between two faults
FAULT_S = (0.3, 3.0)
MAX_FAULTY_SHARE = 0.5  # of the VMs, of which each may have several faults
MAX_FAULTS_PER_VM = 2
RECOVERY_S = 8.0  # after the last fault; silent connections are detected within 4 s
CALM_S = 4.0  # after it, in which nearly all requests must be answered
READY_TIMEOUT_S = 60.0


class Soak:
    """The fleet, its callers and its faults."""

    def __init__(self, vms: list[SoakVm], operator: Operator, seed: int) -> None:
        self.vms = vms
        self.operator = operator
        self.rng = random.Random(seed)
        self.callers = [SoakCaller(vm, seed) for vm in vms for _ in range(N_CALLERS)]
        self.n_faults: Counter[str] = Counter()
        self._faults_by_host: dict[str, list[Fault]] = defaultdict(list)

    def __repr__(self) -> str:
        return f"Soak({len(self.vms)} VMs, {dict(self.n_faults)})"

    async def inject_faults(self, seconds: float) -> None:
        """Inject faults for a time and return when all are over."""
        end_ms = now_ms() + seconds * 1000.0
        async with asyncio.TaskGroup() as group:
            while now_ms() < end_ms:
                await asyncio.sleep(self.rng.uniform(*PAUSE_S))
                vm, fault = self.rng.choice(self.vms), self.rng.choice(FAULTS)
                seed = self.rng.random()
                if self._may_inject(vm, fault):
                    group.create_task(self._inject(vm, fault, random.Random(seed)))

    def _may_inject(self, vm: SoakVm, fault: Fault) -> bool:
        faults = self._faults_by_host[vm.host]
        if len(faults) >= MAX_FAULTS_PER_VM:
            return False
        if fault.uses_process and any(other.uses_process for other in faults):
            return False
        n_faulty = sum(bool(others) for others in self._faults_by_host.values())
        return bool(faults) or n_faulty < MAX_FAULTY_SHARE * len(self.vms)

    async def _inject(self, vm: SoakVm, fault: Fault, rng: random.Random) -> None:
        faults = self._faults_by_host[vm.host]
        faults.append(fault)
        self.n_faults[fault.name] += 1
        span = FaultSpan(fault.name, fault.is_hard)
        vm.fault_spans.append(span)
        async with fault.inject(FaultScene(vm, self.operator, rng)):
            await asyncio.sleep(rng.uniform(*FAULT_S))
        span.ended_ms = now_ms()
        faults.remove(fault)

    async def report(self, calm_from_ms: float, directory: Path) -> dict[str, object]:
        """Return the figures and the broken guarantees.

        :param calm_from_ms: time from which nearly all requests must be answered.
        """
        requests = [request for caller in self.callers for request in caller.requests]
        arrivals = [arrival for vm in self.vms for arrival in vm.arrivals]
        operator = self.operator
        broken = find_violations(
            requests,
            arrivals,
            operator.departed_ms_by_instance,
            operator.withdrawn_ms_by_key,
        )
        broken += stop_violations(self.callers, arrivals)
        broken += retry_violations(requests, arrivals)
        broken += exit_violations(self.vms)
        broken += log_violations(directory)
        broken += await node_violations(self.vms, operator.version)
        valid = [r for r in requests if r.key not in operator.withdrawn_ms_by_key]
        share = answered_share(valid, calm_from_ms)
        if share < MIN_ANSWERED_SHARE:
            broken.append(f"{share:.3f} answered after the faults")
        return {
            "n_requests": len(requests),
            "n_by_status": dict(Counter(request.status for request in requests)),
            "n_faults": dict(self.n_faults),
            "answered_when_calm": round(share, 4),
            "broken": broken,
        }


async def run(
    seconds: float, seed: int, n_vms: int, net: str, directory: Path
) -> dict[str, object]:
    """Run the soak and return its report."""
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_store(f"{net}.4.1"))
        operator = Operator(store)
        await operator.change()
        vms = [
            SoakVm(net, number, PLACES[number % len(PLACES)], directory)
            for number in range(1, n_vms + 1)
        ]
        for vm in vms:
            await stack.enter_async_context(vm.running())
        async with asyncio.timeout(READY_TIMEOUT_S):
            for vm in vms:
                while not await vm.is_ready():
                    await asyncio.sleep(0.1)
        soak = Soak(vms, operator, seed)
        tasks = [asyncio.ensure_future(caller.run()) for caller in soak.callers]
        await soak.inject_faults(seconds)
        calm_from_ms = now_ms() + RECOVERY_S * 1000.0
        await asyncio.sleep(RECOVERY_S + CALM_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return await soak.report(calm_from_ms, directory)


def main() -> None:
    """Print the report as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--vms", type=int, default=6)
    parser.add_argument("--net", default="127.71", help="first parts of the addresses")
    options = parser.parse_args()
    directory = Path(tempfile.mkdtemp(prefix="ibisspoke-soak-"))
    report = asyncio.run(
        run(options.seconds, options.seed, options.vms, options.net, directory)
    )
    print(json.dumps(report, indent=2))
    if report["broken"]:
        print(f"the logs of the nodes are in {directory}", file=sys.stderr)
        sys.exit(1)
    shutil.rmtree(directory)


if __name__ == "__main__":
    main()
