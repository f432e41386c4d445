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


def budget_of(n_requests: int, n_urgent: int = 0) -> RetryBudget:
    budget = RetryBudget(10_000.0)
    budget.configure(ratio=0.2, slack=110.0, n_nodes=79)
    for number in range(n_requests):
        budget.count_request("shelf", 0.0)
        if number < n_urgent:
            budget.count_urgent("shelf", 0.0)
    return budget


def n_reruns(budget: RetryBudget, n: int, is_urgent: bool, is_leaf: bool) -> int:
    return sum(
        budget.try_acquire("shelf", True, is_urgent, 0.0, is_leaf) for _ in range(n)
    )


def test_5_in_100_lost_answers_of_a_leaf_are_all_sent_again():
    # Guards against failing most trees of 10 or more calls while answers are lost.
    assert n_reruns(budget_of(1_000), 50, is_urgent=False, is_leaf=True) == 50
    assert n_reruns(budget_of(1_000), 50, is_urgent=False, is_leaf=False) < 20


def test_reruns_of_leaves_and_resends_share_one_part():
    # Guards against more retries in all than users allow, with other reruns 4 deep.
    budget = budget_of(1_000)
    n_leaf = n_reruns(budget, 100, is_urgent=True, is_leaf=True)
    n_resent = sum(budget.try_acquire("shelf", False, True, 0.0) for _ in range(1_000))
    n_other = n_reruns(budget, 1_000, is_urgent=True, is_leaf=False)
    assert n_leaf == 100
    assert n_leaf + n_resent + 4 * n_other <= 0.2 * 1_000 + 110.0 / 79


def test_a_short_budget_keeps_reruns_of_leaves_for_the_most_urgent_requests():
    # Half of the requests are urgent, and more answers are lost than can be repeated.
    budget = budget_of(1_000, n_urgent=500)
    n_usual = n_reruns(budget, 500, is_urgent=False, is_leaf=True)
    n_urgent = n_reruns(budget, 500, is_urgent=True, is_leaf=True)
    assert n_urgent >= 0.1 * 500  # twice as many as the answers that are lost
    assert n_usual >= 0.05 * 500  # would be 0 with the reserve of resends
    assert n_usual + n_urgent <= 0.2 * 1_000 + 110.0 / 79
