"""Nodes that stop responding with open connections get no new requests."""

import asyncio

from fleet_harness import Vm, running_fleet, until

PLACES = (("a", "north"),)
PAUSE_S = 0.01  # between two requests
N_LATER = 30
DETECTION_S = 1.0  # well before the connection is closed


async def _drain_caller(fleet) -> tuple[Vm, Vm, Vm]:
    caller, silent, healthy = fleet.vms
    await caller.upstream.announce("draining")
    await until(lambda: caller.node.dispatcher.upstream.state == "draining")
    for _ in range(30):
        assert (await caller.call()).status == 200
    return caller, silent, healthy


def _make_silent(vm: Vm) -> None:
    """Let a node ignore all frames, as after the loss of its VM."""
    for connection in vm.node.calls.connections:
        connection._reader._on_frame = lambda frame: None
        connection._receive = lambda frame: None


async def test_a_node_that_falls_silent_gets_no_new_request():
    async with running_fleet(3, PLACES) as fleet:
        caller, silent, _ = await _drain_caller(fleet)
        _make_silent(silent)
        link = caller.node.fleet.peers_by_id[silent.host].link
        early = await _calls_until(caller, lambda: link.is_suspect)
        n_sent = link.n_pending
        assert n_sent > 0
        later = []
        for _ in range(N_LATER):
            later.append(asyncio.ensure_future(caller.call()))
            await asyncio.sleep(PAUSE_S)
            assert link.n_pending <= n_sent
        responses = await asyncio.gather(*later)
        assert {response.status for response in responses} == {200}
        await asyncio.gather(*early)


async def _calls_until(caller: Vm, condition) -> list[asyncio.Task]:
    """Send requests at intervals until a condition holds."""
    calls = []
    async with asyncio.timeout(DETECTION_S):
        while not condition():
            calls.append(asyncio.ensure_future(caller.call()))
            await asyncio.sleep(PAUSE_S)
    return calls


async def test_a_node_that_answers_again_gets_requests_again():
    async with running_fleet(3, PLACES) as fleet:
        caller, silent, _ = await _drain_caller(fleet)
        _make_silent(silent)
        link = caller.node.fleet.peers_by_id[silent.host].link
        calls = [asyncio.ensure_future(caller.call()) for _ in range(8)]
        await until(lambda: link.is_suspect)
        await asyncio.gather(*calls)
        await until(lambda: not link.is_suspect)
        silent.upstream.executed_requests.clear()
        for _ in range(30):
            assert (await caller.call()).status == 200
        assert silent.upstream.executed_requests


async def test_a_suspect_is_asked_where_there_is_no_other(pair):
    caller, silent = pair.vms
    await caller.upstream.announce("draining")
    await until(lambda: caller.node.dispatcher.upstream.state == "draining")
    assert (await caller.call()).status == 200
    link = caller.node.fleet.peers_by_id[silent.host].link
    link._connection.pinged_ms = 0.0
    assert link.is_suspect
    assert (await caller.call()).status == 200
