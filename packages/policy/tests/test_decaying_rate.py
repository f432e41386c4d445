"""Averages of requests that are counted often and read seldom.

The pattern is a surge of an organisation on a large fleet: each node gets a request of
it every few seconds, and must see at once what all others have admitted.
"""

import pytest

from ibisspoke_policy.decaying_rate import DEMAND_HALF_LIFE_MS, DecayingRate


@pytest.mark.parametrize("reading_ms", [50.0, 400.0, 10_000.0])
def test_a_steady_rate_is_the_same_however_seldom_it_is_read(reading_ms):
    rate = DecayingRate(0.0)
    read_ms = 0.0
    for now_ms in range(0, 20_000, 50):
        rate.add(2, float(now_ms))
        if now_ms - read_ms >= reading_ms:
            rate.rate_at(float(now_ms))
            read_ms = now_ms
    assert rate.rate_at(20_000.0) == pytest.approx(40.0, rel=0.06)


@pytest.mark.parametrize("calm_ms", [0, 3_000, 60_000])
def test_a_surge_is_seen_at_once_however_long_nothing_was_read(calm_ms):
    # Guards against a surge that is averaged over the time since the last reading, in
    # which nodes admit more than the rate.
    rate = DecayingRate(0.0)
    for now_ms in range(0, calm_ms, 100):
        rate.add(1, float(now_ms))
    for now_ms in range(calm_ms, calm_ms + 600, 10):
        rate.add(1, float(now_ms))
    assert rate.rate_at(calm_ms + 600.0) > 45.0


def test_a_rate_fades_by_half_in_its_half_life():
    rate = DecayingRate(0.0)
    rate.add(10, 1_000.0)
    first = rate.rate_at(1_100.0)
    assert rate.rate_at(1_100.0 + DEMAND_HALF_LIFE_MS) == pytest.approx(first / 2.0)
    assert rate.rate_at(1_100.0) == pytest.approx(first)


@pytest.mark.parametrize("readings_ms", [[], [1_050.0], [2_000.0], [1_500.0, 2_000.0]])
def test_a_source_that_fell_silent_keeps_its_last_rate(readings_ms):
    # Guards against cut-off nodes that take others for calm and exceed the rate.
    rate = DecayingRate(0.0)
    for now_ms in range(0, 1_000, 25):
        rate.add(1, float(now_ms))
    for reading_ms in readings_ms:
        rate.rate_at(reading_ms)
    assert rate.rate_at(1_000.0) == pytest.approx(28.0, rel=0.1)
