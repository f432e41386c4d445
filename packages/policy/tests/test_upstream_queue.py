import pytest

from ibisspoke_policy.upstream_queue import Offer, QueueError, UpstreamQueue


def offer(
    number: int,
    now_ms: float = 0.0,
    rank: tuple[int, int] = (1, 0),
    patience_ms: float = 1_000.0,
    deadline_ms: float = 5_000.0,
) -> Offer:
    return Offer(
        number, rank, now_ms, now_ms + patience_ms, now_ms + deadline_ms, patience_ms
    )


def full_queue(limit: int = 2, service_ms: float = 100.0) -> UpstreamQueue:
    queue = UpstreamQueue(limit, 0.0)
    queue.service_ms = service_ms
    for number in range(limit):
        assert queue.offer(offer(number)) is None
        assert queue.start_next(0.0) is not None
    return queue


def test_no_more_run_at_once_than_the_limit():
    queue = full_queue(limit=2)
    assert queue.offer(offer(9)) is None
    assert queue.start_next(0.0) is None
    queue.finish(0, 100.0, failed=False)
    started = queue.start_next(100.0)
    assert started is not None
    assert started.id == 9


def test_urgent_requests_run_first():
    queue = full_queue()
    queue.offer(offer(10, rank=(2, 0)))
    queue.offer(offer(11, rank=(0, 0)))
    queue.finish(0, 10.0, failed=False)
    started = queue.start_next(10.0)
    assert started is not None
    assert started.id == 11


def test_less_urgent_requests_do_not_starve():
    queue = UpstreamQueue(1, 0.0)
    queue.service_ms = 1.0
    assert queue.offer(offer(0, rank=(2, 0))) is None
    started = []
    for number in range(1, 12):
        queue.offer(offer(number, float(number), rank=(0, 0)))
        chosen = queue.start_next(float(number))
        assert chosen is not None
        started.append(chosen.id)
        queue.finish(chosen.id, float(number), failed=False)
    assert 0 in started


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


def test_a_request_that_is_pushed_back_is_told_early():
    queue = full_queue(limit=1, service_ms=200.0)
    assert queue.offer(offer(50, rank=(2, 0))) is None
    for number in range(60, 64):
        queue.offer(offer(number, 10.0, rank=(0, 0), patience_ms=4_000.0))
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
    queue.finish(0, 2_600.0, failed=False)
    assert queue.offer(offer(7, 2_600.0)) is None


@pytest.mark.parametrize("failed", [True, None])
def test_failures_do_not_shorten_the_service_time(failed):
    queue = full_queue(service_ms=100.0)
    queue.finish(0, 1.0, failed=failed)
    assert queue.service_ms == 100.0


def test_withdrawn_requests_do_not_run():
    queue = full_queue()
    queue.offer(offer(5))
    assert queue.withdraw(5)
    assert not queue.withdraw(0)
    queue.finish(0, 1.0, failed=False)
    assert queue.start_next(1.0) is None
