"""Calls through real nodes under faults of upstreams, connections and nodes."""

import asyncio
import json
import uuid
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import NamedTuple

import pytest
from tornado.httputil import HTTPHeaders

from ibisspoke_node.buffer_budget import BufferBudget
from ibisspoke_node.executor import Announcement
from ibisspoke_node.headers import CONTEXT_HEADER
from ibisspoke_node.node import Node, running_node
from ibisspoke_node.settings import NodeSettings
from ibisspoke_node.upstream_client import (
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
)
from ibisspoke_policy.admission import Capacity
from ibisspoke_policy.catalogue import (
    Call,
    Catalogue,
    Importance,
    Key,
    Organisation,
    digest_key,
)
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.idempotency import ClaimSettings
from ibisspoke_standins.chain_upstream import (
    NUMBER_HEADER,
    AnswerFault,
    ChainSettings,
    ChainState,
    running_chain_upstream,
)

HOST = "127.0.0.1"
MAX_ANSWER_BYTES = 16_777_216
MAX_RETRIES = 3
CHAIN = ("front", "middle", "back")


def _call(service: str, method: str, path: str, idempotent: bool) -> Call:
    call_id = f"{service}.{method}{path}"
    return Call(
        call_id,
        service,
        method,
        path,
        "team",
        Importance.NORMAL,
        idempotent,
        timeout_ms=4_000,
        max_retries=MAX_RETRIES,
    )


CALLS = [
    call
    for service in CHAIN
    for call in (
        _call(service, "GET", "/deep", True),
        _call(service, "POST", "/order", False),
    )
]
KEYS = {digest_key("key"): Key(digest_key("key"), "svea", "", 0)}
CATALOGUE = Catalogue(
    1,
    {call.id: call for call in CALLS},
    {"svea": Organisation("svea", 1e6, 1e6)},
    KEYS,
)


class Server(NamedTuple):
    node: Node
    state: ChainState
    entry: UpstreamClient

    async def fetch(
        self, method: str, path: str, timeout_ms: int = 4_000, **headers: str
    ) -> UpstreamAnswer:
        passed = [
            ("Authorization", "Bearer key"),
            ("Ibisspoke-Timeout-Ms", str(timeout_ms)),
            *((name.replace("_", "-"), value) for name, value in headers.items()),
        ]
        request = UpstreamRequest(method, path, passed, b"", 65_536)
        return (await self.entry.fetch(request)).unwrap()


def _settings(node_id: str) -> NodeSettings:
    return NodeSettings(node_id, "r", "dc", HOST, "", (b"secret",))


