"""Evacuated data centres, merged from the store and from other nodes.

The pattern is an operator who evacuates data centres and takes that back while messages
are late and repeated, nodes restart, and the store is restored from a copy.
"""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.evacuations import (
    DOUBT_MS,
    MAX_REMOVED,
    REWRITE_GRACE_MS,
    SETTLE_MS,
    UNKNOWN_POSITION,
    EvacuationPosition,
    Evacuations,
)
from ibisspoke_policy.store_position import StorePosition


def at(version: int, era: int = 0) -> StorePosition:
    return StorePosition(era, version)


class Operator:
    """The rows of the store as an operator writes them, with their history."""

    def __init__(self) -> None:
        self.clock = ManualClock(1_000_000.0)
        self.era = 0
        self.version = 10
        self.rows: dict[str, int] = {}
        self._copy: tuple[int, dict[str, int]] = (10, {})

    def evacuate(self, name: str) -> None:
        self.version += 1
        self.rows[name] = self.version

    def take_back(self, name: str) -> None:
        self.version += 1
        del self.rows[name]

    def copy(self) -> None:
        self._copy = (self.version, dict(self.rows))

    def restore(self) -> None:
        self.version, rows = self._copy
        self.rows = dict(rows)
        self.era += 1

    def read(self, node: Evacuations) -> None:
        """Let a node read a snapshot."""
        node.raise_era(self.era, self.clock.boot_ms())
        position = at(self.version, self.era)
        node.apply_snapshot(self.rows, position, self.clock.boot_ms())

    def feed(self, node: Evacuations, after: int, removed=()) -> None:
        """Let a node read the changes after a version."""
        changed = {n: v for n, v in self.rows.items() if v > after}
        position = at(self.version, self.era)
        node.apply_changes(changed, removed, position, self.clock.boot_ms())

    def new_node(self) -> Evacuations:
        node = Evacuations()
        self.read(node)
        return node


def ask(node: Evacuations, other: Evacuations, now_ms: float = 0.0) -> bool:
    """Let a node ask another one if its position says so."""
    if not node.position.lacks(other.position):
        return False
    report = other.report()
    assert report is not None
    node.apply_report(report, now_ms)
    return True


@pytest.fixture
def operator():
    return Operator()


def test_nothing_is_known_before_a_read(operator):
    node = Evacuations()
    assert not node.is_known
    assert node.report() is None
    assert node.position == UNKNOWN_POSITION
    operator.read(node)
    assert node.is_known
    assert node.in_force == set()


def test_an_evacuation_is_in_force_until_its_row_is_removed(operator):
    node = operator.new_node()
    operator.evacuate("a")
    operator.feed(node, 10)
    assert node.in_force == {"a"}
    operator.take_back("a")
    operator.feed(node, 11, ["a"])
    assert node.in_force == set()


def test_a_late_snapshot_does_not_undo_an_evacuation(operator):
    node = operator.new_node()
    operator.evacuate("a")
    operator.feed(node, 10)
    node.apply_snapshot({}, at(10), 0.0)
    assert node.in_force == {"a"}


def test_a_late_report_does_not_undo_what_was_read(operator):
    # Guards against a node that missed a removal and tells its old set for ever.
    behind, ahead = operator.new_node(), Evacuations()
    operator.evacuate("a")
    operator.feed(behind, 10)
    operator.take_back("a")
    operator.read(ahead)
    assert ask(ahead, behind)
    assert ahead.in_force == set()
    assert ask(behind, ahead)
    assert behind.in_force == set()
    assert not ask(ahead, behind)
    assert not ask(behind, ahead)


def test_repeated_and_late_reports_change_nothing(operator):
    source, node = operator.new_node(), Evacuations()
    reports = [source.report()]
    operator.evacuate("a")
    operator.feed(source, 10)
    reports.append(source.report())
    operator.take_back("a")
    operator.feed(source, 11, ["a"])
    operator.evacuate("b")
    operator.feed(source, 12)
    reports.append(source.report())
    for order in itertools.permutations(reports):
        node = Evacuations()
        for report in (*order, *order):
            node.apply_report(report, 0.0)
        assert node.in_force == {"b"}
        assert node.position == source.position


