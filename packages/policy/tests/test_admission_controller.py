import random

import pytest

from ibisspoke_policy.adaptive_limit import AimdLimit, FixedLimit, GradientLimit
from ibisspoke_policy.admission import Capacity, Ending, Refused, Started, Ticket
from ibisspoke_policy.admission_controller import UpstreamAdmissionController
from ibisspoke_policy.catalogue import Importance
from ibisspoke_policy.refusal import Ran, RefusalKind
from ibisspoke_policy.stuck_upstream import MAX_PROBES, ProgressState
from ibisspoke_standins.modelled_upstream import ModelledUpstream

CAPACITY = Capacity(n_slots=10, n_connections=100)
SERVICE_MS = 20.0
CAPACITY_PER_S = 500.0


def constant_service_ms(n_running: int) -> float:
    return SERVICE_MS


def make_upstream(limit=None, capacity=CAPACITY, service_ms=constant_service_ms):
    controller = UpstreamAdmissionController(limit)
    controller.announce(capacity, 0.0)
    return ModelledUpstream(controller, service_ms)


def random_importance(rng: random.Random) -> tuple[str, Importance]:
    return "svea", rng.choice(list(Importance))


def test_surge_keeps_the_upstream_busy_and_never_exceeds_announced_slots():
    upstream = make_upstream()
    upstream.offer_load(5 * CAPACITY_PER_S, 4_000.0)
    assert upstream.max_running <= CAPACITY.n_slots
    assert upstream.n_by_outcome["succeeded"] > 0.95 * CAPACITY_PER_S * 4
    assert upstream.n_by_outcome["timed_out"] == 0


def test_limit_keeps_below_announced_connections():
    upstream = make_upstream(capacity=Capacity(n_slots=10, n_connections=3))
    upstream.offer_load(5 * CAPACITY_PER_S, 500.0)
    assert upstream.max_running == 3


def test_important_attempts_are_shed_last():
    upstream = make_upstream()
    upstream.offer_load(3 * CAPACITY_PER_S, 4_000.0, choose_source=random_importance)
    offered = [t.importance for t in upstream.ticket_by_id.values()]
    started = upstream.n_started_by_importance
    assert started[Importance.CRITICAL] >= 0.99 * offered.count(Importance.CRITICAL)
    assert started[Importance.LOW] <= 0.05 * offered.count(Importance.LOW)


def test_queued_lesser_attempt_is_preempted_and_was_not_run():
    upstream = make_upstream()
    for _ in range(CAPACITY.n_slots):
        upstream.offer()
    while not upstream.refusals:
        upstream.offer(importance=Importance.LOW)
    n_refused = len(upstream.refusals)
    upstream.offer(importance=Importance.CRITICAL)
    preempted = upstream.refusals[n_refused]
    assert upstream.ticket_by_id[preempted.attempt_id].importance is Importance.LOW
    assert preempted.refusal.ran is Ran.NOT_RUN
    assert preempted.attempt_id not in upstream.running


def test_organisation_above_its_share_does_not_crowd_out_the_others():
    def choose(rng: random.Random) -> tuple[str, Importance]:
        others = [f"small-{i}" for i in range(4)]
        name = "greedy" if rng.random() < 0.9 else rng.choice(others)
        return name, Importance.NORMAL

    upstream = make_upstream()
    upstream.offer_load(5 * CAPACITY_PER_S, 4_000.0, choose_source=choose)
    for i in range(4):
        name = f"small-{i}"
        offered = [t for t in upstream.ticket_by_id.values() if t.organisation == name]
        assert upstream.n_started_by_organisation[name] >= 0.95 * len(offered)


def test_expired_work_is_dropped_before_it_starts():
    upstream = make_upstream()
    for _ in range(CAPACITY.n_slots):
        upstream.offer()
    late = upstream.offer(timeout_ms=5.0)
    upstream.advance(200.0)
    refusal = next(r for r in upstream.refusals if r.attempt_id == late).refusal
    assert refusal.kind is RefusalKind.DEADLINE_EXCEEDED
    assert refusal.ran is Ran.NOT_RUN


@pytest.mark.parametrize("limit", [GradientLimit, AimdLimit, FixedLimit])
def test_stuck_upstream_recovers_with_single_probes(limit):
    upstream = make_upstream(limit())
    upstream.offer_load(400.0, 1_000.0)
    upstream.is_hung = True
    upstream.offer_load(400.0, 2_000.0)
    assert upstream.controller.progress is not ProgressState.RUNNING
    assert len(upstream.running) <= MAX_PROBES
    assert upstream.controller.level.limit == 0
    upstream.is_hung = False
    upstream.offer_load(400.0, 4_000.0)
    before = upstream.n_by_outcome["succeeded"]
    upstream.offer_load(400.0, 1_000.0)
    assert upstream.controller.progress is ProgressState.RUNNING
    assert upstream.n_by_outcome["succeeded"] - before > 0.95 * 400


def test_slow_upstream_is_not_taken_as_stuck():
    upstream = make_upstream(service_ms=lambda n: 900.0)
    upstream.offer_load(8.0, 8_000.0, timeout_ms=5_000.0)
    assert upstream.n_by_outcome["aborted"] == 0
    assert upstream.controller.progress is ProgressState.RUNNING


