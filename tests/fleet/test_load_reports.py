"""The load that upstreams report in the header of their answers."""

import asyncio
import re

import pytest
from fleet_harness import METRICS, Vm, until

from ibisspoke_adapter.headers import decode_load
from ibisspoke_mesh.http_client import HttpClient
from ibisspoke_policy.upstream_report import UpstreamReport
from ibisspoke_standins import fleet_upstream as upstreams
from ibisspoke_standins.fleet_upstream import Behaviour, FleetUpstream, ReceivedRequest


def reporting(value: bytes, is_stamped: bool = True) -> Behaviour:
    """Return a behaviour that answers with a value of the load header."""

    async def respond(
        upstream: FleetUpstream, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        upstream.executed_requests.append(request)
        await asyncio.sleep(upstream.execution_s)
        answer = upstreams.stamped_answer(request, upstream.instance)
        answer = answer.replace(b"X-Server-Load: 1,0,4", b"X-Server-Load: " + value)
        if not is_stamped:
            answer = re.sub(rb"X-Server-Stamp: [^\r]*\r\n", b"", answer)
        writer.write(answer)
        return True

    return respond


@pytest.mark.parametrize(
    ("value", "report"),
    [
        (b"1,0,4", UpstreamReport(1, 0, 4)),
        (b"1,0,4,100", UpstreamReport(1, 0, 4, 1.0)),
        (b" 12,30,36,250 ", UpstreamReport(12, 30, 36, 2.5)),
        (b"1,0,4,137.5", UpstreamReport(1, 0, 4, 1.375)),
    ],
)
def test_the_header_is_read(value, report):
    assert decode_load(value) == report


GARBLED = [
    b"x",
    b"1",
    b"1,0",
    b"1,0,4,",
    b"1,0,4,100,7",
    b"1,0,4,-250",
    b"-1,0,4,250",
    b"1,0,4,nan",
    b"1,0,4,inf",
    b"1,0,4,1e3",
    b"1,0,4,0",
    b"1,0,4,0x10",
    b"1,0,4,99999999999999999999",
    b"1,0,4,9999999",
    "1,0,4,２５０".encode(),
    b"1;0;4;250",
    b"1,0,4,250\r\nX-Server-Load: 1,0,4,250",
]


@pytest.mark.parametrize("value", GARBLED)
async def test_figures_that_are_not_valid_are_ignored_and_counted(single, value):
    vm = single.vms[0]
    vm.upstream.behaviour = reporting(value)
    assert (await vm.call()).status == 200
    assert vm.node.metrics.load_reports == {("invalid",): 1}
    assert vm.node.dispatcher.vm_pace() == 0.0


async def test_an_answer_that_is_not_the_upstreams_own_tells_nothing(single):
    vm = single.vms[0]
    vm.upstream.behaviour = reporting(b"1,0,4,250", is_stamped=False)
    assert (await vm.call()).status == 502
    assert not vm.node.metrics.load_reports


async def test_the_header_is_passed_on_to_callers(single):
    vm = single.vms[0]
    vm.upstream.behaviour = reporting(b"1,0,4,250")
    response = await vm.call()
    assert response.headers["x-server-load"] == "1,0,4,250"


def known_pace(vm: Vm, of: Vm) -> float:
    """Return what a node knows of the pace of another VM."""
    peer = vm.node.fleet.peers_by_id[of.node.settings.host]
    return peer.vm_pace.at(vm.node.clock.now_ms())


async def test_statuses_carry_the_pace(pair):
    first, second = pair.vms
    second.upstream.behaviour = reporting(b"1,0,4,250")
    async with asyncio.timeout(8.0):
        while known_pace(first, second) <= 1.0:
            await second.call()
    assert known_pace(first, second) <= 2.5
    await until(lambda: known_pace(first, second) == 0.0, 2.0)


async def test_replies_carry_the_pace(pair):
    first, second = pair.vms
    second.upstream.behaviour = reporting(b"1,0,4,250")
    first.upstream.behaviour = upstreams.shed  # the second answers its calls
    assert (await first.call()).status == 200
    assert 1.0 < known_pace(first, second) <= 2.5


async def test_a_slowed_vm_gets_fewer_requests_while_its_report_is_fresh(pair):
    # Guards against work that waits at a slowed VM beside one that is not.
    first, second = pair.vms
    first.upstream.behaviour = reporting(b"1,0,4,400")
    second.upstream.behaviour = reporting(b"1,0,4,100")
    for vm in pair.vms:
        vm.upstream.execution_s = 0.1
    for _ in range(8):
        await asyncio.gather(*[first.call() for _ in range(4)])
    n_first, n_second = (len(vm.upstream.executed_requests) for vm in pair.vms)
    assert n_second > n_first


async def test_without_the_fourth_figure_no_pace_is_known(pair):
    for vm in pair.vms:
        for _ in range(5):
            assert (await vm.call()).status == 200
        assert vm.node.dispatcher.vm_pace() == 0.0
        peers = vm.node.fleet.peers_by_id.values()
        assert all(peer.vm_pace.at(vm.node.clock.now_ms()) == 0.0 for peer in peers)
        assert set(vm.node.metrics.load_reports) <= {("without pace",)}


async def test_the_metrics_page_shows_the_pace(single):
    vm = single.vms[0]
    vm.upstream.behaviour = reporting(b"1,0,4,250")
    assert (await vm.call()).status == 200
    response = await HttpClient(vm.host, METRICS).request("GET", "/metrics", b"")
    assert b'ibisspoke_load_reports_total{state="with pace"} 1.0' in response.body
    found = re.search(rb"\nibisspoke_vm_pace (\S+)", response.body)
    assert found is not None
    assert 1.0 < float(found[1]) <= 2.5
