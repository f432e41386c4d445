"""Evacuation of a data centre: in force everywhere, kept, and taken back."""

import asyncio
import json
import logging
import time
from contextlib import AsyncExitStack, asynccontextmanager

import msgspec
import pytest
from fleet_harness import (
    CONTROL,
    STORE,
    UPSTREAM,
    Fleet,
    document,
    new_net,
    new_node,
    running_fleet,
    running_store,
    settings_of,
    until,
)

from ibisspoke_adapter.configuration import (
    CONFIG_KEY,
    CONFIG_TABLE,
    EVACUATION_PREFIX,
)
from ibisspoke_mesh.frames import ConfigReply, ConfigRequest
from ibisspoke_mesh.node_process import running_node
from ibisspoke_mesh.status_messages import (
    Digest,
    NodeStatus,
    Status,
    decode,
    encode,
)
from ibisspoke_policy.evacuations import EvacuationPosition
from ibisspoke_policy.upstream_tracker import UpstreamState
from ibisspoke_standins.fleet_upstream import FleetUpstream

PLACES = (("a", "north"), ("b", "north"))
# A bound of the users is 5 s; in calm, an evacuation is to be as fast as a version.
CALM_S = 1.0


@pytest.fixture
async def places():
    """A fleet of four VMs in two data centres."""
    async with running_fleet(4, PLACES, evacuation_ms=5_000.0) as fleet:
        yield fleet


@pytest.fixture
async def single():
    """A fleet of one VM."""
    async with running_fleet(1, evacuation_ms=5_000.0) as fleet:
        yield fleet


def of(fleet: Fleet, data_centre: str):
    return [vm for vm in fleet.vms if vm.node.settings.data_centre == data_centre]


def n_executed(vms) -> int:
    return sum(len(vm.upstream.executed_requests) for vm in vms)


async def until_evacuated(fleet: Fleet, *names: str, timeout_s: float = CALM_S):
    await until(
        lambda: all(vm.node.evacuations.in_force == set(names) for vm in fleet.vms),
        timeout_s,
    )


async def call_all(fleet: Fleet, n: int = 6) -> set[int]:
    """Send some requests to each node, and return the statuses of the answers."""
    calls = [vm.call() for vm in fleet.vms for _ in range(n)]
    return {response.status for response in await asyncio.gather(*calls)}


async def test_no_request_reaches_an_evacuated_data_centre(places):
    await places.evacuate("a")
    await until_evacuated(places, "a")
    n_before = n_executed(of(places, "a"))
    assert await call_all(places) == {200}
    assert n_executed(of(places, "a")) == n_before


async def test_an_evacuation_is_in_force_as_fast_as_a_version(places):
    # Guards against news that waits for the next status; 0.1 s is usual.
    started_s = time.monotonic()
    await places.evacuate("a")
    await until_evacuated(places, "a")
    assert time.monotonic() - started_s < CALM_S


async def test_an_evacuation_is_taken_back(places):
    await places.evacuate("a")
    await until_evacuated(places, "a")
    await places.take_back("a")
    await until_evacuated(places)
    await until(
        lambda: all(
            peer.record.is_ready
            for vm in places.vms
            for peer in vm.node.fleet.peers_by_id.values()
        )
    )
    n_before = n_executed(of(places, "a"))
    assert await call_all(places, 20) == {200}
    assert n_executed(of(places, "a")) > n_before


async def test_an_upstream_that_returns_does_not_end_an_evacuation(places):
    vm = of(places, "a")[0]
    await places.evacuate("a")
    await until_evacuated(places, "a")
    vm.upstream.start_ms += 1_000  # a new process
    assert await vm.upstream.announce() == 200
    assert vm.node.dispatcher.upstream.state is UpstreamState.READY
    assert vm.node.dispatcher.state is UpstreamState.ABSENT
    n_before = n_executed(of(places, "a"))
    assert await call_all(places) == {200}
    assert n_executed(of(places, "a")) == n_before


async def test_a_node_of_the_data_centre_refuses_what_others_still_send(places):
    # Guards against a node elsewhere that has not heard of the evacuation.
    evacuated, other = of(places, "a")[0], of(places, "b")[0]
    await places.evacuate("a")
    await until_evacuated(places, "a")
    for vm in of(places, "b"):
        vm.node.dispatcher.block("test")  # leaves only the evacuated data centre
    peer = other.node.fleet.peers_by_id[evacuated.host]
    peer.record = _ready(peer.record)
    n_before = n_executed(places.vms)
    response = await other.call()
    assert response.status == 503
    assert "retry-after" in response.headers
    assert n_executed(places.vms) == n_before


