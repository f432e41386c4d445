import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibisspoke_policy.admission import AdmissionLevel
from ibisspoke_policy.catalogue import Importance
from ibisspoke_policy.link_budget import LINK_BYTES_PER_S, LinkBudget, LinkTraffic
from ibisspoke_policy.member import Member, MemberState, MemberTable
from ibisspoke_policy.member_index import NodeLocation
from ibisspoke_policy.nearest_router import NearestRouter
from ibisspoke_policy.routing import RouteQuery

QUERY = RouteQuery("ordering", Importance.NORMAL, 100)
IDLE = AdmissionLevel(0.1, 0, 10, 0)
FULL = AdmissionLevel(1.5, 0, 10, 0)
REFUSING = AdmissionLevel(2.0, Importance.CRITICAL, 10, 200)
LOCATION = NodeLocation("a", "north", "north-1")


def make_member(id: str, data_centre: str = "north-1", **fields) -> Member:
    region = data_centre.split("-")[0]
    row = Member(
        id, 1, region, data_centre, "127.0.0.1", 1, 2, 3, "ordering", 10, False,
        MemberState.ALIVE, 1, 4,
    )  # fmt: skip
    return row._replace(**fields)


def make_router(*rows: Member, seed: int = 1) -> NearestRouter:
    members: MemberTable = MemberTable("members")
    for row in rows:
        members.put(row.id, row)
    return NearestRouter(members, LOCATION, random.Random(seed), 0.0)


def report(router: NearestRouter, id: str, level: AdmissionLevel | None, now_ms=0.0):
    router.sent(id, now_ms)
    router.done(id, level, now_ms)


def chosen(router: NearestRouter, now_ms=0.0, n=200, query=QUERY) -> set[str | None]:
    picks = (router.choose(query, now_ms) for _ in range(n))
    return {pick.id if pick else None for pick in picks}


def fleet() -> list[Member]:
    return [
        make_member("a"),
        make_member("b"),
        make_member("c", "north-2"),
        make_member("d", "south-1"),
    ]


def test_nearest_first_and_outwards_only_when_the_nearer_is_full():
    router = make_router(*fleet())
    assert chosen(router) == {"a"}
    report(router, "a", FULL)
    assert chosen(router) == {"b"}
    report(router, "b", FULL)
    assert chosen(router) == {"c"}


def test_other_region_only_when_the_own_would_refuse():
    router = make_router(*fleet())
    for id in "abc":
        report(router, id, FULL)
    assert "d" not in chosen(router)
    for id in "abc":
        report(router, id, REFUSING)
    assert chosen(router) == {"d"}


def test_a_node_is_tried_again_after_its_refusal_expired_one_attempt_at_a_time():
    router = make_router(make_member("a"), make_member("d", "south-1"))
    report(router, "a", REFUSING, 0.0)
    assert chosen(router, 199.0) == {"d"}
    assert chosen(router, 201.0) == {"a"}
    router.sent("a", 201.0)
    assert chosen(router, 202.0) == {"d"}
    router.done("a", IDLE, 203.0)
    assert chosen(router, 203.0) == {"a"}


def test_a_full_node_is_full_until_it_has_headroom():
    router = make_router(make_member("a"), make_member("b"))
    report(router, "a", FULL._replace(retry_after_ms=1000), 0.0)
    report(router, "a", FULL._replace(load=0.9), 10.0)
    assert chosen(router, 11.0) == {"b"}
    report(router, "a", FULL._replace(load=0.7), 20.0)
    assert chosen(router, 21.0) == {"a"}


def test_important_attempts_are_not_kept_from_a_node_that_sheds_lesser_ones():
    router = make_router(make_member("a"), make_member("d", "south-1"))
    level = AdmissionLevel(0.9, Importance.HIGH, 10, 200)
    report(router, "a", level)
    assert chosen(router) == {"d"}
    assert chosen(router, query=QUERY._replace(importance=Importance.HIGH)) == {"a"}


def test_the_share_that_is_shed_in_part_goes_where_nothing_is_shed():
    router = make_router(make_member("a"), make_member("d", "south-1"))
    partly = AdmissionLevel(0.9, Importance.NORMAL, 10, 200, shed_share=0.4)
    report(router, "a", partly)
    assert chosen(router) == {"a"}
    assert chosen(router, query=QUERY._replace(is_shed=True)) == {"d"}
    assert router.early_refusal_level(QUERY._replace(is_shed=True), 1.0) is None
    report(router, "d", partly)
    first = QUERY._replace(is_shed=True, far_rank=0.39)
    assert router.early_refusal_level(first, 1.0) is not None
    last = QUERY._replace(is_shed=True, far_rank=0.41)
    assert chosen(router, query=last) == {"d"}
    assert router.early_refusal_level(QUERY, 1.0) is None


def test_two_choices_prefer_the_less_loaded():
    router = make_router(*(make_member(id) for id in "bcd"))
    for _ in range(10):
        router.sent("b", 0.0)
    picks = [router.choose(QUERY, 0.0).id for _ in range(300)]
    assert picks.count("b") < 60


def test_reported_load_fades_with_its_age():
    router = make_router(make_member("b"), make_member("c"))
    report(router, "b", IDLE._replace(load=0.9), 0.0)
    report(router, "c", IDLE._replace(load=0.3), 0.0)
    report(router, "c", IDLE._replace(load=0.3), 5_000.0)
    picks = [router.choose(QUERY, 5_000.0).id for _ in range(300)]
    assert picks.count("b") > 150


