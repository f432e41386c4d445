import random

from ibisspoke_policy.route_profile import (
    MAX_ROUTES,
    PACE_VALIDITY_MS,
    Pace,
    RouteProfile,
    RouteProfiles,
)


def test_a_profile_tells_the_share_of_late_answers():
    rng = random.Random(1)
    profile = RouteProfile()
    times = [rng.lognormvariate(5.0, 0.5) for _ in range(3_000)]
    for took_ms in times:
        profile.add(took_ms, 1.0, 100)
    for within_ms in (100.0, 150.0, 300.0):
        late = sum(took_ms > within_ms for took_ms in times) / len(times)
        assert abs(profile.late_share(1.0, within_ms) - late) < 0.12
    assert profile.late_share(1.0, 0.0) == 1.0
    assert profile.late_share(3.0, 300.0) > profile.late_share(1.0, 300.0)


def test_times_of_slow_upstreams_do_not_make_a_route_look_slow():
    profile = RouteProfile()
    for _ in range(100):
        profile.add(800.0, 4.0, 100)
        profile.add(200.0, 1.0, 100)
    assert 190.0 < profile.median_ms < 210.0


def test_a_pace_is_known_after_some_answers_and_fades():
    pace = Pace()
    assert pace.at(0.0) is None
    for _ in range(20):
        pace.add(600.0, 200.0, 100.0)
    known = pace.at(100.0)
    assert known is not None
    assert 2.9 < known < 3.1
    assert pace.at(100.0 + PACE_VALIDITY_MS + 1.0) is None


def test_one_extreme_answer_does_not_distort_a_pace():
    pace = Pace()
    for _ in range(20):
        pace.add(200.0, 200.0, 100.0)
    pace.add(1e9, 200.0, 100.0)
    known = pace.at(100.0)
    assert known is not None
    assert known < 1.5


def test_number_of_profiles_is_bounded():
    profiles = RouteProfiles()
    for number in range(MAX_ROUTES + 5):
        profiles.of(f"route-{number}")
    assert repr(profiles) == f"RouteProfiles(n_routes={MAX_ROUTES})"
