from hypothesis import given, settings
from hypothesis import strategies as st

from ibisspoke_policy.refusal import Ran, RefusalKind, outcome_unknown, overloaded
from ibisspoke_policy.retry import (
    Allowance,
    NestedAllowances,
    RetryBudgets,
    RetryKind,
    classify,
)


def test_unknown_is_retried_only_when_idempotent():
    refusal = outcome_unknown("the connection broke")
    assert classify(refusal, idempotent=False) == RetryKind(False, False)
    assert classify(refusal, idempotent=True) == RetryKind(True, False)


def test_not_run_may_go_elsewhere_and_a_bad_request_nowhere():
    refusal = overloaded("full", 100)
    assert classify(refusal, idempotent=False) == RetryKind(True, True)
    bad = refusal._replace(kind=RefusalKind.BAD_REQUEST)
    assert classify(bad, idempotent=True) == RetryKind(False, False)
    assert refusal.ran is Ran.NOT_RUN


def test_budget_is_a_share_of_successes():
    budgets = RetryBudgets()
    while budgets.spend("ordering", 0.0):
        pass
    for _ in range(100):
        budgets.succeeded("ordering", 0.0)
    n_retries = 0
    while budgets.spend("ordering", 0.0):
        n_retries += 1
    assert 9 <= n_retries <= 10


def test_ended_attempt_has_no_allowance_below_it():
    nested = NestedAllowances()
    nested.open("n1:1", 2)
    assert nested.find("n1:1").spend()
    assert nested.close("n1:1") == 1
    assert nested.find("n1:1") is None
    assert nested.close("n1:1") == 0


class Tree:
    """A call tree whose attempts fail at random and may not report unused retries."""

    def __init__(self, choose) -> None:
        self._choose = choose
        self.n_retries = 0

    def run(self, n_allotted: int, depth: int) -> int:
        """Run one hop; return the retries that its answer reports as unused."""
        allowance = Allowance(n_allotted)
        while True:
            n_below = allowance.allot()
            n_unused = self.execute(n_below, depth)
            if self._choose(2):
                n_unused = 0
            allowance.return_unused(n_below, n_unused)
            if not self._choose(3) or not allowance.spend():
                return allowance.n_left
            self.n_retries += 1

    def execute(self, n_left: int, depth: int) -> int:
        allowance = Allowance(n_left)
        if depth == 0:
            return allowance.n_left
        for _ in range(self._choose(3)):
            n_allotted = allowance.allot(is_parallel=bool(self._choose(2)))
            allowance.return_unused(n_allotted, self.run(n_allotted, depth - 1))
        return allowance.n_left


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.data(), st.integers(0, 5), st.integers(0, 6))
def test_whole_tree_never_exceeds_the_allowance_of_its_root(data, n_allowed, depth):
    tree = Tree(lambda n: data.draw(st.integers(0, n - 1)))
    n_left = tree.run(n_allowed, depth)
    assert tree.n_retries + n_left <= n_allowed
