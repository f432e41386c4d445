import asyncio
import json

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.simple_httpclient import HTTPStreamClosedError

from ibisspoke_policy.clock import ManualClock
from ibisspoke_standins.upstream import running_upstream
from ibisspoke_standins.upstream_state import UpstreamSettings, UpstreamState


async def fetch(port, path="/orders", number="1", **options):
    headers = {"X-Request-Number": number, **options.pop("headers", {})}
    return await AsyncHTTPClient().fetch(
        f"http://127.0.0.1:{port}{path}",
        headers=headers,
        raise_error=False,
        **options,
    )


async def until(condition):
    for _ in range(10_000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError("the condition never held")


async def test_request_is_counted_and_echoed():
    async with running_upstream(UpstreamSettings("ordering")) as (state, port):
        answer = await fetch(port, method="POST", body=b"lid 7", number="o1")
        assert (answer.code, answer.body) == (200, b"lid 7")
        assert answer.headers["X-Request-Number"] == "o1"
        assert state.n_runs_by_request == {"o1": 1}
        stats = json.loads((await fetch(port, "/_stats")).body)
        assert (stats["n_runs"], stats["doubled"]) == (1, [])


@pytest.mark.parametrize("drained", [True, False])
async def test_drained_or_full_upstream_sheds_without_running(drained):
    settings = UpstreamSettings("ordering", n_slots=1, n_connections=0)
    async with running_upstream(settings) as (state, port):
        state.draining = drained
        answer = await fetch(port)
        assert (answer.code, answer.headers["Ibisspoke-Not-Run"]) == (503, "1")
        assert not state.n_runs_by_request


async def test_stuck_upstream_runs_but_answers_only_after_it_recovers():
    async with running_upstream(UpstreamSettings("ordering")) as (state, port):
        body = json.dumps({"stuck": True, "lying_health": True})
        await fetch(port, "/_faults", method="POST", body=body)
        waiting = asyncio.ensure_future(fetch(port, number="s1"))
        await until(lambda: state.n_runs_by_request["s1"])
        health = json.loads((await fetch(port, "/_health")).body)
        assert health == {"healthy": True, "load": 0.0}
        assert not waiting.done()
        await fetch(port, "/_faults", method="POST", body="{}")
        assert (await waiting).code == 200


async def test_cut_answer_is_shorter_than_stated():
    async with running_upstream(UpstreamSettings("ordering")) as (state, port):
        state.set_faults({"cut_answers": True})
        with pytest.raises(HTTPStreamClosedError):
            await fetch(port, method="POST", body=b"lid 7", number="c1")
        assert state.n_runs_by_request == {"c1": 1}


async def test_caller_that_leaves_cancels_the_execution():
    async with running_upstream(UpstreamSettings("ordering")) as (state, port):
        state.can_progress.clear()
        _, caller = await asyncio.open_connection("127.0.0.1", port)
        caller.write(b"GET /orders HTTP/1.1\r\nHost: ordering\r\n\r\n")
        await until(lambda: state.n_open_requests)
        caller.close()
        await until(lambda: state.n_cancelled)
        assert state.n_open_requests == 0


async def test_deadline_ends_the_execution():
    async with running_upstream(UpstreamSettings("ordering")) as (state, port):
        state.can_progress.clear()
        answer = await fetch(port, headers={"Ibisspoke-Timeout-Ms": "20"})
        assert answer.code == 504
        assert state.n_open_requests == 0


async def test_cold_upstream_is_slower_until_it_is_warm():
    clock = ManualClock()
    settings = UpstreamSettings("ordering", service_ms=2.0, cold_ms=1_000.0)
    state = UpstreamState(settings, clock)
    assert state.service_ms == 10.0
    clock.advance(1_000.0)
    assert state.service_ms == 2.0
    state.set_faults({"restart": True, "extra_ms": 3.0})
    assert state.service_ms == 13.0
