import random
from collections import Counter

from ibisspoke_policy.route_profile import RouteProfile
from ibisspoke_policy.upstream_choice import (
    EXPLORATION_SHARE,
    Candidate,
    Distance,
    choose,
    sample,
)
from ibisspoke_policy.upstream_queue import Load

HERE = Distance(True, True, 1.0)
NEAR = Distance(False, True, 3.0)
FAR = Distance(False, False, 42.0)


def candidate(name: str, distance: Distance, **changes: object) -> Candidate:
    load = Load(0, 0, 50, 200.0, 0.0, ())._replace(**changes)
    return Candidate(name, distance, load, 0, 0, False)


def usual_profile(n_bytes: int = 2_000) -> RouteProfile:
    """Return the profile of a route that takes about 200 ms."""
    profile = RouteProfile()
    for took_ms in [140.0, 200.0, 280.0] * 40:
        profile.add(took_ms, 1.0, n_bytes)
    return profile


def picks(
    *candidates: Candidate,
    objective_ms: float = 1_500.0,
    n_bytes: int = 2_000,
    n_picks: int = 500,
) -> Counter[str]:
    rng = random.Random(3)
    profile = usual_profile(n_bytes)
    picked = (
        choose(list(candidates), profile, objective_ms, rng) for _ in range(n_picks)
    )
    return Counter(pick.id for pick in picked if pick is not None)


def chosen(*candidates: Candidate, **options: object) -> set[str]:
    """Return the candidates that are chosen more often than by exploration."""
    counts = picks(*candidates, **options)
    return {name for name, n in counts.items() if n > 2 * EXPLORATION_SHARE * 500}


def test_the_own_data_centre_comes_first_then_the_region():
    near, far = candidate("near", NEAR), candidate("far", FAR)
    assert chosen(candidate("here", HERE), near, far) == {"here"}
    assert chosen(near, far) == {"near"}


def test_a_full_upstream_sends_work_to_another_data_centre():
    full = candidate("here", HERE, n_running=50, n_queued=200)
    assert chosen(full, candidate("near", NEAR)) == {"near"}


def test_a_slow_upstream_is_avoided_where_the_objective_is_tight():
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
    here = candidate("here", HERE)._replace(n_pending=300)
    assert chosen(here, candidate("near", NEAR)) == {"near"}


def sampled(
    candidates: list[Candidate], rng: random.Random, unusable: str = "-"
) -> list[Candidate]:
    """Return a sample without the candidates whose name starts with ``unusable``."""
    groups = [
        [entry for entry in candidates if entry.distance == distance]
        for distance in (HERE, NEAR, FAR)
    ]
    return sample(groups, lambda entry: not entry.id.startswith(unusable), rng)


def test_a_sample_of_many_includes_the_own_data_centre():
    many = [candidate(f"far-{i}", FAR) for i in range(500)]
    for seed in range(50):
        few = sampled([*many, candidate("here", HERE)], random.Random(seed))
        assert len(few) <= 3
        assert chosen(*few) == {"here"}


def test_a_sample_holds_two_of_the_nearest_place_and_one_of_each_farther_one():
    near = [candidate(f"near-{i}", NEAR) for i in range(5)]
    far = [candidate(f"far-{i}", FAR) for i in range(5)]
    few = sampled(far + near, random.Random(1))
    assert sorted(entry.id.split("-")[0] for entry in few) == ["far", "near", "near"]
    assert {len(sampled(far[:1], random.Random(seed))) for seed in range(9)} == {1}


def test_a_sample_holds_a_usable_entry_where_there_is_one():
    near = [candidate(f"gone-{i}", NEAR) for i in range(40)]
    near.append(candidate("left", NEAR))
    far = [candidate(f"far-{i}", FAR) for i in range(3)]
    for seed in range(30):
        few = sampled(near + far, random.Random(seed), unusable="gone")
        assert sorted(entry.id.split("-")[0] for entry in few) == ["far", "left"]
    few = sampled(near[:40] + far, random.Random(1), unusable="gone")
    assert [entry.id.split("-")[0] for entry in few] == ["far", "far"]


def test_nodes_with_the_same_reports_do_not_all_send_to_the_least_loaded():
    # Guards against overloading one upstream after the other while the rest is idle.
    loads = [candidate(str(i), HERE, n_running=10 + 8 * i) for i in range(5)]
    profile = usual_profile()
    picked = Counter()
    for node in range(400):
        rng = random.Random(node)
        pick = choose(sampled(loads, rng), profile, 1_500.0, rng)
        picked[pick.id] += 1
    assert picked["0"] < 400 / 2
    assert set(picked) >= {"0", "1", "2", "3"}


