"""Soak test of the node on the users' platform under faults of eleven kinds.

Six VMs in three data centres run in this process, with stand-ins of the store and the
upstreams. A seed determines the faults, up to three at a time; all end before the run
ends. Run from the root: ``python benchmarks/mesh_soak.py --seconds 60 --seed 1``.
The exit code is 1 if a guarantee was broken.
"""

import argparse
import asyncio
import itertools
import json
import random
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / "tests" / "fleet"), str(ROOT / "platform")]

import uvloop  # noqa: E402
from fleet_harness import (  # noqa: E402
    CONTROL,
    STORE,
    UPSTREAM,
    call,
    document,
    new_net,
    new_node,
    running_store,
    settings_of,
    until,
)

from ibisspoke_adapter.configuration import CONFIG_KEY, CONFIG_TABLE  # noqa: E402
from ibisspoke_mesh.node import Node  # noqa: E402
from ibisspoke_mesh.node_process import running_node  # noqa: E402
from ibisspoke_standins import fleet_upstream as upstreams  # noqa: E402
from ibisspoke_standins.fleet_guarantees import (  # noqa: E402
    MIN_ANSWERED_SHARE,
    Arrival,
    Request,
    answered_share,
    find_violations,
)
from ibisspoke_standins.fleet_store import FleetStore  # noqa: E402
from ibisspoke_standins.fleet_upstream import FleetUpstream  # noqa: E402

NET = new_net()
LOCATIONS = (("a", "north"), ("b", "north"), ("c", "south"))
N_VMS = 6
RATE_PER_S = 60.0  # of all callers; the upstreams can serve twice this rate
PAUSE_S = (0.3, 1.5)  # between two faults
FAULT_S = (0.5, 3.0)
MAX_FAULTS = 3  # at a time, each on another VM: half of the fleet has no fault
FAULT_FREE_S = 8.0  # at the end; silent connections are detected within 4 s
RECOVERED_S = 4.0  # last part of it, in which nearly all requests must be answered
HEARTBEAT_S = 0.5
FAULTY_BEHAVIOURS = (
    upstreams.shed,
    upstreams.lose_answer,
    upstreams.truncate_answer,
    upstreams.answer_garbage,
    upstreams.answer_twice,
    upstreams.answer_without_length,
    upstreams.answer_without_stamp,
    upstreams.fail,
    upstreams.hang,
)

_incarnations = itertools.count(1)


