import random

from ibisspoke_policy.retry_window import RetryBudget, RetryWindow


def test_retries_stay_below_their_share_of_the_requests():
    window = RetryWindow(ratio=0.1, slack=0.0, window_ms=10_000.0)
    for _ in range(100):
        window.count_request("orders", 1_000.0)
    taken = [window.try_acquire("orders", True, 1_000.0) for _ in range(20)]
    assert taken.count(True) == 10


def test_requests_leave_the_window():
    window = RetryWindow(ratio=0.1, slack=0.0, window_ms=10_000.0)
    for _ in range(100):
        window.count_request("orders", 1_000.0)
    assert not window.try_acquire("orders", True, 12_000.0)


def test_retries_stay_below_their_share_in_each_window():
    window = RetryWindow(ratio=0.1, slack=0.0, window_ms=10_000.0)
    rng = random.Random(5)
    sent: list[float] = []
    retried: list[float] = []
    for now_ms in range(0, 60_000, 20):
        if rng.random() < (0.9 if now_ms // 7_000 % 2 else 0.1):
            window.count_request("orders", now_ms)
            sent.append(now_ms)
        if window.try_acquire("orders", True, now_ms):
            retried.append(now_ms)
            n_sent = sum(now_ms - 10_000.0 < at for at in sent)
            assert sum(now_ms - 10_000.0 < at for at in retried) <= 0.1 * n_sent
    assert len(retried) > 50


def test_retries_are_left_for_the_most_urgent_requests():
    # Guards against an outage in which many lookups use up the retries of few orders.
    window = RetryWindow(ratio=0.1, slack=0.0, window_ms=10_000.0)
    for number in range(1_000):
        window.count_request("deep", 0.0)
        if number % 4 == 0:
            window.count_urgent("deep", 0.0)
    n_usual = sum(window.try_acquire("deep", False, 0.0) for _ in range(200))
    n_urgent = sum(window.try_acquire("deep", True, 0.0) for _ in range(200))
    assert (n_usual, n_urgent) == (50, 50)


def test_without_urgent_requests_nothing_is_left_for_them():
    window = RetryWindow(ratio=0.1, slack=0.0, window_ms=10_000.0)
    for _ in range(100):
        window.count_request("deep", 0.0)
    assert sum(window.try_acquire("deep", False, 0.0) for _ in range(20)) == 10


def test_services_do_not_share_retries():
    window = RetryWindow(ratio=0.0, slack=1.0, window_ms=10_000.0)
    assert window.try_acquire("orders", True, 0.0)
    assert not window.try_acquire("orders", True, 1.0)
    assert window.try_acquire("photos", True, 1.0)


def test_a_chain_of_reruns_stays_within_the_configured_ratio():
    budget = RetryBudget(10_000.0)
    budget.configure(ratio=0.2, slack=48.0, n_nodes=16)
    n_requests, depth = 1_000, 4
    for _ in range(n_requests):
        budget.count_request("deep", 0.0)
    n_reruns = sum(
        budget.try_acquire("deep", True, True, 0.0) for _ in range(n_requests)
    )
    n_resends = sum(
        budget.try_acquire("deep", False, True, 0.0) for _ in range(n_requests)
    )
    assert n_reruns > 0
    assert n_resends + depth * n_reruns <= 0.2 * n_requests + 48.0 / 16
