"""Entries and messages of other writers, which must not stop a node.

Guards against one odd entry, such as one that is nested very deeply, or has a number
that is too large or a port out of range, that ends a node or its periodic work (LOST).
"""

import asyncio
import json

import msgspec
import pytest
from fleet_harness import (
    STATUS,
    STORE,
    call,
    document,
    route,
    running_fleet,
    running_vm,
    until,
)

from ibisspoke_adapter.configuration import decode_configuration
from ibisspoke_mesh.member_record import encode_record
from ibisspoke_mesh.status_messages import NodeStatus, Status, decode, encode

DEPTH = 40_000  # larger bodies are refused for their size
DEEP_JSON = b"[" * DEPTH + b"]" * DEPTH
DEEP_MSGPACK = b"\x91" * DEPTH + b"\x90"
LARGE = 10**30


def heartbeat(**changes) -> bytes:
    """Return a heartbeat of the upstream ``i-odd``, with some fields changed."""
    fields = {"slots": 4, "sequence": 9, "coldRemainingMs": 0, "born": 5_000}
    fields.update(changes)
    body = {
        "address": "127.0.0.1:9",
        "details": {"service": "shop", "slots": fields["slots"]},
        "status": {
            "state": "ready",
            "sequence": fields["sequence"],
            "coldRemainingMs": fields["coldRemainingMs"],
        },
        "born": fields["born"],
    }
    return json.dumps(body).encode()


async def test_odd_rows_do_not_stop_the_reading_of_sound_ones():
    async with running_fleet(2) as fleet:
        record = fleet.vms[0].node.fleet.own
        odd_port = msgspec.structs.replace(
            record, node=f"{fleet.net}.50", link_port=70_000, status_port=99_999
        )
        later_record = msgspec.structs.replace(record, incarnation=2**50)
        rows = {
            f"{fleet.net}.50": encode_record(odd_port),
            f"{fleet.net}.51": b"\x9d" + DEEP_MSGPACK,
            f"{fleet.net}.52": b'{"x":' + DEEP_JSON + b"}",
            f"{fleet.net}.53": encode_record(later_record),
        }
        for key, value in rows.items():
            await fleet.store.put("members", key, value)
        address = (f"{fleet.net}.100", STORE)
        async with running_vm(f"{fleet.net}.9", address) as vm:
            hosts = {other.host for other in fleet.vms}
            await until(lambda: set(vm.node.fleet.peers_by_id) == hosts)
            await until(lambda: vm.node.is_ready)
            n_calls = fleet.store.n_calls
            await asyncio.sleep(1.0)
            assert fleet.store.n_calls - n_calls < 20
            assert set(vm.node.fleet.peers_by_id) == hosts
            for host in (vm.host, *hosts):
                assert (await call(host, "/lookup/1")).status == 200


@pytest.mark.parametrize(
    "body",
    [
        b'{"x":' + DEEP_JSON + b"}",
        heartbeat(slots=LARGE),
        heartbeat(sequence=LARGE),
        heartbeat(sequence=-1),
        heartbeat(coldRemainingMs=1e300),
        heartbeat(born=LARGE),
        heartbeat(born=2**63),
    ],
    ids=["deep", "slots", "sequence", "negative", "cold", "born", "born in 64 bits"],
)
async def test_an_odd_heartbeat_names_no_upstream(pair, body):
    first, second = pair.vms
    target = "/api/Instances.Heartbeat/i-odd"
    assert await first.upstream.call_control(target, body) == 400
    assert first.node.dispatcher.instance == first.upstream.instance
    peer = second.node.fleet.peers_by_id[first.host]
    seen_ms = second.node.clock.now_ms()
    await until(lambda: peer.last_seen_ms > seen_ms, timeout_s=3.0)
    assert (await first.call()).status == 200


