import uuid

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ibisspoke_policy.idempotency import (
    ClaimSettings,
    ClaimTable,
    KeyOwners,
    Verdict,
    issued_wall_ms,
    rendezvous,
)
from ibisspoke_policy.refusal import Ran, RefusalKind

HORIZON_MS = ClaimSettings().horizon_ms
WALL_MS = 1_800_000_000_000.0
NEVER = float("-inf")


def uuid7(wall_ms: float, tail: int = 1) -> str:
    return str(uuid.UUID(int=(int(wall_ms) << 80) | (7 << 76) | (2 << 62) | tail))


def settled_table() -> ClaimTable[str]:
    return ClaimTable(-HORIZON_MS, WALL_MS - HORIZON_MS)


def test_repeat_joins_the_running_request_and_gets_its_answer():
    table = settled_table()
    assert table.claim("svea/k", b"d", NEVER, 0.0).verdict is Verdict.RUN
    assert table.claim("svea/k", b"d", NEVER, 1.0).verdict is Verdict.JOIN
    table.store_answer("svea/k", "done", 4)
    repeat = table.claim("svea/k", b"d", NEVER, HORIZON_MS)
    assert (repeat.verdict, repeat.answer) == (Verdict.REPLAY, "done")


def test_same_key_of_another_organisation_is_another_request():
    table = settled_table()
    table.claim("svea/k", b"d", NEVER, 0.0)
    assert table.claim("gota/k", b"d", NEVER, 0.0).verdict is Verdict.RUN


def test_key_reused_for_another_request_is_refused():
    table = settled_table()
    table.claim("svea/k", b"d", NEVER, 0.0)
    refusal = table.claim("svea/k", b"other", NEVER, 0.0).refusal
    assert refusal.kind is RefusalKind.BAD_REQUEST


def test_request_that_was_not_run_may_run_later():
    table = settled_table()
    table.claim("svea/k", b"d", NEVER, 0.0)
    table.remove_not_run("svea/k")
    assert table.claim("svea/k", b"d", NEVER, 1.0).verdict is Verdict.RUN


def test_lost_outcome_stays_unknown():
    table = settled_table()
    table.claim("svea/k", b"d", NEVER, 0.0)
    table.mark_outcome_unknown("svea/k")
    refusal = table.claim("svea/k", b"d", NEVER, 1.0).refusal
    assert refusal.ran is Ran.UNKNOWN


@pytest.mark.parametrize("moved_ms", [NEVER, 500.0])
def test_new_owner_answers_unknown_until_the_horizon_has_passed(moved_ms):
    table = ClaimTable[str](0.0, WALL_MS)
    since_ms = max(0.0, moved_ms)
    early = table.claim("svea/k", b"d", moved_ms, since_ms + HORIZON_MS - 1)
    assert early.refusal.ran is Ran.UNKNOWN
    late = table.claim("svea/k", b"d", moved_ms, since_ms + HORIZON_MS)
    assert late.verdict is Verdict.RUN


def test_key_issued_after_the_start_may_run_at_a_new_owner():
    table = ClaimTable[str](0.0, WALL_MS)
    after = "svea/" + uuid7(WALL_MS + 3_000)
    before = "svea/" + uuid7(WALL_MS + 1_000)
    assert table.claim(after, b"d", NEVER, 3_500.0).verdict is Verdict.RUN
    assert table.claim(before, b"d", NEVER, 3_500.0).refusal.ran is Ran.UNKNOWN


def test_key_from_the_future_is_refused_and_not_run():
    refusal = (
        settled_table().claim("svea/" + uuid7(WALL_MS + 9e3), b"d", NEVER, 0.0).refusal
    )
    assert (refusal.kind, refusal.ran) == (RefusalKind.BAD_REQUEST, Ran.NOT_RUN)


def test_key_older_than_the_horizon_is_never_run_again():
    table = settled_table()
    key = "svea/" + uuid7(WALL_MS)
    assert table.claim(key, b"d", NEVER, 0.0).verdict is Verdict.RUN
    table.store_answer(key, "done", 4)
    much_later = table.claim(key, b"d", NEVER, 10 * HORIZON_MS)
    assert much_later.refusal.ran is Ran.UNKNOWN


