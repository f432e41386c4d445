"""State of a request over several attempts."""

from .frames import Outcome, OutcomeKind

CAPACITY_FAILURES = (OutcomeKind.REFUSED, OutcomeKind.TIMED_OUT)


class RequestProgress:
    """Tried nodes and best outcome of a request so far.

    :ivar is_urgent: whether it is of the most urgent rank.
    :ivar is_short_of_budget: whether only the budget kept it from being sent again.
    :ivar n_sent: attempts that may have reached an upstream, including open ones.
    :ivar n_possible_runs: the part of them that may have run.
    :ivar has_unused_retry: whether a retry was counted for an attempt that all nodes
        refused, so that another one may be made in its place.
    """

    def __init__(self) -> None:
        self.tried_nodes: set[str] = set()
        self.n_sent = 0
        self.best_outcome: Outcome | None = None
        self.retry_after_ms = 0.0
        self.n_possible_runs = 0
        self.is_urgent = False
        self.is_short_of_budget = False
        self.has_unused_retry = False

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run."""
        return self.n_possible_runs > 0

    @property
    def was_retryable(self) -> bool:
        """Whether it was sent again, or would have been with more budget."""
        return self.n_sent > 1 or self.is_short_of_budget


def has_starved(outcome: Outcome) -> bool:
    """Return whether a request failed for lack of capacity here or downstream."""
    if outcome.kind in (OutcomeKind.ANSWERED, OutcomeKind.SHED):
        return outcome.has_starved
    return outcome.kind in CAPACITY_FAILURES


def has_failed(outcome: Outcome) -> bool:
    """Return whether a request got no usable answer."""
    return outcome.kind is not OutcomeKind.ANSWERED or outcome.status >= 500


def preferred_outcome(best: Outcome | None, latest: Outcome) -> Outcome:
    """Return the outcome to keep: a response of an upstream, else the latest one.

    A refusal, which only means that a node did not run the attempt, replaces nothing.
    """
    if best is None or latest.kind is OutcomeKind.ANSWERED:
        return latest
    if best.kind is OutcomeKind.ANSWERED:
        return best
    return best if latest.kind is OutcomeKind.REFUSED else latest
