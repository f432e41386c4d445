"""Runs nodes in one process, controlled by JSON lines on standard input.

Started by ``_worker_pool.py``. SIGTERM drains the nodes and ends the process.
"""

import asyncio
import contextlib
import gc
import json
import resource
import signal
import sys
import time
from contextlib import AsyncExitStack
from typing import Any

from _membership_ways import make_watch_plan
from result import Err, Result

from ibisspoke_node.control import ControlError, ControlErrorKind
from ibisspoke_node.main import GC_THRESHOLD
from ibisspoke_node.node import Node, running_node
from ibisspoke_node.settings import NodeSettings
from ibisspoke_policy.catalogue import Call, Catalogue, Importance
from ibisspoke_policy.clock import Clock
from ibisspoke_standins.upstream import UpstreamSettings, announce, running_upstream

SECRETS = (b"fleet secret of this benchmark",)
SERVICE = "bench"
CATALOGUE = Catalogue(
    1,
    {
        "bench.look": Call(
            "bench.look",
            SERVICE,
            "POST",
            "/look",
            "bench",
            Importance.NORMAL,
            False,
            is_open=True,
            open_rate_per_s=100_000.0,
            open_burst=100_000.0,
        )
    },
    {},
    {},
)


class Worker:
    """The nodes of this process."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self._stack = stack
        self._nodes_by_id: dict[str, Node] = {}
        self._events: list[dict[str, Any]] = []
        self._partitioned: set[str] = set()

    async def start(self, command: dict[str, Any]) -> dict[str, Any]:
        """Run nodes, each with a stand-in upstream if requested."""
        seeds = list(command["seeds"])
        for spec in command["nodes"]:
            settings = NodeSettings(
                spec["id"],
                spec["data_centre"].split("-")[0],
                spec["data_centre"],
                "127.0.0.1",
                "",
                SECRETS,
                tuple(seeds),
                **spec.get("ports", {}),
            )
            node = await self._stack.enter_async_context(
                running_node(settings, Clock())
            )
            if not seeds:
                seeds.append(f"127.0.0.1:{node.ports.control}")
            plan = make_watch_plan(command.get("plan", ""))
            if plan is not None:
                _set_watch_plan(node, plan)
            node.catalogue_in_force.adopt(CATALOGUE)
            self._record_changes(node)
            self._install_partitions(node)
            await self._announce(node, command.get("upstream"))
        return {"ports": {id: self._ports(id) for id in self._nodes_by_id}}

    async def wait_members(self, command: dict[str, Any]) -> dict[str, Any]:
        """Wait until every node here sees ``n`` nodes that take calls."""
        deadline_s = time.monotonic() + command["timeout_s"]
        while time.monotonic() < deadline_s:
            counts = [
                len(node.members_by_id.where(lambda row: row.accepts_calls))
                for node in self._nodes_by_id.values()
            ]
            if min(counts) >= command["n"]:
                return {"complete": True}
            await asyncio.sleep(0.1)
        return {"complete": False, "counts": counts}

    async def drain(self, command: dict[str, Any]) -> dict[str, Any]:
        """Announce that the upstream of a node takes no new work."""
        at_s = time.time()
        self._nodes_by_id[command["id"]].membership.announce(draining=True)
        return {"at_s": at_s}

    async def sample(self, command: dict[str, Any]) -> dict[str, Any]:
        """Return the processor time and traffic of the process so far."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        nodes = self._nodes_by_id.values()
        return {
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "n_nodes": len(self._nodes_by_id),
            "n_sent": sum(node.membership.n_sent_bytes for node in nodes),
            "n_received": sum(node.membership.n_received_bytes for node in nodes),
            "link_calls": sum(
                node.router.budget.n_bytes_by_traffic["calls"] for node in nodes
            ),
            "link_control": sum(
                node.router.budget.n_bytes_by_traffic["control"] for node in nodes
            ),
        }

    async def events(self, command: dict[str, Any]) -> dict[str, Any]:
        """Return the changes of member rows since the last call."""
        events, self._events = self._events, []
        return {"events": events}

    async def cut(self, command: dict[str, Any]) -> dict[str, Any]:
        """Drop all traffic to and from some data centres."""
        self._partitioned = set(command["data_centres"])
        for node in self._nodes_by_id.values():
            for row in node.members_by_id.rows():
                if row.data_centre in self._partitioned:
                    node.links.discard(row.host, row.call_port)
        return {}

    async def drain_all(self) -> None:
        """Drain every node, as on SIGTERM."""
        await asyncio.gather(*(node.drain() for node in self._nodes_by_id.values()))

    def _record_changes(self, node: Node) -> None:
        self._nodes_by_id[node.settings.id] = node

        def record_change(member_id: str) -> None:
            row = node.members_by_id.get(member_id)
            if row is not None:
                self._events.append(
                    {
                        "at_s": time.time(),
                        "observer": node.settings.id,
                        "member": member_id,
                        "state": row.state.value,
                        "takes_calls": row.accepts_calls,
                    }
                )

        node.members_by_id.subscribe(record_change)

    async def _announce(self, node: Node, upstream: dict[str, Any] | None) -> None:
        if upstream is None:
            node.membership.announce(service=SERVICE, n_slots=10)
            return
        settings = UpstreamSettings(SERVICE, **upstream)
        _, port = await self._stack.enter_async_context(running_upstream(settings))
        await announce(node.ports.status, settings, port)

    def _ports(self, id: str) -> dict[str, int]:
        node = self._nodes_by_id[id]
        ports = {f"{name}_port": port for name, port in node.ports._asdict().items()}
        return {**ports, "membership_port": node.own_member().membership_port}

    def _install_partitions(self, node: Node) -> None:
        """Make the transports of ``node`` drop messages while a partition lasts."""

        def is_partitioned(host: str, *ports: int) -> bool:
            return bool(self._partitioned) and any(
                row.data_centre in self._partitioned
                for row in node.members_by_id.rows()
                if ports[0] in (row.call_port, row.control_port, row.membership_port)
            )

        service, links, control = node.membership, node.links, node.control
        send, connect, call = service._send, links.connect, control.call

        def lossy_send(action: Any) -> None:
            row = node.members_by_id.get(action.member_id)
            if row is None or row.data_centre not in self._partitioned:
                send(action)

        async def lossy_connect(host: str, port: int) -> Any:
            if is_partitioned(host, port):
                await asyncio.sleep(1.0)
                return None
            return await connect(host, port)

        async def lossy_call(host: str, port: int, *rest: Any) -> Result[Any, Any]:
            if is_partitioned(host, port):
                await asyncio.sleep(1.0)
                return Err(ControlError(ControlErrorKind.TIMEOUT, "cut", "heal"))
            return await call(host, port, *rest)

        service._send = lossy_send  # type: ignore[method-assign]
        links.connect = lossy_connect  # type: ignore[method-assign]
        control.call = lossy_call  # type: ignore[method-assign]


def _set_watch_plan(node: Node, plan: Any) -> None:
    membership = node.membership.membership
    membership._plan = plan
    membership._detector._plan = plan


async def _main() -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    async with AsyncExitStack() as stack:
        worker = Worker(stack)
        commands = asyncio.ensure_future(_serve(worker, reader, stop))
        await stop.wait()
        commands.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await commands
        await worker.drain_all()


async def _serve(
    worker: Worker, reader: asyncio.StreamReader, stop: asyncio.Event
) -> None:
    while line := await reader.readline():
        command = json.loads(line)
        reply = await getattr(worker, command["do"])(command)
        print(json.dumps(reply), flush=True)
    stop.set()


if __name__ == "__main__":
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    asyncio.run(_main())
