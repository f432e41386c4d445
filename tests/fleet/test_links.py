"""Faults of the links between nodes, and their effect on callers."""

import asyncio

from fleet_harness import until

from ibisspoke_standins import fleet_upstream as upstreams


async def _drain_first(pair):
    first, second = pair.vms
    await first.upstream.announce("draining")
    await until(lambda: first.node.dispatcher.upstream.state == "draining")
    return first, second


def _break_links(vm):
    for connection in list(vm.node.calls.connections):
        connection.close()


async def test_an_answer_survives_a_broken_link(pair):
    first, second = await _drain_first(pair)
    second.upstream.execution_s = 0.3
    order = asyncio.ensure_future(
        first.call("/order/1", method="POST", body=b"x", request_id="abc")
    )
    await until(lambda: len(second.upstream.executed_requests) == 1)
    _break_links(second)
    response = await order
    assert response.status == 200
    assert response.body.startswith(b"abc@")
    assert len(pair.executed_requests) == 1


async def test_an_order_that_was_lost_on_its_way_never_runs(pair):
    first, second = await _drain_first(pair)
    assert (await first.call()).status == 200
    calls = second.node.calls
    original_call = calls.call
    calls.call = lambda *_: _break_links(second)
    response = asyncio.ensure_future(first.call("/order/1", method="POST", body=b"x"))
    await asyncio.sleep(0.1)
    calls.call = original_call
    assert (await response).status == 503
    assert [request.method for request in pair.executed_requests] == ["GET"]


async def test_an_orphaned_call_is_dropped(pair):
    first, second = await _drain_first(pair)
    second.upstream.behaviour = upstreams.hang
    lookup = asyncio.ensure_future(first.call())
    await until(lambda: len(second.upstream.executed_requests) == 1)
    first.node.fleet.peers_by_id[second.host].link._start_opening = lambda: None
    _break_links(second)
    await until(lambda: second.node.dispatcher.is_idle, timeout_s=3.0)
    assert (await lookup).status in (502, 503, 504)


async def test_a_silent_node_is_given_up(pair):
    first, second = await _drain_first(pair)
    assert (await first.call()).status == 200
    for connection in second.node.calls.connections:
        connection._receive = lambda frame: None
        connection._reader._on_frame = lambda frame: None
    response = await first.call()
    assert response.status in (200, 502, 503, 504)
    await until(lambda: second.node.calls.connections, timeout_s=3.0)
    assert (await first.call()).status == 200


async def test_an_order_of_a_node_that_was_restarted_is_not_sent_again(pair):
    first, second = await _drain_first(pair)
    second.upstream.execution_s = 0.5
    order = asyncio.ensure_future(first.call("/order/1", method="POST", body=b"x"))
    await until(lambda: len(second.upstream.executed_requests) == 1)
    await first.upstream.announce()
    _simulate_restart(second)
    response = await order
    assert response.status == 502
    assert len(pair.executed_requests) == 1


def _simulate_restart(vm):
    """Simulate a restart of the node: new incarnation, no calls, lost connections."""
    calls = vm.node.calls
    calls.own = calls.own._replace(incarnation=calls.own.incarnation + 1)
    calls._calls_by_key = {}
    _break_links(vm)
