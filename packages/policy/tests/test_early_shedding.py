from hypothesis import given, settings
from hypothesis import strategies as st

from ibisspoke_policy.admission import AdmissionLevel
from ibisspoke_policy.catalogue import Importance
from ibisspoke_policy.early_shedding import (
    PROBE_INTERVAL_MS,
    CallChainLevels,
    Candidate,
    EarlyShedder,
    rank,
)
from ibisspoke_policy.fair_share import max_min_cap


def level(shed: float, call_chain_shed: float = 0.0) -> AdmissionLevel:
    return AdmissionLevel(1.0, int(shed), 10, 100, shed % 1.0, call_chain_shed)


def candidate(
    number: int, organisation: str = "svea", importance: Importance = Importance.NORMAL
) -> Candidate:
    return Candidate("back.look", "back", organisation, importance, f"r{number}")


def shedder_with_level(shed: float, now_ms: float = 0.0) -> EarlyShedder:
    shedder = EarlyShedder()
    shedder.report("back.look", "back", level(shed), now_ms)
    return shedder


def n_refused(shedder: EarlyShedder, shed: float, organisation: str, n: int) -> int:
    return sum(shedder.refuses(candidate(i, organisation), shed, 1.0) for i in range(n))


def test_nothing_is_refused_before_a_level_is_told():
    shedder = EarlyShedder()
    assert shedder.level("back.look", "back", 0.0) == 0.0
    assert not shedder.refuses(candidate(1), 0.0, 0.0)


def test_lesser_importance_is_refused_whole_and_greater_not_at_all():
    shedder = shedder_with_level(2.5)
    low = candidate(1, importance=Importance.LOW)
    critical = candidate(1, importance=Importance.CRITICAL)
    assert shedder.refuses(low, 2.5, 1.0)
    assert not shedder.refuses(critical, 2.5, 1.0)


def test_share_of_the_boundary_importance_is_refused():
    shedder = shedder_with_level(1.7)
    assert 0.6 < n_refused(shedder, 1.7, "svea", 1_000) / 1_000 < 0.8


def test_every_hop_refuses_the_same_requests():
    first, second = shedder_with_level(1.5), shedder_with_level(1.5)
    n_refused(first, 1.5, "svea", 500)
    n_refused(second, 1.5, "svea", 400)
    for i in range(500, 700):
        request = candidate(i)
        if abs(rank(request.request_id) - 0.5) > 0.01:
            refused = [hop.refuses(request, 1.5, 500.0) for hop in (first, second)]
            assert refused[0] == refused[1]


def test_organisation_below_its_equal_part_is_not_refused():
    shedder = shedder_with_level(1.8)
    n_refused_greedy = 0
    n_refused_small = 0
    for i in range(1_000):
        shedder.report("back.look", "back", level(1.8), float(i))
        n_refused_greedy += shedder.refuses(candidate(i, "greedy"), 1.8, float(i))
        if i % 20 == 19:
            n_refused_small += shedder.refuses(candidate(i, "small"), 1.8, float(i))
    assert n_refused_small == 0
    assert n_refused_greedy > 700


def test_level_fades_when_no_answer_confirms_it():
    shedder = shedder_with_level(3.0)
    assert shedder.level("back.look", "back", 100.0) == 3.0
    assert shedder.level("back.look", "back", 1_000.0) < 1.0
    assert shedder.level("back.look", "back", 2_000.0) == 0.0


def test_one_request_probes_when_no_answer_came_lately():
    shedder = shedder_with_level(4.0)
    assert shedder.refuses(candidate(1), 4.0, 1.0)
    later_ms = PROBE_INTERVAL_MS + 1.0
    assert not shedder.refuses(candidate(2), 4.0, later_ms)
    assert shedder.refuses(candidate(3), 4.0, later_ms + 1.0)


def test_level_of_a_call_includes_what_it_usually_leads_to():
    shedder = shedder_with_level(2.5)
    chain = CallChainLevels(shedder)
    chain.nested("front.look", "back.look", "back", 1.0)
    assert chain.level("front.look", 1.0) == 2.5
    assert chain.level("front.other", 1.0) == 0.0
    for _ in range(100):
        chain.ended("front.look", set(), 2.0)
    assert chain.level("front.look", 2.0) == 0.0


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.dictionaries(st.text(max_size=3), st.floats(0.0, 1e3), max_size=8),
    st.floats(0.0, 1e3),
)
def test_max_min_shares_fit_and_nobody_gets_less_than_an_equal_part(demands, capacity):
    cap = max_min_cap(demands, capacity)
    admitted = sum(min(demand, cap) for demand in demands.values())
    assert admitted <= capacity + 1e-6 or sum(demands.values()) <= capacity
    for demand in demands.values():
        assert min(demand, cap) >= min(demand, capacity / len(demands)) - 1e-6
