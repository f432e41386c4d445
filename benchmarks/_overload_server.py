"""One server of each service of a site: nodes and their upstreams in one process.

Reads commands as JSON lines from standard input and answers each with one line.
"""

import argparse
import asyncio
import gc
import json
import logging
import sys
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from _overload_site import (
    CATALOGUE,
    CHAIN,
    PATH_BY_SERVICE,
    SITE_BY_NAME,
    DirectCaller,
    Mode,
    Site,
)
from tornado.httputil import HTTPHeaders

from ibisspoke_node.buffer_budget import BufferBudget
from ibisspoke_node.executor import Announcement
from ibisspoke_node.headers import CONTEXT_HEADER
from ibisspoke_node.node import Node, running_node
from ibisspoke_node.settings import NodeSettings
from ibisspoke_node.upstream_client import UpstreamClient, UpstreamRequest
from ibisspoke_policy.admission import AdmissionController, Capacity
from ibisspoke_policy.admission_controller import UpstreamAdmissionController
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.fixed_limit import FixedLimit
from ibisspoke_policy.member import Member
from ibisspoke_policy.trace import TracedController, make_header
from ibisspoke_standins.chain_upstream import (
    NUMBER_HEADER,
    ChainSettings,
    ChainState,
    running_chain_upstream,
)

HOST = "127.0.0.1"
MAX_ANSWER_BYTES = 16_777_216


class Server:
    """The nodes and upstreams of this process, by service."""

    def __init__(self, site: Site, mode: Mode, index: int, traces: Path | None) -> None:
        self.traces = traces
        self.site = site
        self.mode = mode
        self.index = index
        self.node_by_service: dict[str, Node] = {}
        self.state_by_service: dict[str, ChainState] = {}
        self.port_by_service: dict[str, int] = {}
        self.client_by_service: dict[str, UpstreamClient] = {}
        self.direct_by_service: dict[str, DirectCaller] = {}
        self.hang_tasks: list[asyncio.Task[None]] = []

    async def start(self, stack: AsyncExitStack) -> None:
        clock = Clock()
        for depth, service in enumerate(CHAIN):
            next_service = CHAIN[depth + 1] if depth + 1 < len(CHAIN) else None
            settings = ChainSettings(
                service, self.site.n_slots(depth), self.site.service_ms(depth)
            )
            state = ChainState(settings, self._nested_call(service, next_service))
            port = await stack.enter_async_context(running_chain_upstream(state))
            self.state_by_service[service] = state
            self.port_by_service[service] = port
            if self.mode is Mode.UNCONTROLLED:
                continue
            node = await self._start_node(stack, service, clock)
            capacity = Capacity(settings.n_slots, 8 * settings.n_slots)
            node.announce(Announcement(service, HOST, port, capacity))
            self.node_by_service[service] = node
            self.client_by_service[service] = UpstreamClient(
                HOST, node.ports.entry, clock, BufferBudget(MAX_ANSWER_BYTES)
            )

    async def _start_node(
        self, stack: AsyncExitStack, service: str, clock: Clock
    ) -> Node:
        region = "r1" if self.index < 2 else "r2"
        settings = NodeSettings(
            f"{service}{self.index}",
            region,
            f"dc{self.index}",
            HOST,
            "",
            (b"benchmark secret",),
        )
        controller = self._controller(stack, service, clock)
        node = await stack.enter_async_context(
            running_node(settings, clock, controller)
        )
        node.catalogue_in_force.adopt(CATALOGUE)
        return node

    def _controller(
        self, stack: AsyncExitStack, service: str, clock: Clock
    ) -> AdmissionController:
        if self.mode is Mode.FIXED_LIMIT:
            return FixedLimit()
        created_ms = clock.now_ms()
        controller = UpstreamAdmissionController(now_ms=created_ms)
        if self.traces is None:
            return controller
        path = self.traces / f"{self.site.name}-{service}{self.index}.jsonl"
        file = stack.enter_context(path.open("wb"))
        header = make_header("gradient", created_ms)
        return TracedController(
            controller, header, lambda line: file.write(line + b"\n")
        )

    def _nested_call(self, service: str, next_service: str | None) -> Any:
        if next_service is None:
            return None

        async def call(headers: HTTPHeaders, path: str) -> int:
            number = headers.get(NUMBER_HEADER, "")
            target = PATH_BY_SERVICE[next_service]
            if self.mode is Mode.UNCONTROLLED:
                return await self.direct_by_service[next_service].call(target, number)
            forwarded = [(NUMBER_HEADER, number)]
            forwarded.append((CONTEXT_HEADER, headers.get(CONTEXT_HEADER, "")))
            request = UpstreamRequest(
                "GET", f"/{next_service}{target}", forwarded, b"", 65_536
            )
            result = await self.client_by_service[service].fetch(request)
            return result.ok_value.status if result.is_ok() else 502

        return call

    def ports(self) -> dict[str, Any]:
        return {
            "upstreams": self.port_by_service,
            "entries": {s: n.ports.entry for s, n in self.node_by_service.items()},
            "members": [n.own_member() for n in self.node_by_service.values()],
        }

    def join(self, command: dict[str, Any]) -> None:
        for node in self.node_by_service.values():
            for fields in command["members"]:
                member = Member(*fields)
                node.members_by_id.put(member.id, member)
        for service, ports in command["upstreams"].items():
            self.direct_by_service[service] = DirectCaller(ports)

    def fault(self, command: dict[str, Any]) -> None:
        state = self.state_by_service[command["service"]]
        state.extra_ms = command.get("extra_ms", 0.0)
        if command.get("hang", False):
            state.hang()
            self.hang_tasks.append(asyncio.ensure_future(state.resume_when_idle()))

    def stats(self) -> dict[str, Any]:
        return {
            service: {
                "n_runs": dict(state.n_runs_by_number),
                "work_ms": state.work_ms_by_number,
                "is_hung": state.is_hung,
            }
            for service, state in self.state_by_service.items()
        }

    def handle(self, command: dict[str, Any]) -> Any:
        if command["op"] == "join":
            self.join(command)
        elif command["op"] == "fault":
            self.fault(command)
        elif command["op"] == "stats":
            return self.stats()
        return {}


async def serve(server: Server) -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=2**24)
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    async with AsyncExitStack() as stack:
        await server.start(stack)
        print(json.dumps(server.ports()), flush=True)
        gc.freeze()
        while line := await reader.readline():
            print(json.dumps(server.handle(json.loads(line))), flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", choices=sorted(SITE_BY_NAME))
    parser.add_argument("mode", choices=list(Mode))
    parser.add_argument("index", type=int)
    parser.add_argument("--traces", type=Path)
    arguments = parser.parse_args()
    logging.disable(logging.WARNING)
    site = SITE_BY_NAME[arguments.site]
    mode = Mode(arguments.mode)
    asyncio.run(serve(Server(site, mode, arguments.index, arguments.traces)))


if __name__ == "__main__":
    main()
