"""Recorded traces replay to the same decisions and to their expected outcomes."""

from pathlib import Path

import msgspec
import pytest

from ibisspoke_policy.admission import Capacity
from ibisspoke_policy.admission_controller import UpstreamAdmissionController
from ibisspoke_policy.catalogue import Importance
from ibisspoke_policy.replay import ExpectedOutcome, check, replay
from ibisspoke_policy.trace import Step, TracedController, make_header
from ibisspoke_standins.modelled_upstream import ModelledUpstream

TRACES = Path(__file__).with_name("traces")
NAMES = sorted(path.stem for path in TRACES.glob("*.jsonl"))


def lines_of(name: str) -> list[bytes]:
    return (TRACES / f"{name}.jsonl").read_bytes().splitlines()


def expected_outcome(name: str) -> ExpectedOutcome:
    data = (TRACES / f"{name}.outcome.json").read_bytes()
    return msgspec.json.decode(data, type=ExpectedOutcome)


@pytest.mark.parametrize("name", NAMES)
def test_trace_replays_to_the_same_decisions_and_the_stated_outcome(name):
    report = replay(lines_of(name)).unwrap()
    assert report.n_steps == len(lines_of(name)) - 1
    assert report.divergences == []
    assert check(report.outcome, expected_outcome(name)) == []


def test_there_are_traces_of_all_sessions():
    assert {"surge", "hang", "drain"} <= set(NAMES)


def test_changed_decision_is_reported_with_its_line():
    lines = lines_of("surge")
    at = next(i for i, line in enumerate(lines) if b'"refused"' in line)
    step = msgspec.json.decode(lines[at], type=Step)
    step["decisions"] = []
    lines[at] = msgspec.json.encode(step)
    (divergence,) = replay(lines).unwrap().divergences
    assert (divergence.line, divergence.recorded) == (at + 1, [])
    assert divergence.replayed[0]["event"] == "refused"


def test_missed_outcome_is_named():
    outcome = replay(lines_of("surge")).unwrap().outcome
    misses = check(outcome, ExpectedOutcome(min_started_share={"low": 1.0}))
    assert misses[0].startswith("started 0.")
    assert check(outcome, ExpectedOutcome(max_in_flight=1)) == ["4 in flight at once"]


@pytest.mark.parametrize(
    ("lines", "line"),
    [
        ([], 0),
        ([b"{}"], 1),
        ([msgspec.json.encode(make_header("none", 0.0))], 1),
        ([msgspec.json.encode(make_header("fixed", 0.0)), b'{"op":"off'], 2),
    ],
)
def test_broken_trace_is_reported_with_a_remedy(lines, line):
    problem = replay(lines).unwrap_err()
    assert problem.line == line
    assert problem.remedy


def test_session_of_a_hang_as_a_golden_file(snapshot):
    lines: list[bytes] = []
    controller = TracedController(
        UpstreamAdmissionController(), make_header("gradient", 0.0), lines.append
    )
    controller.announce(Capacity(2, 20), 0.0)
    upstream = ModelledUpstream(controller, lambda n_running: 20.0)
    upstream.offer("svea", Importance.LOW)
    upstream.advance(25.0)
    upstream.is_hung = True
    for importance in (*Importance, Importance.CRITICAL):
        upstream.offer("gota", importance, timeout_ms=5_000.0)
    upstream.advance(1_500.0)
    upstream.offer("svea", Importance.NORMAL, idempotent=False)
    upstream.offer("svea", Importance.NORMAL)
    upstream.is_hung = False
    upstream.advance(400.0)
    for _ in range(3):
        upstream.offer("svea")
        upstream.advance(30.0)
    text = b"\n".join(line for line in lines if b'"decisions"' in line)
    assert text.decode() == snapshot
