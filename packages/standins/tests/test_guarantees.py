import pytest

from ibisspoke_standins import guarantees
from ibisspoke_standins.callers import Outcome
from ibisspoke_standins.demo_report import recovery_ms, summarise_organisation

GOOD = Outcome("svea", "order", "svea-1", "svea-1.1", 1, 0.0, 10.0, 200, "", "", True)


def refused(kind, ran="not_run", **fields):
    fields = {"status": 503, "refusal": kind, "ran": ran, "is_complete": False} | fields
    return GOOD._replace(**fields)


def test_an_order_that_runs_in_two_attempts_is_doubled():
    orders = ["svea-1", "svea-2"]
    assert guarantees.check_orders_run_at_most_once(
        orders, {"svea-1.1": 1, "svea-2.2": 1}
    ).holds
    violated = guarantees.check_orders_run_at_most_once(
        orders, {"svea-1.1": 1, "svea-1.2": 1}
    )
    assert (violated.n_violations, violated.examples) == (1, ["svea-1"])
    assert not guarantees.check_orders_run_at_most_once(orders, {"svea-2.1": 2}).holds


def test_more_runs_than_retries_allow_are_found():
    runs = {"svea-1.1": 3, "nested-svea-1.1": 1}
    assert guarantees.check_retries_bounded(runs, 2).holds
    violated = guarantees.check_retries_bounded(runs, 1)
    assert violated.examples == ["svea-1.1 ran 3 times"]


def test_not_run_is_false_where_an_upstream_ran_it():
    outcomes = [refused("overloaded"), refused("outcome_unknown", "unknown")]
    assert guarantees.check_not_run_refusals(outcomes, {}).holds
    assert guarantees.check_not_run_refusals(outcomes[1:], {"svea-1.1": 1}).holds
    assert not guarantees.check_not_run_refusals(outcomes, {"svea-1.1": 1}).holds


def test_cut_or_foreign_answers_are_found():
    assert guarantees.check_answers_complete([GOOD, refused("overloaded")]).holds
    assert not guarantees.check_answers_complete(
        [GOOD._replace(is_complete=False)]
    ).holds


@pytest.mark.parametrize(
    ("outcome", "holds"),
    [
        (GOOD._replace(started_ms=6_001.0), False),
        (GOOD._replace(started_ms=5_999.0), True),
        (refused("unknown_key", started_ms=9_000.0), True),
        (refused("overloaded", started_ms=9_000.0), False),
        (GOOD._replace(started_ms=9_000.0, request="other-1"), True),
    ],
)
def test_withdrawn_key_must_be_unknown_after_the_grace(outcome, holds):
    result = guarantees.check_withdrawn_key_rejected(
        [outcome], "svea", 1_000.0, 5_000.0
    )
    assert result.holds is holds


def test_work_after_a_drain_is_found():
    assert guarantees.check_no_work_after_drain([1.0, 3_000.0], 0.0, 3_000.0).holds
    assert not guarantees.check_no_work_after_drain([1.0, 3_001.0], 0.0, 3_000.0).holds


def test_requests_open_at_a_planned_stop_must_be_answered():
    cut = refused("no_reply", "unknown", started_ms=5.0, ended_ms=20.0)
    assert not guarantees.check_stop_answers_open_requests([cut], 1, 10.0).holds
    assert guarantees.check_stop_answers_open_requests([cut], 2, 10.0).holds
    assert guarantees.check_stop_answers_open_requests([GOOD], 1, 5.0).holds


def test_rate_counts_every_run_of_an_organisation():
    numbers = [f"svea-0-lookup-{n}.1" for n in range(21)] + ["nested-svea-1.1"]
    allowance = guarantees.Allowance(10.0, 1.0)
    assert guarantees.check_rate_limit(numbers, "svea", allowance, 2_000.0).holds
    assert not guarantees.check_rate_limit(numbers, "svea", allowance, 1_900.0).holds


@pytest.mark.parametrize(
    ("outcome", "holds"),
    [
        (refused("rate_exceeded", started_ms=15.0), False),
        (refused("no_catalogue", started_ms=15.0), False),
        (refused("rate_exceeded", started_ms=20.0), True),
        (refused("overloaded", started_ms=15.0), True),
        (refused("rate_exceeded", started_ms=15.0, organisation="other"), True),
    ],
)
def test_refusals_that_need_the_platform_are_found_during_its_outage(outcome, holds):
    result = guarantees.check_served_without_platform([outcome], "svea", (10.0, 20.0))
    assert result.holds is holds


def test_lower_version_after_a_higher_one_is_found():
    assert guarantees.check_versions_never_revert({"n1": [0, 1, 1, 3], "n2": []}).holds
    assert not guarantees.check_versions_never_revert({"n1": [0, 2, 1]}).holds


def test_key_in_any_text_is_found():
    texts = {"n1.log": "{}", "upstream": '[{"Accept": "*/*"}]'}
    assert guarantees.check_keys_not_exposed(["ibk_1"], texts).holds
    leaked = texts | {"n1.log": "key ibk_1 is unknown"}
    assert guarantees.check_keys_not_exposed(["ibk_1"], leaked).examples == ["n1.log"]


def test_share_counts_requests_inside_the_rate_once():
    outcomes = [refused("overloaded"), GOOD._replace(number="svea-1.2")]
    outcomes += [refused("rate_exceeded", request=f"svea-{n}") for n in range(2, 5)]
    outcomes.append(refused("unknown_key", request="svea-9"))
    assert summarise_organisation(outcomes, "svea", 2.0) == ("svea", 4, 1, 0.5)


def test_recovery_is_the_first_window_as_busy_as_before():
    before = [float(t) for t in range(0, 5_000, 10)]
    after = [float(t) for t in range(8_000, 8_200, 50)]
    after += [float(t) for t in range(9_000, 10_000, 10)]
    took_ms = recovery_ms(before + after, (0.0, 5_000.0), 8_000.0)
    assert took_ms == 1_440.0
    assert recovery_ms(before + after[:4], (0.0, 5_000.0), 8_000.0) is None
