"""Decides whether another attempt may follow, as a retry or as a redirect."""

from typing import NamedTuple

from result import Ok

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.early_shedding import rank
from ibisspoke_policy.retry import N_REDIRECTS, Allowance, RetryBudgets, classify
from ibisspoke_policy.routing import RouteQuery

from .claims import is_keyed
from .messages import Attempt, Outcome, Refused
from .outcomes import accepts_nothing, may_ask_owner_again

FAR_RANK_PREFIX = "far/"


class Job(NamedTuple):
    """A request to be sent in one or more attempts.

    :param is_shed: whether to send it only to nodes that shed nothing of its
        importance.
    """

    attempt: Attempt
    body: bytes
    deadline_ms: float
    is_shed: bool = False


class Progress(NamedTuple):
    """Attempts made so far for one job."""

    tried: tuple[str, ...] = ()
    n_redirects: int = 0


class RetryRules:
    """Limit the attempts that follow a refused one."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._budgets = RetryBudgets()

    def __repr__(self) -> str:
        return f"RetryRules({self._budgets!r})"

    def next_progress(
        self, job: Job, outcome: Outcome, allowance: Allowance, progress: Progress
    ) -> Progress | None:
        """Return the progress for another attempt, or None if none may follow."""
        service = job.attempt.service
        now_ms = self._clock.now_ms()
        if isinstance(outcome, Ok):
            if outcome.ok_value.status < 500:
                self._budgets.succeeded(service, now_ms)
            return None
        refused = outcome.err_value
        if is_keyed(job.attempt):
            return (
                progress if may_ask_owner_again(refused) and allowance.spend() else None
            )
        kind = classify(refused.refusal, job.attempt.idempotent)
        if not kind.retry:
            return None
        if not kind.is_redirect:
            is_allowed = self._may_retry(service, allowance, now_ms)
            return progress if is_allowed else None
        if progress.n_redirects >= N_REDIRECTS:
            return None
        if not accepts_nothing(refused.level) and not self._may_redirect_when_full(
            job, refused
        ):
            return None
        return progress._replace(n_redirects=progress.n_redirects + 1)

    def _may_retry(self, service: str, allowance: Allowance, now_ms: float) -> bool:
        return (
            allowance.n_left > 0
            and self._budgets.spend(service, now_ms)
            and allowance.spend()
        )

    def _may_redirect_when_full(self, job: Job, refused: Refused) -> bool:
        """Return whether to try another node although this one was only full."""
        level = refused.level
        if level is not None and level.shed > job.attempt.context.importance:
            return False
        return self._budgets.spend(job.attempt.service, self._clock.now_ms())


def route_query(job: Job, progress: Progress) -> RouteQuery:
    """Return the query that the router needs for the next attempt."""
    context = job.attempt.context
    return RouteQuery(
        job.attempt.service,
        context.importance,
        len(job.body),
        progress.tried,
        job.is_shed,
        rank(FAR_RANK_PREFIX + context.request_id) if job.is_shed else 1.0,
    )
