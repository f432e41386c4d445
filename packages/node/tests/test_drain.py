"""Planned stops of nodes while they serve calls."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from ibisspoke_node.node import Node, running_node
from ibisspoke_node.settings import NodeSettings
from ibisspoke_policy.catalogue import Call, Catalogue, Importance
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.member import MemberState
from ibisspoke_standins.upstream import UpstreamSettings, announce, running_upstream

CALL = Call(
    "returns.put",
    "returns",
    "POST",
    "/put",
    "returns",
    Importance.NORMAL,
    False,
    is_open=True,
    open_rate_per_s=1_000.0,
    open_burst=1_000.0,
)
CATALOGUE = Catalogue(1, {CALL.id: CALL}, {}, {})
UPSTREAM = UpstreamSettings("returns", service_ms=150.0)
N_REQUESTS = 6
POLL_S = 0.005
N_POLLS = 2_000


@asynccontextmanager
async def running_pair() -> AsyncIterator[list[Node]]:
    async with AsyncExitStack() as stack:
        nodes: list[Node] = []
        for id in ("n0", "n1"):
            seeds = tuple(f"127.0.0.1:{node.ports.control}" for node in nodes)
            settings = NodeSettings(
                id, "svea", "svea-1", "127.0.0.1", "", (b"fleet secret",), seeds
            )
            node = await stack.enter_async_context(running_node(settings, Clock()))
            _, port = await stack.enter_async_context(running_upstream(UPSTREAM))
            await announce(node.ports.status, UPSTREAM, port)
            node.catalogue_in_force.adopt(CATALOGUE)
            nodes.append(node)
        await wait_until_known(nodes[0], "n1")
        await wait_until_known(nodes[1], "n0")
        yield nodes


async def wait_until_known(node: Node, id: str) -> None:
    changed = asyncio.Event()
    node.members_by_id.subscribe(lambda _: changed.set())
    row = node.members_by_id.get(id)
    while row is None or not row.accepts_calls:
        changed.clear()
        await asyncio.wait_for(changed.wait(), 30.0)
        row = node.members_by_id.get(id)


async def fetch(node: Node) -> HTTPResponse:
    url = f"http://127.0.0.1:{node.ports.entry}/returns/put"
    return await AsyncHTTPClient().fetch(
        url, method="POST", body=b"x", raise_error=False
    )


async def test_requests_in_flight_end_and_later_ones_go_to_the_other_node():
    async with running_pair() as nodes:
        sent = [asyncio.ensure_future(fetch(nodes[1])) for _ in range(N_REQUESTS)]
        for _ in range(N_POLLS):
            if nodes[1].executor.n_open:
                break
            await asyncio.sleep(POLL_S)
        assert nodes[1].executor.n_open
        draining = asyncio.ensure_future(nodes[1].drain())
        await asyncio.sleep(0)
        late = await asyncio.gather(*(fetch(nodes[1]) for _ in range(N_REQUESTS)))
        assert [response.code for response in late] == [200] * N_REQUESTS
        assert {response.headers["Connection"] for response in late} == {"close"}
        early = await asyncio.gather(*sent)
        assert [response.code for response in early] == [200] * N_REQUESTS
        await draining
        assert nodes[0].members_by_id["n1"].state is MemberState.LEFT
        assert (await fetch(nodes[0])).code == 200
        with pytest.raises(ConnectionRefusedError):
            await fetch(nodes[1])


async def test_a_drained_upstream_gets_nothing_more():
    async with running_pair() as nodes:
        await announce(nodes[1].ports.status, UPSTREAM, 1, draining=True)
        answers = await asyncio.gather(*(fetch(nodes[1]) for _ in range(N_REQUESTS)))
        assert [answer.code for answer in answers] == [200] * N_REQUESTS
        assert not nodes[1].executor.n_open
