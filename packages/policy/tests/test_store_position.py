"""Positions in a store that may be restored from a copy."""

import pytest

from ibisspoke_policy.store_position import MAX_ERA, StoreEra, StorePosition


@pytest.mark.parametrize(
    "earlier, later",
    [((0, 5), (0, 6)), ((0, 900), (1, 3)), ((1, 7), (2, 0))],
)
def test_positions_are_ordered_by_era_and_then_by_version(earlier, later):
    assert StorePosition(*earlier) < StorePosition(*later)


def test_an_era_rises_once_and_never_falls():
    era, rises, falls = StoreEra(), [], []
    era.on_rise.append(rises.append)
    era.on_fall.append(falls.append)
    assert era.observe(0)
    assert era.observe(2)
    assert era.observe(2)
    assert not era.observe(1)
    assert (era.value, rises, falls) == (2, [2], [1])


def test_a_node_that_is_behind_is_no_sign_of_an_older_store():
    era, falls = StoreEra(), []
    era.on_fall.append(falls.append)
    era.learn(3)
    era.learn(1)
    assert (era.value, falls) == (3, [])


def test_an_era_out_of_range_is_not_learned():
    # Guards against a garbled message that locks out the store for good.
    era = StoreEra()
    era.learn(MAX_ERA + 1)
    assert era.value == 0
