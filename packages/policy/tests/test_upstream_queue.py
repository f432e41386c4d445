import pytest

from ibisspoke_policy.upstream_queue import Ending, Offer, QueueError, UpstreamQueue


def offer(
    number: int,
    now_ms: float = 0.0,
    rank: tuple[int, int] = (1, 0),
    route: str = "r",
    objective_ms: float = 1_000.0,
    deadline_ms: float = 5_000.0,
) -> Offer:
    return Offer(number, route, rank, now_ms, now_ms + deadline_ms, objective_ms)


def full_queue(limit: int = 2, service_ms: float = 100.0) -> UpstreamQueue:
    queue = UpstreamQueue(limit, 0.0)
    queue.service_times.overall_ms = service_ms
    for number in range(limit):
        assert queue.offer(offer(number)) is None
        assert queue.start_next(0.0) is not None
    return queue


def test_no_more_run_at_once_than_the_limit():
    queue = full_queue(limit=2)
    assert queue.offer(offer(9)) is None
    assert queue.start_next(0.0) is None
    queue.finish(0, 100.0, Ending.ANSWERED)
    started = queue.start_next(100.0)
    assert started is not None
    assert started.id == 9


def test_urgent_requests_run_first():
    queue = full_queue()
    queue.offer(offer(10, rank=(2, 0)))
    queue.offer(offer(11, rank=(0, 0)))
    queue.finish(0, 10.0, Ending.ANSWERED)
    started = queue.start_next(10.0)
    assert started is not None
    assert started.id == 11


def test_less_urgent_requests_keep_a_part_of_the_time_and_no_more():
    queue = UpstreamQueue(1, 0.0)
    queue.service_times.overall_ms = 1.0
    took_ms = {"short": 10.0, "long": 160.0}
    spent_ms = {"short": 0.0, "long": 0.0}
    now_ms = 0.0
    for number in range(0, 4_000, 2):
        for one, route, priority in ((0, "short", 0), (1, "long", 2)):
            queue.offer(offer(number + one, now_ms, (priority, 0), route))
        chosen = queue.start_next(now_ms)
        assert chosen is not None
        now_ms += took_ms[chosen.route]
        spent_ms[chosen.route] += took_ms[chosen.route]
        queue.finish(chosen.id, now_ms, Ending.ANSWERED)
        queue.tick(now_ms)
    share = spent_ms["long"] / sum(spent_ms.values())
    assert 0.08 < share < 0.25


def test_a_wait_beyond_half_of_the_objective_is_refused_at_once():
    queue = full_queue(limit=2, service_ms=100.0)
    accepted = 0
    while queue.offer(offer(100 + accepted)) is None:
        accepted += 1
    assert 5 <= accepted <= 10
    assert queue.offer(offer(99, rank=(0, 0))) is None


def test_a_request_that_cannot_end_in_time_is_refused():
    queue = full_queue(limit=2, service_ms=400.0)
    late = offer(9, deadline_ms=300.0)
    assert queue.offer(late) is QueueError.FULL


def test_a_preempted_request_is_refused_early():
    queue = full_queue(limit=1, service_ms=200.0)
    assert queue.offer(offer(50, rank=(2, 0))) is None
    for number in range(60, 64):
        queue.offer(offer(number, 10.0, rank=(0, 0), objective_ms=4_000.0))
    removed = queue.tick(20.0)
    assert [(o.id, error) for o, error in removed] == [(50, QueueError.PREEMPTED)]


def test_an_expired_request_leaves_the_queue():
    queue = full_queue(limit=1, service_ms=10.0)
    queue.offer(offer(5, deadline_ms=100.0))
    assert [error for _, error in queue.tick(100.0)] == [QueueError.EXPIRED]


def test_a_leaving_upstream_takes_nothing():
    queue = full_queue()
    queue.offer(offer(5))
    queue.is_leaving = True
    assert [error for _, error in queue.tick(1.0)] == [QueueError.LEAVING]
    assert queue.offer(offer(6)) is QueueError.LEAVING
    assert queue.load(1.0).limit == 0


def test_an_upstream_without_progress_is_stalled_until_it_answers():
    queue = full_queue(limit=2)
    assert queue.offer(offer(5, 1_000.0)) is None
    assert queue.offer(offer(6, 2_500.0)) is QueueError.STALLED
    queue.finish(0, 2_600.0, Ending.FAILED)
    assert queue.offer(offer(7, 2_600.0)) is None


@pytest.mark.parametrize("ending", set(Ending) - {Ending.ANSWERED})
def test_failures_do_not_shorten_the_service_time(ending):
    queue = full_queue(service_ms=100.0)
    queue.finish(0, 1.0, ending)
    assert queue.service_times.overall_ms == 100.0


def test_withdrawn_requests_do_not_run():
    queue = full_queue()
    queue.offer(offer(5))
    assert queue.withdraw(5)
    assert not queue.withdraw(0)
    queue.finish(0, 1.0, Ending.ANSWERED)
    assert queue.start_next(1.0) is None


def test_routes_have_service_times_of_their_own():
    queue = UpstreamQueue(1, 0.0)
    for number in range(200):
        for route, took_ms in (("short", 50.0), ("long", 900.0)):
            queue.offer(offer(number, 0.0, route=route))
            assert queue.start_next(0.0) is not None
            queue.finish(number, took_ms, Ending.ANSWERED)
    assert queue.service_times.expected_ms("short") < 60.0
    assert queue.service_times.expected_ms("long") > 800.0


def test_starved_requests_are_not_counted_as_failures():
    queue = full_queue(limit=2)
    queue.finish(0, 10.0, Ending.STARVED)
    load = queue.load(10.0)
    assert [share > 0.0 for _, share in load.pressures] == [True]
    assert load.failure_share == 0.0


def test_failures_are_forgotten_within_seconds_without_requests():
    # Guards against upstreams that stay avoided after their failures have ended.
    queue = UpstreamQueue(4, 0.0)
    for number in range(40):
        assert queue.offer(offer(number)) is None
        queue.start_next(0.0)
        queue.finish(number, 10.0, Ending.FAILED)
    assert queue.load(10.0).failure_share > 0.9
    assert queue.load(5_000.0).failure_share < 0.05


def test_the_service_time_of_an_idle_upstream_is_not_reported_for_long():
    # Guards against upstreams that stay avoided since they were slow in an overload.
    queue = UpstreamQueue(4, 0.0)
    assert queue.offer(offer(1)) is None
    queue.start_next(0.0)
    queue.finish(1, 900.0, Ending.ANSWERED)
    assert queue.load(1_000.0).service_ms > 0.0
    assert queue.load(4_000.0).service_ms == 0.0
