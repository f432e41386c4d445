import random

from ibisspoke_policy.decaying_share import DecayingShare
from ibisspoke_policy.dependency_shedding import MIN_ADMITTED_SHARE, DependencyShedder

STEP_MS = 20.0


def admitted_share(shedder, priority, pressure, start_ms, seconds):
    n_steps = int(seconds * 1000.0 / STEP_MS)
    admitted = [
        shedder.admits("orders", priority, pressure, start_ms + step * STEP_MS)
        for step in range(n_steps)
    ]
    tail = admitted[n_steps // 2 :]
    return sum(tail) / len(tail)


def test_without_pressure_all_are_admitted():
    shedder = DependencyShedder(random.Random(1))
    assert admitted_share(shedder, 2, 0.0, 0.0, 2.0) == 1.0


def test_less_urgent_requests_are_refused_first():
    shedder = DependencyShedder(random.Random(1))
    assert admitted_share(shedder, 2, 0.3, 0.0, 6.0) < 0.5
    assert admitted_share(shedder, 0, 0.3, 0.0, 6.0) == 1.0


def test_some_are_always_admitted():
    shedder = DependencyShedder(random.Random(1))
    share = admitted_share(shedder, 2, 1.0, 0.0, 30.0)
    assert MIN_ADMITTED_SHARE / 3 < share < MIN_ADMITTED_SHARE * 2


def test_all_are_admitted_again_a_while_after_the_overload():
    shedder = DependencyShedder(random.Random(1))
    admitted_share(shedder, 2, 0.8, 0.0, 5.0)
    assert admitted_share(shedder, 2, 0.0, 5_000.0, 8.0) == 1.0


def test_rare_requests_are_admitted_again_as_soon_as_frequent_ones():
    shedder = DependencyShedder(random.Random(1))
    admitted_share(shedder, 2, 0.8, 0.0, 5.0)
    relief_ms = 5_000.0
    shedder.admits("orders", 2, 0.0, relief_ms + 1_500.0)
    late_ms = [relief_ms + 3_500.0, relief_ms + 5_000.0, relief_ms + 6_500.0]
    assert all(shedder.admits("orders", 2, 0.0, now_ms) for now_ms in late_ms)


def test_a_pause_does_not_shed_more_than_one_step():
    shedder = DependencyShedder(random.Random(1))
    shedder.admits("orders", 2, 0.6, 0.0)
    shedder.admits("orders", 2, 0.6, 60_000.0)
    assert admitted_share(shedder, 2, 0.0, 60_200.0, 2.0) == 1.0


def test_pressure_on_one_route_does_not_shed_another():
    shedder = DependencyShedder(random.Random(1))
    admitted_share(shedder, 2, 0.8, 0.0, 5.0)
    assert shedder.admits("photos", 2, 0.0, 5_000.0)


def test_pressure_fades_without_requests():
    share = DecayingShare(0.1, 700.0)
    for _ in range(50):
        share.add(True, 0.0)
    assert share.at(0.0) > 0.9
    assert share.at(3_500.0) < 0.05
    share.add(False, 3_500.0)
    assert share.at(3_500.0) < 0.05
