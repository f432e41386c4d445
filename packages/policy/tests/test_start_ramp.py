"""The limit of an upstream that starts or recovers, against models of upstreams.

Guards against an upstream that is overloaded again as it starts, or that is left idle.
"""

import random
from collections.abc import Callable

import pytest

from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.start_ramp import MIN_ROUND_MS, RampReason, Running, StartRamp
from ibisspoke_policy.upstream_queue import Ending, Offer, QueueError, UpstreamQueue

STEP_MS = 5.0
SHORT, LONG = ("short", 15.0), ("long", 880.0)
USUAL = ("usual", 100.0)


class Model:
    """A queue with a ramp, and an upstream that slows down above its capacity.

    :param routes: name and service time of the routes, requested in turn.
    :param capacity: requests that run at once without slowing each other down.
    :ivar factor: on all service times.
    :ivar fails: returns whether a request of a route fails.
    """

    def __init__(self, *routes, n_slots: int = 64, capacity: int = 1_000) -> None:
        self.clock = ManualClock(10_000.0)
        self.ramp = StartRamp()
        self.queue = UpstreamQueue(n_slots, self.clock.now_ms(), ramp=self.ramp)
        self.n_slots = n_slots
        self.capacity = capacity
        self.factor = 1.0
        self.fails: Callable[[str], bool] = lambda route: False
        self.n_waiting = 40  # requests that always wait in the queue
        self.max_running = 0
        self.n_answered = 0
        self.limits: list[int] = []
        self._routes = routes
        self._left_ms: dict[int, float] = {}
        self._route_by_id: dict[int, str] = {}
        self._n = 0

    @property
    def limit(self) -> int:
        return self.queue.limit_in_force

    def warm_up(self) -> None:
        """Let the ramp learn the usual times."""
        self.run(6_000.0)
        assert self.limit == self.n_slots

    def restart(self) -> None:
        """Replace the process of the upstream; what ran there is lost."""
        self.queue = UpstreamQueue(self.n_slots, self.clock.now_ms(), ramp=self.ramp)
        self._left_ms.clear()
        self.ramp.restart(RampReason.STARTED, self.clock.now_ms())
        self.max_running = self.n_answered = 0
        self.limits = []

    def run(self, duration_ms: float) -> None:
        for _ in range(int(duration_ms / STEP_MS)):
            self.clock.advance(STEP_MS)
            self._offer()
            self._work()
            self.queue.tick(self.clock.now_ms())
            self._start()
            self.limits.append(self.limit)

    def run_until(self, is_done: Callable[[], bool], max_ms: float) -> float:
        """Run until a condition holds, and return how long that took."""
        started_ms = self.clock.now_ms()
        while not is_done():
            assert self.clock.now_ms() - started_ms < max_ms, self.ramp
            self.run(STEP_MS)
        return self.clock.now_ms() - started_ms

    def _offer(self) -> None:
        now_ms = self.clock.now_ms()
        while self.queue.n_queued < self.n_waiting:
            self._n += 1
            name, _ = self._routes[self._n % len(self._routes)]
            offer = Offer(self._n, name, (1, 0), now_ms, now_ms + 6e4, 6e4)
            if self.queue.offer(offer) is not None:
                return
            self._route_by_id[self._n] = name

    def _start(self) -> None:
        service_ms = dict(self._routes)
        while (chosen := self.queue.start_next(self.clock.now_ms())) is not None:
            self._left_ms[chosen.id] = service_ms[chosen.route]
        self.max_running = max(self.max_running, self.queue.n_running)

    def _work(self) -> None:
        slowdown = self.factor * max(1.0, len(self._left_ms) / self.capacity)
        for number in list(self._left_ms):
            self._left_ms[number] -= STEP_MS / slowdown
            if self._left_ms[number] > 0.0:
                continue
            del self._left_ms[number]
            is_failed = self.fails(self._route_by_id[number])
            ending = Ending.FAILED if is_failed else Ending.ANSWERED
            self.n_answered += not is_failed
            self.queue.finish(number, self.clock.now_ms(), ending)


def test_all_slots_are_used_in_one_to_two_seconds():
    # Load: more than the upstream can take, from the moment of its start.
    model = Model(USUAL)
    model.warm_up()
    model.restart()
    assert model.limit == 8
    took_ms = model.run_until(lambda: model.max_running == 64, 10_000.0)
    assert 1_000.0 <= took_ms <= 2_000.0


