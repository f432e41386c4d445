"""The bound on the requests that a cold upstream gets in any second.

Guards against a cold upstream that gets more than it tolerates, and crashes.
"""

import math
from typing import NamedTuple

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.cold_rate import PERIOD_MS, ColdBound, ColdRate
from ibisspoke_policy.route_table import ColdStart
from ibisspoke_policy.upstream_queue import Ending, Offer, QueueError, UpstreamQueue

OVERAGE, SLACK = 1.5, 8.0
SLOTS = 64
PER_S = (1.0, 4.5, 20.0)  # rates that configurations of the model state


def offer(number: int, now_ms: float, rank=(1, 0), objective_ms=2_000.0) -> Offer:
    return Offer(number, "r", rank, now_ms, now_ms + 5_000.0, objective_ms)


def cold_queue(n_allowed: int, now_ms: float = 10_000.0) -> UpstreamQueue:
    """Return a queue whose upstream has just said that it is cold."""
    cold = ColdRate(0.0)
    cold.n_allowed = n_allowed
    cold.heartbeat(60_000.0, True, now_ms)
    return UpstreamQueue(SLOTS, now_ms, cold)


def start_all(queue: UpstreamQueue, now_ms: float) -> list[int]:
    """Start and send what may run now, and return the ids."""
    started = []
    while (chosen := queue.start_next(now_ms)) is not None:
        started.append(chosen.id)
        queue.cold.record_sent(chosen.id, now_ms)
    return started


class Sent(NamedTuple):
    at_ms: float
    was_cold: bool
    per_s: float