@pytest.mark.parametrize("service", ["shop", "unknown"])
async def test_an_odd_heartbeat_does_not_hide_a_draining(pair, service):
    """Guards against a draining that is acknowledged and ignored (DRAIN)."""
    first, second = pair.vms
    upstream = first.upstream
    odd = json.loads(heartbeat(sequence=100, born=upstream.start_ms))
    odd["details"]["service"] = service
    target = f"/api/Instances.Heartbeat/{upstream.instance}"
    await upstream.call_control(target, json.dumps(odd).encode())
    assert await upstream.announce("draining") == 200
    assert first.node.dispatcher.upstream.state == "draining"
    await until(lambda: not second.node.fleet.peers_by_id[first.host].record.is_ready)
    responses = [await vm.call() for vm in pair.vms for _ in range(5)]
    assert {response.status for response in responses} == {200}
    assert not upstream.executed_requests


async def test_a_heartbeat_of_an_unknown_service_names_no_upstream(pair):
    """Guards against another writer that shuts out a live upstream (RECOVER)."""
    first, second = pair.vms
    odd = json.loads(heartbeat(born=10**12))
    for state in ("ready", "draining"):
        odd["status"]["state"] = state
        odd["details"]["service"] = "unknown"
        target = "/api/Instances.Heartbeat/i-odd"
        await first.upstream.call_control(target, json.dumps(odd).encode())
        assert first.node.dispatcher.instance == first.upstream.instance
        assert first.node.dispatcher.state == "ready"
    assert first.node.dispatcher.service == "shop"
    assert {(await vm.call()).status for vm in (first, second)} == {200}


async def test_a_service_may_be_named_by_a_later_configuration(single):
    vm = single.vms[0]
    odd = json.loads(heartbeat(born=10**12))
    odd["details"]["service"] = "depot"
    target, body = "/api/Instances.Heartbeat/i-odd", json.dumps(odd).encode()
    await vm.upstream.call_control(target, body)
    assert vm.node.dispatcher.service == "shop"
    depot = {"name": "depot", "healthCheckPath": "/health", "maxConnections": 9}
    await single.configure(2, services=[depot])
    await until(lambda: vm.node.config.table.version == 2)
    await vm.upstream.call_control(target, body)
    assert vm.node.dispatcher.service == "depot"


@pytest.mark.parametrize("state", ["ready", "draining"])
async def test_a_live_upstream_outlasts_a_heartbeat_of_another_writer(state):
    """Guards against a later start that keeps the place for good (RECOVER)."""
    async with running_fleet(1, heartbeat_ms=200.0) as fleet:
        vm = fleet.vms[0]
        odd = json.loads(heartbeat(born=10**12))
        odd["status"]["state"] = state
        target = "/api/Instances.Heartbeat/i-odd"
        await vm.upstream.call_control(target, json.dumps(odd).encode())
        assert vm.node.dispatcher.instance == "i-odd"
        async with asyncio.timeout(3.0):
            while vm.node.dispatcher.instance != vm.upstream.instance:
                await asyncio.sleep(0.2)
                assert await vm.upstream.announce() == 200
        assert vm.node.dispatcher.state == "ready"
        assert (await vm.call()).status == 200


async def test_an_answer_of_another_upstream_puts_the_latest_in_doubt(single):
    """Guards against a later start that keeps the place until it is silent."""
    vm = single.vms[0]
    target = "/api/Instances.Heartbeat/i-odd"
    await vm.upstream.call_control(target, heartbeat(born=10**12))
    for _ in range(2):
        assert await vm.upstream.announce() == 200
    assert vm.node.dispatcher.instance == "i-odd"
    assert (await vm.call()).status == 503  # the upstream answered with 421
    for _ in range(2):
        assert await vm.upstream.announce() == 200
    assert vm.node.dispatcher.instance == vm.upstream.instance
    assert (await vm.call()).status == 200


