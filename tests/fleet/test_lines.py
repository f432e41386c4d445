"""Each decision that touches a request leaves one line with what decided it."""

import asyncio
import logging

import pytest
from fleet_harness import connect, request_bytes, until

from ibisspoke_standins import fleet_upstream as upstreams


@pytest.fixture(autouse=True)
def _info_level(caplog):
    caplog.set_level(logging.INFO, "ibisspoke")


def lines(caplog, request_id: str) -> dict[str, logging.LogRecord]:
    """Return the lines about a request, by event."""
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
    answers = [await vm.call(request_id=f"a{i}", key="key-t") for i in range(12)]
    refused = [answer.status for answer in answers].index(429)
    line = lines(caplog, f"a{refused}")["refused 429"]
    assert (line.reason, line.organisation) == ("rate_exceeded", "tiny")
    assert line.retry_after_ms > 0


async def test_a_request_that_is_sent_again_names_the_first_node(pair, caplog):
    first, second = pair.vms
    first.upstream.behaviour = second.upstream.behaviour = upstreams.fail
    answer = await first.call(request_id="a")
    assert answer.status == 500
    told = lines(caplog, "a")
    assert told["sent again"].peer in (first.host, second.host)
    assert told["sent again"].status == 500
    assert told["answered after a repeat"].n_sent == 2


async def test_an_order_of_unknown_outcome_names_who_was_asked(single, caplog):
    vm = single.vms[0]
    vm.upstream.behaviour = upstreams.lose_answer
    await vm.call("/order/1", method="POST", body=b"x", request_id="a")
    told = lines(caplog, "a")
    assert told["attempt failed"].kind == "FAILED"
    assert told["refused 502"].asked == vm.host
    assert told["refused 502"].left_ms > 0


async def test_a_request_that_its_caller_gives_up_is_told(single, caplog):
    vm = single.vms[0]
    vm.upstream.behaviour = upstreams.hang
    caller = await connect(vm.host)
    caller.transport.write(request_bytes("/lookup/1", request_id="a"))
    await until(lambda: len(vm.upstream.ran) == 1)
    caller.transport.close()
    await until(lambda: "cancelled" in lines(caplog, "a"))
    line = lines(caplog, "a")["cancelled"]
    assert (line.service, line.asked) == ("shop", vm.host)
    assert line.left_ms > 0


async def test_requests_while_the_node_has_no_proof_say_so(single, caplog):
    vm = single.vms[0]
    vm.node.config.freshness.__init__()
    vm.node.prover._is_due = lambda: False
    answer = await asyncio.wait_for(vm.call(request_id="a"), 3.0)
    assert answer.status == 503
    assert lines(caplog, "a")["refused 503"].reason == "keys_not_proven"
