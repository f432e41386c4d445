"""Averages of requests that are counted often and read seldom."""

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


def test_a_burst_after_a_long_pause_is_seen_at_once():
    # Guards against a hot organisation that looks calm where nothing was read for long.
    rate = DecayingRate(0.0)
    for now_ms in range(60_000, 60_500, 25):
        rate.add(1, float(now_ms))
    assert rate.rate_at(60_500.0) > 15.0


def test_a_rate_fades_by_half_in_its_half_life():
    rate = DecayingRate(0.0)
    rate.add(10, 1_000.0)
    first = rate.rate_at(1_100.0)
    assert rate.rate_at(1_100.0 + DEMAND_HALF_LIFE_MS) == pytest.approx(first / 2.0)
    assert rate.rate_at(1_100.0) == pytest.approx(first)


def test_reading_twice_at_a_time_counts_once():
    rate = DecayingRate(0.0)
    rate.add(10, 1_000.0)
    assert rate.rate_at(1_100.0) == rate.rate_at(1_100.0)
    rate.add(10, 1_110.0)
    assert rate.rate_at(1_120.0) == rate.rate_at(1_120.0)