def _ready(record):
    return msgspec.structs.replace(record, state=UpstreamState.READY)


async def test_requests_without_any_data_centre_get_503_with_a_time(places, caplog):
    caplog.set_level(logging.INFO, "ibisspoke")
    await places.evacuate("a")
    await places.evacuate("b")
    await until_evacuated(places, "a", "b")
    n_before = n_executed(places.vms)
    for vm in places.vms:
        response = await vm.call()
        assert response.status == 503
        assert "retry-after" in response.headers
    assert n_executed(places.vms) == n_before
    await asyncio.sleep(0.3)
    lines = [r for r in caplog.records if r.message == "all data centres evacuated"]
    assert len(lines) == len(places.vms)  # one for each node
    assert all(line.remedy for line in lines)
    await places.take_back("b")
    await until_evacuated(places, "a")
    await until(
        lambda: all(vm.node.dispatcher.state == "ready" for vm in of(places, "b"))
    )


async def test_an_unknown_data_centre_changes_nothing(places, caplog, monkeypatch):
    caplog.set_level(logging.INFO, "ibisspoke")
    monkeypatch.setattr("ibisspoke_mesh.evacuation_state.UNKNOWN_GRACE_MS", 100.0)
    await places.evacuate("nowhere")
    await until_evacuated(places, "nowhere")
    assert await call_all(places) == {200}
    await asyncio.sleep(0.4)
    event = "evacuation of unknown data centre"
    lines = [record for record in caplog.records if record.message == event]
    assert len(lines) == len(places.vms)
    assert {line.data_centre for line in lines} == {"nowhere"}


@pytest.mark.parametrize("value", [b"", b"null", b"\xff\x00", b"[" * 5_000, b"false"])
async def test_a_row_with_an_odd_value_is_an_evacuation(places, value):
    await places.evacuate("a", value)
    await until_evacuated(places, "a")


async def test_a_row_whose_value_is_no_base64_is_an_evacuation(places):
    # Guards against a row of another writer that ends the reading of the table.
    row = {"table": CONFIG_TABLE, "key": EVACUATION_PREFIX + "a", "value": "%a"}
    await places.store._apply([row], [])
    await until_evacuated(places, "a")
    await places.configure(2)
    await until(lambda: all(vm.node.config.version == 2 for vm in places.vms))


async def test_a_running_request_is_finished_and_a_queued_one_is_not_run(single):
    vm = single.vms[0]
    await until(lambda: vm.node.watch._after is not None)
    vm.upstream.execution_s = 0.4
    vm.node.dispatcher.queue.limit = 1
    calls = [asyncio.ensure_future(vm.call()) for _ in range(2)]
    await until(lambda: vm.node.dispatcher.load().n_queued == 1)
    await single.evacuate("a")
    responses = await asyncio.gather(*calls)
    assert sorted(response.status for response in responses) == [200, 503]
    assert len(vm.upstream.executed_requests) == 1


async def test_a_calm_fleet_calls_the_store_no_more_often_with_evacuations(places):
    await places.evacuate("a")
    await until_evacuated(places, "a")
    await asyncio.sleep(2.0)  # rows of members are written
    n_before = places.store.n_calls
    await asyncio.sleep(2.0)
    assert places.store.n_calls - n_before <= 6  # proofs that the version is current


class Place:
    """A VM whose node is restarted while its upstream continues to run."""

    def __init__(self, host: str, data_centre: str, store: tuple[str, int]) -> None:
        number = host.rpartition(".")[2]
        self.upstream = FleetUpstream(
            f"i-{number}", "shop", host, UPSTREAM, (host, CONTROL)
        )
        self.host, self.data_centre, self._store = host, data_centre, store
        self._stack = AsyncExitStack()
        self.node = None

    async def start(self) -> None:
        settings = settings_of(
            self.host,
            self._store,
            data_centre=self.data_centre,
            evacuation_ms=5_000.0,
        )
        self.node = new_node(settings)
        await self._stack.enter_async_context(running_node(self.node))
        assert await self.upstream.announce() == 200

    async def kill(self) -> None:
        """End the node without a graceful stop."""
        await self._stack.aclose()
        for server in self.node.servers:
            for connection in list(server.connections):
                connection._transport.abort()
        await asyncio.sleep(0.01)


