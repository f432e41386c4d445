"""Requests from callers to upstreams, and their responses."""

import asyncio

import pytest
from fleet_harness import connect, request_bytes, route, running_fleet, until

from ibisspoke_standins import fleet_upstream as upstreams


async def test_a_request_is_answered_whole(single):
    vm = single.vms[0]
    response = await vm.call(request_id="abc")
    assert response.status == 200
    assert response.body == f"abc@{vm.upstream.instance}:0".encode()
    assert response.headers["x-server-stamp"] == f"stamp-{vm.upstream.instance}"


async def test_the_upstream_gets_what_it_needs_and_no_key(single):
    vm = single.vms[0]
    forged = {"X-Tenant-Id": "boss", "X-Caller-Service": "boss", "X-Other": "kept"}
    await vm.call(headers=forged, deadline_ms=1_000)
    (seen,) = vm.upstream.executed_requests
    assert seen.headers["x-tenant-id"] == "acme"
    assert seen.headers["x-caller-service"] == "shop"
    assert seen.headers["x-expect-instance"] == vm.upstream.instance
    assert seen.headers["x-other"] == "kept"
    assert "authorization" not in seen.headers
    assert 0 < int(seen.headers["x-deadline-ms"]) <= 1_000


async def test_a_body_reaches_the_upstream_unchanged(single):
    vm = single.vms[0]
    response = await vm.call("/order/1", method="POST", body=b"x" * 50_000)
    assert response.status == 200
    assert vm.upstream.executed_requests[0].body == b"x" * 50_000


