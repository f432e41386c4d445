"""Tests of operator sessions against golden files."""

import asyncio
import re
from contextlib import contextmanager

import msgspec
import pytest
from typer.testing import CliRunner

import ibisspoke_ctl.session
from ibisspoke_ctl.exit_code import ExitCode
from ibisspoke_ctl.main import app
from ibisspoke_ctl.session import Session
from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.member import Member, MemberState
from ibisspoke_standins.memory_store import Fault, FaultKind, FaultScope, MemoryStore
from ibisspoke_storage.config_records import InForceRecord, in_force_key
from ibisspoke_storage.config_store import ConfigStore
from ibisspoke_storage.member_records import member_key
from ibisspoke_storage.store import Write

CATALOGUE = """\
[data_centres.svealand-1]
quota_slots = 2

[organisations.karlstad]
rate_per_s = 10
burst = 5

[calls."ordering.place-order"]
service = "ordering"
method = "POST"
path = "/orders"
owner = "ordering-team"
importance = "critical"
idempotent = false
"""

KEY = re.compile(r"ibk_[A-Za-z0-9_-]{43}")
DIGEST = re.compile(r"\b[0-9a-f]{64}\b")
SHORT_DIGEST = re.compile(r"\b[0-9a-f]{12}\b")
OPERATION = re.compile(r"\b[0-9a-f]{32}\b")


async def no_sleep(delay_s):
    pass


class Operator:
    """Runs commands and records their output."""

    def __init__(self, monkeypatch, tmp_path):
        self.memory = MemoryStore()
        self.clock = ManualClock(1_700_000_000_000.0)
        self.transcript = []
        self.working_directory = tmp_path
        self.last_result = None
        monkeypatch.chdir(tmp_path)
        monkeypatch.setattr(ibisspoke_ctl.session, "open_session", self.open_session)

    @contextmanager
    def open_session(self, platform):
        store = ConfigStore(self.memory, self.memory, self.clock, no_sleep)
        yield Session(store, self.memory, self.clock)

    def write(self, name, text):
        (self.working_directory / name).write_text(text)

    def run(self, command, *arguments, stdin=None):
        env = {"IBISSPOKE_PLATFORM": "http://store", "IBISSPOKE_WHO": "karin"}
        args = [*command.split(), *arguments]
        self.last_result = CliRunner().invoke(app, args, input=stdin, env=env)
        assert self.last_result.exception is None or isinstance(
            self.last_result.exception, SystemExit
        ), self.last_result.exception
        self.clock.advance(1_000.0)
        typed = " ".join(redact(part) for part in args)
        self.transcript.append(
            f"$ ibisspoke {typed}\n{redact(self.last_result.output)}"
            f"[exit {self.last_result.exit_code}]"
        )
        return self.last_result.exit_code

    def apply(self, name="catalogue.toml", *arguments):
        return self.run(f"apply {name} --yes --why", "more shops", *arguments)

    @property
    def output(self):
        return "\n".join(self.transcript)


def redact(text):
    text = KEY.sub("ibk_KEY", text)
    text = DIGEST.sub("DIGEST", text)
    text = OPERATION.sub("OPERATION", text)
    return SHORT_DIGEST.sub("ID__________", text)


@pytest.fixture
def operator(monkeypatch, tmp_path):
    operator = Operator(monkeypatch, tmp_path)
    operator.write("catalogue.toml", CATALOGUE)
    return operator


def test_typical_commands_of_an_operator(operator, snapshot):
    operator.run("status")
    operator.run("check catalogue.toml")
    operator.apply()
    operator.apply()
    operator.run("keys give karlstad --label till-1 --why", "new till")
    operator.run("keys give karlstad --label till-2 --why", "new till")
    operator.run("keys list")
    operator.write("catalogue.toml", CATALOGUE.replace("= 10", "= 20"))
    operator.run("diff catalogue.toml")
    operator.apply("catalogue.toml", "--base", "3")
    operator.run("show")
    operator.run("keys withdraw --all-of karlstad --why", "till was stolen")
    operator.run("keys list --json")
    operator.run("history -n 3")
    operator.run("audit 4")
    operator.run("diff --from 1 --to 4")
    operator.run("audit 9")
    assert operator.output == snapshot


def test_bad_catalogue_shows_every_mistake(operator, snapshot):
    bad = CATALOGUE.replace("= 10", "= -10").replace('"POST"', '"SEND"')
    operator.write("catalogue.toml", bad.replace("idempotent", "idempotnet"))
    operator.write("broken.toml", "[calls\n")
    operator.write("node.toml", '[node]\nid = "n 1"\n')
    operator.run("check catalogue.toml broken.toml node.toml missing.toml")
    operator.run("check node.toml --json")
    operator.apply()
    assert operator.memory.stats.n_writes == 0
    assert operator.output == snapshot


def test_racing_operators(operator, snapshot):
    operator.apply()
    operator.write("mine.toml", CATALOGUE.replace("= 10", "= 20"))
    operator.write("theirs.toml", CATALOGUE.replace("burst = 5", "burst = 50"))
    operator.apply("theirs.toml", "--base", "1")
    assert operator.apply("mine.toml", "--base", "1") == ExitCode.CONFLICT
    operator.run("history -n 1")
    assert operator.output == snapshot


def test_questions_and_answers(operator, snapshot):
    assert operator.run("apply catalogue.toml --why x", stdin="n\n") != 0
    assert operator.memory.stats.n_writes == 0
    operator.run("apply catalogue.toml --why x", stdin="y\n")
    operator.run("apply catalogue.toml")
    operator.run("keys withdraw --why x")
    operator.run("keys withdraw abcdef --why x")
    operator.run("keys give nobody --label l --why x")
    operator.run("diff")
    assert operator.output == snapshot


