"""Answers that are lost deep in a tree of calls.

Each search calls 12 reads of another service. Guards against failing most of the
searches while 5 in 100 answers of that service are lost, and against repeating searches
where a read can be repeated.
"""

import asyncio
import functools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from fleet_harness import Fleet, Vm, document, route, running_fleet, until

from ibisspoke_adapter.configuration import CONFIG_KEY, CONFIG_TABLE
from ibisspoke_mesh.frames import Outcome, OutcomeKind
from ibisspoke_mesh.node import Node
from ibisspoke_standins import fleet_upstream as upstreams
from ibisspoke_standins.fleet_upstream import Behaviour, FleetUpstream, ReceivedRequest

N_READS = 12
N_SEARCHES = 40
LOST_EVERY = 20  # requests of the service, which is 5 in 100
ROUTES = [
    route("lookup", "safe"),
    route("inner", "safe", public=True, service="stock"),
    route("order", "non_idempotent", service="stock"),
]


class LossyService:
    """Loses the answer to every n-th request at the upstreams that share it."""

    def __init__(self, loss: Behaviour) -> None:
        self.loss = loss
        self.is_losing = False
        self.n_requests = 0

    async def __call__(
        self,
        upstream: FleetUpstream,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self.n_requests += 1
        if self.is_losing and self.n_requests % LOST_EVERY == 0:
            return await self.loss(upstream, request, writer)
        return await upstreams.answer(upstream, request, writer)


def searching(first: Vm, parent: str | None = None) -> Behaviour:
    """Return a behaviour that calls the reads, and fails if one of them fails.

    :param parent: named in the ids of the calls instead of the search.
    """

    async def search(
        upstream: FleetUpstream, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        upstream.executed_requests.append(request)
        reads = [
            first.call(
                "/inner/", request_id=f"{parent or request.id}.{number}", key=None
            )
            for number in range(N_READS)
        ]
        answers = await asyncio.gather(*reads)
        is_whole = all(answer.status == 200 for answer in answers)
        status = b"200 OK" if is_whole else b"500 Internal Server Error"
        writer.write(upstreams.stamped_answer(request, upstream.instance, status))
        return True

    return search


@asynccontextmanager
async def searches(by_calls: bool = True, slack: float = 4.0) -> AsyncIterator[Fleet]:
    """Two VMs that search, and two that are read; callers use the first."""
    services = ("shop", "stock", "shop", "stock")
    changes = {"retries_by_calls": by_calls, "retry_slack": slack}
    async with running_fleet(4, services=services, **changes) as fleet:
        await fleet.store.put(CONFIG_TABLE, CONFIG_KEY, document(2, routes=ROUTES))
        await until(lambda: all(vm.node.config.version == 2 for vm in fleet.vms))
        for vm in fleet.vms:
            vm.upstream.n_slots = 50
            await vm.upstream.announce()
        for vm in fleet.vms[::2]:
            vm.upstream.behaviour = searching(vm)
        yield fleet


def lose(fleet: Fleet, loss: Behaviour) -> LossyService:
    service = LossyService(loss)
    for vm in fleet.vms[1::2]:
        vm.upstream.behaviour = service
    return service


async def search_all(first: Vm) -> list[int]:
    return [(await first.call()).status for _ in range(N_SEARCHES)]


async def learn(fleet: Fleet) -> None:
    """Let the nodes of both searching upstreams learn what requests cause."""
    for vm in fleet.vms[::2]:
        for _ in range(4):
            for number in range(N_READS):
                name = f"{vm.host}.{number}"
                await vm.call("/inner/", request_id=name, key=None)
    for _ in range(30):
        assert (await fleet.vms[0].call()).status == 200


@pytest.mark.parametrize("loss", [upstreams.lose_answer, upstreams.hang])
async def test_searches_survive_lost_answers_of_reads(loss):
    async with searches() as fleet:
        service = lose(fleet, loss)
        await learn(fleet)
        before = service.n_requests
        service.is_losing = True
        statuses = await search_all(fleet.vms[0])
        assert statuses.count(200) >= 0.95 * N_SEARCHES
        n_first = N_SEARCHES * N_READS
        assert service.n_requests - before <= 1.2 * n_first + 4


async def test_without_the_setting_reruns_have_the_small_part_of_the_budget():
    async with searches(by_calls=False) as fleet:
        service = lose(fleet, upstreams.lose_answer)
        await learn(fleet)
        service.is_losing = True
        await search_all(fleet.vms[0])
        for vm in fleet.vms[::2]:
            assert vm.node.metrics.retry_decisions["rerun", "no budget"] > 0


async def test_nodes_learn_what_requests_cause():
    async with searches() as fleet:
        await learn(fleet)
        known = fleet.vms[0].node.request_handler.retries.call_trees
        assert known.is_leaf("stock", "inner")
        assert known.mean_calls("shop", "lookup") == pytest.approx(N_READS)


async def test_calls_that_name_no_running_request_make_no_leaf_of_any():
    # Guards against repeating trees whose calls cannot be told apart.
    async with searches() as fleet:
        for vm in fleet.vms[::2]:
            vm.upstream.behaviour = searching(vm, parent="nobody")
        await learn(fleet)
        known = fleet.vms[0].node.request_handler.retries.call_trees
        assert known.mean_calls("shop", "lookup") is None


async def test_a_search_is_not_repeated_for_a_read_that_was():
    async with searches() as fleet:
        lose(fleet, upstreams.answer)
        await learn(fleet)
        for vm in fleet.vms[1::2]:
            vm.upstream.behaviour = upstreams.fail
        searching_vms = fleet.vms[::2]
        before = sum(len(vm.upstream.executed_requests) for vm in searching_vms)
        assert (await fleet.vms[0].call()).status == 500
        after = sum(len(vm.upstream.executed_requests) for vm in searching_vms)
        assert after - before == 1
        decisions = fleet.vms[0].node.metrics.retry_decisions
        assert decisions["rerun", "left to the call below"] == 1


async def test_a_search_whose_own_answer_is_lost_is_repeated():
    async with searches(slack=100.0) as fleet:
        lose(fleet, upstreams.answer)
        await learn(fleet)
        first, other = fleet.vms[::2]
        service = LossyService(upstreams.lose_answer)
        service.is_losing, service.n_requests = True, LOST_EVERY - 1
        first.upstream.behaviour = other.upstream.behaviour = service
        assert (await first.call()).status == 200
        decisions = first.node.metrics.retry_decisions
        assert decisions["rerun", "made"] == 1


async def test_an_order_without_an_answer_is_never_sent_twice():
    async with searches() as fleet:
        lose(fleet, upstreams.answer)
        for _ in range(40):
            order = await fleet.vms[0].call("/order/1", method="POST", body=b"x")
            assert order.status == 200
        for vm in fleet.vms[1::2]:
            vm.upstream.executed_requests.clear()
            vm.upstream.behaviour = upstreams.hang
        order = await fleet.vms[0].call("/order/1", method="POST", body=b"x")
        assert order.status == 504
        assert sum(len(vm.upstream.executed_requests) for vm in fleet.vms[1::2]) == 1


async def test_a_read_that_is_slowed_is_sent_once():
    # Guards against second attempts while other programs slow a VM 2.5 times.
    async with searches() as fleet:
        stock = fleet.vms[1::2]
        for vm in stock:
            vm.upstream.execution_s = 0.03
        await learn(fleet)
        for vm in stock:
            vm.upstream.execution_s = 0.075
            vm.upstream.executed_requests.clear()
        for number in range(20):
            name = f"slow.{number}"
            await fleet.vms[0].call("/inner/", request_id=name, key=None)
        assert sum(len(vm.upstream.executed_requests) for vm in stock) == 20


async def answer_slowly(
    upstream: FleetUpstream, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> bool:
    upstream.execution_s = 0.4
    return await upstreams.answer(upstream, request, writer)


def first_then(first: Behaviour, others: Behaviour) -> Behaviour:
    """Return the behaviour of upstreams towards the attempts of each request."""
    seen: set[str] = set()

    async def respond(
        upstream: FleetUpstream, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        behaviour = others if request.id in seen else first
        seen.add(request.id)
        return await behaviour(upstream, request, writer)

    return respond


def refuse_second_attempts(nodes: list[Node]) -> None:
    """Let the nodes refuse attempts of requests that one of them has taken."""
    taken: set[bytes] = set()

    def submit_once(submit, attempt, on_outcome):
        if attempt.request_id in taken:
            refusal = Outcome(OutcomeKind.REFUSED, reason="queue is full")
            asyncio.get_running_loop().call_soon(on_outcome, refusal)
            return 0
        taken.add(attempt.request_id)
        return submit(attempt, on_outcome)

    for node in nodes:
        submit = node.dispatcher.submit
        node.dispatcher.submit = functools.partial(submit_once, submit)


@pytest.mark.parametrize("second", ["refused", "fails", "ends"])
async def test_a_read_is_not_given_up_for_a_second_attempt_that_fails(second):
    """Guards against a 502 for a request whose upstream is at work (LOST)."""
    async with searches() as fleet:
        stock = fleet.vms[1::2]
        await learn(fleet)
        if second == "refused":
            refuse_second_attempts([vm.node for vm in stock])
        end = upstreams.lose_answer if second == "ends" else upstreams.fail
        behaviour = first_then(answer_slowly, end)
        for vm in stock:
            vm.upstream.behaviour = behaviour
            vm.upstream.executed_requests.clear()
        decisions = fleet.vms[0].node.metrics.retry_decisions
        n_made = decisions["hedge", "made"]
        answer = await fleet.vms[0].call("/inner/", request_id="long.1", key=None)
        assert answer.status == 200
        assert decisions["hedge", "made"] == n_made + 1
        n_runs = sum(len(vm.upstream.executed_requests) for vm in stock)
        assert n_runs == (1 if second == "refused" else 2)


async def test_an_error_in_hand_is_passed_on_where_nothing_better_comes():
    async with searches() as fleet:
        stock = fleet.vms[1::2]
        await learn(fleet)
        behaviour = first_then(upstreams.hang, upstreams.fail)
        for vm in stock:
            vm.upstream.behaviour = behaviour
        answer = await fleet.vms[0].call("/inner/", request_id="long.1", key=None)
        assert answer.status == 500
        assert answer.headers["x-server-stamp"]
