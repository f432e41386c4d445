"""Decisions on further attempts of a request, within its time and the retry budget."""

from ibisspoke_policy.call_trees import CallTrees
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.hedge_delay import HedgePlan, hedge_plan
from ibisspoke_policy.retry_window import RetryBudget

from ._request_progress import RequestProgress, preferred_outcome
from .fleet import Fleet
from .frames import Outcome, OutcomeKind
from .member_record import MemberRecord
from .metrics import NodeMetrics
from .request_admission import AdmittedRequest

MAX_TRIED_NODES = 4  # per request; a node's refusal costs its upstream nothing
RESPONSE_MARGIN_MS = 25.0  # reserved so that the response arrives before the deadline
MIN_RETRY_TIME_MS = 100.0  # time that must be left to run a request again


class AttemptRetries:
    """Decides whether a request is sent to another node.

    :ivar by_calls: whether reruns depend on the calls that a request causes, also where
        upstreams do not report the pace of their VMs. Otherwise all reruns are taken
        from the smallest part of the budget.
    """

    def __init__(
        self,
        by_calls: bool,
        budget: RetryBudget,
        fleet: Fleet,
        clock: Clock,
        metrics: NodeMetrics,
    ) -> None:
        self.by_calls = by_calls
        self.call_trees = CallTrees()
        self._budget = budget
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics

    def __repr__(self) -> str:
        return f"AttemptRetries(by_calls={self.by_calls}, {self.call_trees!r})"

    @property
    def _knows_calls(self) -> bool:
        return self.by_calls or self._fleet.has_vm_paces

    def record_calls(self, admitted: AdmittedRequest, outcome: Outcome) -> None:
        """Record the calls that an attempt caused, if retries depend on them."""
        if not self._knows_calls:
            return
        is_complete = outcome.kind is OutcomeKind.ANSWERED and outcome.status < 500
        self.call_trees.add(
            admitted.service, admitted.route.name, outcome.n_calls, is_complete
        )

    def may_continue(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
        outcome: Outcome,
    ) -> bool:
        """Return whether to try another node, and store the best outcome so far."""
        left_ms = admitted.deadline_ms - self._clock.now_ms()
        if outcome.kind is OutcomeKind.REFUSED:
            return left_ms > 2 * RESPONSE_MARGIN_MS
        if outcome.kind is OutcomeKind.ANSWERED and outcome.status < 500:
            return False
        has_run = outcome.kind is not OutcomeKind.SHED
        if has_run:
            if not admitted.route.idempotent or outcome.has_starved:
                return False
            progress.best_outcome = preferred_outcome(progress.best_outcome, outcome)
        is_last = progress.n_sent >= admitted.route.max_attempts
        if is_last or left_ms < MIN_RETRY_TIME_MS:
            return False
        if not has_run:
            return self._try_acquire(admitted, progress, "resend")
        if self._knows_calls and outcome.has_retried_call:
            # The call cost one arrival to repeat; this request costs its whole tree.
            self._metrics.retry_decisions["rerun", "left to the call below"] += 1
            return False
        return self._try_acquire(admitted, progress, "rerun")

    def hedge_plan(
        self, admitted: AdmittedRequest, progress: RequestProgress, member: MemberRecord
    ) -> HedgePlan | None:
        """Return when the next attempt gets a second one, or None for never."""
        route = admitted.route
        if not self._knows_calls or not route.idempotent:
            return None
        if progress.n_sent + 1 >= route.max_attempts:
            return None
        if not self.call_trees.is_leaf(admitted.service, route.name):
            return None
        pace, rtt_ms = self._fleet.pace_of(member.node)
        return hedge_plan(
            self._fleet.profiles.of(route.name),
            pace,
            rtt_ms,
            route.objective_ms,
            admitted.deadline_ms - RESPONSE_MARGIN_MS - self._clock.now_ms(),
        )

    def may_hedge(self, admitted: AdmittedRequest, progress: RequestProgress) -> bool:
        """Return whether to send a second attempt beside one without an answer."""
        if self.choose(admitted, progress) is None:
            return False
        return self._try_acquire(admitted, progress, "hedge")

    def choose(
        self, admitted: AdmittedRequest, progress: RequestProgress
    ) -> MemberRecord | None:
        """Return the node for the next attempt, or None if there is no other."""
        if len(progress.tried_nodes) >= MAX_TRIED_NODES:
            return None
        return self._fleet.choose(
            admitted.service,
            admitted.route.name,
            admitted.route.objective_ms,
            progress.tried_nodes,
            admitted.regions,
        )

    def _try_acquire(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
        kind: str,
    ) -> bool:
        """Count a retry, unless the budget does not allow it."""
        if progress.has_unused_retry:
            progress.has_unused_retry = False
            return True
        service, has_run = admitted.service, kind != "resend"
        is_leaf = (
            self._knows_calls
            and has_run
            and self.call_trees.is_leaf(service, admitted.route.name)
        )
        is_allowed = self._budget.try_acquire(
            service, has_run, progress.is_urgent, self._clock.now_ms(), is_leaf
        )
        if kind == "rerun" and is_leaf:
            kind = "rerun without calls"
        decision = "made" if is_allowed else "no budget"
        self._metrics.retry_decisions[kind, decision] += 1
        progress.is_short_of_budget |= not is_allowed
        return is_allowed
