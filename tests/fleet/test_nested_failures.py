"""What a node concludes about its upstream when calls that it makes fail.

Guards against refusing requests early, and against avoiding upstreams, because of
failures that neither is the reason for.
"""

import asyncio
from collections.abc import AsyncIterator

import pytest
from fleet_harness import Vm, document, route, running_fleet, until

from ibisspoke_adapter.configuration import CONFIG_KEY, CONFIG_TABLE
from ibisspoke_policy.upstream_queue import Load
from ibisspoke_standins import fleet_upstream as upstreams
from ibisspoke_standins.fleet_upstream import FleetUpstream, ReceivedRequest

N_REQUESTS = 20
ROUTES = [
    route("lookup", "safe"),
    route("inner", "safe", public=True, service="stock"),
]


@pytest.fixture
async def chain() -> AsyncIterator[tuple[Vm, Vm]]:
    """Two VMs; the upstream of the first calls the service of the second."""
    async with running_fleet(2, services=("shop", "stock")) as fleet:
        first, second = fleet.vms
        changed = document(2, routes=ROUTES)
        await fleet.store.put(CONFIG_TABLE, CONFIG_KEY, changed)
        await until(lambda: all(vm.node.config.version == 2 for vm in fleet.vms))

        async def call_and_answer(
            upstream: FleetUpstream,
            request: ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> bool:
            nested = await first.call("/inner/", request_id=f"{request.id}.1", key=None)
            status = b"200 OK" if nested.status == 200 else b"500 Internal Server Error"
            writer.write(upstreams.stamped_answer(request, upstream.instance, status))
            return True

        first.upstream.behaviour = call_and_answer
        yield first, second


async def load_after_requests(first: Vm) -> Load:
    for _ in range(N_REQUESTS):
        await first.call()
    return first.node.dispatcher.load()


async def test_a_failed_call_is_no_failure_of_the_upstream_that_made_it(chain):
    first, second = chain
    second.upstream.behaviour = upstreams.fail
    load = await load_after_requests(first)
    assert load.failure_share == 0.0
    assert dict(load.pressures).get("lookup", 0.0) == 0.0
    assert second.node.dispatcher.load().failure_share > 0.5


async def test_a_call_that_an_idle_upstream_rejects_is_no_lack_of_capacity(chain):
    first, second = chain
    second.upstream.behaviour = upstreams.shed
    load = await load_after_requests(first)
    assert dict(load.pressures).get("lookup", 0.0) == 0.0
    responses = [await first.call() for _ in range(N_REQUESTS)]
    assert {response.status for response in responses} == {500}  # none refused early
    second.upstream.behaviour = upstreams.answer
    assert (await first.call()).status == 200


async def test_a_call_that_finds_no_free_slot_is_a_lack_of_capacity(chain):
    first, second = chain
    second.node.dispatcher.queue.is_leaving = True
    load = await load_after_requests(first)
    assert dict(load.pressures)["lookup"] > 0.3


async def test_a_call_that_a_saturated_upstream_rejects_is_a_lack_of_capacity(chain):
    first, second = chain
    second.upstream.n_slots = 1
    await second.upstream.announce()
    second.upstream.behaviour = upstreams.shed
    load = await load_after_requests(first)
    assert dict(load.pressures)["lookup"] > 0.3
