import json

import pytest
from typer.testing import CliRunner

from ibisspoke_ctl.exit_code import ExitCode
from ibisspoke_ctl.main import app


def line(at_ms, node, event, request="abc", **fields):
    entry = {"level": "INFO", "event": event, "node": node, "at_ms": at_ms}
    return json.dumps({**entry, "request": request, **fields})


def explain(*arguments, text=None):
    return CliRunner().invoke(app, ["explain", *map(str, arguments)], input=text)


@pytest.fixture
def logs(tmp_path):
    entry_log = tmp_path / "entry.log"
    entry_log.write_text(
        "\n".join(
            [
                line(90, "a-1", "refused 503", "other", reason="full"),
                line(
                    130, "a-1", "refused 502", reason="the answer was cut", held_ms=30
                ),
                "  12.5 sidecar no json here abc",
                '{"request": "abc", "cut',
            ]
        )
    )
    gate_log = tmp_path / "gate.log"
    gate_log.write_text(
        "0.1 vm-2 " + line(120, "a-2", "attempt failed", kind="FAILED", limit=54)
    )
    return [entry_log, gate_log]


def test_lines_of_all_nodes_come_in_order(logs, snapshot):
    result = explain("abc", *logs)
    assert result.exit_code == ExitCode.OK
    assert result.stdout == snapshot


def test_json_holds_the_same(logs):
    report = json.loads(explain("abc", *logs, "--json").stdout)
    assert [entry["node"] for entry in report["lines"]] == ["a-2", "a-1"]


@pytest.mark.parametrize(
    ("event", "fields"),
    [
        ("refused 429", {"reason": "rate_exceeded"}),
        ("refused 401", {"reason": "key_unknown"}),
        ("refused 503", {"reason": "dependency_overloaded"}),
        ("refused 503", {"reason": "something new"}),
        ("refused 504", {"reason": "no answer within the time limit"}),
        ("answered after a repeat", {"n_sent": 2}),
        ("sent again", {"reason": "cut"}),
        ("cancelled", {"held_ms": 420}),
    ],
)
def test_each_outcome_has_an_explanation(event, fields, snapshot):
    result = explain("abc", text=line(1, "a-1", event, **fields))
    assert result.stdout.splitlines()[-1] == snapshot


def test_request_without_lines_is_reported(logs):
    result = explain("unknown", *logs)
    assert result.exit_code == ExitCode.NOT_FOUND
    assert "lines left out" in result.output


def test_unreadable_log_is_reported(tmp_path):
    assert explain("abc", tmp_path / "none").exit_code == ExitCode.BAD_INPUT
