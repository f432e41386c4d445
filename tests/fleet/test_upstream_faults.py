"""Effects of faulty upstreams on callers."""

import asyncio

import pytest
from fleet_harness import until

from ibisspoke_standins import fleet_upstream as upstreams


async def test_a_request_that_an_upstream_refuses_is_sent_to_another(pair):
    first, second = pair.vms
    first.upstream.behaviour = upstreams.shed
    response = await first.call("/order/1", method="POST", body=b"x")
    assert response.status == 200
    assert [len(vm.upstream.executed_requests) for vm in pair.vms] == [0, 1]


async def test_a_request_that_all_upstreams_refuse_has_not_run(pair):
    for vm in pair.vms:
        vm.upstream.behaviour = upstreams.shed
    response = await pair.vms[0].call("/order/1", method="POST", body=b"x")
    assert response.status == 503
    assert 0 < float(response.headers["retry-after"]) <= 5.0 / 3
    assert pair.executed_requests == []


BROKEN = [upstreams.lose_answer, upstreams.truncate_answer, upstreams.answer_garbage]
BROKEN_OR_FORGED = [*BROKEN, upstreams.answer_without_stamp]


@pytest.mark.parametrize("behaviour", BROKEN_OR_FORGED)
async def test_an_order_without_an_answer_is_not_run_again(pair, behaviour):
    first, second = pair.vms
    first.upstream.behaviour = second.upstream.behaviour = behaviour
    response = await first.call("/order/1", method="POST", body=b"x")
    assert response.status == 502
    assert len(pair.executed_requests) == 1


@pytest.mark.parametrize("behaviour", BROKEN_OR_FORGED)
async def test_a_lookup_without_an_answer_is_run_again(pair, behaviour):
    first, second = pair.vms
    first.upstream.behaviour = behaviour
    response = await first.call()
    assert response.status == 200
    assert response.body.endswith(f"@{second.upstream.instance}:0".encode())


async def test_a_second_answer_belongs_to_no_request(single):
    vm = single.vms[0]
    vm.upstream.behaviour = upstreams.answer_twice
    for name in ("one", "two", "three"):
        response = await vm.call(request_id=name)
        assert response.body.startswith(name.encode())


@pytest.mark.parametrize("is_named", [True, False])
async def test_a_repeated_refusal_belongs_to_no_request(single, is_named):
    # Guards against "not run" for an order that runs, and may then run twice.
    vm = single.vms[0]
    vm.upstream.behaviour = upstreams.repeat_refusal(is_named)
    response = await vm.call("/order/1", method="POST", body=b"x")
    assert response.status == 503
    response = await vm.call("/order/2", method="POST", body=b"x", request_id="two")
    assert response.status == 200
    assert response.body == f"two@{vm.upstream.instance}:1".encode()
    assert [request.id for request in vm.upstream.executed_requests] == ["two"]
    assert vm.upstream.n_connections == 1


INTERIM = b"HTTP/1.1 103 Early Hints\r\nX-Request-Id: REQUEST_ID\r\n\r\n"


@pytest.mark.parametrize(
    "behaviour",
    [
        upstreams.cut_head(),
        upstreams.cut_head(4),
        upstreams.cut_head(20),
        upstreams.cut_head(60),
        upstreams.cut_head(0, INTERIM),
        upstreams.cut_head(30, INTERIM),
    ],
)
@pytest.mark.parametrize("n_before", [0, 1])
async def test_an_answer_that_ends_within_its_head_is_no_success(
    single, behaviour, n_before
):
    # Guards against an empty body that is framed as whole.
    vm = single.vms[0]
    for _ in range(n_before):
        assert (await vm.call()).status == 200
    vm.upstream.behaviour = behaviour
    response = await vm.call("/order/1", method="POST", body=b"x")
    assert response.status == 502
    assert len(vm.upstream.executed_requests) == n_before + 1


async def test_an_answer_may_end_with_its_connection(single):
    vm = single.vms[0]
    vm.upstream.behaviour = upstreams.answer_without_length
    response = await vm.call(request_id="abc")
    assert response.status == 200
    assert response.body == f"abc@{vm.upstream.instance}:0".encode()


async def test_a_failure_of_the_upstream_is_passed_on_unchanged(single):
    vm = single.vms[0]
    vm.upstream.behaviour = upstreams.fail
    response = await vm.call("/order/1", method="POST", body=b"x")
    assert response.status == 500
    assert response.headers["x-server-stamp"] == f"stamp-{vm.upstream.instance}"


async def test_another_upstream_at_the_address_runs_nothing(single):
    vm = single.vms[0]
    vm.upstream.instance = "i-other"
    response = await vm.call("/order/1", method="POST", body=b"x")
    assert response.status == 503
    assert single.executed_requests == []


async def test_an_upstream_that_is_gone_is_noticed_and_comes_back(pair):
    first, second = pair.vms
    await first.upstream.stop()
    responses = [await first.call() for _ in range(20)]
    assert {response.status for response in responses} == {200}
    assert first.node.dispatcher.upstream.state == "absent"
    await first.upstream.start()
    await first.upstream.announce()
    assert first.node.dispatcher.upstream.state == "ready"


async def test_a_draining_upstream_gets_no_new_request(pair):
    first, second = pair.vms
    assert await first.upstream.announce("draining") == 200
    peer = second.node.fleet.peers_by_id[first.host]
    await until(lambda: peer.record.state == "draining", timeout_s=1.0)
    responses = await asyncio.gather(*(vm.call() for vm in pair.vms for _ in range(5)))
    assert {response.status for response in responses} == {200}
    assert first.upstream.executed_requests == []


async def test_an_upstream_that_leaves_without_draining_gets_no_new_request(pair):
    first, second = pair.vms
    assert await first.upstream.leave() == 200
    assert (await first.call()).status == 200
    assert first.upstream.executed_requests == []


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b'{"address":1}',
        b'{"address":"a:1","details":{"service":"shop","slots":"many"},'
        b'"status":{"state":"ready","sequence":9}}',
        b'{"address":"a:1","details":{"service":"shop","slots":4},'
        b'"status":{"state":"sleeping","sequence":9}}',
    ],
)
async def test_a_heartbeat_that_cannot_be_read_changes_nothing(single, body):
    vm = single.vms[0]
    path = f"/api/Instances.Heartbeat/{vm.upstream.instance}"
    assert await vm.upstream.call_control(path, body) == 400
    assert vm.node.dispatcher.upstream.state == "ready"
    assert (await vm.call()).status == 200
