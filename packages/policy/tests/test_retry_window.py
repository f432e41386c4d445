from ibisspoke_policy.retry_window import RetryWindow


def test_retries_stay_below_their_share_of_the_requests():
    window = RetryWindow(ratio=0.1, slack=0.0, window_ms=10_000.0)
    for _ in range(100):
        window.count_request("orders", 1_000.0)
    taken = [window.take("orders", 1_000.0) for _ in range(20)]
    assert taken.count(True) == 10


def test_requests_leave_the_window():
    window = RetryWindow(ratio=0.1, slack=0.0, window_ms=10_000.0)
    for _ in range(100):
        window.count_request("orders", 1_000.0)
    assert not window.take("orders", 12_000.0)


def test_services_do_not_share_retries():
    window = RetryWindow(ratio=0.0, slack=1.0, window_ms=10_000.0)
    assert window.take("orders", 0.0)
    assert not window.take("orders", 1.0)
    assert window.take("photos", 1.0)
