"""A few nodes watch the configuration in the store; the others get it from them."""

import asyncio

import pytest
from fleet_harness import Fleet, route, running_fleet, until
from result import Err

from ibisspoke_adapter.configuration import CONFIG_TABLE
from ibisspoke_mesh.node_ranks import N_WATCHERS, REFRESH_MS
from ibisspoke_storage.store import StoreError, StoreErrorKind

N_VMS = 2 * N_WATCHERS + 1
AGREED_S = 1.0  # after all know each other; ranks may be as old as a refresh interval


@pytest.fixture
async def seven():
    async with running_fleet(N_VMS) as fleet:
        await until(lambda: agree_on_watchers(fleet), AGREED_S)
        yield fleet


def watchers(fleet: Fleet):
    return [vm for vm in fleet.vms if vm.node.ranks.is_watcher]


def agree_on_watchers(fleet: Fleet) -> bool:
    """Return whether all nodes select the same watchers."""
    expected = {vm.host for vm in watchers(fleet)}
    seen = [
        {peer.record.node for peer in vm.node.ranks.sources[:N_WATCHERS]}
        | ({vm.host} & expected)
        for vm in fleet.vms
    ]
    return len(expected) == N_WATCHERS and all(expected <= nodes for nodes in seen)


class Refusing:
    """A store that refuses all calls."""

    async def refuse(self, *_):
        await asyncio.sleep(0.01)
        return Err(StoreError(StoreErrorKind.UNAVAILABLE, "refused", "wait"))

    snapshot = changes = commit = read = refuse


async def refuse_store_calls(fleet: Fleet, vms) -> None:
    """Make the store refuse all later calls of some nodes."""
    for vm in vms:
        vm.node.watch._store = vm.node.config_verifier._store = Refusing()
    await fleet.store.put(CONFIG_TABLE, "other", b"")  # ends the long polls


async def until_in_force(fleet: Fleet, version: int, timeout_s: float) -> None:
    await until(
        lambda: all(vm.node.config.version == version for vm in fleet.vms), timeout_s
    )


async def test_all_nodes_agree_on_the_watchers(seven):
    for _ in range(5):
        assert agree_on_watchers(seven)
        await asyncio.sleep(REFRESH_MS / 2_000.0)


async def test_a_change_reaches_all_through_the_watchers(seven):
    n_calls = seven.store.n_calls
    await seven.configure(2)
    await until_in_force(seven, 2, timeout_s=1.0)
    n_new_calls = seven.store.n_calls - n_calls
    assert n_new_calls <= N_WATCHERS + 3  # and some proofs, whatever the fleet size


async def test_a_large_configuration_reaches_all(seven):
    routes = [route(f"r{number}", "safe") for number in range(1_500)]
    await seven.configure(2, routes=routes)
    await until_in_force(seven, 2, timeout_s=2.5)
    assert (await seven.vms[-1].call("/r7/1")).status == 200


async def test_other_nodes_replace_watchers_that_the_store_refuses(seven):
    before = watchers(seven)
    await refuse_store_calls(seven, before)
    await until(lambda: len(watchers(seven)) == 2 * N_WATCHERS, timeout_s=3.0)
    await seven.configure(2)
    await until_in_force(seven, 2, timeout_s=2.5)
    assert {vm.node.config.proof_age_ms() < 4_100.0 for vm in seven.vms} == {True}


async def test_a_node_takes_its_first_configuration_from_others(seven):
    late = next(vm for vm in seven.vms if not vm.node.ranks.is_watcher)
    late.node.config.table = None
    late.node.config_requester.request(late.node.ranks.sources[0])
    await until(lambda: late.node.config.version == 1, timeout_s=1.0)
    assert late.node.config.row_version > 0