def test_store_that_is_down_is_reported(operator, snapshot):
    operator.memory.inject(Fault(FaultKind.DOWN))
    assert operator.run("status") == ExitCode.UNAVAILABLE
    assert operator.apply() == ExitCode.UNAVAILABLE
    assert operator.run("keys list") == ExitCode.UNAVAILABLE
    assert operator.output == snapshot


def test_lost_answers_do_not_apply_twice(operator):
    operator.memory.inject(Fault(FaultKind.ANSWER_LOST, n_requests=2))
    assert operator.apply() == ExitCode.OK
    repeat_code = operator.apply("catalogue.toml", "--operation-id", "op-1")
    assert repeat_code == ExitCode.OK
    assert "already matches this catalogue" in operator.last_result.output
    assert operator.memory.stats.n_commits_applied == 1


def test_repeated_operation_reports_the_version_it_made(operator):
    operator.apply("catalogue.toml", "--operation-id", "op-1")
    operator.write("catalogue.toml", CATALOGUE.replace("= 10", "= 20"))
    operator.apply()
    assert operator.apply("catalogue.toml", "--operation-id", "op-1") == ExitCode.OK
    assert "version 1 was accepted before" in operator.last_result.output


def test_key_is_shown_where_it_may_be_in_force(operator):
    operator.apply()
    response_lost = Fault(FaultKind.ANSWER_LOST, FaultScope.WRITES)
    store = operator.memory
    commit = store.commit

    async def lose_response_then_stop(checks, writes):
        store.inject(response_lost)
        result = await commit(checks, writes)
        store.clear_faults()
        store.inject(Fault(FaultKind.DOWN))
        return result

    store.commit = lose_response_then_stop
    code = operator.run("keys give karlstad --label till --why x")
    assert code == ExitCode.UNKNOWN
    assert KEY.search(operator.last_result.stdout)
    assert "keys list" in operator.last_result.stderr


def test_organisation_with_keys_cannot_be_removed(operator):
    operator.apply()
    operator.run("keys give karlstad --label till --why x")
    operator.write("catalogue.toml", CATALOGUE.replace("karlstad", "umea"))
    assert operator.apply() == ExitCode.BAD_INPUT
    assert "--all-of karlstad" in operator.last_result.output


def test_key_itself_is_withdrawn_from_standard_input(operator):
    operator.apply()
    operator.run("keys give karlstad --label till --why x")
    key = KEY.search(operator.last_result.stdout).group()
    assert operator.run("keys withdraw --stdin --why x", stdin=key + "\n") == 0
    operator.run("keys list --json")
    assert '"keys": []' in operator.last_result.stdout


def test_no_key_is_kept_anywhere(operator):
    operator.apply()
    operator.run("keys give karlstad --label till --why x")
    key = KEY.search(operator.last_result.stdout).group()
    memory = operator.memory
    stored_values = [row.value for row in memory._rows_by_key.values()]
    stored_values.extend(memory._objects_by_name.values())
    assert stored_values
    assert not any(key.encode() in value for value in stored_values)


@pytest.mark.parametrize(
    "arguments",
    [
        ["apply", "catalogue.toml", "--yes", "--why", "  "],
        ["apply", "catalogue.toml", "--yes", "--why", "two\nlines"],
        ["apply", "catalogue.toml", "--yes", "--why", "x" * 501],
        ["apply", "catalogue.toml", "--yes", "--why", "x", "--who", "a\x1b[1m"],
        ["apply", "catalogue.toml", "--yes", "--why", "x", "--operation-id", "a/b"],
        ["keys", "give", "karlstad", "--label", "", "--why", "x"],
    ],
)
def test_text_that_does_not_fit_an_audit_record_is_refused(operator, arguments):
    assert operator.run(arguments[0], *arguments[1:]) == ExitCode.BAD_INPUT
    assert "write" in operator.last_result.stderr
    assert operator.memory.stats.n_writes == 0


async def report(memory, data_centre, version):
    record = InForceRecord(data_centre, version, 4, 4, 1_700_000_000_000)
    value = msgspec.json.encode(record)
    await memory.commit([], [Write(in_force_key(data_centre), value)])


def test_wait_names_data_centres_that_do_not_follow(operator, snapshot):
    asyncio.run(report(operator.memory, "svealand-1", 1))
    assert operator.apply("catalogue.toml", "--wait") == ExitCode.OK
    operator.write("catalogue.toml", CATALOGUE.replace("= 10", "= 20"))
    code = operator.apply("catalogue.toml", "--wait", "--timeout", "0")
    assert code == ExitCode.NOT_IN_FORCE
    operator.run("status")
    operator.run("status --json")
    assert operator.output == snapshot


def make_member(id, data_centre, service, **fields):
    region = data_centre.partition("-")[0]
    ports = (7101, 7102, 7100)
    state = MemberState.ALIVE
    row = (id, 1, region, data_centre, "10.0.0.5", *ports, service, 50, False, state, 1)
    return Member(*row)._replace(**fields)


def test_nodes_are_listed_and_counted(operator, snapshot):
    members = [
        make_member("n1", "svealand-1", "ordering"),
        make_member("n2", "svealand-1", "ordering", draining=True),
        make_member("n3", "gotaland-1", "", n_slots=0),
    ]
    writes = [Write(member_key(m.id), msgspec.json.encode(m)) for m in members]
    asyncio.run(operator.memory.commit([], writes))
    operator.run("nodes")
    operator.run("nodes --service ordering --data-centre svealand-1 --json")
    operator.run("nodes --summary")
    asyncio.run(operator.memory.commit([], [Write(member_key("n4"), b"?")]))
    assert operator.run("nodes --service returns") == ExitCode.FAILED
    assert operator.output == snapshot
