"""Planned stops of nodes."""

import asyncio

from fleet_harness import READY, call, connect, request_bytes, route, until

from ibisspoke_mesh.http_client import HttpClient
from ibisspoke_standins.fleet_upstream import hang


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


# Guards against requests that a stop takes late and cuts off at its end (LOST).
async def test_a_request_late_in_a_stop_is_run_only_if_it_ends_in_time(pair):
    first = pair.vms[0]
    await pair.configure(2, routes=[route("order", "non_idempotent", timeoutMs=5_000)])
    await until(lambda: all(vm.node.config.version == 2 for vm in pair.vms))
    for vm in pair.vms:
        vm.upstream.execution_s = 2.6
    stopping = asyncio.ensure_future(first.node.stop())
    await asyncio.sleep(2.7)  # after 3 s, a stop with nothing to do may have ended
    fitting, late = await connect(first.host), await connect(first.host)
    fitting.transport.write(
        request_bytes("/order/1", method="POST", body=b"x", deadline_ms=2_000)
    )
    late.transport.write(request_bytes("/order/2", method="POST", body=b"x"))
    refused = await late.responses.get()
    assert refused.status == 503
    assert float(refused.headers["retry-after"]) > 0.0
    assert (await fitting.responses.get()).status == 504
    # The request's own time limit ended it, not the end of the stop.
    refusals = first.node.metrics.refusals
    assert refusals["504", "no answer within the time limit"] == 1
    await stopping
    assert [request.target for request in pair.executed_requests] == ["/order/1"]


# Guards against requests that a stop ends by closing their connections (LOST).
async def test_requests_that_outlast_a_stop_get_an_answer(pair):
    first = pair.vms[0]
    await pair.configure(2, routes=[route("order", "non_idempotent", timeoutMs=9_000)])
    await until(lambda: all(vm.node.config.version == 2 for vm in pair.vms))
    for vm in pair.vms:
        vm.upstream.behaviour = hang
    callers = [await connect(first.host) for _ in range(3)]
    for number, caller in enumerate(callers):
        caller.transport.write(
            request_bytes(
                f"/order/{number}", method="POST", body=b"x", deadline_ms=9_000
            )
        )
    await until(lambda: len(pair.executed_requests) == len(callers))
    await first.node.stop()
    responses = [caller.responses.get_nowait() for caller in callers]
    assert [response.status for response in responses] == [504] * len(callers)


# Guards against pipelined requests that are read in a stop and dropped (LOST).
async def test_pipelined_requests_are_all_answered_in_a_stop(pair):
    first = pair.vms[0]
    for vm in pair.vms:
        vm.upstream.execution_s = 0.1
    caller = await connect(first.host)
    data = b"".join(request_bytes("/lookup/1") for _ in range(3))
    caller.transport.write(data[:-20])
    await until(lambda: first.node.callers.n_active)
    stopping = asyncio.ensure_future(first.node.stop())
    await asyncio.sleep(0.3)  # the third one is still read when the others have ended
    caller.transport.write(data[-20:])
    async with asyncio.timeout(5.0):
        responses = [await caller.responses.get() for _ in range(3)]
    assert [response.status for response in responses] == [200] * 3
    assert [response.headers.get("connection") for response in responses] == [
        None,
        None,
        "close",
    ]
    await stopping
