"""Whole sessions of operators, as golden files."""

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
    """Types commands and keeps what was shown."""

    def __init__(self, monkeypatch, tmp_path):
        self.memory = MemoryStore()
        self.clock = ManualClock(1_700_000_000_000.0)
        self.transcript = []
        self.directory = tmp_path
        self.last = None
        monkeypatch.chdir(tmp_path)
        monkeypatch.setattr(ibisspoke_ctl.session, "open_session", self.open_session)

    @contextmanager
    def open_session(self, platform):
        store = ConfigStore(self.memory, self.memory, self.clock, no_sleep)
        yield Session(store, self.memory, self.clock)

    def write(self, name, text):
        (self.directory / name).write_text(text)

    def types(self, command, *arguments, stdin=None):
        env = {"IBISSPOKE_PLATFORM": "http://store", "IBISSPOKE_WHO": "karin"}
        args = [*command.split(), *arguments]
        self.last = CliRunner().invoke(app, args, input=stdin, env=env)
        assert self.last.exception is None or isinstance(
            self.last.exception, SystemExit
        ), self.last.exception
        self.clock.advance(1_000.0)
        typed = " ".join(redact(part) for part in args)
        self.transcript.append(
            f"$ ibisspoke {typed}\n{redact(self.last.output)}"
            f"[exit {self.last.exit_code}]"
        )
        return self.last.exit_code

    def apply(self, name="catalogue.toml", *arguments):
        return self.types(f"apply {name} --yes --why", "more shops", *arguments)

    @property
    def shown(self):
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


def test_day_of_an_operator(operator, snapshot):
    operator.types("status")
    operator.types("check catalogue.toml")
    operator.apply()
    operator.apply()
    operator.types("keys give karlstad --label till-1 --why", "new till")
    operator.types("keys give karlstad --label till-2 --why", "new till")
    operator.types("keys list")
    operator.write("catalogue.toml", CATALOGUE.replace("= 10", "= 20"))
    operator.types("diff catalogue.toml")
    operator.apply("catalogue.toml", "--base", "3")
    operator.types("show")
    operator.types("keys withdraw --all-of karlstad --why", "till was stolen")
    operator.types("keys list --json")
    operator.types("history -n 3")
    operator.types("audit 4")
    operator.types("diff --from 1 --to 4")
    operator.types("audit 9")
    assert operator.shown == snapshot


def test_bad_catalogue_shows_every_mistake(operator, snapshot):
    bad = CATALOGUE.replace("= 10", "= -10").replace('"POST"', '"SEND"')
    operator.write("catalogue.toml", bad.replace("idempotent", "idempotnet"))
    operator.write("broken.toml", "[calls\n")
    operator.write("node.toml", '[node]\nid = "n 1"\n')
    operator.types("check catalogue.toml broken.toml node.toml missing.toml")
    operator.types("check node.toml --json")
    operator.apply()
    assert operator.memory.stats.n_writes == 0
    assert operator.shown == snapshot


def test_racing_operators(operator, snapshot):
    operator.apply()
    operator.write("mine.toml", CATALOGUE.replace("= 10", "= 20"))
    operator.write("theirs.toml", CATALOGUE.replace("burst = 5", "burst = 50"))
    operator.apply("theirs.toml", "--base", "1")
    assert operator.apply("mine.toml", "--base", "1") == ExitCode.CONFLICT
    operator.types("history -n 1")
    assert operator.shown == snapshot


def test_questions_and_answers(operator, snapshot):
    assert operator.types("apply catalogue.toml --why x", stdin="n\n") != 0
    assert operator.memory.stats.n_writes == 0
    operator.types("apply catalogue.toml --why x", stdin="y\n")
    operator.types("apply catalogue.toml")
    operator.types("keys withdraw --why x")
    operator.types("keys withdraw abcdef --why x")
    operator.types("keys give nobody --label l --why x")
    operator.types("diff")
    assert operator.shown == snapshot


def test_store_that_is_down_is_told_plainly(operator, snapshot):
    operator.memory.inject(Fault(FaultKind.DOWN))
    assert operator.types("status") == ExitCode.UNAVAILABLE
    assert operator.apply() == ExitCode.UNAVAILABLE
    assert operator.types("keys list") == ExitCode.UNAVAILABLE
    assert operator.shown == snapshot


def test_lost_answers_do_not_apply_twice(operator):
    operator.memory.inject(Fault(FaultKind.ANSWER_LOST, n_requests=2))
    assert operator.apply() == ExitCode.OK
    again = operator.apply("catalogue.toml", "--operation-id", "op-1")
    assert again == ExitCode.OK
    assert "already says this" in operator.last.output
    assert operator.memory.stats.n_commits_applied == 1


def test_repeated_operation_reports_the_version_it_made(operator):
    operator.apply("catalogue.toml", "--operation-id", "op-1")
    operator.write("catalogue.toml", CATALOGUE.replace("= 10", "= 20"))
    operator.apply()
    assert operator.apply("catalogue.toml", "--operation-id", "op-1") == ExitCode.OK
    assert "version 1 was accepted before" in operator.last.output


def test_key_is_shown_where_it_may_be_in_force(operator):
    operator.apply()
    lost = Fault(FaultKind.ANSWER_LOST, FaultScope.WRITES)
    store = operator.memory
    commit = store.commit

    async def lose_then_go_down(checks, writes):
        store.inject(lost)
        answer = await commit(checks, writes)
        store.clear_faults()
        store.inject(Fault(FaultKind.DOWN))
        return answer

    store.commit = lose_then_go_down
    code = operator.types("keys give karlstad --label till --why x")
    assert code == ExitCode.UNKNOWN
    assert KEY.search(operator.last.stdout)
    assert "keys list" in operator.last.stderr


def test_organisation_with_keys_cannot_be_removed(operator):
    operator.apply()
    operator.types("keys give karlstad --label till --why x")
    operator.write("catalogue.toml", CATALOGUE.replace("karlstad", "umea"))
    assert operator.apply() == ExitCode.BAD_INPUT
    assert "--all-of karlstad" in operator.last.output


def test_key_itself_is_withdrawn_from_standard_input(operator):
    operator.apply()
    operator.types("keys give karlstad --label till --why x")
    key = KEY.search(operator.last.stdout).group()
    assert operator.types("keys withdraw --stdin --why x", stdin=key + "\n") == 0
    operator.types("keys list --json")
    assert '"keys": []' in operator.last.stdout


def test_no_key_is_kept_anywhere(operator):
    operator.apply()
    operator.types("keys give karlstad --label till --why x")
    key = KEY.search(operator.last.stdout).group()
    memory = operator.memory
    kept = [row.value for row in memory._rows_by_key.values()]
    kept.extend(memory._objects_by_name.values())
    assert kept
    assert not any(key.encode() in value for value in kept)


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
    assert operator.types(arguments[0], *arguments[1:]) == ExitCode.BAD_INPUT
    assert "write" in operator.last.stderr
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
    operator.types("status")
    operator.types("status --json")
    assert operator.shown == snapshot


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
    operator.types("nodes")
    operator.types("nodes --service ordering --data-centre svealand-1 --json")
    operator.types("nodes --summary")
    asyncio.run(operator.memory.commit([], [Write(member_key("n4"), b"?")]))
    assert operator.types("nodes --service returns") == ExitCode.FAILED
    assert operator.shown == snapshot
