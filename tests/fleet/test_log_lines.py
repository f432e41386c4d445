"""Each decision about a request is logged in one line, with its reasons."""

import asyncio
import logging

import pytest
from fleet_harness import connect, request_bytes, until

from ibisspoke_adapter.configuration import CONFIG_KEY, CONFIG_TABLE
from ibisspoke_mesh import decision_log, traffic_log
from ibisspoke_standins import fleet_upstream as upstreams


@pytest.fixture(autouse=True)
def _info_level(caplog):
    caplog.set_level(logging.INFO, "ibisspoke")


def lines(caplog, request_id: str) -> dict[str, logging.LogRecord]:
    """Return the log lines about a request, by event."""
    return {
        record.message: record
        for record in caplog.records
        if getattr(record, "request", "") == request_id
    }


async def test_a_request_that_was_simply_answered_leaves_no_line(single, caplog):
    await single.vms[0].call(request_id="a")
    assert lines(caplog, "a") == {}


async def test_an_unknown_key_and_route_name_the_version(single, caplog):
    vm = single.vms[0]
    await vm.call(request_id="a", key="nobody")
    await vm.call("/nowhere/1", request_id="b")
    assert lines(caplog, "a")["refused 401"].reason == "key_unknown"
    assert lines(caplog, "b")["refused 404"].reason == "route_unknown"
    assert lines(caplog, "a")["refused 401"].version == 1


async def test_a_rate_names_its_organisation(single, caplog):
    vm = single.vms[0]
    responses = [await vm.call(request_id=f"a{i}", key="key-t") for i in range(12)]
    refused = [response.status for response in responses].index(429)
    line = lines(caplog, f"a{refused}")["refused 429"]
    assert (line.reason, line.organisation) == ("rate_exceeded", "tiny")
    assert line.retry_after_ms > 0


async def test_a_request_that_is_sent_again_names_the_first_node(pair, caplog):
    first, second = pair.vms
    first.upstream.behaviour = second.upstream.behaviour = upstreams.fail
    response = await first.call(request_id="a")
    assert response.status == 500
    logged = lines(caplog, "a")
    assert logged["sent again"].peer in (first.host, second.host)
    assert logged["sent again"].status == 500
    assert logged["answered after a repeat"].n_sent == 2


async def test_an_order_of_unknown_outcome_names_who_was_asked(single, caplog):
    vm = single.vms[0]
    vm.upstream.behaviour = upstreams.lose_answer
    await vm.call("/order/1", method="POST", body=b"x", request_id="a")
    logged = lines(caplog, "a")
    assert logged["attempt failed"].kind == "FAILED"
    assert logged["refused 502"].asked == vm.host
    assert logged["refused 502"].left_ms > 0


async def test_a_request_that_its_caller_cancels_is_logged(single, caplog):
    vm = single.vms[0]
    vm.upstream.behaviour = upstreams.hang
    caller = await connect(vm.host)
    caller.transport.write(request_bytes("/lookup/1", request_id="a"))
    await until(lambda: len(vm.upstream.executed_requests) == 1)
    caller.transport.close()
    await until(lambda: "cancelled" in lines(caplog, "a"))
    line = lines(caplog, "a")["cancelled"]
    assert (line.service, line.asked) == ("shop", vm.host)
    assert line.left_ms > 0


async def test_where_the_requests_of_a_route_end_is_logged_completely(
    single, caplog, monkeypatch
):
    monkeypatch.setattr(traffic_log, "INTERVAL_MS", 300.0)
    vm = single.vms[0]
    n_more_than_lines = 3 * int(decision_log.BURST_LINES)
    vm.upstream.behaviour = upstreams.lose_answer
    for _ in range(n_more_than_lines):
        await vm.call("/order/1", method="POST", body=b"x")
    vm.upstream.behaviour = upstreams.answer
    await vm.call("/lookup/1")
    vm.node.dispatcher.queue.is_leaving = True
    await vm.call("/lookup/1")

    def total(field: str, route: str, label: str) -> int:
        lines = [record for record in caplog.records if record.message == "traffic"]
        counts = [getattr(line, field).get(route, {}) for line in lines]
        return sum(by_label.get(label, 0) for by_label in counts)

    await until(lambda: total("requests", "lookup", "503 leaving") == 1)
    lost = "502 the connection to the upstream ended"
    assert total("requests", "order", lost) == n_more_than_lines
    assert total("attempts", "order", "failed") == n_more_than_lines
    assert total("requests", "lookup", "answered") == 1
    assert total("attempts", "lookup", "leaving") == 1
    assert total("attempt_ms", "lookup", "running") > 0


