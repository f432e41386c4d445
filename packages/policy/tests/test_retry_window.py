from ibisspoke_policy.retry_window import RetryBudget, RetryWindow


def test_retries_stay_below_their_share_of_the_requests():
    window = RetryWindow(ratio=0.1, slack=0.0, window_ms=10_000.0)
    for _ in range(100):
        window.count_request("orders", 1_000.0)
    taken = [window.try_acquire("orders", 1_000.0) for _ in range(20)]
    assert taken.count(True) == 10


def test_requests_leave_the_window():
    window = RetryWindow(ratio=0.1, slack=0.0, window_ms=10_000.0)
    for _ in range(100):
        window.count_request("orders", 1_000.0)
    assert not window.try_acquire("orders", 12_000.0)


def test_services_do_not_share_retries():
    window = RetryWindow(ratio=0.0, slack=1.0, window_ms=10_000.0)
    assert window.try_acquire("orders", 0.0)
    assert not window.try_acquire("orders", 1.0)
    assert window.try_acquire("photos", 1.0)


def test_a_chain_of_reruns_stays_within_the_configured_ratio():
    budget = RetryBudget(10_000.0)
    budget.configure(ratio=0.2, slack=48.0, n_nodes=16)
    n_requests, depth = 1_000, 4
    for _ in range(n_requests):
        budget.count_request("deep", 0.0)
    n_reruns = sum(budget.try_acquire("deep", True, 0.0) for _ in range(n_requests))
    n_resends = sum(budget.try_acquire("deep", False, 0.0) for _ in range(n_requests))
    assert n_reruns > 0
    assert n_resends + depth * n_reruns <= 0.2 * n_requests + 48.0 / 16