@given(st.data())
def test_all_nodes_end_with_the_rows_of_the_store(data):
    # Whatever nodes read and ask in which order, without a new era.
    operator = Operator()
    nodes = [Evacuations() for _ in range(4)]
    choices = st.sampled_from(["evacuate", "take back", "read", "ask", "ask"])
    for step in data.draw(st.lists(choices, max_size=40)):
        name = data.draw(st.sampled_from("ab"))
        first, second = data.draw(st.permutations(nodes))[:2]
        if step == "evacuate":
            operator.evacuate(name)
        elif step == "take back" and name in operator.rows:
            operator.take_back(name)
        elif step == "read":
            operator.read(first)
        elif second.is_known:
            ask(first, second)
    operator.read(nodes[0])
    for _ in range(3):
        for first, second in itertools.permutations(nodes, 2):
            if second.is_known:
                ask(first, second)
    assert {node.in_force for node in nodes} == {frozenset(operator.rows)}
    assert len({node.position for node in nodes}) == 1


def test_a_calm_store_gives_nodes_no_reason_to_ask(operator):
    # Rows of members move the version of the store, but say nothing of evacuations.
    first, second = operator.new_node(), operator.new_node()
    assert first.position == EvacuationPosition()
    operator.evacuate("a")
    operator.feed(first, 10)
    ask(second, first)
    position = first.position
    for _ in range(3):
        operator.version += 5
        operator.feed(first, operator.version - 5)
        operator.read(second)
    assert first.position == second.position == position


def test_an_evacuation_outlasts_a_copy_without_it(operator):
    node = operator.new_node()
    operator.copy()
    operator.evacuate("a")
    operator.read(node)
    operator.restore()
    operator.read(node)
    assert node.in_force == {"a"}
    operator.clock.advance(SETTLE_MS - 1.0)
    operator.read(node)
    assert node.in_force == {"a"}
    operator.clock.advance(1.0)
    operator.read(node)
    assert node.in_force == set()


def test_a_read_that_started_too_early_does_not_end_an_evacuation(operator):
    node = operator.new_node()
    operator.copy()
    operator.evacuate("a")
    operator.read(node)
    operator.restore()
    operator.read(node)
    started_ms = operator.clock.boot_ms()
    operator.clock.advance(2 * SETTLE_MS)
    node.apply_changes({}, [], at(operator.version, 1), started_ms)
    assert node.in_force == {"a"}
    assert node.until_settled_ms(operator.clock.boot_ms()) == 0.0


def test_an_evacuation_that_is_written_again_stays(operator):
    node = operator.new_node()
    operator.copy()
    operator.evacuate("a")
    operator.read(node)
    operator.restore()
    operator.read(node)
    operator.evacuate("a")
    operator.feed(node, 10)
    operator.clock.advance(SETTLE_MS)
    operator.read(node)
    assert node.in_force == {"a"}
    assert node.is_settled


def test_a_removal_in_the_new_era_counts_at_once(operator):
    node = operator.new_node()
    operator.evacuate("a")
    operator.copy()
    operator.read(node)
    operator.restore()
    operator.read(node)
    operator.take_back("a")
    operator.feed(node, 11, ["a"])
    assert node.in_force == set()


def test_an_evacuation_that_was_taken_back_does_not_return_with_the_copy(operator):
    node = operator.new_node()
    operator.evacuate("a")
    operator.copy()
    operator.feed(node, 10)
    operator.take_back("a")
    operator.feed(node, 11, ["a"])
    operator.restore()
    operator.read(node)
    assert node.in_force == set()
    operator.take_back("a")  # the operator writes it again
    operator.feed(node, 11, ["a"])
    operator.clock.advance(SETTLE_MS)
    node.tick(operator.clock.boot_ms())
    operator.read(node)
    assert node.in_force == set()


