"""Planned stops of nodes."""

import asyncio

from fleet_harness import READY, call, connect, request_bytes, until

from ibisspoke_mesh.http_client import HttpClient


async def test_a_stop_cuts_no_request(pair):
    first, second = pair.vms
    for vm in pair.vms:
        vm.upstream.execution_s = 1.0
    caller = await connect(first.host)
    caller.transport.write(request_bytes("/order/1", method="POST", body=b"x"))
    other = asyncio.ensure_future(
        call(second.host, "/order/2", method="POST", body=b"x")
    )
    await until(lambda: len(pair.executed_requests) == 2)
    stopping = asyncio.ensure_future(first.node.stop())
    await asyncio.sleep(0.05)
    readiness = await HttpClient(first.host, READY).request(
        "GET", "/api/readiness", b""
    )
    assert readiness.status == 503
    late = await call(first.host, "/lookup/1")
    assert late.status == 200
    assert late.headers["connection"] == "close"
    response = await caller.responses.get()
    assert response.status == 200
    assert (await other).status == 200
    await stopping


async def test_a_connection_that_was_just_opened_or_used_is_served_in_a_stop(pair):
    first = pair.vms[0]
    opened, used = await connect(first.host), await connect(first.host)
    used.transport.write(request_bytes("/lookup/1"))
    assert (await used.responses.get()).status == 200
    stopping = asyncio.ensure_future(first.node.stop())
    await asyncio.sleep(0.05)
    for caller in (opened, used):
        caller.transport.write(request_bytes("/lookup/2"))
        assert (await caller.responses.get()).status == 200
    await stopping


async def test_idle_connections_are_closed_in_a_stop(pair):
    first = pair.vms[0]
    idle = await connect(first.host)
    stopping = asyncio.ensure_future(first.node.stop())
    await asyncio.wait_for(idle.closed.wait(), 1.0)
    await stopping
    assert not first.node.callers.connections


async def test_others_stop_sending_to_a_node_that_stops(pair):
    first, second = pair.vms
    stopping = asyncio.ensure_future(first.node.stop())
    peer = second.node.fleet.peers_by_id[first.host]
    await until(lambda: peer.record.state == "draining", timeout_s=1.0)
    responses = [await second.call() for _ in range(5)]
    assert {response.status for response in responses} == {200}
    assert first.upstream.executed_requests == []
    await stopping
    assert first.host not in pair.store.keys("members")