def test_memory_is_bounded_and_a_full_table_runs_nothing():
    bounds = ClaimSettings(max_claims=2, max_answer_bytes=10)
    table = ClaimTable[str](-HORIZON_MS, 0.0, bounds)
    for key in ("a/1", "a/2"):
        assert table.claim(key, b"d", NEVER, 0.0).verdict is Verdict.RUN
        table.store_answer(key, "x" * 8, 8)
    assert table.n_answer_bytes == 8
    assert table.claim("a/2", b"d", NEVER, 0.0).refusal.ran is Ran.UNKNOWN
    full = table.claim("a/3", b"d", NEVER, 0.0).refusal
    assert (full.kind, full.ran) == (RefusalKind.OUT_OF_MEMORY, Ran.NOT_RUN)
    assert table.claim("a/3", b"d", NEVER, 3 * HORIZON_MS).verdict is Verdict.RUN
    assert table.n_answer_bytes == 0


def test_time_is_read_from_version_7_only():
    assert issued_wall_ms(uuid7(WALL_MS)) == WALL_MS
    assert issued_wall_ms(str(uuid.UUID(int=4 << 76))) is None
    assert issued_wall_ms("order-7") is None


def test_paused_owner_refuses_keys_that_it_does_not_know():
    table = settled_table()
    table.claim("svea/old", b"d", NEVER, 0.0)
    table.reject_keys_issued_before(5_000.0)
    assert table.claim("svea/old", b"d", NEVER, 5_001.0).verdict is Verdict.JOIN
    assert table.claim("svea/new", b"d", NEVER, 5_001.0).refusal.ran is Ran.UNKNOWN


def test_only_keys_that_moved_are_marked():
    owners = KeyOwners(HORIZON_MS)
    owners.update(frozenset({"n1", "n2", "n3"}), 0.0)
    before = {f"k{i}": owners.owner(f"k{i}") for i in range(200)}
    owners.update(frozenset({"n1", "n2", "n4"}), 100.0)
    for key, owner in before.items():
        moved = owners.owner(key) != owner
        assert owners.moved_ms(key, 101.0) == (100.0 if moved else 0.0)
    assert owners.moved_ms("k1", 100.0 + HORIZON_MS) == NEVER


NODES = [f"n{i}" for i in range(4)]


class Service:
    """Nodes that start and stop, and see changes after ``update_owners``."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.runs: dict[str, int] = {}
        self.table_by_node: dict[str, ClaimTable[str]] = {}
        self.owners_by_node: dict[str, KeyOwners] = {}
        for node in NODES:
            self.start(node)
        for node in NODES:
            self.update_owners(node)
        self.now_ms = HORIZON_MS

    def start(self, node: str) -> None:
        self.table_by_node[node] = ClaimTable(self.now_ms, WALL_MS + self.now_ms)
        self.owners_by_node[node] = KeyOwners(HORIZON_MS)

    def stop(self, node: str) -> None:
        self.table_by_node.pop(node, None)
        self.owners_by_node.pop(node, None)

    def update_owners(self, node: str) -> None:
        if node in self.owners_by_node:
            alive = frozenset(self.table_by_node)
            self.owners_by_node[node].update(alive, self.now_ms)

    def send(self, key: str) -> None:
        node = rendezvous(key, frozenset(self.table_by_node))
        if node is None or self.owners_by_node[node].owner(key) != node:
            return
        moved_ms = self.owners_by_node[node].moved_ms(key, self.now_ms)
        table = self.table_by_node[node]
        decision = table.claim(key, b"d", moved_ms, self.now_ms)
        if decision.verdict is Verdict.RUN:
            self.runs[key] = self.runs.get(key, 0) + 1


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["send", "send", "send", "start", "stop", "wait"]),
            st.sampled_from(NODES),
            st.sampled_from(["a/1", "a/2", "a/3"]),
        ),
        max_size=40,
    )
)
def test_no_key_runs_twice_within_the_horizon_through_restarts(steps):
    service = Service()
    first_ms = service.now_ms
    for action, node, key in steps:
        if action == "send" and service.now_ms - first_ms < HORIZON_MS:
            service.send(key)
        elif action == "start" and node not in service.table_by_node:
            service.start(node)
        elif action == "stop":
            service.stop(node)
        elif action == "wait":
            service.now_ms += HORIZON_MS / 7
        for other in NODES:
            service.update_owners(other)
    assert all(n_runs == 1 for n_runs in service.runs.values())
