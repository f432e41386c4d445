"""State that a node recovers after a restart."""

import asyncio
from contextlib import AsyncExitStack

import pytest
from fleet_harness import (
    CONTROL,
    STORE,
    UPSTREAM,
    document,
    new_net,
    new_node,
    running_store,
    settings_of,
    until,
)

from ibisspoke_adapter.configuration import CONFIG_KEY, CONFIG_TABLE
from ibisspoke_mesh.node_process import running_node
from ibisspoke_standins.fleet_upstream import FleetUpstream

NET = new_net()
HOST, STORE_HOST = f"{NET}.1", f"{NET}.100"


class RestartingVm:
    """A VM whose node is restarted while its upstream continues to run."""

    def __init__(
        self, stack: AsyncExitStack, host: str = HOST, data_centre: str = "a"
    ) -> None:
        self.upstream = FleetUpstream("i-1", "shop", host, UPSTREAM, (host, CONTROL))
        self.node = None
        self.host = host
        self.data_centre = data_centre
        self.heartbeat_ms = 60_000.0
        self._stack = stack

    async def start(self):
        """Start a new node, without the state of an earlier one."""
        settings = settings_of(
            self.host,
            (STORE_HOST, STORE),
            data_centre=self.data_centre,
            heartbeat_ms=self.heartbeat_ms,
        )
        self.node = new_node(settings)
        await self._stack.enter_async_context(running_node(self.node))

    async def kill(self):
        """End the node without a graceful stop."""
        await self._stack.aclose()
        for server in self.node.servers:
            for connection in list(server.connections):
                connection._transport.abort()
        await asyncio.sleep(0.01)


@pytest.fixture
async def store():
    async with running_store(STORE_HOST) as store:
        await store.put(CONFIG_TABLE, CONFIG_KEY, document())
        yield store


@pytest.fixture
async def vm(store):
    async with AsyncExitStack() as stack:
        vm = RestartingVm(stack)
        await vm.start()
        assert await vm.upstream.announce() == 200
        await until(lambda: vm.node.dispatcher.upstream.state == "ready")
        yield vm


@pytest.fixture
async def fleet(store, vm):
    """Three VMs, which know each other; the first one's upstream is to leave."""
    async with AsyncExitStack() as stack:
        vms = [vm]
        for number, data_centre in ((2, "a"), (3, "b")):
            other = RestartingVm(stack, f"{NET}.{number}", data_centre)
            await other.start()
            assert await other.upstream.announce() == 200
            vms.append(other)
        await until(
            lambda: all(
                vm.host in other.node.fleet.peers_by_id
                and other.host in vm.node.fleet.peers_by_id
                and other.node.fleet.peers_by_id[vm.host].record.state == "ready"
                for other in vms[1:]
            )
        )
        yield vms


@pytest.mark.parametrize("ending", ["kill", "stop"])
async def test_a_late_heartbeat_does_not_undo_a_departure_after_a_restart(vm, ending):
    assert await vm.upstream.leave() == 200
    if ending == "stop":
        await vm.node.stop()
    await vm.kill()
    await vm.start()
    assert await vm.upstream.announce() == 200
    await until(lambda: vm.node.rows.previous_record_known.is_set())
    assert vm.node.dispatcher.upstream.state != "ready"


# Guards against a departure that is acknowledged in a stop and stored nowhere (DRAIN).
async def test_a_departure_during_a_stop_outlasts_the_restart(vm, store):
    stopping = asyncio.ensure_future(vm.node.stop())
    await until(lambda: not store.keys("members"))
    assert await vm.upstream.leave() == 200
    await stopping
    await vm.kill()
    await vm.start()
    assert await vm.upstream.announce() == 200
    await until(lambda: vm.node.rows.previous_record_known.is_set())
    assert vm.node.dispatcher.upstream.state != "ready"


async def test_a_late_heartbeat_does_not_undo_a_departure_in_a_new_process(vm):
    await vm.kill()
    await vm.start()
    await until(lambda: vm.node.rows.previous_record_known.is_set())
    assert await vm.upstream.leave() == 200
    assert await vm.upstream.announce() == 200
    assert vm.node.dispatcher.upstream.state != "ready"


