import random
import socket
import uuid
from contextlib import asynccontextmanager

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from ibisspoke_policy.clock import Clock, ManualClock
from ibisspoke_standins.callers import Caller, CallKind, make_uuid7

ORDER = CallKind("order", "POST", "/orders", 200.0, is_order=True, n_bytes=100)
PROBLEM = {
    "kind": "overloaded",
    "ran": "not_run",
    "detail": "",
    "remedy": "",
    "retry_after_ms": 1,
    "request_id": "r",
}


class Entry(RequestHandler):
    behaviour = "echo"
    seen = []

    def post(self):
        number = self.request.headers["X-Request-Number"]
        self.seen.append((number, self.request.headers.get("Idempotency-Key")))
        if self.behaviour == "cut":
            self.detach().close()
            return
        if self.behaviour == "refuse" and number.endswith(".1"):
            self.set_status(503)
            self.set_header("Content-Type", "application/problem+json")
            self.finish(PROBLEM)
            return
        crossed = self.behaviour == "cross"
        self.set_header("X-Request-Number", "other" if crossed else number)
        self.finish(self.request.body)


@asynccontextmanager
async def running_entry(behaviour):
    handler = type("_Entry", (Entry,), {"behaviour": behaviour, "seen": []})
    server = HTTPServer(Application([("/orders", handler)], log_function=id))
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    yield handler, sockets[0].getsockname()[1]
    server.stop()
    await server.close_all_connections()


async def outcomes_of(ports):
    outcomes = []
    caller = Caller("c", "svea", "k", ports, outcomes, Clock(), random.Random(1))
    await caller.run([ORDER], 50.0)
    assert outcomes
    return outcomes


async def test_whole_answers_are_good_over_kept_connections():
    async with running_entry("echo") as (_, port):
        outcomes = await outcomes_of([port])
    assert all(outcome.is_good for outcome in outcomes)


async def test_answer_to_another_request_is_not_whole():
    async with running_entry("cross") as (_, port):
        outcomes = await outcomes_of([port])
    assert not any(outcome.is_complete for outcome in outcomes)


async def test_refused_order_is_repeated_with_its_idempotency_key():
    async with running_entry("refuse") as (handler, port):
        outcomes = await outcomes_of([port])
    assert [o.refusal for o in outcomes if o.number.endswith(".1")] != []
    assert all(o.is_good for o in outcomes if o.number.endswith(".2"))
    key_by_request = {}
    for number, key in handler.seen:
        request = number.rpartition(".")[0]
        assert key_by_request.setdefault(request, key) == key
    assert len(set(key_by_request.values())) == len(key_by_request)


def test_idempotency_keys_tell_when_they_were_made():
    clock = ManualClock(1_700_000_000_123.0)
    made = uuid.UUID(make_uuid7(clock, random.Random(1)))
    assert (made.version, made.variant) == (7, uuid.RFC_4122)
    assert made.int >> 80 == 1_700_000_000_123


async def test_cut_connection_is_recorded_as_unknown_and_not_repeated():
    async with running_entry("cut") as (handler, port):
        outcomes = await outcomes_of([port])
    assert {outcome.refusal for outcome in outcomes} == {"no_reply"}
    assert {outcome.ran for outcome in outcomes} == {"unknown"}
    assert all(number.endswith(".1") for number, _ in handler.seen)


async def test_caller_moves_on_from_an_entry_that_refuses_to_connect():
    async with running_entry("echo") as (_, port):
        with socket.socket() as not_listening:
            not_listening.bind(("127.0.0.1", 0))
            outcomes = await outcomes_of([not_listening.getsockname()[1], port])
    assert all(outcome.is_good for outcome in outcomes)