def test_upstream_that_becomes_slow_for_good_gets_work_again():
    slow = {"ms": 20.0}
    upstream = make_upstream(service_ms=lambda n: slow["ms"])
    upstream.offer_load(100.0, 1_000.0, timeout_ms=5_000.0)
    slow["ms"] = 1_500.0
    upstream.offer_load(6.0, 8_000.0, timeout_ms=5_000.0)
    n_aborted = upstream.n_by_outcome["aborted"]
    before = upstream.n_by_outcome["succeeded"]
    upstream.offer_load(6.0, 10_000.0, timeout_ms=5_000.0)
    assert upstream.n_by_outcome["aborted"] == n_aborted
    assert upstream.n_by_outcome["succeeded"] - before >= 45


def test_attempts_waiting_for_nested_calls_are_not_hanging():
    controller = UpstreamAdmissionController()
    controller.announce(CAPACITY, 0.0)
    for i in range(5):
        controller.offer(Ticket(i, "svea", Importance.NORMAL, 60_000.0), 0.0)
        controller.nested(i, 1, 1.0)
    assert controller.tick(20_000.0) == []
    assert controller.progress is ProgressState.RUNNING


def test_probe_prefers_an_idempotent_attempt():
    upstream = make_upstream()
    upstream.offer_load(100.0, 500.0)
    upstream.is_hung = True
    for _ in range(5):
        upstream.offer(timeout_ms=10_000.0)
    upstream.advance(1_300.0)
    n_started = sum(upstream.n_started_by_importance.values())
    upstream.offer(idempotent=False)
    assert sum(upstream.n_started_by_importance.values()) == n_started
    upstream.offer(idempotent=True)
    assert sum(upstream.n_started_by_importance.values()) == n_started + 1


def test_cold_upstream_is_ramped():
    upstream = make_upstream(capacity=Capacity(64, 100, cold=True))
    for _ in range(64):
        upstream.offer()
    assert len(upstream.running) == 4
    upstream.offer_load(3_000.0, 1_000.0)
    assert upstream.max_running > 48


def test_draining_upstream_gets_nothing_and_keeps_what_it_has():
    upstream = make_upstream()
    for _ in range(12):
        upstream.offer()
    events = upstream.controller.announce(CAPACITY._replace(draining=True), 1.0)
    assert len([e for e in events if isinstance(e, Refused)]) == 2
    assert all(e.refusal.kind is RefusalKind.DRAINING for e in events)
    assert len(upstream.running) == 10
    upstream.advance(100.0)
    assert upstream.n_by_outcome["succeeded"] == 10
    upstream.offer()
    assert not upstream.running


def test_cancelled_attempt_frees_its_slot_only_when_it_ended():
    upstream = make_upstream(capacity=Capacity(1, 10))
    first = upstream.offer()
    queued = upstream.offer()
    upstream.cancel(queued)
    events = upstream.controller.cancel(first, 1.0)
    assert [e.attempt_id for e in events] == [first]
    assert upstream.controller.n_in_flight == 1
    upstream.controller.finish(first, Ending(succeeded=False), 2.0)
    assert upstream.controller.n_in_flight == 0


def test_limit_shrinks_when_latency_grows_with_concurrency():
    upstream = make_upstream(
        GradientLimit(), Capacity(50, 100), lambda n: 10.0 + 0.05 * n * n
    )
    upstream.offer_load(300.0, 2_000.0)
    upstream.offer_load(5_000.0, 3_000.0)
    assert upstream.controller.limit < 35


def test_limit_is_kept_when_the_upstream_is_slow_for_another_reason():
    slow = {"ms": 20.0}
    upstream = make_upstream(GradientLimit(), Capacity(20, 100), lambda n: slow["ms"])
    upstream.offer_load(800.0, 2_000.0)
    slow["ms"] = 100.0
    upstream.offer_load(1_000.0, 8_000.0)
    before = upstream.n_by_outcome["succeeded"]
    upstream.offer_load(1_000.0, 4_000.0)
    assert upstream.n_by_outcome["succeeded"] - before > 0.85 * 200 * 4


def test_shed_level_rises_in_overload_and_falls_by_itself():
    upstream = make_upstream()
    upstream.offer_load(3 * CAPACITY_PER_S, 3_000.0, choose_source=random_importance)
    assert upstream.controller.level.shed > 0.5
    upstream.offer_load(0.5 * CAPACITY_PER_S, 3_000.0, choose_source=random_importance)
    assert upstream.controller.level.shed == 0.0


def test_unannounced_upstream_gets_nothing():
    controller = UpstreamAdmissionController()
    ticket = Ticket(1, "svea", Importance.HIGH, 1_000.0)
    (event,) = controller.offer(ticket, 0.0)
    assert isinstance(event, Refused)
    assert controller.announce(CAPACITY, 1.0) == []
    assert controller.offer(ticket, 2.0) == [Started(1)]


def test_small_limit_grows_back_after_the_upstream_pushed_back():
    upstream = make_upstream(capacity=Capacity(2, 20))
    while upstream.controller.limit > 1:
        upstream.finish(upstream.offer(), Ending(False, shed=True))
        upstream.advance(60.0)
    upstream.offer_load(200.0, 2_000.0)
    assert upstream.controller.limit == 2


@pytest.mark.parametrize(
    ("n_slots", "service_ms"), [(2, 20.0), (4, 1_000.0), (50, 80.0), (250, 400.0)]
)
def test_overload_is_told_to_callers_whatever_the_size(n_slots, service_ms):
    upstream = make_upstream(
        capacity=Capacity(n_slots, 10 * n_slots), service_ms=lambda n: service_ms
    )
    capacity_per_s = n_slots / service_ms * 1000.0
    upstream.offer_load(2 * capacity_per_s, 6 * service_ms, timeout_ms=60_000.0)
    assert 1.3 < upstream.controller.level.shed < 1.8