@pytest.mark.parametrize(
    "fields",
    [
        {"draining": True},
        {"state": MemberState.DEAD},
        {"state": MemberState.LEFT},
        {"service": ""},
    ],
)
def test_members_that_take_no_calls_get_none(fields):
    assert chosen(make_router(make_member("b", **fields))) == {None}


def test_suspects_and_silent_nodes_come_after_the_other_region():
    suspect = make_member("b", state=MemberState.SUSPECT)
    router = make_router(suspect, make_member("c"), make_member("d", "south-1"))
    report(router, "c", None, 0.0)
    report(router, "c", None, 0.0)
    assert chosen(router, 10.0) == {"d"}
    assert chosen(router, 1_001.0) == {"c"}
    assert chosen(make_router(suspect)) == {"b"}


def test_unreachable_data_centre_gets_nothing_until_it_is_reachable():
    router = make_router(make_member("d", "south-1"))
    router.set_unreachable(frozenset({"south-1"}))
    assert chosen(router) == {None}
    router.set_unreachable(frozenset())
    assert chosen(router) == {"d"}


def test_excluded_nodes_get_nothing():
    router = make_router(make_member("b"), make_member("c"))
    assert chosen(router, query=QUERY._replace(excluded=["b"])) == {"c"}


def test_a_changed_row_is_taken_in():
    members: MemberTable = MemberTable("members")
    router = NearestRouter(members, LOCATION, random.Random(1), 0.0)
    members.put("b", make_member("b"))
    assert chosen(router) == {"b"}
    members.put("b", make_member("b", draining=True))
    assert chosen(router) == {None}


def test_sheds_early_only_when_every_node_in_reach_would_refuse():
    router = make_router(make_member("b"), make_member("c"))
    report(router, "b", REFUSING)
    assert router.early_refusal_level(QUERY, 1.0) is None
    report(router, "c", REFUSING._replace(retry_after_ms=90))
    assert router.early_refusal_level(QUERY, 1.0).retry_after_ms == 90
    assert router.early_refusal_level(QUERY, 91.0) is None
    assert router.early_refusal_level(QUERY._replace(service="returns"), 1.0) is None


def test_link_budget_is_shared_and_large_bodies_go_last():
    router = make_router(*(make_member(id, "south-1") for id in "de"))
    large = QUERY._replace(n_bytes=100_000)
    assert chosen(router, query=large) == {"d", "e"}
    burst = LINK_BYTES_PER_S
    router.count_bytes("d", int(burst * 0.6), 0.0)
    assert chosen(router, query=large) == {None}
    assert chosen(router) == {"d", "e"}
    router.count_bytes("d", int(burst * 0.5), 0.0)
    assert chosen(router) == {None}


def test_calls_and_control_are_counted_apart():
    budget = LinkBudget(10, 0.0)
    budget.spend(LinkTraffic.CONTROL, 10**9, 0.0)
    budget.spend(LinkTraffic.CALLS, 5, 0.0)
    assert budget.allows(10, 0.0)
    assert budget.n_bytes_by_traffic == {"calls": 5, "control": 10**9}


@given(
    n_nodes=st.integers(1, 4_000),
    sizes=st.lists(st.integers(1, 200_000), min_size=1, max_size=300),
)
def test_bytes_sent_stay_within_the_share_plus_one_burst_and_body(n_nodes, sizes):
    budget = LinkBudget(n_nodes, 0.0)
    burst = max(65_536.0, LINK_BYTES_PER_S * 0.9 / n_nodes * 10.0)
    n_sent = 0
    now_ms = 0.0
    for size in sizes:
        now_ms += 50.0
        if budget.allows(size, now_ms):
            budget.spend(LinkTraffic.CALLS, size, now_ms)
            n_sent += size
    earned = LINK_BYTES_PER_S * 0.9 / n_nodes * now_ms / 1000.0
    assert n_sent <= earned + min(burst, LINK_BYTES_PER_S) + max(sizes)


@given(seed=st.integers(0, 10_000))
def test_load_does_not_swing_between_regions_while_the_own_can_serve(seed):
    """No attempt leaves the region while its nodes report loads near the limit."""
    rng = random.Random(seed)
    router = make_router(
        make_member("b"), make_member("c"), make_member("d", "south-1"), seed=seed
    )
    for step in range(200):
        member = router.choose(QUERY, step * 5.0)
        assert member.id != "d"
        router.sent(member.id, step * 5.0)
        load = rng.choice([0.5, 0.7, 1.05])
        router.done(member.id, IDLE._replace(load=load), step * 5.0 + 2.0)


def test_wait_for_the_link_is_told_only_where_the_link_is_the_reason():
    router = make_router(make_member("a", service="other"), make_member("d", "south-1"))
    large = QUERY._replace(n_bytes=1_000_000)
    assert router.link_wait_ms(large, 0.0) is None
    router.count_bytes("d", 10_000_000, 0.0)
    wait_ms = router.link_wait_ms(large, 0.0)
    assert wait_ms is not None
    assert router.choose(large, 0.0) is None
    assert router.choose(large, wait_ms + 1.0).id == "d"
    assert router.link_wait_ms(large._replace(service="none"), 0.0) is None