class Model:
    """A node and its upstream, whose own cold state the node hears by heartbeats."""

    def __init__(self) -> None:
        self.clock = ManualClock(5_000.0)
        self.sent: list[Sent] = []
        self.cold_until_ms = 0.0  # as the upstream knows it
        self.n_offered = 0
        self.per_s = PER_S[1]
        self.opening: list[int] = []
        self.running: list[int] = []
        self.start_node()

    def start_node(self) -> None:
        """Replace the node; its requests under way end with it."""
        now_ms = self.clock.now_ms()
        self.cold = ColdRate(now_ms)
        self.queue = UpstreamQueue(SLOTS, now_ms, self.cold)
        self.opening, self.running = [], []
        self.configure(self.per_s)

    def configure(self, per_s: float) -> None:
        self.per_s = per_s
        by_service = {"s": ColdStart(10_000.0, per_s)}
        bound = ColdBound(OVERAGE, SLACK)
        self.cold.n_allowed = bound.n_allowed(by_service, "s")

    def become_cold(self, duration_ms: float) -> None:
        """Become cold, and say so at once; the bound cannot hold before.

        A connection takes about 1 ms to open, so that none is being opened.
        """
        self.open_connections()
        self.cold_until_ms = self.clock.now_ms() + duration_ms
        self.heartbeat()

    def restart_upstream(self, duration_ms: float) -> None:
        """Replace the process, which resets its connections before it says so."""
        self.cold.expect_restart(self.clock.now_ms())
        for number in self.running:
            self.finish(number, Ending.FAILED)
        for number in self.opening:
            self.cold.end(number, False, self.clock.now_ms())
        self.running, self.opening = [], []
        self.cold_until_ms = self.clock.now_ms() + duration_ms
        self.act()
        for number in self.opening:
            self.cold.end(number, False, self.clock.now_ms())
        self.opening = []
        self.queue = UpstreamQueue(SLOTS, self.clock.now_ms(), self.cold)
        self.heartbeat(is_new=True)

    def heartbeat(self, is_new: bool = False) -> None:
        now_ms = self.clock.now_ms()
        self.cold.heartbeat(max(0.0, self.cold_until_ms - now_ms), is_new, now_ms)

    def finish(self, number: int, ending: Ending) -> None:
        now_ms = self.clock.now_ms()
        self.cold.end(number, True, now_ms)
        self.queue.finish(number, now_ms, ending)

    def demand(self, n: int) -> None:
        for _ in range(n):
            self.n_offered += 1
            self.queue.offer(offer(self.n_offered, self.clock.now_ms()))
        self.act()

    def open_connections(self) -> None:
        """Write the requests that waited for a new connection."""
        now_ms = self.clock.now_ms()
        opening, self.opening = self.opening, []
        for number in opening:
            self.cold.record_sent(number, now_ms)
            self.note(number)

    def note(self, number: int) -> None:
        now_ms = self.clock.now_ms()
        self.sent.append(Sent(now_ms, now_ms < self.cold_until_ms, self.per_s))
        self.running.append(number)

    def act(self) -> None:
        """Start what may run; every third request needs a new connection."""
        now_ms = self.clock.now_ms()
        self.queue.tick(now_ms)
        while (chosen := self.queue.start_next(now_ms)) is not None:
            if chosen.id % 3 == 0:
                self.opening.append(chosen.id)
            else:
                self.cold.record_sent(chosen.id, now_ms)
                self.note(chosen.id)

    def pass_time(self, duration_ms: int) -> None:
        for _ in range(duration_ms // 25):
            self.clock.advance(25.0)
            self.demand(2)
            if self.running:
                self.finish(self.running.pop(0), Ending.ANSWERED)


EVENTS = st.one_of(
    st.tuples(st.just("pass_time"), st.sampled_from((25, 100, 475, 1_000, 1_500))),
    st.tuples(st.just("demand"), st.integers(1, 60)),
    st.tuples(st.just("become_cold"), st.sampled_from((300.0, 1_500.0, 4_000.0))),
    st.tuples(st.just("restart_upstream"), st.sampled_from((1_000.0, 4_000.0))),
    st.tuples(st.just("configure"), st.sampled_from(PER_S)),
    st.just(("heartbeat",)),
    st.just(("start_node",)),
    st.just(("open_connections",)),
)


@seed(6)
@settings(max_examples=400, deadline=None)
@given(st.lists(EVENTS, min_size=5, max_size=40))
def test_no_second_of_a_cold_upstream_exceeds_the_bound(events):
    # Load: more than the upstream tolerates at all times, through changes of the cold
    # state, new processes of upstream and node, and other rates.
    model = Model()
    for name, *arguments in events:
        getattr(model, name)(*arguments)
    for index, last in enumerate(model.sent):
        if not last.was_cold:
            continue
        within = [
            sent
            for sent in model.sent[: index + 1]
            if sent.at_ms > last.at_ms - 1_000.0
        ]
        per_s = max(sent.per_s for sent in within)  # both rates were in force
        assert len(within) <= per_s * OVERAGE + SLACK


@seed(6)
@settings(max_examples=300, deadline=None)
@given(
    st.integers(1, 12),
    st.lists(st.tuples(st.floats(0.0, 400.0), st.booleans()), max_size=120),
)
def test_an_upstream_that_stays_cold_gets_no_more_than_its_rate(n_allowed, steps):
    # The margin must hold also where a request waits for its connection.
    queue, now_ms = cold_queue(n_allowed), 10_000.0
    sent_ms: list[float] = []
    opening: list[int] = []
    for number, (step_ms, opens) in enumerate(steps):
        now_ms += step_ms
        queue.offer(offer(number, now_ms))
        if opens:
            for waiting in opening:
                queue.cold.record_sent(waiting, now_ms)
                sent_ms.append(now_ms)
            opening = []
        while (chosen := queue.start_next(now_ms)) is not None:
            if chosen.id % 2:
                opening.append(chosen.id)
            else:
                queue.cold.record_sent(chosen.id, now_ms)
                sent_ms.append(now_ms)
    for last_ms in sent_ms:
        assert sum(last_ms - PERIOD_MS < at <= last_ms for at in sent_ms) <= n_allowed


def test_sends_before_it_became_cold_count():
    # Load: 30 requests at once, and 100 ms later a heartbeat that says cold.
    cold = ColdRate(0.0)
    cold.n_allowed = 5
    cold.heartbeat(0.0, False, 9_000.0)
    queue = UpstreamQueue(SLOTS, 10_000.0, cold)
    for number in range(30):
        queue.offer(offer(number, 10_000.0))
    assert len(start_all(queue, 10_000.0)) == 30
    cold.heartbeat(30_000.0, False, 10_100.0)
    assert queue.offer(offer(30, 10_100.0)) is None
    assert start_all(queue, 11_049.0) == []
    assert start_all(queue, 11_050.0) == [30]


def test_a_node_that_starts_counts_as_having_sent_the_whole_allowance():
    # Failure: the node's process ends after it has sent all that a second allows.
    cold = ColdRate(10_000.0)
    cold.n_allowed = 5
    cold.heartbeat(30_000.0, True, 10_001.0)
    queue = UpstreamQueue(SLOTS, 10_001.0, cold)
    for number in range(9):
        queue.offer(offer(number, 10_001.0, objective_ms=6_000.0))
    assert start_all(queue, 11_049.0) == []
    assert start_all(queue, 11_050.0) == [0, 1, 2, 3, 4]


def test_a_node_without_a_configuration_sends_nothing_to_a_cold_upstream():
    # Failure: a restart of the node; other nodes send before it has a configuration.
    queue = UpstreamQueue(SLOTS, 10_000.0, ColdRate(0.0))
    assert queue.offer(offer(1, 10_000.0)) is QueueError.COLD
    assert queue.load(10_000.0).limit == 1
    queue.cold.heartbeat(0.0, True, 10_000.0)
    assert queue.offer(offer(1, 10_000.0)) is None


def test_a_lower_rate_counts_what_was_sent_under_the_higher_one():
    # Failure: an operator lowers coldPerS while the upstream is cold.
    queue = cold_queue(20)
    for number in range(20):
        queue.offer(offer(number, 10_000.0))
    assert len(start_all(queue, 10_000.0)) == 20
    queue.cold.n_allowed = 2
    for number in range(20, 23):
        queue.offer(offer(number, 10_500.0, objective_ms=9_000.0))
    assert start_all(queue, 11_049.0) == []
    assert start_all(queue, 11_050.0) == [20, 21]


def test_requests_that_did_not_reach_it_do_not_count():
    # Failure: a refused connection, and a 421 of another process at its address.
    queue = cold_queue(2)
    for number in range(4):
        queue.offer(offer(number, 10_000.0, objective_ms=4_000.0))
    assert [queue.start_next(10_000.0).id for _ in range(2)] == [0, 1]
    assert queue.start_next(10_000.0) is None
    queue.cold.end(0, False, 10_000.0)
    queue.cold.record_sent(1, 10_000.0)
    queue.cold.discount(1)
    assert start_all(queue, 10_001.0) == [2, 3]


def test_a_cancelled_request_that_was_sent_counts():
    # Load: hedged or abandoned attempts, each of which the upstream received.
    queue = cold_queue(2)
    for number in range(4):
        queue.offer(offer(number, 10_000.0))
        queue.start_next(10_000.0)
    for number in range(2):
        queue.cold.end(number, True, 10_000.0)
        queue.finish(number, 10_000.0, Ending.DROPPED)
    assert queue.start_next(10_500.0) is None


@pytest.mark.parametrize("event", ["expect", "expect_restart"])
def test_it_is_cold_until_a_later_heartbeat_says_otherwise(event):
    # Failure: a restart between two heartbeats, or the end of an evacuation.
    cold = ColdRate(0.0)
    cold.n_allowed = 5
    cold.heartbeat(0.0, False, 9_000.0)
    assert not cold.is_cold(9_500.0)
    getattr(cold, event)(9_500.0)
    assert cold.is_cold(60_000.0)
    cold.heartbeat(2_000.0, False, 10_500.0)
    assert cold.is_cold(60_000.0)
    cold.heartbeat(0.0, False, 12_500.0)
    assert not cold.is_cold(12_500.0)


def test_a_heartbeat_of_the_process_that_ended_does_not_end_the_cold_time():
    # Failure: a crash just after a heartbeat, which arrives after the reset.
    cold = ColdRate(0.0)
    cold.heartbeat(0.0, False, 9_000.0)
    cold.expect_restart(9_500.0)
    cold.heartbeat(0.0, False, 9_501.0)
    assert cold.is_cold(9_501.0)


def test_a_new_process_is_cold_until_a_heartbeat_says_0():
    # Failure: the heartbeat that would prolong the cold time comes late.
    cold = ColdRate(0.0)
    cold.heartbeat(1_000.0, True, 5_000.0)
    assert cold.is_cold(9_000.0)
    cold.heartbeat(0.0, False, 9_500.0)
    assert not cold.is_cold(9_500.0)


def test_one_that_became_cold_again_is_cold_for_the_time_it_says():
    cold = ColdRate(0.0)
    cold.heartbeat(0.0, True, 5_000.0)
    cold.heartbeat(1_000.0, False, 8_000.0)
    assert cold.is_cold(8_999.0)
    assert not cold.is_cold(9_051.0)


def test_a_request_that_would_wait_too_long_is_refused_at_once():
    # Load: a burst of 100 at an upstream that takes 5 a second.
    queue = cold_queue(5)
    errors = []
    for number in range(100):
        errors.append(queue.offer(offer(number, 10_000.0, objective_ms=4_000.0)))
        start_all(queue, 10_000.0)
    # 5 run; a wait may take half of the objective, which is one period.
    assert errors.count(None) == 10
    assert set(errors[10:]) == {QueueError.COLD}
    assert 0.0 < queue.retry_after_ms((1, 0), 10_000.0) < math.inf


def test_the_most_urgent_requests_run_first_at_a_cold_upstream():
    # The share that less urgent requests have at a warm upstream does not apply.
    queue = cold_queue(1)
    queue.offer(offer(0, 10_000.0, (2, 0), 8_000.0))
    assert start_all(queue, 10_000.0) == [0]
    queue.finish(0, 10_000.0 + 1.0, Ending.ANSWERED)
    for number, priority in ((1, 4), (2, 2), (3, 0)):
        queue.offer(offer(number, 10_001.0, (priority, 0), 12_000.0))
    order = []
    for second in range(1, 5):
        order += start_all(queue, 10_000.0 + second * PERIOD_MS)
    assert order == [3, 2, 1]


def test_what_is_queued_when_it_becomes_cold_is_refused_if_it_cannot_wait():
    # Load: a full queue of a warm upstream that becomes cold again.
    cold = ColdRate(0.0)
    cold.n_allowed = 2
    cold.heartbeat(0.0, False, 9_000.0)
    queue = UpstreamQueue(1, 10_000.0, cold)
    queue.service_times.overall_ms = 10.0
    for number in range(20):
        assert queue.offer(offer(number, 10_000.0)) is None
    start_all(queue, 10_000.0)
    cold.heartbeat(30_000.0, False, 10_050.0)
    removed = queue.tick(10_050.0)
    assert {error for _, error in removed} == {QueueError.COLD}
    assert queue.n_queued == 1


def test_the_reported_limit_follows_the_rate():
    # Load: other nodes that send by slots would send far more than the rate.
    queue = cold_queue(20)
    queue.service_times.overall_ms = 200.0
    assert queue.load(10_000.0).limit == 4
    queue.service_times.overall_ms = 1.0
    assert queue.load(10_000.0).limit == 1
    queue.cold.n_allowed = None
    assert queue.load(10_000.0).limit == SLOTS


@pytest.mark.parametrize(
    ("per_s", "expected"), [(0.3, 1), (1.0, 1), (4.5, 5), (20.0, 20), (0.0, None)]
)
def test_the_allowance_is_the_rate_rounded_up(per_s, expected):
    by_service = {"s": ColdStart(1_000.0, per_s)}
    assert ColdBound(OVERAGE, SLACK).n_allowed(by_service, "s") == expected
    assert ColdBound(OVERAGE, SLACK).n_allowed(by_service, "other") is None


def test_the_allowance_does_not_exceed_a_strict_bound():
    by_service = {"s": ColdStart(1_000.0, 20.0)}
    assert ColdBound(0.5, 0.0).n_allowed(by_service, "s") == 10


def test_without_a_bound_nothing_waits():
    queue = cold_queue(5)
    queue.cold.n_allowed = None
    for number in range(40):
        assert queue.offer(offer(number, 10_000.0)) is None
    assert len(start_all(queue, 10_000.0)) == 40
