"""Handling of requests from callers: sending attempts and building responses."""

import asyncio
import itertools
import random

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.retry_window import RetryBudget

from ._request_progress import (
    RequestProgress,
    has_failed,
    has_starved,
    preferred_outcome,
)
from .attempt_retries import RESPONSE_MARGIN_MS, AttemptRetries
from .caller_messages import CallerRequest, CallerResponse
from .decision_log import DecisionLog
from .dialect import HOP_BY_HOP, Dialect
from .fleet import Fleet
from .frames import Attempt, Outcome, OutcomeKind
from .hedged_attempt import hedged
from .member_record import MemberRecord
from .memory_budget import SMALL_BYTES, MemoryBudget, Part
from .metrics import NodeMetrics
from .rate_homes import RateHomes
from .request_admission import (
    MAX_RETRY_SHARE,
    MIN_RETRY_AFTER_MS,
    AdmittedRequest,
    RateCheckNeeded,
    Refusal,
    RequestAdmission,
)
from .settings import NodeSettings
from .upstream_dispatcher import UpstreamDispatcher

RETRY_SPREAD_SHARE = 0.2  # of the time left, over which retries of callers are spread
DROPPED_BODY_RETRY_MS = 500.0  # by then uploads that took the memory have mostly ended
MOST_URGENT_RANK = 0  # of requests of priority 0 and the calls made for them
NO_UPSTREAM = "no upstream is known"
NO_UPSTREAM_IN_REGIONS = "no_upstream_in_regions"
UNKNOWN_PARENT_RANK = (-1, 0)  # before all others; work was spent on the parent


