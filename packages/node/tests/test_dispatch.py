"""Outcome of a request after several attempts, on fake nodes."""

import pytest
from result import Err, Ok

from ibisspoke_node.claims import KeyOwnerDirectory
from ibisspoke_node.dispatch import Dispatcher, Request
from ibisspoke_node.messages import Answer, Refused
from ibisspoke_node.parent_attempts import ParentTable
from ibisspoke_policy.admission import AdmissionLevel
from ibisspoke_policy.catalogue import Call, Importance
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.context import RequestContext
from ibisspoke_policy.early_shedding import CallChainLevels, EarlyShedder
from ibisspoke_policy.refusal import Ran, RefusalKind, outcome_unknown, overloaded
from ibisspoke_policy.table import Table
from ibisspoke_standins.sample_member import sample_member

FULL = AdmissionLevel(1.0, 0, 0, 100)
UNKNOWN = Err(Refused(outcome_unknown("the connection broke"), FULL))
NOT_RUN = Err(Refused(overloaded("no slot", 100), FULL))
ANSWER = Ok(Answer(200, "OK", [], b"ok", FULL))


class ScriptedRouter:
    """Choose this node while scripted outcomes are left."""

    def __init__(self, outcomes, wait_ms=None):
        self.outcomes = list(outcomes)
        self.wait_ms = wait_ms

    def choose(self, query, now_ms):
        return sample_member("n0") if self.outcomes else None

    def link_wait_ms(self, query, now_ms):
        return self.wait_ms

    def sent(self, member_id, now_ms):
        pass

    def done(self, member_id, level, now_ms):
        pass

    def count_bytes(self, member_id, n_bytes, now_ms):
        pass

    def is_in_other_region(self, member):
        return False

    def submit(self, attempt, body, done):
        done(self.outcomes.pop(0))
        return 1

    def cancel(self, attempt_id):
        pass


class UnreachableLinks:
    """A link pool that reaches no node."""

    def open_link(self, host, port):
        return None

    async def verified_link(self, host, port):
        return None


def make_request(clock, idempotent, key=""):
    call = Call(
        "ordering.look",
        "ordering",
        "GET" if idempotent else "POST",
        "/orders",
        "orders",
        Importance.NORMAL,
        idempotent,
    )
    context = RequestContext("r1", "svea", Importance.NORMAL, 0.0, 0.0, 3, 0, "")
    return Request(call, context, "/orders", [], key, b"", clock.now_ms() + 60_000)


async def run(outcomes, idempotent, key="", members=("n0",), wait_ms=None):
    clock = Clock()
    members_by_id = Table("members")
    for node_id in members:
        members_by_id.put(node_id, sample_member(node_id))
    router = ScriptedRouter(outcomes, wait_ms)
    shedder = EarlyShedder()
    dispatcher = Dispatcher(
        "n0",
        router,
        UnreachableLinks(),
        router,
        ParentTable("n0", CallChainLevels(shedder)),
        KeyOwnerDirectory(members_by_id, 30_000.0),
        shedder,
        clock,
    )
    return await dispatcher.run(make_request(clock, idempotent, key))


@pytest.mark.parametrize(
    ("outcomes", "ran"),
    [
        ([NOT_RUN], Ran.NOT_RUN),
        ([UNKNOWN], Ran.UNKNOWN),
        ([UNKNOWN, NOT_RUN], Ran.UNKNOWN),
        ([UNKNOWN, NOT_RUN, NOT_RUN], Ran.UNKNOWN),
        ([NOT_RUN, UNKNOWN], Ran.UNKNOWN),
        ([NOT_RUN, NOT_RUN], Ran.NOT_RUN),
    ],
)
async def test_refusal_combines_the_outcomes_of_all_attempts(outcomes, ran):
    outcome = await run(outcomes, idempotent=True)
    assert outcome.err_value.refusal.ran is ran


async def test_answer_after_an_unknown_attempt_is_passed_on():
    assert await run([UNKNOWN, ANSWER], idempotent=True) == ANSWER


async def test_order_is_not_sent_again_after_an_unknown_attempt():
    outcome = await run([UNKNOWN, ANSWER], idempotent=False)
    assert outcome.err_value.refusal.ran is Ran.UNKNOWN


async def test_key_whose_owner_cannot_be_reached_has_an_unknown_outcome():
    outcome = await run([], idempotent=False, key="k1", members=("n1",))
    refusal = outcome.err_value.refusal
    assert refusal.ran is Ran.UNKNOWN
    assert refusal.may_retry


@pytest.mark.parametrize(
    ("wait_ms", "kind", "retry_after_ms"),
    [
        (None, RefusalKind.NO_UPSTREAM, 1_000),
        (250.0, RefusalKind.OVERLOADED, 251),
    ],
)
async def test_full_link_is_distinguished_from_a_service_without_upstreams(
    wait_ms, kind, retry_after_ms
):
    outcome = await run([], idempotent=True, wait_ms=wait_ms)
    refusal = outcome.err_value.refusal
    assert (refusal.kind, refusal.ran) == (kind, Ran.NOT_RUN)
    assert refusal.retry_after_ms == retry_after_ms
