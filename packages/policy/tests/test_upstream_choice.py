import random

from ibisspoke_policy.upstream_choice import Candidate, Distance, choose
from ibisspoke_policy.upstream_queue import Load

HERE = Distance(True, True, 1.0)
NEAR = Distance(False, True, 3.0)
FAR = Distance(False, False, 42.0)


def candidate(name: str, distance: Distance, **changes: object) -> Candidate:
    load = Load(0, 0, 50, 200.0, 0.0, 0.0)._replace(**changes)
    return Candidate(name, distance, load, 0, 0, False)


def chosen(*candidates: Candidate, objective_ms: float = 1_500.0) -> set[str]:
    rng = random.Random(3)
    picks = (choose(list(candidates), 200.0, objective_ms, rng) for _ in range(50))
    return {pick.id for pick in picks if pick is not None}


def test_the_own_data_centre_comes_first_then_the_region():
    near, far = candidate("near", NEAR), candidate("far", FAR)
    assert chosen(candidate("here", HERE), near, far) == {"here"}
    assert chosen(near, far) == {"near"}


def test_a_full_upstream_sends_work_to_another_data_centre():
    full = candidate("here", HERE, n_running=50, n_queued=200)
    assert chosen(full, candidate("near", NEAR)) == {"near"}


def test_a_slow_upstream_loses_where_the_objective_is_near():
    slow = candidate("here", HERE, service_ms=600.0)
    assert chosen(slow, candidate("near", NEAR), objective_ms=500.0) == {"near"}


def test_a_failing_upstream_is_avoided():
    failing = candidate("here", HERE, failure_share=0.5)
    assert chosen(failing, candidate("near", NEAR)) == {"near"}


def test_an_upstream_that_takes_nothing_comes_last():
    closed = candidate("here", HERE, limit=0)
    assert chosen(closed, candidate("far", FAR)) == {"far"}
    assert chosen(closed) == {"here"}


def test_own_requests_on_their_way_count():
    here = candidate("here", HERE)._replace(n_own=300)
    assert chosen(here, candidate("near", NEAR)) == {"near"}


def test_a_sample_of_many_still_knows_the_own_data_centre():
    many = [candidate(f"far-{i}", FAR) for i in range(500)]
    assert chosen(candidate("here", HERE), *many) == {"here"}


def test_a_slow_upstream_of_the_region_is_better_than_one_of_another():
    slow = candidate("here", HERE, service_ms=600.0)
    assert chosen(slow, candidate("far", FAR), objective_ms=500.0) == {"here"}


def test_an_upstream_that_has_just_joined_gets_its_part():
    known = candidate("here", HERE, service_ms=60.0)
    joined = candidate("joined", HERE, service_ms=0.0)
    assert chosen(known, joined) == {"here", "joined"}