class SoakVm:
    """A VM whose node and upstream can be stopped and restarted."""

    def __init__(self, number: int, location: tuple[str, str]) -> None:
        self.host = f"{NET}.{number}"
        self.node: Node | None = None
        self.upstream: FleetUpstream | None = None
        self.state = "ready"
        self.arrivals: list[Arrival] = []
        self._location = location
        self._stack = AsyncExitStack()

    def __repr__(self) -> str:
        return f"SoakVm({self.host!r}, {self.state})"

    async def start_upstream(self) -> None:
        """Start an upstream as a new instance."""
        incarnation = next(_incarnations)
        address = (self.host, CONTROL)
        upstream = FleetUpstream(
            f"i-{incarnation}", "shop", self.host, UPSTREAM, address
        )
        upstream.start_ms = incarnation
        upstream.behaviour = self._recording_arrivals(upstreams.answer)
        await upstream.start()
        self.upstream, self.state = upstream, "ready"

    async def end_upstream(self) -> None:
        """Stop the upstream without draining it."""
        if self.upstream is not None:
            await self.upstream.stop()
        self.upstream = None

    def set_behaviour(self, behaviour: upstreams.Behaviour) -> None:
        """Change how the upstream answers."""
        if self.upstream is not None:
            self.upstream.behaviour = self._recording_arrivals(behaviour)

    def _recording_arrivals(
        self, behaviour: upstreams.Behaviour
    ) -> upstreams.Behaviour:
        async def respond(
            upstream: FleetUpstream,
            request: upstreams.ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> bool:
            ran = behaviour is not upstreams.shed
            self.arrivals.append(Arrival(request.id, upstream.instance, now_ms(), ran))
            return await behaviour(upstream, request, writer)

        return respond

    async def start_node(self) -> None:
        """Start a node without any state of an earlier one."""
        data_centre, region = self._location
        settings = settings_of(
            self.host,
            (f"{NET}.100", STORE),
            data_centre=data_centre,
            region=region,
            heartbeat_ms=HEARTBEAT_S * 1000.0,
        )
        self.node = new_node(settings)
        await self._stack.enter_async_context(running_node(self.node))

    async def kill_node(self) -> None:
        """End the node without a graceful stop."""
        node, self.node = self.node, None
        await self._stack.aclose()
        self._stack = AsyncExitStack()
        if node is not None:
            for server in node.servers:
                for connection in list(server.connections):
                    connection._transport.abort()

    async def heartbeats(self) -> None:
        """Send the announcements of the upstream until cancelled."""
        while True:
            if self.upstream is not None and self.state != "gone":
                await self.upstream.announce(self.state)
            await asyncio.sleep(HEARTBEAT_S)


class Soak:
    """The fleet, its callers and its faults."""

    def __init__(self, vms: list[SoakVm], store: FleetStore, seed: int) -> None:
        self.vms = vms
        self.store = store
        self.rng = random.Random(seed)
        self.requests: list[Request] = []
        self.departed_ms_by_instance: dict[str, float] = {}
        self.withdrawn_ms_by_key: dict[str, float] = {}
        self.n_faults: Counter[str] = Counter()
        self._faulty_hosts: set[str] = set()
        self._version = 1

    def __repr__(self) -> str:
        return f"Soak(n_requests={len(self.requests)}, busy={self._faulty_hosts})"

    async def send_requests(self) -> None:
        """Send requests at ``RATE_PER_S`` until cancelled."""
        async with asyncio.TaskGroup() as group:
            for number in itertools.count(1):
                group.create_task(self._call(number))
                await asyncio.sleep(self.rng.expovariate(RATE_PER_S))

    async def _call(self, number: int) -> None:
        vm = self.rng.choice(self.vms)
        is_order = self.rng.random() < 0.4
        path = f"/order/{number}" if is_order else f"/lookup/{number}"
        key = self.rng.choice(["key-1", "key-2"])
        node, sent_ms, status, body = vm.node, now_ms(), 0, b""
        try:
            answer = await call(
                vm.host,
                path,
                method="POST" if is_order else "GET",
                body=b"x" * 50 if is_order else b"",
                key=key,
                request_id=f"q{number}",
                deadline_ms=2_000,
            )
            status, body = answer.status, answer.body
        except OSError:
            pass  # no connection, which the guarantees allow while the node is down
        was_up = node is not None and node is vm.node
        self.requests.append(
            Request(f"q{number}", path, key, sent_ms, was_up, status, body)
        )

    async def inject_faults(self, seconds: float) -> None:
        """Inject faults for a time and return when all are over."""
        end_ms = now_ms() + seconds * 1000.0
        async with asyncio.TaskGroup() as group:
            while now_ms() < end_ms:
                await asyncio.sleep(self.rng.uniform(*PAUSE_S))
                free = [vm for vm in self.vms if vm.host not in self._faulty_hosts]
                if len(self._faulty_hosts) < MAX_FAULTS:
                    fault = self.rng.choice(FAULTS)
                    group.create_task(self._inject(fault, self.rng.choice(free)))

    async def _inject(self, fault: "Fault", vm: SoakVm) -> None:
        self._faulty_hosts.add(vm.host)
        self.n_faults[fault.name] += 1
        async with fault.inject(self, vm):
            await asyncio.sleep(self.rng.uniform(*FAULT_S))
        self._faulty_hosts.remove(vm.host)

    async def change_configuration(self, **changes: object) -> None:
        """Change the configuration as an operator does."""
        self._version += 1
        await self.store.put(
            CONFIG_TABLE, CONFIG_KEY, document(self._version, **changes)
        )

    def report(self, fault_free_from_ms: float) -> dict[str, object]:
        """Return the figures and the broken guarantees.

        :param fault_free_from_ms: time from which nearly all must be answered.
        """
        arrivals = [arrival for vm in self.vms for arrival in vm.arrivals]
        broken = find_violations(
            self.requests,
            arrivals,
            self.departed_ms_by_instance,
            self.withdrawn_ms_by_key,
        )
        valid_key_requests = [
            r for r in self.requests if r.key not in self.withdrawn_ms_by_key
        ]
        share = answered_share(valid_key_requests, fault_free_from_ms)
        if share < MIN_ANSWERED_SHARE:
            broken.append(f"{share:.3f} answered after the faults")
        return {
            "n_requests": len(self.requests),
            "n_by_status": dict(Counter(request.status for request in self.requests)),
            "n_faults": dict(self.n_faults),
            "answered_when_calm": round(share, 4),
            "broken": broken,
        }


class Fault(NamedTuple):
    """A fault at a VM, which lasts until the context ends."""

    name: str
    inject: Callable[[Soak, SoakVm], "asyncio.AbstractAsyncContextManager"]


def now_ms() -> float:
    """Return monotonic time."""
    return time.monotonic() * 1000.0


@asynccontextmanager
async def spoilt_upstream(soak: Soak, vm: SoakVm) -> AsyncIterator[None]:
    """Make the upstream send faulty answers."""
    vm.set_behaviour(soak.rng.choice(FAULTY_BEHAVIOURS))
    yield
    vm.set_behaviour(upstreams.answer)


@asynccontextmanager
async def slow_upstream(soak: Soak, vm: SoakVm) -> AsyncIterator[None]:
    """Make the upstream a hundred times slower."""
    assert vm.upstream is not None
    vm.upstream.execution_s = 0.5
    yield
    vm.upstream.execution_s = 0.005


@asynccontextmanager
async def crashed_upstream(soak: Soak, vm: SoakVm) -> AsyncIterator[None]:
    """Stop the upstream without draining it, then start another."""
    await vm.end_upstream()
    yield
    await vm.start_upstream()


@asynccontextmanager
async def leaving_upstream(soak: Soak, vm: SoakVm) -> AsyncIterator[None]:
    """Drain the upstream, then replace it by another."""
    assert vm.upstream is not None
    vm.state = "draining"
    while await vm.upstream.announce("draining") != 200:
        await asyncio.sleep(0.05)
    soak.departed_ms_by_instance[vm.upstream.instance] = now_ms()
    yield
    await asyncio.sleep(max(FAULT_S))
    vm.state = "gone"
    await vm.upstream.leave()
    await vm.end_upstream()
    await vm.start_upstream()


@asynccontextmanager
async def killed_node(soak: Soak, vm: SoakVm) -> AsyncIterator[None]:
    """Kill the node, then start it again."""
    await vm.kill_node()
    yield
    await vm.start_node()


@asynccontextmanager
async def stopped_node(soak: Soak, vm: SoakVm) -> AsyncIterator[None]:
    """Stop the node gracefully, then start it again."""
    assert vm.node is not None
    await vm.node.stop()
    await vm.kill_node()
    yield
    await vm.start_node()


@asynccontextmanager
async def broken_links(soak: Soak, vm: SoakVm) -> AsyncIterator[None]:
    """Close all connections from other nodes."""
    assert vm.node is not None
    for connection in list(vm.node.calls.connections):
        connection.close()
    yield


@asynccontextmanager
async def silent_links(soak: Soak, vm: SoakVm) -> AsyncIterator[None]:
    """Make the node ignore all frames on its current connections from other nodes."""
    assert vm.node is not None
    for connection in vm.node.calls.connections:
        connection._reader._on_frame = lambda frame: None
    yield


@asynccontextmanager
async def lost_datagrams(soak: Soak, vm: SoakVm) -> AsyncIterator[None]:
    """Drop all datagrams to the node."""
    assert vm.node is not None
    status = vm.node.status
    status.datagram_received = lambda data, addr: None  # type: ignore[method-assign]
    yield
    del status.datagram_received  # type: ignore[method-assign]


@asynccontextmanager
async def lost_store(soak: Soak, vm: SoakVm) -> AsyncIterator[None]:
    """Make the store fail in a random way."""
    fault = soak.rng.choice(["down", "silent", "lose_answers", "hold_writes"])
    setattr(soak.store, fault, True)
    yield
    setattr(soak.store, fault, False)
    await soak.store.release_writes()


@asynccontextmanager
async def lost_history(soak: Soak, vm: SoakVm) -> AsyncIterator[None]:
    """Make the store lose its history of changes between two changes."""
    await soak.change_configuration()
    soak.store.forget_history()
    yield
    await soak.change_configuration()


FAULTS = tuple(
    Fault(function.__name__, function)
    for function in (
        spoilt_upstream,
        slow_upstream,
        crashed_upstream,
        leaving_upstream,
        killed_node,
        stopped_node,
        broken_links,
        silent_links,
        lost_datagrams,
        lost_store,
        lost_history,
    )
)


async def withdraw_key(soak: Soak) -> None:
    """Withdraw ``key-2``."""
    organisation = {"name": "acme", "apiKeys": ["key-1"], "priority": 1}
    await soak.change_configuration(tenants=[organisation])
    soak.withdrawn_ms_by_key["key-2"] = now_ms()


async def run(seconds: float, seed: int) -> dict[str, object]:
    """Run the soak test and return its report."""
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_store(f"{NET}.100"))
        await store.put(CONFIG_TABLE, CONFIG_KEY, document())
        locations = itertools.cycle(LOCATIONS)
        vms = [SoakVm(number, next(locations)) for number in range(1, N_VMS + 1)]
        jobs: list[Awaitable[None]] = []
        for vm in vms:
            await vm.start_upstream()
            await vm.start_node()
            stack.push_async_callback(vm.end_upstream)
            stack.push_async_callback(vm.kill_node)
            jobs.append(vm.heartbeats())
        soak = Soak(vms, store, seed)
        tasks = [asyncio.ensure_future(job) for job in jobs]
        await until(
            lambda: all(vm.node.dispatcher.upstream.state == "ready" for vm in vms)
        )
        await asyncio.sleep(1.0)
        callers = asyncio.ensure_future(soak.send_requests())
        await soak.inject_faults(seconds)
        await withdraw_key(soak)
        fault_free_from_ms = now_ms() + (FAULT_FREE_S - RECOVERED_S) * 1000.0
        await asyncio.sleep(FAULT_FREE_S)
        for task in [callers, *tasks]:
            task.cancel()
        await asyncio.gather(callers, *tasks, return_exceptions=True)
        return soak.report(fault_free_from_ms)


def main() -> None:
    """Print the report as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    report = uvloop.run(run(options.seconds, options.seed))
    print(json.dumps(report, indent=2))
    if report["broken"]:
        sys.exit(1)


if __name__ == "__main__":
    main()