async def test_a_restart_without_the_store_waits_for_a_heartbeat_sent_since(vm, store):
    store.down = True
    await vm.kill()
    await vm.start()
    for _ in range(3):
        assert await vm.upstream.announce() == 200
        assert vm.node.dispatcher.upstream.state == "absent"
    assert await vm.upstream.announce(follows_address=True) == 200
    assert vm.node.dispatcher.upstream.state == "ready"


# Guards against a departure that only the memory of its node has (DRAIN).
async def test_a_departure_that_nothing_else_has_is_not_acknowledged(vm, store):
    store.silent = True
    for _ in range(2):
        async with asyncio.timeout(1.0):
            assert await vm.upstream.leave() == 503
        assert vm.node.dispatcher.upstream.state == "draining"
    store.silent = False
    await until(lambda: vm.node.rows.has_departures)
    assert await vm.upstream.leave() == 200


# Guards against a departure that is lost with its node while the store is down (DRAIN).
@pytest.mark.parametrize("returns", ["before the start", "after a late heartbeat"])
async def test_a_departure_without_the_store_outlasts_a_restart(fleet, store, returns):
    vm, others = fleet[0], fleet[1:]
    excluded = {other.host for other in others}
    store.silent = True
    async with asyncio.timeout(1.0):
        assert await vm.upstream.leave() == 200
    await vm.kill()
    store.silent = returns == "after a late heartbeat"
    await vm.start()
    assert await vm.upstream.announce() == 200
    store.silent = False
    await until(lambda: vm.node.rows.previous_record_known.is_set())
    assert await vm.upstream.announce() == 200
    await asyncio.sleep(0.5)
    assert vm.node.dispatcher.upstream.state != "ready"
    for other in others:
        assert other.node.fleet.choose("shop", "r", 1_000.0, excluded) is None
    await until(lambda: vm.node.rows.has_departures)


async def test_a_departure_before_any_heartbeat_outlasts_a_restart(vm):
    await vm.kill()
    await vm.start()
    assert await vm.upstream.leave() == 200
    await vm.kill()
    await vm.start()
    await until(lambda: vm.node.rows.previous_record_known.is_set())
    assert await vm.upstream.announce() == 200
    await asyncio.sleep(0.3)
    assert vm.node.dispatcher.upstream.state != "ready"


async def test_a_write_that_is_done_late_does_not_undo_a_departure(vm, store):
    await until(lambda: store.keys("members") == {HOST})
    store.hold_writes = True
    vm.node.rows.publish()
    await until(lambda: store.n_held_writes == 1)
    store.hold_writes = False
    await vm.kill()
    await vm.start()
    await until(lambda: vm.node.rows.previous_record_known.is_set())
    assert await vm.upstream.announce() == 200
    assert await vm.upstream.leave() == 200
    await store.release_writes()
    await vm.kill()
    await vm.start()
    assert await vm.upstream.announce() == 200
    await until(lambda: vm.node.rows.previous_record_known.is_set())
    assert vm.node.dispatcher.upstream.state != "ready"


async def _restart_all(fleet) -> None:
    for vm in fleet:
        await vm.kill()
    for vm in fleet:
        await vm.start()


def _state(vm) -> str:
    return vm.node.dispatcher.upstream.state


# Guards against a departure that is forgotten when all processes are killed (DRAIN).
@pytest.mark.parametrize("arrives", ["before the store", "with it", "after it"])
async def test_a_departure_without_the_store_outlasts_all_processes(
    fleet, store, arrives
):
    vm = fleet[0]
    store.silent = True
    async with asyncio.timeout(1.0):
        assert await vm.upstream.leave() == 200
    await _restart_all(fleet)
    if arrives == "before the store":
        assert await vm.upstream.announce() == 200
    await asyncio.sleep(1.0)  # the store is late, by all that the new processes know
    store.silent = False
    if arrives == "with it":
        assert await vm.upstream.announce() == 200
    await until(lambda: vm.node.rows.previous_record_known.is_set())
    await asyncio.sleep(0.5)
    if arrives == "after it":
        assert await vm.upstream.announce() == 200
    assert _state(vm) == "absent"
    for other in fleet[1:]:
        excluded = {node.host for node in fleet[1:]}
        assert other.node.fleet.choose("shop", "r", 1_000.0, excluded) is None