@pytest.mark.parametrize("body", [b'{"x":' + DEEP_JSON + b"}", heartbeat(born=LARGE)])
async def test_an_odd_departure_is_refused(single, body):
    vm = single.vms[0]
    target = f"/api/Instances.Leave/{vm.upstream.instance}"
    assert await vm.upstream.call_control(target, body) == 400
    assert vm.node.dispatcher.state == "ready"


async def test_an_odd_datagram_is_passed_over(single):
    vm = single.vms[0]
    data = b"\x95\x03\xa1n\x01\x90" + DEEP_MSGPACK[-10_000:]
    with pytest.raises(msgspec.MsgspecError):
        decode(data)
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol, remote_addr=(vm.host, STATUS)
    )
    transport.sendto(data)
    transport.close()
    await asyncio.sleep(0.1)
    assert (await vm.call()).status == 200


LIMIT = 2**64 - 1  # of integers in MessagePack


@pytest.mark.parametrize(
    "changes",
    [
        {"load": (LIMIT, 0, 8, 5, 0, ())},
        {"load": (0, 0, 8, LIMIT, 0, ())},
        {"load": (0, 0, 8, 5, LIMIT, ())},
        {"load": (0, 0, 8, 5, 0, (("lookup", LIMIT),))},
        {"cold_ms": LIMIT},
        {"version": LIMIT},
        {"usages": [(LIMIT, [(1, LIMIT, LIMIT, LIMIT)])]},
    ],
    ids=["running", "service", "failures", "pressure", "cold", "version", "usages"],
)
async def test_an_odd_status_does_not_stop_a_relay(pair, caplog, changes):
    # Guards against numbers that a relay cannot send on, in its periodic checks.
    first, second = pair.vms
    own = second.node.fleet.own
    fields = {"load": (0, 0, 8, 5, 0, ()), "cold_ms": 0, "version": 1, "usages": []}
    fields.update(changes)
    status = NodeStatus(
        own.node,
        own.incarnation,
        own.revision,
        None,
        totals=[],
        has_lost_store=False,
        **fields,
    )
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol, remote_addr=(first.host, STATUS)
    )
    for _ in range(20):
        transport.sendto(encode(Status(status, 0, 0, 0)))
        await asyncio.sleep(0.05)
    transport.close()
    assert not [line for line in caplog.records if line.message == "loop failed"]
    assert (await first.call()).status == 200


def test_a_route_without_an_objective_is_measured_by_its_timeout():
    # Guards against a division by zero in the choice of an upstream.
    text = document(routes=[route("r", "safe", targetLatencyMs=0)])
    assert decode_configuration(text).ok_value.routes[0].objective_ms == 1_500


async def test_an_odd_priority_stays_out_of_force(pair):
    # Guards against a configuration whose requests cannot be sent to other nodes.
    first, second = pair.vms
    odd = [route("order", "non_idempotent", priority=LARGE)]
    await pair.configure(2, routes=odd)
    await asyncio.sleep(0.3)
    await first.upstream.announce("draining")
    assert (await first.call("/order/1", method="POST", body=b"x")).status == 200
    assert len(second.upstream.executed_requests) == 1


@pytest.mark.parametrize(
    "text",
    [
        b'{"version":"r1","x":' + DEEP_JSON + b"}",
        document(version=LARGE),
        document(version=-1),
        document(routes=[route("r", "safe", priority=LARGE)]),
        document(routes=[route("r", "safe", timeoutMs=1e300)]),
        document(routes=[route("r", "safe", targetLatencyMs=-1)]),
        document(tenants=[{"name": "a", "apiKeys": ["k"], "priority": LARGE}]),
        document(limits={"maxHeaderBytes": -1}),
    ],
    ids=[
        "deep",
        "large",
        "negative",
        "route priority",
        "timeout",
        "objective",
        "organisation priority",
        "limit",
    ],
)
def test_an_odd_configuration_is_refused(text):
    assert decode_configuration(text).is_err()
