"""Limits on retries: a budget per destination and an allowance per request tree."""

from collections.abc import Collection
from typing import NamedTuple

from .refusal import Ran, Refusal, RefusalKind
from .table import Table

RETRIES_PER_SUCCESS = 0.1
MAX_BUDGET = 20.0
INITIAL_BUDGET = 5.0
REFILL_PER_S = 1.0  # in addition, regardless of successes
N_REDIRECTS = 2
RETRIABLE: Collection[RefusalKind] = frozenset(
    {
        RefusalKind.OVERLOADED,
        RefusalKind.DRAINING,
        RefusalKind.NO_UPSTREAM,
        RefusalKind.UPSTREAM_FAILED,
        RefusalKind.OUT_OF_MEMORY,
        RefusalKind.OUTCOME_UNKNOWN,
    }
)
REDIRECTABLE: Collection[RefusalKind] = frozenset(
    {
        RefusalKind.OVERLOADED,
        RefusalKind.DRAINING,
        RefusalKind.NO_UPSTREAM,
        RefusalKind.OUT_OF_MEMORY,
    }
)


class RetryKind(NamedTuple):
    """How a refused attempt may be repeated.

    :param retry: whether another attempt may be made at all.
    :param is_redirect: whether no upstream ran it, so that an attempt at another node
        counts as a redirect and not as a retry.
    """

    retry: bool
    is_redirect: bool


def classify(refusal: Refusal, idempotent: bool) -> RetryKind:
    """Return how an attempt that ended in ``refusal`` may be repeated."""
    if refusal.kind not in RETRIABLE:
        return RetryKind(False, False)
    if refusal.ran is Ran.UNKNOWN:
        return RetryKind(idempotent, False)
    return RetryKind(True, refusal.kind in REDIRECTABLE)


class _Budget(NamedTuple):
    tokens: float
    filled_ms: float


class RetryBudgets:
    """Limit the retries to each destination to a share of its recent successes."""

    def __init__(self) -> None:
        self._budget_by_destination: Table[str, _Budget] = Table("retry budgets")

    def __repr__(self) -> str:
        return f"RetryBudgets({len(self._budget_by_destination)} destinations)"

    def succeeded(self, destination: str, now_ms: float) -> None:
        """Add a fraction of a retry to the budget after a success."""
        self._put(
            destination, self.tokens(destination, now_ms) + RETRIES_PER_SUCCESS, now_ms
        )

    def spend(self, destination: str, now_ms: float) -> bool:
        """Use one retry, if the budget allows it."""
        tokens = self.tokens(destination, now_ms)
        if tokens < 1.0:
            return False
        self._put(destination, tokens - 1.0, now_ms)
        return True

    def tokens(self, destination: str, now_ms: float) -> float:
        """Return the number of retries that may be made now."""
        budget = self._budget_by_destination.get(destination)
        if budget is None:
            return INITIAL_BUDGET
        refilled = REFILL_PER_S * max(0.0, now_ms - budget.filled_ms) / 1000.0
        return min(MAX_BUDGET, budget.tokens + refilled)

    def _put(self, destination: str, tokens: float, now_ms: float) -> None:
        budget = _Budget(min(MAX_BUDGET, tokens), now_ms)
        self._budget_by_destination.put(destination, budget)


class Allowance:
    """Retries left for one request, including its nested calls.

    All but one of the remaining retries are passed on to an attempt, or half of them
    if there are attempts in parallel. Those that it did not use come back with its
    answer.

    :param n_left: retries that may be made.
    """

    def __init__(self, n_left: int) -> None:
        self.n_left = max(0, n_left)

    def __repr__(self) -> str:
        return f"Allowance({self.n_left})"

    def spend(self) -> bool:
        """Use one retry, if any is left."""
        if self.n_left <= 0:
            return False
        self.n_left -= 1
        return True

    def allot(self, is_parallel: bool = False) -> int:
        """Pass retries on to an attempt or a nested call.

        :param is_parallel: whether others of the same parent are in flight.
        :returns: the number of retries passed on.
        """
        n_allotted = self.n_left // 2 if is_parallel else max(1, self.n_left - 1)
        n_allotted = min(n_allotted, self.n_left)
        self.n_left -= n_allotted
        return n_allotted

    def return_unused(self, n_allotted: int, n_unused: int) -> None:
        """Add the retries that an ended attempt reports as unused."""
        self.n_left += max(0, min(n_allotted, n_unused))


class NestedAllowances:
    """Allowances for the nested calls of each attempt at the upstream of this node."""

    def __init__(self) -> None:
        self._allowance_by_attempt: Table[str, Allowance] = Table("allowances")

    def __repr__(self) -> str:
        return f"NestedAllowances({len(self._allowance_by_attempt)} attempts)"

    def __contains__(self, attempt_id: object) -> bool:
        return attempt_id in self._allowance_by_attempt

    def open(self, attempt_id: str, n_left: int) -> None:
        """Record an attempt that was sent to the upstream."""
        self._allowance_by_attempt.put(attempt_id, Allowance(n_left))

    def find(self, attempt_id: str) -> Allowance | None:
        """Return the allowance of a running attempt, or None if it has ended."""
        return self._allowance_by_attempt.get(attempt_id)

    def close(self, attempt_id: str) -> int:
        """Remove an ended attempt and return the number of unused retries."""
        allowance = self._allowance_by_attempt.pop(attempt_id)
        return allowance.n_left if allowance is not None else 0
