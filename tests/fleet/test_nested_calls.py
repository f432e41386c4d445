"""Nested calls of upstreams take over the priority of their parent requests."""

import asyncio

import pytest
from fleet_harness import document, route, running_fleet, until

from ibisspoke_adapter.configuration import CONFIG_KEY, CONFIG_TABLE
from ibisspoke_standins import fleet_upstream as upstreams

ROUTES = [
    route("urgent", "safe", priority=0),
    route("usual", "safe", priority=1),
    route("late", "safe", priority=3),
    route("inner", "safe", priority=1, public=True),
]


@pytest.fixture
async def vm():
    async with running_fleet(1) as fleet:
        vm = fleet.vms[0]
        vm.upstream.n_slots = 2
        await vm.upstream.announce()
        await fleet.store.put(CONFIG_TABLE, CONFIG_KEY, document(2, routes=ROUTES))
        await until(lambda: vm.node.config.version == 2, 2.0)
        yield vm


async def until_started(vm, *ids: str) -> None:
    await until(
        lambda: set(ids) <= {request.id for request in vm.upstream.executed_requests}
    )


def started_ids(vm) -> list[str]:
    return [request.id for request in vm.upstream.executed_requests]


async def start_order(vm, parent_path: str, nested_id: str) -> list[str]:
    """Queue a direct and a nested call behind two requests; return their order."""
    vm.upstream.execution_s = 0.4
    calls = [
        vm.call(parent_path, request_id="parent"),
        vm.call("/usual/", request_id="other"),
    ]
    tasks = [asyncio.ensure_future(call) for call in calls]
    await until_started(vm, "parent", "other")
    direct = vm.call("/usual/", request_id="direct")
    nested = vm.call("/inner/", request_id=nested_id, key=None)
    tasks += [asyncio.ensure_future(call) for call in (direct, nested)]
    await asyncio.gather(*tasks)
    return [name for name in started_ids(vm) if name not in ("parent", "other")]


async def test_a_call_for_a_usual_request_runs_before_other_requests(vm):
    vm.node.dispatcher.queue.limit = 2
    assert await start_order(vm, "/usual/", "parent.1") == ["parent.1", "direct"]


async def test_a_call_for_a_late_request_waits_behind_more_urgent_ones(vm):
    assert await start_order(vm, "/late/", "parent.1") == ["direct", "parent.1"]


async def test_a_call_of_unknown_parent_runs_first(vm):
    assert await start_order(vm, "/late/", "nobody.1") == ["nobody.1", "direct"]


async def test_pressure_is_reported_only_for_the_route_that_starves(vm):
    vm.upstream.behaviour = hold_and_fail
    parent = asyncio.ensure_future(vm.call("/usual/", request_id="parent"))
    other = asyncio.ensure_future(vm.call("/late/", request_id="other"))
    await until_started(vm, "parent", "other")
    vm.node.dispatcher.queue.is_leaving = True  # the nested call finds no capacity
    nested = await vm.call("/inner/", request_id="parent.1", key=None)
    assert nested.status == 503
    vm.node.dispatcher.queue.is_leaving = False
    assert (await parent).status == (await other).status == 500
    pressures = dict(vm.node.dispatcher.load().pressures)
    assert pressures.get("usual", 0.0) > 0.0
    assert "late" not in pressures


async def hold_and_fail(upstream, request, writer):
    upstream.executed_requests.append(request)
    await asyncio.sleep(0.4)
    writer.write(
        upstreams.stamped_answer(
            request, upstream.instance, b"500 Internal Server Error"
        )
    )
    return True