@pytest.mark.parametrize("n_slots", [3, 16, 64, 265])
def test_the_ramp_takes_as_long_for_any_number_of_slots(n_slots):
    model = Model(SHORT, n_slots=n_slots)
    model.n_waiting = n_slots
    model.warm_up()
    model.restart()
    took_ms = model.run_until(lambda: model.limit == n_slots, 10_000.0)
    assert MIN_ROUND_MS <= took_ms <= 2_000.0


def test_the_limit_at_most_doubles_and_only_after_as_many_answers():
    # Load: a flood in which 64 requests wait.
    model = Model(USUAL)
    model.warm_up()
    model.restart()
    n_answered, limit = 0, model.limit
    while limit < 64:
        model.run(STEP_MS)
        assert model.queue.n_running <= model.limit
        if model.limit != limit:
            assert model.limit <= 2 * limit
            assert model.n_answered - n_answered >= limit
            n_answered, limit = model.n_answered, model.limit


def test_without_answers_the_limit_does_not_grow():
    # Failure: an upstream that accepts requests and does not answer them.
    model = Model(USUAL)
    model.warm_up()
    model.restart()
    model.factor = 1e9
    model.run(1_500.0)
    assert model.limit == model.max_running == 8


def test_without_demand_the_limit_neither_grows_nor_shrinks():
    model = Model(USUAL)
    model.warm_up()
    model.restart()
    model.n_waiting = 0
    model.run(60_000.0)
    assert model.limit == 8
    model.n_waiting = 40
    took_ms = model.run_until(lambda: model.limit == 64, 10_000.0)
    assert took_ms <= 2_000.0


def test_a_little_demand_takes_the_limit_up_as_well():
    # A node whose limit stays low is sent little, and must not stay there for that.
    model = Model(USUAL)
    model.warm_up()
    model.restart()
    model.n_waiting = 1
    assert model.run_until(lambda: model.limit == 64, 10_000.0) <= 3_000.0


