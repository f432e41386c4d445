"""The pace of VMs that other programs slow by up to 2.5 for half a second at a time."""

import math

import pytest

from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.upstream_report import UpstreamReport
from ibisspoke_policy.vm_pace import VmPace, aged_pace, slowdown


def test_a_report_fades_and_means_nothing_after_half_a_second():
    # Guards against avoiding an upstream whose slowdown has ended.
    clock, pace = ManualClock(), VmPace()
    assert pace.at(clock.now_ms()) == 0.0
    pace.report(2.5, clock.now_ms())
    seen = []
    for _ in range(5):
        seen.append(pace.at(clock.now_ms()))
        clock.advance(100.0)
    assert seen[0] == 2.5
    assert seen == sorted(seen, reverse=True)
    assert all(value > 1.0 for value in seen)
    assert pace.at(clock.now_ms()) == 0.0


def test_the_age_at_the_node_adds_to_that_of_its_report():
    at_the_node = aged_pace(2.5, 120.0)
    assert math.isclose(aged_pace(at_the_node, 80.0), aged_pace(2.5, 200.0))


def test_a_report_means_nothing_after_half_a_second_at_several_nodes():
    # Guards against a slowdown that is passed on as fresh from node to node.
    pace = 2.5
    for _ in range(3):
        pace = aged_pace(pace, 167.0)
        assert pace > 1.0
    assert slowdown(pace) == 1.0


def test_a_late_report_does_not_replace_a_newer_one():
    pace = VmPace()
    pace.report(1.0, 100.0)
    pace.report(2.5, 50.0)
    assert pace.at(100.0) == 1.0


@pytest.mark.parametrize(
    ("pace", "factor"),
    [(0.0, 1.0), (0.2, 1.0), (1.0, 1.0), (1.5, 1.5), (2.5, 2.5), (20.0, 4.0)],
)
def test_a_pace_only_slows_and_only_as_far_as_is_believed(pace, factor):
    # Guards against all nodes choosing an upstream that claims to be fast.
    assert slowdown(pace) == factor


@pytest.mark.parametrize(
    "report",
    [
        UpstreamReport(-1, 0, 4, 1.0),
        UpstreamReport(1, -1, 4, 1.0),
        UpstreamReport(1, 0, -4, 1.0),
        UpstreamReport(10**9, 0, 4, 1.0),
        UpstreamReport(1, 0, 4, -2.5),
        UpstreamReport(1, 0, 4, 1e6),
        UpstreamReport(1, 0, 4, 0.001),
        UpstreamReport(1, 0, 4, math.nan),
        UpstreamReport(1, 0, 4, math.inf),
    ],
)
def test_figures_that_cannot_be_true_are_not_plausible(report):
    assert not report.is_plausible


def test_usual_figures_are_plausible():
    assert UpstreamReport(3, 0, 4).is_plausible
    assert UpstreamReport(40, 900, 36, 2.5).is_plausible
