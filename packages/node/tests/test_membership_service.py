"""Tests of membership over real sockets, with nodes in one or more processes."""

import asyncio
import contextlib
import json
import os
import signal
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import pytest

from ibisspoke_node.direct_check import check_directly
from ibisspoke_node.member_rows import MemberRows
from ibisspoke_node.node import Node, running_node
from ibisspoke_node.organisations import PlatformStores
from ibisspoke_node.settings import NodeSettings
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.member import MemberState
from ibisspoke_policy.membership_messages import Evidence
from ibisspoke_standins.memory_store import MemoryStore

SECRETS = (b"fleet secret of these tests",)
POLL_S = 0.02
N_POLLS = 1_500


def make_settings(id: str, data_centre: str = "svea-1", seeds=()) -> NodeSettings:
    region = data_centre.split("-")[0]
    return NodeSettings(id, region, data_centre, "127.0.0.1", "", SECRETS, tuple(seeds))


async def until(test: Callable[[], bool]) -> None:
    for _ in range(N_POLLS):
        if test():
            return
        await asyncio.sleep(POLL_S)
    pytest.fail("the awaited state did not come")


def state_at(node: Node, id: str) -> MemberState | None:
    row = node.members_by_id.get(id)
    return row.state if row is not None else None


@asynccontextmanager
async def running_fleet(n: int) -> AsyncIterator[list[Node]]:
    async with AsyncExitStack() as stack:
        nodes: list[Node] = []
        for i in range(n):
            seeds = [f"127.0.0.1:{nodes[0].ports.control}"] if nodes else []
            settings = make_settings(f"n{i}", seeds=seeds)
            node = await stack.enter_async_context(running_node(settings, Clock()))
            nodes.append(node)
        await until(lambda: all(len(node.members_by_id) == n for node in nodes))
        yield nodes


async def test_nodes_find_each_other_by_one_seed_and_by_the_table():
    store = MemoryStore()
    stores = PlatformStores(store, store)
    async with AsyncExitStack() as stack:
        nodes = [
            await stack.enter_async_context(
                running_node(make_settings(f"n{i}"), Clock(), stores=stores)
            )
            for i in range(4)
        ]
        await until(lambda: all(len(node.members_by_id) == 4 for node in nodes))
        await nodes[3].drain()
        await until(lambda: state_at(nodes[0], "n3") is MemberState.LEFT)
        rows = await MemberRows(store).read()
        assert {row.id for row in rows} == {"n0", "n1", "n2"}
    async with running_fleet(4):
        pass


async def test_a_drain_is_known_to_all():
    async with running_fleet(4) as nodes:
        nodes[1].membership.announce(service="ordering", n_slots=5)
        await until(lambda: nodes[3].members_by_id["n1"].accepts_calls)
        nodes[1].membership.announce(draining=True)
        await until(lambda: not nodes[3].members_by_id["n1"].accepts_calls)


async def test_foreign_and_malformed_datagrams_are_dropped():
    async with running_fleet(2) as nodes:
        port = nodes[0].own_member().membership_port
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=("127.0.0.1", port)
        )
        transport.sendto(b"no message")
        socket = nodes[0].membership._socket
        await until(lambda: socket.n_dropped == 1)
        transport.close()
        settings = make_settings("x", seeds=[f"127.0.0.1:{nodes[0].ports.control}"])
        async with running_node(settings._replace(secrets=(b"other",)), Clock()) as x:
            await asyncio.sleep(0.3)
            assert len(x.members_by_id) == 1
            assert "x" not in nodes[0].members_by_id


async def test_a_direct_check_tells_a_dead_process_from_a_silent_one():
    async with running_fleet(2) as nodes:
        member = nodes[1].own_member()
        assert await check_directly(member, "n0", SECRETS) is Evidence.ANSWERED
        other = member._replace(id="another")
        assert await check_directly(other, "n0", SECRETS) is Evidence.REFUSED
    assert await check_directly(member, "n0", SECRETS) is Evidence.REFUSED
    async with silent_server() as port:
        hung = member._replace(control_port=port)
        assert await check_directly(hung, "n0", SECRETS) is Evidence.HUNG


@asynccontextmanager
async def silent_server() -> AsyncIterator[int]:
    async def ignore(reader, writer):
        await reader.read()
        writer.close()

    server = await asyncio.start_server(ignore, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


@asynccontextmanager
async def running_process(
    id: str, seed: str, directory: Path
) -> AsyncIterator[asyncio.subprocess.Process]:
    path = directory / f"{id}.toml"
    path.write_text(
        f'[node]\nid = "{id}"\nregion = "svea"\ndata_centre = "svea-1"\n'
        'host = "127.0.0.1"\n[platform]\nurl = "http://127.0.0.1:9"\n[fleet]\n'
        f'secrets = ["{SECRETS[0].decode()}"]\nseeds = ["{seed}"]\n'
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "ibisspoke_node.main",
        str(path),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        assert process.stdout is not None
        json.loads(await process.stdout.readline())
        yield process
    finally:
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGCONT)
                process.kill()
            await process.wait()


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP])
async def test_a_process_that_ends_or_stops_gets_no_work(number, tmp_path):
    async with running_fleet(3) as nodes:
        seed = f"127.0.0.1:{nodes[0].ports.control}"
        async with running_process("p", seed, tmp_path) as process:
            await until(lambda: all("p" in node.members_by_id for node in nodes))
            process.send_signal(number)
            expected = {
                signal.SIGKILL: MemberState.DEAD,
                signal.SIGTERM: MemberState.LEFT,
                signal.SIGSTOP: MemberState.DEAD,
            }[number]
            await until(lambda: all(state_at(n, "p") is expected for n in nodes))
            if number == signal.SIGSTOP:
                process.send_signal(signal.SIGCONT)
                alive = MemberState.ALIVE
                await until(lambda: all(state_at(n, "p") is alive for n in nodes))
            if number == signal.SIGTERM:
                assert await process.wait() == 0
        for node in nodes:
            others = {f"n{i}" for i in range(3)}
            assert {state_at(node, id) for id in others} == {MemberState.ALIVE}
