import json

import pytest
from typer.testing import CliRunner

from ibisspoke_ctl.exit_code import ExitCode
from ibisspoke_ctl.main import app
from ibisspoke_policy.admission import Capacity, Ending, Ticket
from ibisspoke_policy.admission_controller import UpstreamAdmissionController
from ibisspoke_policy.catalogue import Importance
from ibisspoke_policy.trace import TracedController, make_header


@pytest.fixture
def trace(tmp_path):
    lines = []
    controller = TracedController(
        UpstreamAdmissionController(now_ms=0.0),
        make_header("gradient", 0.0),
        lines.append,
    )
    controller.announce(Capacity(2, 10), 0.0)
    for number in range(1, 7):
        importance = Importance(number % 4)
        controller.offer(Ticket(number, "svea", importance, 1_000.0), float(number))
    controller.finish(1, Ending(True), 20.0)
    controller.tick(5_000.0)
    path = tmp_path / "surge.v1.jsonl"
    path.write_bytes(b"\n".join(lines) + b"\n")
    return path


def replay(*arguments):
    result = CliRunner().invoke(app, ["replay", *map(str, arguments)])
    assert result.exception is None or isinstance(result.exception, SystemExit)
    return result


def test_same_decisions_hold_and_are_counted(trace):
    result = replay(trace)
    assert result.exit_code == ExitCode.OK, result.output
    assert "9 steps" in result.stdout
    report = json.loads(replay(trace, "--json").stdout)
    assert report["divergences"] == report["misses"] == []
    assert sum(report["outcome"]["n_offered_by_class"].values()) == 6


def test_stated_outcome_next_to_the_trace_is_checked(trace):
    stated = trace.with_name("surge.v1.outcome.json")
    stated.write_text(json.dumps({"max_in_flight": 2}))
    assert replay(trace).exit_code == ExitCode.OK
    stated.write_text(json.dumps({"max_in_flight": 0}))
    result = replay(trace)
    assert result.exit_code == ExitCode.FAILED
    assert "missed: " in result.stdout


def test_other_decisions_are_shown_with_their_line(trace):
    lines = trace.read_text().splitlines()
    step = json.loads(lines[2])
    step["decisions"][0]["attempt_id"] = 99
    lines[2] = json.dumps(step)
    trace.write_text("\n".join(lines))
    result = replay(trace)
    assert result.exit_code == ExitCode.FAILED
    assert "differs at line 3" in result.stdout


@pytest.mark.parametrize(
    ("text", "place"),
    [("", ":0:"), ("hello", ":1:"), ('{"trace": "admission"}', ":1:")],
)
def test_file_that_is_no_trace_is_refused_with_a_remedy(tmp_path, text, place):
    path = tmp_path / "x.jsonl"
    path.write_text(text)
    result = replay(path)
    assert result.exit_code == ExitCode.BAD_INPUT
    assert place in result.stderr


def test_cut_trace_is_refused(trace):
    trace.write_bytes(trace.read_bytes()[:-20])
    result = replay(trace)
    assert result.exit_code == ExitCode.BAD_INPUT
    assert "cut off" in result.stderr


@pytest.mark.parametrize(
    ("stated", "detail"),
    [
        ('{"max_inflight": 1}', "max_inflight is unknown"),
        ('{"max_in_flight": "1"}', "Expected `int`"),
        ("[", "cannot be used"),
    ],
)
def test_stated_outcome_with_mistakes_is_refused(trace, tmp_path, stated, detail):
    path = tmp_path / "stated.json"
    path.write_text(stated)
    result = replay(trace, "--stated", path)
    assert result.exit_code == ExitCode.BAD_INPUT
    assert detail in result.stderr


def test_missing_files_are_refused(trace, tmp_path):
    missing = tmp_path / "missing"
    assert replay(missing).exit_code == ExitCode.BAD_INPUT
    assert replay(trace, "--stated", missing).exit_code == ExitCode.BAD_INPUT
