"""Tests of calls through two nodes to an upstream, in one process."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import NamedTuple

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from ibisspoke_node.exchange import BODY_TIMEOUT_MS
from ibisspoke_node.node import Node, running_node
from ibisspoke_node.settings import NodeSettings
from ibisspoke_policy.catalogue import (
    Call,
    Catalogue,
    Importance,
    Key,
    Organisation,
    digest_key,
)
from ibisspoke_policy.clock import Clock
from ibisspoke_standins.upstream import (
    UpstreamSettings,
    UpstreamState,
    announce,
    running_upstream,
)

KEY = "svea-key-1"
CATALOGUE = Catalogue(
    1,
    {
        call.id: call
        for call in (
            Call(
                "ordering.place",
                "ordering",
                "POST",
                "/orders",
                "orders",
                Importance.CRITICAL,
                False,
                max_body_bytes=8_388_608,
                max_answer_bytes=8_388_608,
            ),
            Call(
                "ordering.look",
                "ordering",
                "GET",
                "/orders/*",
                "orders",
                Importance.NORMAL,
                True,
            ),
        )
    },
    {"svea": Organisation("svea", 10_000.0, 1_000.0)},
    {digest_key(KEY): Key(digest_key(KEY), "svea", "first", 0)},
)


class Fleet(NamedTuple):
    entry: Node
    executing: Node
    upstream: UpstreamState

    async def fetch(self, method: str, path: str, **options: object) -> HTTPResponse:
        headers = {"Authorization": f"Bearer {KEY}", **options.pop("headers", {})}
        url = f"http://127.0.0.1:{self.entry.ports.entry}{path}"
        return await AsyncHTTPClient().fetch(
            url, method=method, headers=headers, raise_error=False, **options
        )


def _settings(node_id: str) -> NodeSettings:
    return NodeSettings(
        node_id, "svealand", "svea-1", "127.0.0.1", "", (b"fleet secret",)
    )


@asynccontextmanager
async def running_fleet() -> AsyncIterator[Fleet]:
    clock = Clock()
    upstream_settings = UpstreamSettings("ordering")
    async with AsyncExitStack() as stack:
        entry = await stack.enter_async_context(running_node(_settings("n1"), clock))
        executing = await stack.enter_async_context(
            running_node(_settings("n2"), clock)
        )
        state, port = await stack.enter_async_context(
            running_upstream(upstream_settings)
        )
        await announce(executing.ports.status, upstream_settings, port)
        for node in (entry, executing):
            node.catalogue_in_force.adopt(CATALOGUE)
            node.members_by_id.put("n1", entry.own_member())
            node.members_by_id.put("n2", executing.own_member())
        yield Fleet(entry, executing, state)


async def test_call_is_answered_through_two_nodes_without_the_key():
    async with running_fleet() as fleet:
        response = await fleet.fetch("GET", "/ordering/orders/7")
        assert (response.code, response.body) == (200, b"ok")
        assert KEY not in json.dumps(fleet.upstream.seen_headers)
        assert "Ibisspoke-Context" in fleet.upstream.seen_headers[0]


async def test_large_body_passes_whole_both_ways():
    body = bytes(range(256)) * 32_768
    async with running_fleet() as fleet:
        response = await fleet.fetch(
            "POST",
            "/ordering/orders",
            body=body,
            headers={"Content-Type": "application/octet-stream"},
        )
        assert (response.code, response.body == body) == (200, True)
        assert fleet.entry.budget.n_bytes == 0
        assert fleet.executing.budget.n_bytes == 0
        assert fleet.executing.budget.answers.n_bytes == 0
        assert fleet.entry.budget.answers.n_bytes in (0, len(body))


async def test_answer_that_nobody_reads_is_dropped_in_time():
    async with running_fleet() as fleet:
        body = b"x" * 8_000_000
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", fleet.entry.ports.entry, limit=1_000
        )
        head = (
            f"POST /ordering/orders HTTP/1.1\r\nHost: h\r\n"
            f"Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await reader.readexactly(10)
        answers = fleet.entry.budget.answers
        assert answers.n_bytes == len(body)
        for exchange in list(fleet.entry.entry._exchange_by_connection.values()):
            exchange.close_if_expired(fleet.entry.clock.now_ms() + BODY_TIMEOUT_MS)
        for _ in range(10):
            await asyncio.sleep(0)
        assert answers.n_bytes == 0
        writer.close()


@pytest.mark.parametrize(
    ("path", "headers", "status", "kind"),
    [
        ("/ordering/orders/7", {"Authorization": ""}, 401, "missing_key"),
        ("/ordering/orders/7", {"Authorization": "Bearer no"}, 401, "unknown_key"),
        ("/ordering/nothing", {}, 404, "unknown_route"),
        ("/ordering/orders/7", {"Ibisspoke-Context": "AAAA"}, 401, "unknown_key"),
        ("/ordering/orders/7", {"Ibisspoke-Timeout-Ms": "-1"}, 400, "bad_request"),
    ],
)
async def test_refusals_name_their_kind(path, headers, status, kind):
    async with running_fleet() as fleet:
        response = await fleet.fetch("GET", path, headers=headers)
        problem = json.loads(response.body)
        assert (response.code, problem["kind"]) == (status, kind)
        assert problem["ran"] == "not_run"
        assert problem["remedy"]
        assert not fleet.upstream.seen_headers


async def test_body_above_the_limit_is_refused():
    async with running_fleet() as fleet:
        response = await fleet.fetch("POST", "/ordering/orders", body=b"x" * 8_388_609)
        assert json.loads(response.body)["kind"] == "body_too_large"
        assert not fleet.upstream.seen_headers


async def test_deadline_cancels_the_attempt_below():
    async with running_fleet() as fleet:
        fleet.upstream.can_progress.clear()
        response = await fleet.fetch(
            "POST",
            "/ordering/orders",
            body=b"{}",
            headers={"Ibisspoke-Timeout-Ms": "200"},
        )
        problem = json.loads(response.body)
        assert (response.code, problem["ran"]) == (504, "unknown")
        assert fleet.entry.executor.n_open == 0


async def test_peer_without_the_secret_gets_no_call_through():
    foreign_settings = _settings("n3")._replace(secrets=(b"other secret",))
    async with (
        running_fleet() as fleet,
        running_node(foreign_settings, Clock()) as node,
    ):
        port = fleet.executing.ports.call
        assert await node.links.connect("127.0.0.1", port) is None


async def test_fault_inside_the_node_is_answered_and_may_have_run():
    async def fail(request):
        raise RuntimeError("fault for this test")

    async with running_fleet() as fleet:
        fleet.entry.entry.dispatcher.run = fail
        response = await fleet.fetch("GET", "/ordering/orders/7")
        problem = json.loads(response.body)
        assert (response.code, problem["ran"]) == (502, "unknown")
        assert fleet.entry.entry.n_open == 0


@pytest.mark.parametrize(
    ("method", "key", "ran"),
    [("POST", "o1", "unknown"), ("POST", "", "not_run"), ("GET", "", "not_run")],
)
async def test_refusal_of_a_possible_repeat_has_an_unknown_outcome(method, key, ran):
    path = "/ordering/orders" if method == "POST" else "/ordering/orders/7"
    headers = {"Idempotency-Key": key} if key else {}
    body = b"{}" if method == "POST" else None
    async with running_fleet() as fleet:
        organisation = Organisation("svea", 0.0, 0.0)
        limited = CATALOGUE._replace(
            version=2, organisations_by_id={"svea": organisation}
        )
        fleet.entry.catalogue_in_force.adopt(limited)
        await fleet.fetch("GET", "/ordering/orders/1")
        response = await fleet.fetch(method, path, body=body, headers=headers)
        problem = json.loads(response.body)
        assert (response.code, problem["kind"]) == (429, "rate_exceeded")
        assert problem["ran"] == ran