@asynccontextmanager
async def restarting():
    """Run three VMs that can be restarted: two in data centre a, one in b."""
    net = new_net()
    async with running_store(f"{net}.100") as store:
        await store.put(CONFIG_TABLE, CONFIG_KEY, document())
        address = (f"{net}.100", STORE)
        vms = [
            Place(f"{net}.{number}", data_centre, address)
            for number, data_centre in ((1, "a"), (2, "a"), (3, "b"))
        ]
        try:
            for vm in vms:
                await vm.start()
            await until(
                lambda: all(
                    vm.node.is_ready and len(vm.node.fleet.peers_by_id) == 2
                    for vm in vms
                )
            )
            yield vms, store
        finally:
            for vm in vms:
                await vm.kill()


def all_know(vms, *names: str) -> bool:
    return all(vm.node.evacuations.in_force == set(names) for vm in vms)


async def test_a_restart_of_all_nodes_keeps_an_evacuation():
    async with restarting() as (vms, store):
        await store.put(CONFIG_TABLE, EVACUATION_PREFIX + "a", b"{}")
        await until(lambda: all_know(vms, "a"))
        for vm in vms:
            await vm.kill()
        for vm in vms:
            await vm.start()
            assert vm.node.dispatcher.state is UpstreamState.ABSENT
        await until(lambda: all(vm.node.is_ready for vm in vms))
        assert all_know(vms, "a")
        assert vms[0].node.dispatcher.state is UpstreamState.ABSENT
        assert vms[0].node.dispatcher.blocked_reason == "evacuated"


async def test_a_restart_without_the_store_keeps_an_evacuation():
    # It is kept as long as one node that knows it is alive.
    async with restarting() as (vms, store):
        await store.put(CONFIG_TABLE, EVACUATION_PREFIX + "a", b"{}")
        await until(lambda: all_know(vms, "a"))
        store.down = True
        for vm in vms[:2]:
            await vm.kill()
            await vm.start()
            await asyncio.sleep(0.2)
            assert vm.node.dispatcher.state is UpstreamState.ABSENT
        await until(lambda: any(vm.node.evacuations.is_known for vm in vms[:2]), 8.0)
        await until(lambda: all_know(vms, "a") and vms[0].node.is_ready)
        assert vms[0].node.dispatcher.blocked_reason == "evacuated"
        store.down = False
        await store.remove(CONFIG_TABLE, EVACUATION_PREFIX + "a")
        await until(lambda: all_know(vms))


async def test_no_node_serves_before_it_knows_the_evacuations():
    async with restarting() as (vms, store):
        await store.put(CONFIG_TABLE, EVACUATION_PREFIX + "a", b"{}")
        await until(lambda: all_know(vms, "a"))
        store.down = True
        for vm in vms:
            await vm.kill()
        for vm in vms:
            await vm.start()
        await asyncio.sleep(1.5)
        for vm in vms:
            assert (
                await vm.upstream.announce(follows_address=True) == 200
            )  # makes the upstream ready
            assert vm.node.dispatcher.upstream.state is UpstreamState.READY
            assert vm.node.dispatcher.state is UpstreamState.ABSENT
            assert vm.node.dispatcher.blocked_reason == "evacuations_unknown"
        assert not any(vm.node.is_ready for vm in vms)
        store.down = False
        await until(lambda: all(vm.node.is_ready for vm in vms))
        assert all_know(vms, "a")


async def test_an_evacuation_taken_back_during_a_restart_has_ended():
    async with restarting() as (vms, store):
        await store.put(CONFIG_TABLE, EVACUATION_PREFIX + "a", b"{}")
        await until(lambda: all_know(vms, "a"))
        await vms[0].kill()
        await store.remove(CONFIG_TABLE, EVACUATION_PREFIX + "a")
        await vms[0].start()
        await until(lambda: all_know(vms) and vms[0].node.is_ready)
        await until(lambda: vms[0].node.dispatcher.state is UpstreamState.READY)


def test_earlier_versions_read_the_messages_without_the_new_fields():
    # Guards against fields that are not the last ones of their message.
    assert ConfigReply.__struct_fields__[-2:] == ("evacuations", "row_era")
    assert ConfigRequest.__struct_fields__[-1] == "evacuations"
    assert NodeStatus.__struct_fields__[-2:] == ("evacuations", "vm_pace")
    assert Digest.__struct_fields__[-2:] == ("evacuations", "earlier_incarnation")


def test_messages_of_earlier_versions_are_read():
    load = (0, 0, 1, 0, 0, ())
    status = NodeStatus("10.0.0.1", 1, 1, None, load, 0, [], 3, False, [])
    assert decode(encode(Status(status, 0, 0, 0))).status.evacuations is None
    position = EvacuationPosition(1, 2, 1, 0, 0)
    digest = decode(encode(Digest("10.0.0.1", 3, [], position)))
    assert digest.evacuations == position
    assert json.dumps(digest.evacuations) == "[1, 2, 1, 0, 0]"