async def test_a_chunked_body_is_accepted(single):
    vm = single.vms[0]
    caller = await connect(vm.host)
    head = request_bytes(
        "/order/1", method="POST", headers={"Transfer-Encoding": "chunked"}
    )
    caller.transport.write(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert (await caller.responses.get()).status == 200
    assert vm.upstream.executed_requests[0].body == b"abcde"


@pytest.mark.parametrize(
    ("options", "status"),
    [
        ({"path": "/nowhere/"}, 404),
        ({"path": "/lookup/1", "key": "wrong"}, 401),
        ({"path": "/lookup/1", "key": None}, 401),
        ({"path": "/inner/1", "key": None}, 200),
        ({"path": "/lookup/1", "authority": "b.example"}, 404),
        ({"path": "/lookup/1", "headers": {"X-Big": "x" * 5_000}}, 431),
        ({"path": "/order/1", "method": "POST", "body": b"x" * 200_000}, 413),
    ],
)
async def test_what_the_configuration_does_not_allow_is_refused(
    single, options, status
):
    assert (await single.vms[0].call(**options)).status == status
    assert len(single.executed_requests) == (1 if status == 200 else 0)


async def test_bytes_that_are_no_request_are_refused(single):
    caller = await connect(single.vms[0].host)
    caller.transport.write(b"\x16\x03\x01 hello\r\n\r\n")
    assert (await caller.responses.get()).status == 400


OFFER = {"Connection": "Upgrade, HTTP2-Settings", "Upgrade": "h2c"}
OFFER["HTTP2-Settings"] = "AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA"
INNER = request_bytes("/order/smuggled", method="POST", body=b"x", request_id="s")


# Guards against requests that run, or run changed, without an answer (LOST, UNASKED).
@pytest.mark.parametrize("body", [b"", b"lids", INNER])
@pytest.mark.parametrize("is_chunked", [False, True])
async def test_an_offer_to_change_the_protocol_is_ignored(single, body, is_chunked):
    vm = single.vms[0]
    headers = {**OFFER, "X-Other": "kept"}
    data = request_bytes("/order/1", method="POST", body=body, headers=headers)
    if is_chunked:
        headers["Transfer-Encoding"] = "chunked"
        data = request_bytes("/order/1", method="POST", headers=headers)
        chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        data += chunk + b"0\r\n\r\n"
    caller = await connect(vm.host)
    caller.transport.write(data * 2)
    caller.transport.write(data[:40])
    await asyncio.sleep(0.05)
    caller.transport.write(data[40:] + request_bytes("/lookup/2"))
    async with asyncio.timeout(5.0):
        responses = [await caller.responses.get() for _ in range(4)]
    assert [response.status for response in responses] == [200] * 4
    *orders, lookup = vm.upstream.executed_requests
    assert [order.body for order in orders] == [body] * 3
    assert lookup.target == "/lookup/2"
    for order in orders:
        assert order.headers["x-other"] == "kept"
        assert not {"upgrade", "connection", "http2-settings"} & set(order.headers)


async def test_a_request_to_connect_is_refused(single):
    caller = await connect(single.vms[0].host)
    caller.transport.write(b"CONNECT a.example:80 HTTP/1.1\r\nHost: a.example\r\n\r\n")
    assert (await caller.responses.get()).status == 400
    await asyncio.wait_for(caller.closed.wait(), 1.0)


# Guards against an answer that is lost because of bytes that came after its request.
async def test_requests_before_unreadable_bytes_are_answered(single):
    vm = single.vms[0]
    vm.upstream.execution_s = 0.1
    caller = await connect(vm.host)
    data = request_bytes("/order/1", method="POST", body=b"x")
    caller.transport.write(data + data + b"\x00\x01 no request\r\n\r\n")
    async with asyncio.timeout(5.0):
        responses = [await caller.responses.get() for _ in range(3)]
    assert [response.status for response in responses] == [200, 200, 400]
    await asyncio.wait_for(caller.closed.wait(), 1.0)


async def test_an_organisation_beyond_its_rate_gets_a_retry_after_header(single):
    vm = single.vms[0]
    await asyncio.sleep(1.5)
    responses = [await vm.call(key="key-t") for _ in range(20)]
    refused = [response for response in responses if response.status == 429]
    assert 8 <= len(refused) < 20
    assert all(float(response.headers["retry-after"]) > 0 for response in refused)


async def test_a_full_upstream_sends_requests_to_the_other(pair):
    first, second = pair.vms
    first.upstream.execution_s = second.upstream.execution_s = 0.1
    responses = await asyncio.gather(*(first.call() for _ in range(16)))
    assert {response.status for response in responses} == {200}
    assert second.upstream.executed_requests


async def test_kept_connections_serve_many_requests(single):
    vm = single.vms[0]
    caller = await connect(vm.host)
    for _ in range(5):
        caller.transport.write(request_bytes("/lookup/1"))
        assert (await caller.responses.get()).status == 200
    assert vm.upstream.n_connections == 1


async def test_pipelined_requests_are_answered_in_order(single):
    caller = await connect(single.vms[0].host)
    names = [f"p{number}" for number in range(20)]
    data = (request_bytes("/lookup/1", request_id=name) for name in names)
    caller.transport.write(b"".join(data))
    responses = [await caller.responses.get() for _ in names]
    assert [response.body.split(b"@")[0].decode() for response in responses] == names


async def test_weights_hold_and_services_are_kept_apart():
    split = [{"service": "shop", "weight": 50}, {"service": "none", "weight": 50}]
    async with running_fleet(1) as fleet:
        await fleet.configure(
            2, routes=[route("lookup", "safe", service=None, trafficSplit=split)]
        )
        vm = fleet.vms[0]
        await until(lambda: vm.node.config.version == 2)
        statuses = [(await vm.call()).status for _ in range(40)]
        assert statuses.count(200) == 20
        assert statuses.count(503) == 20


async def test_a_route_time_limit_ends_a_request_in_time(single):
    vm = single.vms[0]
    await single.configure(2, routes=[route("order", "non_idempotent", timeoutMs=300)])
    await until(lambda: vm.node.config.version == 2)
    vm.upstream.behaviour = upstreams.hang
    loop = asyncio.get_running_loop()
    started = loop.time()
    response = await vm.call("/order/1", method="POST", body=b"x")
    assert response.status == 504
    assert loop.time() - started < 0.5


async def test_a_caller_that_leaves_frees_the_upstream(pair):
    first, second = pair.vms
    await first.upstream.announce("draining")
    await until(lambda: first.node.dispatcher.upstream.state != "ready")
    second.upstream.behaviour = upstreams.hang
    caller = await connect(first.host)
    caller.transport.write(request_bytes("/lookup/1"))
    await until(lambda: len(second.upstream.executed_requests) == 1)
    caller.transport.close()
    await until(lambda: second.node.dispatcher.is_idle, timeout_s=0.5)


async def test_the_wait_for_a_slot_is_not_taken_for_a_slow_upstream(pair):
    first, second = pair.vms
    second.upstream.n_slots = 1
    await second.upstream.announce()
    await first.upstream.announce("draining")
    second.upstream.execution_s = 0.05
    await asyncio.gather(*(first.call() for _ in range(8)))
    assert first.node.fleet.profiles.of("lookup").median_ms < 100.0


async def test_an_idle_node_wakes_up_seldom(single):
    # Guards against a fleet whose idle nodes use most of the processor time.
    vm = single.vms[0]
    n_ticks = 0
    tick = vm.node.dispatcher.tick

    def count():
        nonlocal n_ticks
        n_ticks += 1
        tick()

    vm.node.dispatcher.tick = count
    await asyncio.sleep(0.9)
    assert n_ticks <= 11
    vm.upstream.n_slots = 1
    await vm.upstream.announce()
    vm.upstream.execution_s = 0.5
    n_ticks = 0
    first = asyncio.ensure_future(vm.call(request_id="first"))
    second = asyncio.ensure_future(vm.call(request_id="second"))
    await asyncio.sleep(0.3)
    assert n_ticks >= 3 or second.done()
    assert (await first).status == 200
    assert (await second).status in (200, 503)