def latest_lines(caplog) -> dict[str, logging.LogRecord]:
    """Return the latest log line of each event."""
    return {record.message: record for record in caplog.records}


async def test_changes_of_nodes_are_logged(pair, caplog):
    first, second = pair.vms
    await second.upstream.announce("draining")
    await until(lambda: "node changed" in latest_lines(caplog))
    assert latest_lines(caplog)["upstream state"].state == "draining"
    assert (
        latest_lines(caplog)["node changed"].peer,
        latest_lines(caplog)["node changed"].state,
    ) == (
        second.host,
        "draining",
    )
    await second.upstream.leave()
    assert latest_lines(caplog)["upstream leaves"].instance == second.upstream.instance


async def test_a_lost_upstream_is_logged_with_the_reason(single, caplog):
    vm = single.vms[0]
    await vm.upstream.stop()
    await vm.call()
    assert latest_lines(caplog)["upstream absent"].instance == vm.upstream.instance
    assert latest_lines(caplog)["upstream absent"].why


async def test_a_lost_link_is_logged_with_its_number_of_requests(pair, caplog):
    first, second = pair.vms
    await first.upstream.announce("draining")
    await until(lambda: first.node.dispatcher.upstream.state == "draining")
    second.upstream.execution_s = 0.3
    calls = [asyncio.ensure_future(first.call()) for _ in range(3)]
    await until(lambda: len(second.upstream.executed_requests) == 3)
    for connection in list(second.node.calls.connections):
        connection.close()
    await asyncio.gather(*calls)
    line = latest_lines(caplog)["link lost"]
    assert (line.peer, line.n_pending) == (second.host, 3)


async def test_an_unreachable_node_is_logged(pair, caplog):
    first, second = pair.vms
    link = first.node.fleet.peers_by_id[second.host].link
    link._port = 1
    await first.upstream.announce("draining")
    await until(lambda: first.node.dispatcher.upstream.state == "draining")
    await first.call()
    assert latest_lines(caplog)["node unreachable"].peer == second.host


async def test_loss_and_recovery_of_the_store_are_logged(single, caplog):
    single.store.down = True
    await single.configure(2)
    await until(lambda: "store lost" in latest_lines(caplog))
    assert latest_lines(caplog)["store lost"].kind
    single.store.down = False
    await until(lambda: "store regained" in latest_lines(caplog))
    assert latest_lines(caplog)["store regained"].after_ms > 0


async def test_adopted_and_unreadable_configurations_are_logged(single, caplog):
    await single.configure(2)
    await until(lambda: "configuration adopted" in latest_lines(caplog))
    assert latest_lines(caplog)["configuration adopted"].version == 2
    await single.store.put(CONFIG_TABLE, CONFIG_KEY, b"no configuration")
    await until(lambda: "configuration unreadable" in latest_lines(caplog))
    assert latest_lines(caplog)["configuration unreadable"].in_force == 2


async def test_a_datagram_that_cannot_be_read_names_its_sender(single, caplog):
    vm = single.vms[0]
    vm.node.status.datagram_received(b"\xff", ("10.0.0.9", 1))
    assert latest_lines(caplog)["datagram unreadable"].sender == "10.0.0.9"


async def test_requests_refused_without_a_proof_are_logged(single, caplog):
    vm = single.vms[0]
    vm.node.config.freshness.__init__()
    vm.node.config_verifier._is_due = lambda: False
    response = await asyncio.wait_for(vm.call(request_id="a"), 3.0)
    assert response.status == 503
    assert lines(caplog, "a")["refused 503"].reason == "keys_not_proven"