class RequestHandler:
    """Handles requests of callers on this VM."""

    def __init__(
        self,
        settings: NodeSettings,
        dialect: Dialect,
        admission: RequestAdmission,
        homes: RateHomes,
        retries: RetryBudget,
        fleet: Fleet,
        dispatcher: UpstreamDispatcher,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        metrics: NodeMetrics,
        memory: MemoryBudget,
    ) -> None:
        self.settings = settings
        self._memory = memory
        self._admission = admission
        self._homes = homes
        self._budget = retries
        self.retries = AttemptRetries(
            settings.retries_by_calls, retries, fleet, clock, metrics
        )
        self._dialect = dialect
        self._removed_headers = dialect.set_by_nodes | HOP_BY_HOP
        self._fleet = fleet
        self._dispatcher = dispatcher
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._stream_ids = itertools.count(1)
        self._time_limits: set[asyncio.Timeout] = set()
        self._has_ended_all = False

    def __repr__(self) -> str:
        return f"RequestHandler({self._admission!r})"

    def end_all(self) -> None:
        """End all requests that are running, as if their time were over."""
        self._has_ended_all = True
        for time_limit in self._time_limits:
            if not time_limit.expired():
                time_limit.reschedule(0.0)

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Return the response to a request."""
        headers = {lower: value for lower, _, value in request.headers}
        request_id = headers.get(self._dialect.request_id, b"")
        admitted = await self._admit(request, headers, request_id)
        if isinstance(admitted, Refusal):
            return self._refusal_response(request_id, admitted, {})
        progress = RequestProgress()
        if not admitted.is_nested:
            self._dispatcher.count_call(self._dialect.parent_id(request_id))
            outcome = await self._run(request, admitted, progress)
        else:
            parent_id = self._dialect.parent_id(request_id)
            with self._dispatcher.nested_call(parent_id) as call:
                outcome = await self._run(request, admitted, progress)
                call.has_failed = has_failed(outcome)
                call.has_starved = has_starved(outcome)
                call.was_retryable = progress.was_retryable
        return self._final_response(request, admitted, progress, outcome)

    async def _run(
        self,
        request: CallerRequest,
        admitted: AdmittedRequest,
        progress: RequestProgress,
    ) -> Outcome:
        """Run a request within its time limit."""
        remaining_ms = admitted.deadline_ms - self._clock.now_ms()
        time_limit = asyncio.timeout(max(0.0, remaining_ms) / 1000.0)
        try:
            async with time_limit:
                self._time_limits.add(time_limit)
                return await self._run_attempts(request, admitted, progress)
        except TimeoutError:
            reason = "no answer within the time limit"
            if self._has_ended_all:
                reason = "no answer before the node stopped"
            return progress.best_outcome or Outcome(
                OutcomeKind.TIMED_OUT, reason=reason
            )
        except asyncio.CancelledError:
            details = self._log_fields(request, admitted, progress)
            self._log.write(
                "cancelled", request=admitted.id.decode("latin-1"), **details
            )
            self._metrics.count_request(admitted.route.name, "cancelled")
            raise
        finally:
            self._time_limits.discard(time_limit)
            self._admission.refund_if_not_run(admitted, progress.may_have_run)

    async def _admit(
        self, request: CallerRequest, headers: dict[bytes, bytes], request_id: bytes
    ) -> AdmittedRequest | Refusal:
        if request.is_dropped:
            return Refusal(503, "bodies_too_large", DROPPED_BODY_RETRY_MS)
        admitted = self._admission.admit(request, headers, request_id)
        if not isinstance(admitted, RateCheckNeeded):
            return admitted
        organisation = admitted.organisation
        if not await self._homes.ask(organisation):
            self._metrics.rate_decisions[("refused by its home",)] += 1
            return self._admission.refuse_over_rate(request, headers, organisation)
        self._metrics.rate_decisions[("admitted by its home",)] += 1
        granted = self._admission.admit(request, headers, request_id, is_granted=True)
        assert not isinstance(granted, RateCheckNeeded)
        return granted

    async def _run_attempts(
        self,
        request: CallerRequest,
        admitted: AdmittedRequest,
        progress: RequestProgress,
    ) -> Outcome:
        head = self._request_head(request, admitted)
        progress.is_urgent = self._rank(admitted)[0] <= MOST_URGENT_RANK
        if progress.is_urgent:
            self._budget.count_urgent(admitted.service, self._clock.now_ms())
        reason = NO_UPSTREAM if admitted.regions is None else NO_UPSTREAM_IN_REGIONS
        outcome = Outcome(OutcomeKind.REFUSED, reason=reason)
        while (member := self.retries.choose(admitted, progress)) is not None:
            outcome = await self._send_hedged(request, admitted, progress, member, head)
            if not self.retries.may_continue(admitted, progress, outcome):
                break
            self._metrics.retries[(outcome.kind.name,)] += 1
            self._log.write(
                "sent again",
                request=admitted.id.decode("latin-1"),
                kind=outcome.kind.name,
                status=outcome.status,
                reason=outcome.reason,
                peer=member.node,
                left_ms=int(admitted.deadline_ms - self._clock.now_ms()),
            )
        return preferred_outcome(progress.best_outcome, outcome)

    async def _send_hedged(
        self,
        request: CallerRequest,
        admitted: AdmittedRequest,
        progress: RequestProgress,
        member: MemberRecord,
        head: bytes,
    ) -> Outcome:
        """Send an attempt, and a second one beside it if its answer seems lost."""
        hedge = self.retries.hedge_plan(admitted, progress, member)
        sent = self._send_attempt(request, admitted, progress, member, head)
        if hedge is None:
            return await sent

        def start_second() -> asyncio.Task[Outcome] | None:
            if not self.retries.may_hedge(admitted, progress):
                return None
            second = self._send_second(request, admitted, progress, head)
            return asyncio.ensure_future(second)

        return await hedged(
            sent, hedge, lambda: self._fleet.is_full(member.node), start_second
        )

    async def _send_second(
        self,
        request: CallerRequest,
        admitted: AdmittedRequest,
        progress: RequestProgress,
        head: bytes,
    ) -> Outcome:
        """Send an attempt to the first other node that takes it."""
        outcome = Outcome(OutcomeKind.REFUSED, reason=NO_UPSTREAM)
        while outcome.kind is OutcomeKind.REFUSED:
            member = self.retries.choose(admitted, progress)
            if member is None:
                progress.has_unused_retry = True
                break
            self._log.write(
                "hedged",
                request=admitted.id.decode("latin-1"),
                peer=member.node,
                left_ms=int(admitted.deadline_ms - self._clock.now_ms()),
            )
            outcome = await self._send_attempt(
                request, admitted, progress, member, head
            )
        return outcome

    async def _send_attempt(
        self,
        request: CallerRequest,
        admitted: AdmittedRequest,
        progress: RequestProgress,
        member: MemberRecord,
        head: bytes,
    ) -> Outcome:
        now_ms = self._clock.now_ms()
        route = admitted.route
        attempt = Attempt(
            member.service,
            member.instance,
            route.name,
            admitted.id,
            head,
            request.body,
            request.method == b"HEAD",
            route.idempotent,
            self._rank(admitted),
            admitted.deadline_ms - now_ms - RESPONSE_MARGIN_MS,
            route.objective_ms,
        )
        progress.tried_nodes.add(member.node)
        progress.n_sent += 1
        progress.n_possible_runs += 1
        if member.node == self.settings.host:
            outcome = await self._run_here(attempt, progress)
        else:
            link = self._fleet.peers_by_id[member.node].link
            outcome = await link.call(next(self._stream_ids), attempt)
            self._metrics.link_times.add(self._clock.now_ms() - now_ms)
        if outcome.kind in (OutcomeKind.REFUSED, OutcomeKind.SHED):
            progress.n_possible_runs -= 1
        if outcome.kind is OutcomeKind.REFUSED:
            progress.n_sent -= 1
        progress.retry_after_ms = max(progress.retry_after_ms, outcome.retry_after_ms)
        self.retries.record_calls(admitted, outcome)
        if outcome.kind is OutcomeKind.ANSWERED and outcome.status >= 500:
            progress.best_outcome = preferred_outcome(progress.best_outcome, outcome)
        is_answered = outcome.kind is OutcomeKind.ANSWERED and outcome.status < 500
        if is_answered and outcome.running_ms:  # absent in replies of earlier versions
            n_bytes = len(head) + len(request.body)
            n_bytes += len(outcome.headers) + len(outcome.body)
            self._fleet.record_response(
                member.node, route.name, outcome.running_ms, n_bytes
            )
        return outcome

    async def _run_here(self, attempt: Attempt, progress: RequestProgress) -> Outcome:
        ended: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        n_left_bytes = n_answer_bytes = 0

        def on_outcome(outcome: Outcome) -> None:
            nonlocal n_answer_bytes
            if not ended.done():
                if len(outcome.body) > SMALL_BYTES:
                    n_answer_bytes = len(outcome.body)
                    self._memory.add(Part.ANSWERS, n_answer_bytes)
                ended.set_result(outcome)
            if n_left_bytes:
                self._memory.add(Part.ATTEMPTS, -n_left_bytes)

        number = self._dispatcher.submit(attempt, on_outcome)
        try:
            return await ended
        except asyncio.CancelledError:
            may_have_run = self._dispatcher.cancel(number)
            progress.n_possible_runs -= not may_have_run
            if may_have_run and not attempt.idempotent and ended.cancelled():
                n_left_bytes = len(attempt.body)  # the upstream goes on with it
                self._memory.add(Part.ATTEMPTS, n_left_bytes)
            raise
        finally:
            if n_answer_bytes:
                self._memory.add(Part.ANSWERS, -n_answer_bytes)

    def _rank(self, admitted: AdmittedRequest) -> tuple[int, int]:
        """Return the queue rank of a request; lower ranks run first.

        Nested calls of an upstream run just before other requests of their parent's
        priority, since work was already spent on the parent. Priorities are doubled so
        that odd numbers are left for nested calls.
        """
        route, owner = admitted.route, admitted.owner
        if not admitted.is_nested:
            return (2 * route.priority, owner.priority if owner is not None else 0)
        parent = self._dispatcher.rank_of(self._dialect.parent_id(admitted.id))
        if parent is None:
            return UNKNOWN_PARENT_RANK
        priority, organisation_priority = parent
        return (priority if priority % 2 else priority - 1, organisation_priority)

    def _request_head(self, request: CallerRequest, admitted: AdmittedRequest) -> bytes:
        """Return request line and headers to send to the upstream."""
        lines = [b"%b %b HTTP/1.1\r\n" % (request.method, request.target)]
        connection_bound = _connection_options(request.headers)
        for lower, name, value in request.headers:
            if lower not in self._removed_headers and lower not in connection_bound:
                lines.append(b"%b: %b\r\n" % (name, value))
        dialect = self._dialect
        caller = self.settings.service.encode()
        lines.append(b"%b: %b\r\n" % (dialect.caller_service, caller))
        if admitted.owner is not None:
            organisation = admitted.owner.organisation.encode()
            lines.append(b"%b: %b\r\n" % (dialect.organisation, organisation))
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            lines.append(b"content-length: %d\r\n" % len(request.body))
        return b"".join(lines)

    def _final_response(
        self,
        request: CallerRequest,
        admitted: AdmittedRequest,
        progress: RequestProgress,
        outcome: Outcome,
    ) -> CallerResponse:
        if outcome.kind is OutcomeKind.ANSWERED:
            duration_ms = self._clock.now_ms() - request.arrived_ms
            route = admitted.route
            self._metrics.count_answer(route.priority, outcome.status, duration_ms)
            self._metrics.count_request(
                route.name, _answer_label(outcome, duration_ms, route.objective_ms)
            )
            if progress.n_sent > 1:
                self._log.write(
                    "answered after a repeat",
                    request=admitted.id.decode("latin-1"),
                    status=outcome.status,
                    n_sent=progress.n_sent,
                )
            return CallerResponse(outcome.status, outcome.headers, outcome.body)
        if not progress.may_have_run:
            wait_ms = self._retry_after_ms(admitted, progress)
            refusal = Refusal(503, outcome.reason, wait_ms)
        elif outcome.kind is OutcomeKind.TIMED_OUT:
            refusal = Refusal(504, outcome.reason)
        else:
            refusal = Refusal(502, outcome.reason)
        refusal = refusal._replace(route=admitted.route.name)
        details = self._log_fields(request, admitted, progress)
        return self._refusal_response(admitted.id, refusal, details)

    def _retry_after_ms(
        self, admitted: AdmittedRequest, progress: RequestProgress
    ) -> float:
        left_ms = admitted.caller_deadline_ms - self._clock.now_ms()
        spread_ms = RETRY_SPREAD_SHARE * left_ms * self._rng.random()
        wait_ms = max(MIN_RETRY_AFTER_MS, progress.retry_after_ms) + spread_ms
        return max(50.0, min(wait_ms, MAX_RETRY_SHARE * left_ms))

    def _refusal_response(
        self, request_id: bytes, refusal: Refusal, details: dict[str, str | int]
    ) -> CallerResponse:
        self._metrics.count_refusal(refusal.status, refusal.reason)
        if refusal.route:
            label = f"{refusal.status} {refusal.reason}"
            self._metrics.count_request(refusal.route, label)
        if refusal.organisation:
            details["organisation"] = refusal.organisation
        self._log.write(
            f"refused {refusal.status}",
            request=request_id.decode("latin-1"),
            reason=refusal.reason,
            retry_after_ms=int(refusal.retry_after_ms),
            version=self._admission.version,
            **details,
        )
        headers = b"%b: %b\r\n" % (self._dialect.request_id, request_id)
        if refusal.retry_after_ms:
            headers += b"retry-after: %.3f\r\n" % (refusal.retry_after_ms / 1000.0)
        return CallerResponse(refusal.status, headers, b"")

    def _log_fields(
        self,
        request: CallerRequest,
        admitted: AdmittedRequest,
        progress: RequestProgress,
    ) -> dict[str, str | int]:
        """Return the facts that decided the outcome of a request, for its log line."""
        now_ms = self._clock.now_ms()
        owner = admitted.owner
        return {
            "route": admitted.route.name,
            "service": admitted.service,
            "organisation": owner.organisation if owner is not None else "",
            "left_ms": int(admitted.deadline_ms - now_ms),
            "held_ms": int(now_ms - request.arrived_ms),
            "asked": " ".join(sorted(progress.tried_nodes)),
        }


def _answer_label(outcome: Outcome, duration_ms: float, objective_ms: float) -> str:
    """Return the outcome of an answered request, for the metrics."""
    if outcome.status >= 500:
        return "starved" if outcome.has_starved else "failed by the upstream"
    return "answered" if duration_ms <= objective_ms else "answered late"


def _connection_options(headers: list[tuple[bytes, bytes, bytes]]) -> set[bytes]:
    """Return the names of headers that apply only to the caller's connection."""
    options: set[bytes] = set()
    for lower, _, value in headers:
        if lower == b"connection":
            options.update(part.strip().lower() for part in value.split(b","))
    return options