class Fleet:
    """Servers by service; each is a node with its upstream."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self.servers_by_service: dict[str, list[Server]] = {}
        self._stack = stack
        self._clock = Clock()

    async def add(self, service: str, index: int, service_ms: float = 5.0) -> Server:
        settings = _settings(f"{service}{index}")
        node = await self._stack.enter_async_context(
            running_node(settings, self._clock)
        )
        node.catalogue_in_force.adopt(CATALOGUE)
        state = ChainState(ChainSettings(service, 4, service_ms))
        port = await self._stack.enter_async_context(running_chain_upstream(state))
        node.announce(Announcement(service, HOST, port, Capacity(4, 40)))
        entry = UpstreamClient(
            HOST, node.ports.entry, self._clock, BufferBudget(MAX_ANSWER_BYTES)
        )
        server = Server(node, state, entry)
        if service != CHAIN[-1]:
            following = CHAIN[CHAIN.index(service) + 1]
            state.nested_call = _deeper(entry, following)
        self.servers_by_service.setdefault(service, []).append(server)
        return server

    def join(self) -> None:
        servers = [
            s
            for servers_of_service in self.servers_by_service.values()
            for s in servers_of_service
        ]
        for server in servers:
            for other in servers:
                member = other.node.own_member()
                server.node.members_by_id.put(member.id, member)

    def backdate_start(self) -> None:
        """Backdate the start of every node, so that it knows the keys that it owns."""
        horizon_ms = ClaimSettings().horizon_ms
        for servers in self.servers_by_service.values():
            for server in servers:
                server.node.handler.claims._started_ms -= horizon_ms
                for owners in server.node.handler._key_owners._owners_by_scope.values():
                    owners._joined_ms_by_id = dict.fromkeys(
                        owners._joined_ms_by_id, float("-inf")
                    )


def _deeper(entry: UpstreamClient, following: str):
    async def call(headers: HTTPHeaders, path: str) -> int:
        passed = [
            (NUMBER_HEADER, headers.get(NUMBER_HEADER, "")),
            (CONTEXT_HEADER, headers.get(CONTEXT_HEADER, "")),
        ]
        request = UpstreamRequest("GET", f"/{following}/deep", passed, b"", 65_536)
        result = await entry.fetch(request)
        return result.ok_value.status if result.is_ok() else 502

    return call


@asynccontextmanager
async def running_fleet(*services: str, n_servers: int = 1) -> AsyncIterator[Fleet]:
    async with AsyncExitStack() as stack:
        fleet = Fleet(stack)
        for service in services:
            for index in range(n_servers):
                await fleet.add(service, index)
        fleet.join()
        yield fleet


def n_runs(fleet: Fleet, service: str, number: str) -> int:
    servers = fleet.servers_by_service[service]
    return sum(server.state.n_runs_by_number[number] for server in servers)


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.005)


SILENT_FAULTS = [
    AnswerFault.SILENT,
    AnswerFault.SILENT_AFTER_ONE_BYTE,
    AnswerFault.SILENT_AFTER_HALF,
]


@pytest.mark.parametrize("fault", SILENT_FAULTS)
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_silent_connection_ends_in_unknown_and_keeps_the_upstream_in_use(
    fault, method
):
    async with running_fleet("back") as fleet:
        server = fleet.servers_by_service["back"][0]
        path = "/back/deep" if method == "GET" else "/back/order"
        assert (await server.fetch("GET", "/back/deep")).status == 200
        server.state.fault = fault
        answer = await server.fetch(method, path, 150, X_Request_Number="1")
        assert json.loads(answer.body)["ran"] == "unknown"
        server.state.fault = AnswerFault.NONE
        after = await server.fetch(method, path, X_Request_Number="2")
        assert (after.status, after.body) == (200, b"answer to 2")
        assert n_runs(fleet, "back", "1") == 1


@pytest.mark.parametrize("fault", [AnswerFault.TRUNCATED, AnswerFault.CROSSED])
async def test_broken_answer_of_an_order_is_unknown_and_never_run_again(fault):
    async with running_fleet("back", n_servers=2) as fleet:
        server = fleet.servers_by_service["back"][0]
        for other in fleet.servers_by_service["back"]:
            other.state.fault = fault
        answer = await server.fetch("POST", "/back/order", X_Request_Number="1")
        problem = json.loads(answer.body)
        assert (problem["kind"], problem["ran"]) == ("outcome_unknown", "unknown")
        assert n_runs(fleet, "back", "1") == 1


@pytest.mark.parametrize("fault", [AnswerFault.TRUNCATED, AnswerFault.CROSSED])
async def test_broken_answer_of_an_idempotent_call_is_retried_elsewhere(fault):
    async with running_fleet("back", n_servers=2) as fleet:
        server, other = fleet.servers_by_service["back"]
        server.state.fault = fault
        answer = await server.fetch("GET", "/back/deep", X_Request_Number="1")
        assert (answer.status, answer.body) == (200, b"answer to 1")
        assert n_runs(fleet, "back", "1") == 2
        assert other.state.n_runs_by_number["1"] == 1


async def test_doubled_answer_is_not_taken_for_that_of_the_next_request():
    async with running_fleet("back") as fleet:
        server = fleet.servers_by_service["back"][0]
        for number in ("1", "2", "3"):
            server.state.fault = AnswerFault.DOUBLED
            answer = await server.fetch("GET", "/back/deep", X_Request_Number=number)
            assert answer.body == f"answer to {number}".encode()
            server.state.fault = AnswerFault.NONE
            answer = await server.fetch("GET", "/back/deep", X_Request_Number="x")
            assert answer.body == b"answer to x"


async def test_late_answer_is_not_taken_for_that_of_the_next_request():
    async with running_fleet("back") as fleet, AsyncExitStack() as stack:
        entry = await Fleet(stack).add("front", 9)
        server = fleet.servers_by_service["back"][0]
        entry.node.members_by_id.put("back0", server.node.own_member())
        server.state.extra_ms = 200.0
        late = await entry.fetch("POST", "/back/order", 60, X_Request_Number="1")
        assert json.loads(late.body)["ran"] == "unknown"
        server.state.extra_ms = 0.0
        for number in ("2", "3"):
            answer = await entry.fetch("GET", "/back/deep", X_Request_Number=number)
            assert answer.body == f"answer to {number}".encode()


async def test_stuck_upstream_is_aborted_and_works_again_by_itself():
    async with running_fleet("back") as fleet:
        server = fleet.servers_by_service["back"][0]
        await server.fetch("GET", "/back/deep")
        server.state.hang()
        hanging = [
            asyncio.ensure_future(server.fetch("POST", "/back/order")) for _ in range(4)
        ]
        answers = await asyncio.gather(*hanging)
        assert {json.loads(answer.body)["ran"] for answer in answers} == {"unknown"}
        assert server.state.n_open_requests == 0
        refused = await server.fetch("POST", "/back/order")
        assert json.loads(refused.body)["ran"] == "not_run"
        server.state.resume()
        while (await server.fetch("GET", "/back/deep")).status != 200:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        assert (await server.fetch("POST", "/back/order")).status == 200


async def test_request_shed_by_its_upstream_runs_on_another():
    async with running_fleet("back", n_servers=2) as fleet:
        server, other = fleet.servers_by_service["back"]
        server.state.fault = AnswerFault.SHED
        answer = await server.fetch("POST", "/back/order", X_Request_Number="1")
        assert answer.status == 200
        assert other.state.n_runs_by_number["1"] == 1


async def test_draining_upstream_sends_callers_elsewhere():
    async with running_fleet("back", n_servers=2) as fleet:
        server, other = fleet.servers_by_service["back"]
        announced = server.node.executor.announcement
        capacity = announced.capacity._replace(draining=True)
        server.node.executor.announce(announced._replace(capacity=capacity))
        for number in range(5):
            answer = await server.fetch(
                "POST", "/back/order", X_Request_Number=str(number)
            )
            assert answer.status == 200
        assert sum(other.state.n_runs_by_number.values()) == 5


async def test_retries_of_a_deep_tree_are_bounded_by_one_allowance():
    async with running_fleet(*CHAIN) as fleet:
        fleet.servers_by_service["back"][0].state.fault = AnswerFault.TRUNCATED
        front = fleet.servers_by_service["front"][0]
        answer = await front.fetch("GET", "/front/deep", X_Request_Number="1")
        assert answer.status >= 500
        runs = [n_runs(fleet, service, "1") for service in CHAIN]
        assert sum(runs) <= len(CHAIN) + MAX_RETRIES
        assert runs[2] > 1


async def test_caller_that_leaves_cancels_the_whole_chain():
    async with running_fleet(*CHAIN) as fleet:
        back = fleet.servers_by_service["back"][0]
        back.state.hang()
        front = fleet.servers_by_service["front"][0]
        call = asyncio.ensure_future(front.fetch("GET", "/front/deep"))
        await wait_until(lambda: back.state.n_open_requests > 0)
        call.cancel()
        states = [s[0].state for s in fleet.servers_by_service.values()]
        await wait_until(lambda: not any(state.n_open_requests for state in states))
        for servers in fleet.servers_by_service.values():
            assert servers[0].state.n_cancelled == 1


async def test_nested_call_of_an_ended_attempt_is_not_run():
    async with running_fleet("front", "middle") as fleet:
        front = fleet.servers_by_service["front"][0]
        seen: list[str] = []

        async def keep_context(headers: HTTPHeaders, path: str) -> int:
            seen.append(headers[CONTEXT_HEADER])
            return 200

        front.state.nested_call = keep_context
        await front.fetch("GET", "/front/deep")
        late = await front.fetch("GET", "/middle/deep", Ibisspoke_Context=seen[0])
        problem = json.loads(late.body)
        assert (problem["kind"], problem["ran"]) == ("cancelled", "not_run")
        assert not fleet.servers_by_service["middle"][0].state.n_runs_by_number


@pytest.mark.parametrize(("method", "path"), [("GET", "deep"), ("POST", "order")])
async def test_node_that_dies_mid_call(method, path):
    async with running_fleet("back", n_servers=2) as fleet, AsyncExitStack() as stack:
        entry = await Fleet(stack).add("front", 9)
        failing, other = fleet.servers_by_service["back"]
        members = entry.node.members_by_id
        members.put("back0", failing.node.own_member())
        failing.state.hang()
        call = asyncio.ensure_future(
            entry.fetch(method, f"/back/{path}", X_Request_Number="1")
        )
        await wait_until(lambda: failing.state.n_open_requests > 0)
        members.put("back1", other.node.own_member())
        entry.node.links.discard(HOST, failing.node.ports.call)
        answer = await call
        if method == "GET":
            assert answer.status == 200
            assert other.state.n_runs_by_number["1"] == 1
        else:
            assert json.loads(answer.body)["ran"] == "unknown"
            assert not other.state.n_runs_by_number["1"]


async def test_repeat_over_another_entry_joins_the_running_order():
    async with running_fleet("back", n_servers=3) as fleet:
        servers = fleet.servers_by_service["back"]
        for server in servers:
            await server.fetch("POST", "/back/order", Idempotency_Key="warm")
        fleet.backdate_start()
        for number in range(4):
            sends = [
                server.fetch(
                    "POST",
                    "/back/order",
                    Idempotency_Key=f"order-{number}",
                    X_Request_Number=str(number),
                )
                for server in servers
            ]
            answers = await asyncio.gather(*sends)
            repeat = await servers[number % 3].fetch(
                "POST", "/back/order", Idempotency_Key=f"order-{number}"
            )
            bodies = {answer.body for answer in (*answers, repeat)}
            assert bodies == {f"answer to {number}".encode()}
            assert n_runs(fleet, "back", str(number)) == 1


async def test_new_owner_answers_unknown_for_a_key_that_it_cannot_know():
    async with running_fleet("back", n_servers=1) as fleet:
        server = fleet.servers_by_service["back"][0]
        answer = await server.fetch(
            "POST", "/back/order", Idempotency_Key="k", X_Request_Number="1"
        )
        assert json.loads(answer.body)["ran"] == "unknown"
        assert n_runs(fleet, "back", "1") == 0


async def test_order_whose_caller_left_is_finished_for_its_repeat():
    async with running_fleet("back") as fleet:
        server = fleet.servers_by_service["back"][0]
        await server.fetch("POST", "/back/order", Idempotency_Key="warm")
        fleet.backdate_start()
        server.state.hang()
        key = str(uuid.UUID(int=5))
        first = asyncio.ensure_future(
            server.fetch(
                "POST", "/back/order", Idempotency_Key=key, X_Request_Number="1"
            )
        )
        await wait_until(lambda: server.state.n_open_requests > 0)
        first.cancel()
        second = asyncio.ensure_future(
            server.fetch("POST", "/back/order", Idempotency_Key=key)
        )
        await asyncio.sleep(0.05)
        server.state.resume()
        assert (await second).body == b"answer to 1"
        assert n_runs(fleet, "back", "1") == 1


async def test_silent_link_between_nodes_is_replaced_and_the_call_retried():
    async with running_fleet("back") as fleet, AsyncExitStack() as stack:
        entry = await Fleet(stack).add("front", 9)
        target = fleet.servers_by_service["back"][0]
        entry.node.members_by_id.put("back0", target.node.own_member())
        await entry.fetch("GET", "/back/deep")
        link = entry.node.links.open_link(HOST, target.node.ports.call)
        link._transport.pause_reading()
        answer = await entry.fetch("GET", "/back/deep", X_Request_Number="1")
        assert answer.status == 200
        assert link.closed