def test_a_short_queue_is_left_for_an_idle_upstream_that_is_slower():
    queue = candidate("fast", HERE, n_running=50, n_queued=15)._replace(pace=1.0)
    idle = candidate("slow", HERE)._replace(pace=1.4)
    assert chosen(queue, idle, objective_ms=700.0) == {"slow"}


def test_a_slow_upstream_of_the_region_is_better_than_one_of_another():
    slow = candidate("here", HERE, service_ms=600.0)
    assert chosen(slow, candidate("far", FAR), objective_ms=500.0) == {"here"}


def test_an_upstream_that_has_just_joined_gets_its_part():
    known = candidate("here", HERE, service_ms=60.0)
    joined = candidate("joined", HERE, service_ms=0.0)
    assert chosen(known, joined) == {"here", "joined"}


def test_a_slow_upstream_gets_a_few_requests_and_a_failing_or_far_one_none():
    slow = candidate("slow", HERE, service_ms=900.0)
    failing = candidate("failing", HERE, failure_share=0.4)
    full = candidate("full", HERE, n_running=50, n_queued=200)
    here, far = candidate("here", HERE), candidate("far", FAR)
    counts = picks(here, slow, failing, full, far, n_picks=4_000)
    assert 0 < counts["slow"] < 0.05 * 4_000
    assert set(counts) == {"here", "slow"}


def test_large_answers_stay_in_the_data_centre_where_small_ones_do_not():
    slow = candidate("here", HERE)._replace(pace=3.0)
    near = candidate("near", NEAR)._replace(pace=1.0)
    assert chosen(slow, near, objective_ms=700.0, n_bytes=500) == {"near"}
    assert chosen(slow, near, objective_ms=700.0, n_bytes=20_000) == {"here"}


def test_own_answers_outweigh_the_reported_average():
    slow = candidate("slow", HERE)._replace(pace=4.0)
    long_requests = candidate("long", HERE, service_ms=800.0)._replace(pace=1.0)
    assert chosen(slow, long_requests) == {"long"}


def slowed(name: str, vm_pace: float, **changes: object) -> Candidate:
    return candidate(name, HERE, **changes)._replace(pace=1.0, vm_pace=vm_pace)


def test_an_upstream_whose_vm_is_slowed_is_avoided():
    # Other programs slow its VM 2.5 times at this moment.
    assert chosen(slowed("here", 2.5), slowed("other", 1.0)) == {"other"}
    assert chosen(slowed("here", 0.0), slowed("other", 0.0)) == {"here", "other"}


def test_a_slowed_upstream_is_better_than_a_long_queue_or_another_region():
    full = slowed("full", 1.0, n_running=50, n_queued=100)
    assert chosen(slowed("here", 2.5), full) == {"here"}
    assert chosen(slowed("here", 2.5), candidate("far", FAR)) == {"here"}


def test_a_vm_that_claims_to_be_fast_gets_no_more_than_others():
    counts = picks(slowed("fast", 0.1), slowed("usual", 1.0), n_picks=2_000)
    assert abs(counts["fast"] - counts["usual"]) < 0.1 * 2_000


def test_a_report_does_not_count_twice_where_only_the_average_time_is_known():
    # The average time of the upstream has risen with the slowdown already.
    here = candidate("here", HERE, service_ms=500.0)._replace(vm_pace=2.5)
    slower = candidate("slower", HERE)._replace(pace=3.0)
    assert chosen(here, slower, objective_ms=500.0) == {"here"}


def test_nodes_that_hear_of_slowed_vms_do_not_all_choose_the_same_upstream():
    # 4 of 10 VMs are slowed, and all nodes have the same reports.
    vms = [slowed(str(i), 2.5 if i < 4 else 1.0, n_running=20) for i in range(10)]
    profile, picked = usual_profile(), Counter()
    for node in range(1_000):
        rng = random.Random(node)
        picked[choose(sampled(vms, rng), profile, 1_500.0, rng).id] += 1
    usual = [picked[str(i)] for i in range(4, 10)]
    assert max(usual) < 2 * 1_000 / 10
    assert min(usual) > max(picked[str(i)] for i in range(4))
    assert sum(picked[str(i)] for i in range(4)) > 0.05 * 1_000


def test_a_reported_pace_is_no_reason_to_refuse_or_fail():
    profile, rng = usual_profile(), random.Random(1)
    assert choose([slowed("here", 4.0)], profile, 1_500.0, rng).id == "here"
