"""State that a node recovers after a restart."""

import asyncio
from contextlib import AsyncExitStack

import pytest
from fleet_harness import (
    CONTROL,
    STORE,
    UPSTREAM,
    document,
    new_node,
    running_store,
    settings_of,
    until,
)

from ibisspoke_adapter.configuration import CONFIG_KEY, CONFIG_TABLE
from ibisspoke_mesh.node_process import running_node
from ibisspoke_standins.fleet_upstream import FleetUpstream

HOST, STORE_HOST = "127.250.7.1", "127.250.7.100"


class RestartingVm:
    """A VM whose node is restarted while its upstream continues to run."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self.upstream = FleetUpstream("i-1", "shop", HOST, UPSTREAM, (HOST, CONTROL))
        self.node = None
        self._stack = stack

    async def start(self):
        """Start a new node, without the state of an earlier one."""
        self.node = new_node(settings_of(HOST, (STORE_HOST, STORE)))
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


async def test_a_restart_without_the_store_waits_for_a_second_heartbeat(vm, store):
    store.down = True
    await vm.kill()
    await vm.start()
    assert await vm.upstream.announce() == 200
    assert vm.node.dispatcher.upstream.state == "absent"
    assert await vm.upstream.announce() == 200
    assert vm.node.dispatcher.upstream.state == "ready"


async def test_a_departure_is_acknowledged_without_the_store(vm, store):
    store.silent = True
    async with asyncio.timeout(1.0):
        assert await vm.upstream.leave() == 200
    assert vm.node.dispatcher.upstream.state == "draining"


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
