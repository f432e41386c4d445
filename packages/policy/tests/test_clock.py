from ibisspoke_policy.clock import Clock, ManualClock


def test_elapsed_counts_suspension_that_monotonic_time_misses():
    clock = ManualClock(100.0)
    clock.suspend(5_000.0)
    assert clock.now_ms() == 100.0
    assert clock.elapsed_ms() == 5_100.0


def test_elapsed_never_goes_back_with_the_wall_clock():
    clock = Clock()
    readings = [clock.elapsed_ms() for _ in range(100)]
    assert readings == sorted(readings)