def test_a_limit_that_slows_the_answers_down_shrinks():
    # Load: a start at a tenth of the usual capacity, as caches are empty.
    model = Model(USUAL)
    model.warm_up()
    model.restart()
    model.capacity = 6
    model.run(10_000.0)
    late = model.limits[len(model.limits) // 2 :]
    # At the start, 8 at once take 8 / 6 of the usual. From 21 at once, answers take 2.5
    # times that and 20 ms, and count as slow.
    assert sum(late) / len(late) <= 21
    assert max(model.limits) <= 32
    model.capacity = 1_000
    model.run_until(lambda: model.limit == 64, 6_000.0)


@pytest.mark.parametrize("share", [0.9, 1.0])
def test_an_upstream_that_does_not_recover_is_probed_by_single_requests(share):
    # Failure: an upstream that rejects or fails nearly all requests for a minute.
    rng = random.Random(6)
    model = Model(USUAL)
    model.warm_up()
    model.restart()
    model.fails = lambda route: rng.random() < share
    model.run(60_000.0)
    late = model.limits[len(model.limits) // 2 :]
    assert sum(late) / len(late) <= 4
    assert min(late) >= 1
    n_ended = model.n_answered
    model.fails = lambda route: False
    model.run(1_000.0)
    assert model.n_answered > n_ended
    assert model.run_until(lambda: model.limit == 64, 10_000.0) <= 4_000.0


def test_what_ran_under_an_earlier_limit_does_not_shrink_it_again():
    # Failure: 32 requests that ran at once fail together, as one slow moment ended.
    ramp = StartRamp()
    ramp.restart(RampReason.STARTED, 0.0)
    for now_ms in (400.0, 800.0):
        for _ in range(32):
            ramp.add(Running("r", now_ms - 100.0), False, 64, now_ms)
        ramp.tick([], 64, now_ms)
    assert ramp.limit(64) == 32
    for _ in range(32):
        ramp.add(Running("r", 850.0), True, 64, 900.0)
    assert ramp.limit(64) == 16


def test_a_run_of_failures_starts_it_again():
    model = Model(USUAL)
    model.warm_up()
    model.fails = lambda route: True
    model.run_until(lambda: model.limit <= 8, 500.0)
    assert model.ramp.reason in (RampReason.FAILED, RampReason.BAD)


def test_lost_answers_neither_start_nor_stop_it():
    # Failure: 5 in 100 answers are lost, for longer than such faults last.
    rng = random.Random(6)
    model = Model(USUAL)
    model.warm_up()
    model.fails = lambda route: rng.random() < 0.05
    model.limits = []
    model.run(20_000.0)
    assert set(model.limits) == {64}
    model.restart()
    assert model.run_until(lambda: model.limit == 64, 10_000.0) <= 3_000.0


def test_a_route_that_always_fails_does_not_hold_the_others_down():
    # Failure: a faulty version of one of three routes, at all upstreams.
    model = Model(USUAL, SHORT, ("broken", 20.0))
    model.warm_up()
    model.fails = lambda route: route == "broken"
    model.run(5_000.0)
    model.restart()
    model.run_until(lambda: model.limit == 64, 5_000.0)
    model.limits = []
    model.run(30_000.0)
    assert set(model.limits) == {64}


def test_an_upstream_that_is_slower_than_before_gets_to_its_slots():
    # Failure: a new version takes four times as long, whatever runs beside it.
    model = Model(USUAL)
    model.warm_up()
    model.restart()
    model.factor = 4.0
    model.run_until(lambda: model.limit == 64, 20_000.0)


def test_a_slow_moment_shrinks_it_and_it_recovers():
    # Load: another program slows the VM down by 5 for half a second.
    model = Model(USUAL)
    model.warm_up()
    model.restart()
    model.run(800.0)
    assert model.limit == 32
    model.factor = 5.0
    model.run(500.0)
    model.factor = 1.0
    model.run(500.0)
    assert min(model.limits) < 32
    model.run_until(lambda: model.limit == 64, 5_000.0)


def test_a_long_and_a_short_route_are_judged_by_their_own_times():
    # Load: 15 ms and 880 ms in turn; the long ones soon hold most of the slots.
    model = Model(SHORT, LONG)
    model.warm_up()
    model.restart()
    took_ms = model.run_until(lambda: model.limit == 64, 10_000.0)
    assert RampReason.BAD is not model.ramp.reason
    assert took_ms <= 2_500.0


def test_a_long_route_alone_takes_three_of_its_answers():
    # A round cannot end before the answers come: 3 x 880 ms.
    model = Model(LONG)
    model.warm_up()
    model.restart()
    took_ms = model.run_until(lambda: model.limit == 64, 10_000.0)
    assert took_ms <= 3 * 880.0 + 400.0


def test_slow_requests_that_are_still_running_keep_it_from_growing():
    # Failure: the long route hangs, while the short one is answered as usual.
    model = Model(SHORT, LONG)
    model.warm_up()
    model.restart()
    ramp, now_ms = model.ramp, model.clock.now_ms()
    for number in range(40):
        ramp.add(Running("short", now_ms + number), False, 64, now_ms + number + 15.0)
    hanging = [Running("long", now_ms) for _ in range(20)]
    ramp.tick(hanging, 64, now_ms + 3_000.0)
    assert ramp.limit(64) == 8
    ramp.tick([], 64, now_ms + 3_000.0)
    assert ramp.limit(64) == 8  # a new round has begun


def test_a_stall_starts_it_again():
    # Failure: the upstream answers nothing for 3 s, and then goes on.
    model = Model(USUAL)
    model.warm_up()
    model.factor = 1e9
    model.run(3_000.0)
    now_ms = model.clock.now_ms()
    offer = Offer(10**9, "usual", (1, 0), now_ms, now_ms + 5e3, 5e3)
    assert model.queue.offer(offer) is QueueError.STALLED
    model.factor = 1.0
    model.run(150.0)
    assert model.limit <= 8
    model.run_until(lambda: model.limit == 64, 5_000.0)


def test_the_limit_in_force_is_what_other_nodes_are_told():
    # Load: other nodes that send by slots flood an upstream that has just started.
    model = Model(USUAL)
    model.warm_up()
    model.restart()
    assert model.queue.load(model.clock.now_ms()).limit == 8
    model.run(2_000.0)
    assert model.queue.load(model.clock.now_ms()).limit == 64


def test_requests_beyond_the_limit_are_refused_at_once():
    model = Model(USUAL)
    model.warm_up()
    model.restart()
    now_ms = model.clock.now_ms()
    errors = []
    for number in range(100):
        offer = Offer(
            1_000_000 + number, "usual", (1, 0), now_ms, now_ms + 500.0, 500.0
        )
        errors.append(model.queue.offer(offer))
        model.queue.start_next(now_ms)
    assert errors.count(None) < 30
    assert set(errors[30:]) == {QueueError.FULL}


def test_without_a_ramp_all_slots_are_used_at_once():
    # A deployment whose settings do not ask for it is served as before.
    queue = UpstreamQueue(64, 10_000.0)
    for number in range(64):
        queue.offer(Offer(number, "r", (1, 0), 10_000.0, 20_000.0, 9_000.0))
        assert queue.start_next(10_000.0) is not None
    assert queue.load(10_000.0).limit == 64