def test_an_evacuation_with_a_version_given_out_again_is_in_force_in_time(operator):
    # Guards against a new row that is taken for the removed one of the same version.
    node = operator.new_node()
    operator.copy()
    operator.evacuate("a")
    operator.feed(node, 10)
    operator.take_back("a")
    operator.feed(node, 11, ["a"])
    operator.restore()
    operator.evacuate("a")
    operator.read(node)
    operator.clock.advance(DOUBT_MS)
    node.tick(operator.clock.boot_ms())
    assert node.in_force == {"a"}


def test_a_row_that_the_feed_brings_is_new_whatever_its_version(operator):
    node = operator.new_node()
    operator.copy()
    operator.evacuate("a")
    operator.feed(node, 10)
    operator.take_back("a")
    operator.feed(node, 11, ["a"])
    operator.restore()
    operator.read(node)
    operator.evacuate("a")
    operator.feed(node, 10)
    assert node.in_force == {"a"}


def test_the_configuration_written_again_settles_the_era_after_a_grace(operator):
    node = operator.new_node()
    operator.copy()
    operator.evacuate("a")
    operator.read(node)
    operator.restore()
    operator.read(node)
    node.record_rewrite(operator.clock.boot_ms())
    operator.read(node)
    assert node.in_force == {"a"}
    operator.clock.advance(REWRITE_GRACE_MS)
    operator.read(node)
    assert node.in_force == set()


def test_nodes_without_the_store_learn_the_era_and_its_end(operator):
    watcher, node = operator.new_node(), operator.new_node()
    operator.copy()
    operator.evacuate("a")
    operator.feed(watcher, 10)
    ask(node, watcher)
    operator.restore()
    operator.read(watcher)
    ask(node, watcher, operator.clock.boot_ms())
    assert node.era == 1
    assert node.in_force == {"a"}
    operator.clock.advance(SETTLE_MS)
    operator.read(watcher)
    assert ask(node, watcher, operator.clock.boot_ms())
    assert node.in_force == set()
    assert not ask(watcher, node)


def test_what_only_one_node_knew_of_the_earlier_era_reaches_the_others(operator):
    # The store was lost right after it told one watcher of an evacuation.
    first, second = operator.new_node(), operator.new_node()
    operator.copy()
    operator.evacuate("a")
    operator.feed(second, 10)
    operator.restore()
    operator.read(first)
    assert first.in_force == set()
    assert ask(first, second) is False  # second has not heard of the era yet
    operator.read(second)
    assert ask(first, second)
    assert first.in_force == {"a"}


def test_a_node_that_starts_in_a_new_era_does_not_end_evacuations(operator):
    # Guards against a starting node whose snapshot counts as settled for all.
    node = operator.new_node()
    operator.copy()
    operator.evacuate("a")
    operator.feed(node, 10)
    operator.restore()
    operator.read(node)
    starting = operator.new_node()
    assert not starting.is_settled
    ask(node, starting)
    assert node.in_force == {"a"}
    assert ask(starting, node)
    assert starting.in_force == {"a"}


def test_an_evacuation_outlasts_two_copies(operator):
    node = operator.new_node()
    operator.copy()
    operator.evacuate("a")
    operator.feed(node, 10)
    for _ in range(2):
        operator.restore()
        operator.read(node)
    assert node.era == 2
    assert node.in_force == {"a"}


def test_an_era_that_falls_changes_nothing(operator):
    node = operator.new_node()
    operator.restore()
    operator.evacuate("a")
    operator.read(node)
    operator.clock.advance(SETTLE_MS)
    operator.read(node)
    node.raise_era(0, operator.clock.boot_ms())
    node.apply_snapshot({}, at(99, 0), operator.clock.boot_ms())
    node.apply_changes({}, ["a"], at(99, 0), operator.clock.boot_ms())
    assert node.era == 1
    assert node.in_force == {"a"}


def test_few_removals_are_kept(operator):
    node = operator.new_node()
    for number in range(2 * MAX_REMOVED):
        operator.evacuate(f"dc{number}")
        operator.feed(node, operator.version - 1)
        operator.take_back(f"dc{number}")
        operator.feed(node, operator.version - 1, [f"dc{number}"])
    report = node.report()
    assert report is not None and report.rows is not None
    assert len(report.rows.removed) == MAX_REMOVED
