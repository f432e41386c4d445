"""Runs nodes in one process and reads members and catalogue from standard input.

Usage: ``python _node_process.py [--alone] SETTINGS...``; with ``--alone`` the nodes
use no platform. Prints the ports by node id. A line
``{"members": [...], "catalogue": [...]}`` is applied and answered with ``{}``; without
a catalogue the nodes read it from the platform. The reply to ``{}`` contains the bytes
written to connections between nodes.
"""

import asyncio
import gc
import json
import signal
import sys
from contextlib import AsyncExitStack
from pathlib import Path

import msgspec
from tornado.netutil import Resolver

from ibisspoke_node.ip_resolver import IpResolver
from ibisspoke_node.lazy_io_loop import LazyIOLoop
from ibisspoke_node.main import GC_THRESHOLD
from ibisspoke_node.node import Node, running_node
from ibisspoke_node.settings import NodeSettings, load_settings
from ibisspoke_policy.catalogue import Catalogue
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.member import Member

ALONE_FLAG = "--alone"


class _WrittenByteCounter:
    """Counts the payload bytes written to connections between nodes."""

    def __init__(self) -> None:
        self.n_bytes = 0

    def install(self) -> None:
        transport = asyncio.selector_events._SelectorSocketTransport
        write = transport.write

        def counting_write(sender: asyncio.Transport, data: bytes) -> None:
            self.n_bytes += len(data)
            write(sender, data)

        transport.write = counting_write


written_bytes = _WrittenByteCounter()


def _apply(nodes: list[Node], line: str) -> None:
    command = json.loads(line)
    if "members" not in command:
        print(json.dumps({"n_written_bytes": written_bytes.n_bytes}), flush=True)
        return
    members = msgspec.convert(command["members"], list[Member], strict=False)
    catalogue = msgspec.convert(
        command.get("catalogue"), Catalogue | None, strict=False
    )
    for node in nodes:
        if catalogue is not None:
            node.catalogue_in_force.adopt(catalogue)
        for member in members:
            if member.id != node.settings.id:
                node.members_by_id.put(member.id, member)
    print("{}", flush=True)


def _settings(path: Path, without_platform: bool) -> NodeSettings:
    settings = load_settings(path).unwrap()
    return settings._replace(platform_url="") if without_platform else settings


async def _run(paths: list[Path], without_platform: bool) -> None:
    LazyIOLoop()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    async with AsyncExitStack() as stack:
        nodes = [
            await stack.enter_async_context(
                running_node(_settings(path, without_platform), Clock())
            )
            for path in paths
        ]
        ports = {node.settings.id: node.ports._asdict() for node in nodes}
        loop.add_reader(sys.stdin, lambda: _on_input(nodes, stop))
        print(json.dumps(ports), flush=True)
        await stop.wait()
        loop.remove_reader(sys.stdin)


def _on_input(nodes: list[Node], stop: asyncio.Event) -> None:
    line = sys.stdin.readline()
    if line:
        _apply(nodes, line)
    else:
        stop.set()


if __name__ == "__main__":
    Resolver.configure(IpResolver)
    written_bytes.install()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    names = [name for name in sys.argv[1:] if name != ALONE_FLAG]
    asyncio.run(_run([Path(name) for name in names], ALONE_FLAG in sys.argv))