async def _leave_and_lose_all(fleet, store) -> None:
    """Let the first upstream leave while the store is away, then end all processes."""
    store.silent = True
    async with asyncio.timeout(1.0):
        assert await fleet[0].upstream.leave() == 200
    await _restart_all(fleet)
    await asyncio.sleep(1.0)  # the store is late, by all that the new processes know
    store.silent = False
    await until(lambda: fleet[0].node.rows.previous_record_known.is_set())


async def test_late_heartbeats_in_a_row_do_not_undo_a_departure(fleet, store):
    """Guards against counting heartbeats, of which several may be late (DRAIN)."""
    await _leave_and_lose_all(fleet, store)
    for _ in range(10):
        assert await fleet[0].upstream.announce() == 200
        assert _state(fleet[0]) == "absent"


async def test_a_process_that_lost_the_history_does_not_vouch_for_it(fleet, store):
    """Guards against a restart alone after a loss of all processes (DRAIN)."""
    vm, others = fleet[0], fleet[1:]
    await _leave_and_lose_all(fleet, store)
    assert await vm.upstream.announce() == 200
    peers = [other.node.fleet.peers_by_id[vm.host] for other in others]
    lost = vm.node.fleet.own.incarnation
    await until(lambda: all(p.is_heard and p.record.incarnation == lost for p in peers))
    await vm.kill()
    await vm.start()
    await until(lambda: vm.node.rows.previous_record_known.is_set())
    await asyncio.sleep(0.5)  # others are asked for less
    assert await vm.upstream.announce() == 200
    assert not vm.node.dispatcher.upstream.is_history_known


async def test_a_draining_without_the_store_outlasts_all_processes(fleet, store):
    vm = fleet[0]
    store.silent = True
    async with asyncio.timeout(1.0):
        assert await vm.upstream.announce("draining") == 200
    await _restart_all(fleet)
    assert await vm.upstream.announce(sequence=1) == 200  # sent before, and late
    await asyncio.sleep(1.0)
    store.silent = False
    await until(lambda: vm.node.rows.previous_record_known.is_set())
    assert _state(vm) == "absent"
    assert await vm.upstream.announce("draining") == 200
    assert _state(vm) == "draining"
    assert await vm.upstream.announce() == 200
    assert _state(vm) == "draining"


# Guards against living upstreams that stay away after a loss of all processes.
async def test_upstreams_that_live_are_back_with_the_store(fleet, store):
    store.silent = True
    await _restart_all(fleet)
    for vm in fleet:
        assert await vm.upstream.announce() == 200
        assert await vm.upstream.announce(follows_address=True) == 200
    await asyncio.sleep(1.0)
    store.silent = False
    await until(lambda: all(vm.node.config.is_complete for vm in fleet))
    assert {_state(vm) for vm in fleet} == {"ready"}


async def test_after_a_restart_others_tell_that_nothing_was_missed(fleet):
    vm = fleet[0]
    peers = [other.node.fleet.peers_by_id[vm.host] for other in fleet[1:]]
    await until(lambda: all(peer.is_heard for peer in peers))
    await vm.kill()
    await vm.start()
    await until(lambda: vm.node.dispatcher.upstream.is_history_known)
    assert await vm.upstream.announce() == 200
    assert _state(vm) == "ready"


async def test_one_heartbeat_is_enough_at_first_where_the_store_was_there(fleet):
    """Guards against a second outage, of one heartbeat, after each loss of all."""
    for vm in fleet:
        vm.heartbeat_ms = 700.0
    await _restart_all(fleet)
    for vm in fleet:
        assert await vm.upstream.announce() == 200
    await until(lambda: all(_state(vm) == "ready" for vm in fleet))
    assert await fleet[0].upstream.announce(follows_address=True) == 200
    await until(lambda: _state(fleet[1]) == "absent")
    assert _state(fleet[0]) == "ready"
    assert await fleet[1].upstream.announce() == 200
    assert _state(fleet[1]) == "absent"
    assert not fleet[1].node.dispatcher.upstream.is_history_known
