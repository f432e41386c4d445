"""Which routes are known to make no calls, while a service answers thousands a second.

Guards against repeating whole trees from the part of the budget that is meant for
requests that cost one arrival.
"""

from ibisspoke_policy.call_trees import (
    MAX_ROUTES,
    MIN_ANSWERS,
    UNKNOWN_CALLS,
    CallTrees,
)


def trees(n_calls_of_answers: list[int], is_complete: bool = True) -> CallTrees:
    known = CallTrees()
    for n_calls in n_calls_of_answers:
        known.add("shelf", "read", n_calls, is_complete)
    return known


def test_a_route_is_a_leaf_after_enough_answers_without_calls():
    assert not trees([0] * (MIN_ANSWERS - 1)).is_leaf("shelf", "read")
    assert trees([0] * MIN_ANSWERS).is_leaf("shelf", "read")
    assert not trees([4] * MIN_ANSWERS).is_leaf("shelf", "read")
    assert not trees([0] * MIN_ANSWERS).is_leaf("stock", "read")


def test_a_route_that_calls_seldom_is_no_leaf():
    # One request in 30 misses a cache and makes 4 calls.
    known = CallTrees()
    for number in range(600):
        known.add("shelf", "read", 4 if number % 30 == 0 else 0)
        assert not known.is_leaf("shelf", "read")


def test_a_route_whose_new_version_makes_calls_is_no_leaf_at_once():
    known = trees([0] * 1_000)
    known.add("shelf", "read", 1)
    assert not known.is_leaf("shelf", "read")


def test_answers_of_nodes_of_an_earlier_version_tell_nothing():
    assert trees([UNKNOWN_CALLS] * 100).mean_calls("shelf", "read") is None
    known = trees([0] * MIN_ANSWERS + [UNKNOWN_CALLS] * 100)
    assert known.is_leaf("shelf", "read")


def test_failures_before_a_call_do_not_make_a_leaf():
    assert not trees([0] * 100, is_complete=False).is_leaf("shelf", "read")
    known = trees([0] * MIN_ANSWERS)
    known.add("shelf", "read", 1, is_complete=False)
    assert not known.is_leaf("shelf", "read")


def test_the_number_of_routes_is_bounded():
    known = CallTrees()
    for number in range(MAX_ROUTES + 50):
        known.add("shelf", f"read-{number}", 1)
    assert repr(known) == f"CallTrees(n_routes={MAX_ROUTES})"
