"""Requests of callers: attempts, and an honest end."""

import asyncio
import itertools
import random

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.retry_window import RetryBudget

from ._progress import Progress, better, has_starved
from .acceptance import (
    MAX_RETRY_SHARE,
    MIN_RETRY_AFTER_MS,
    Acceptance,
    Accepted,
    RateQuestion,
    Refusal,
)
from .caller_server import CallerAnswer, CallerRequest
from .decision_log import DecisionLog
from .dialect import HOP_BY_HOP, Dialect
from .fleet import Fleet, MemberRecord
from .frames import Attempt, Outcome, OutcomeKind
from .gate import Gate
from .metrics import NodeMetrics
from .rate_homes import RateHomes
from .settings import NodeSettings

MAX_NODES = 4  # nodes asked for one request; refusals of a node cost no upstream
MARGIN_MS = 25.0  # kept from the time left, so that the end is told in time
RETRY_SPREAD = 0.2  # of the time left over which callers are asked to come back
MIN_RERUN_MS = 100.0  # that must be left for running a request again
UNKNOWN_PARENT_RANK = (-1, 0)  # before all others: work has been done for these


class Entry:
    """Serve the requests of callers on this VM."""

    def __init__(
        self,
        settings: NodeSettings,
        dialect: Dialect,
        acceptance: Acceptance,
        homes: RateHomes,
        retries: RetryBudget,
        fleet: Fleet,
        gate: Gate,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        metrics: NodeMetrics,
    ) -> None:
        self.settings = settings
        self._acceptance = acceptance
        self._homes = homes
        self._retries = retries
        self._dialect = dialect
        self._dropped = dialect.set_by_nodes | HOP_BY_HOP
        self._fleet = fleet
        self._gate = gate
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._streams = itertools.count(1)

    def __repr__(self) -> str:
        return f"Entry({self._acceptance!r})"

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Return the answer to a request."""
        headers = {lower: value for lower, _, value in request.headers}
        request_id = headers.get(self._dialect.request_id, b"")
        accepted = await self._accept(request, headers, request_id)
        if isinstance(accepted, Refusal):
            return self._refused(request_id, accepted, {})
        progress = Progress()
        try:
            remaining_ms = accepted.deadline_ms - self._clock.now_ms()
            async with asyncio.timeout(max(0.0, remaining_ms) / 1000.0):
                outcome = await self._attempts(request, accepted, progress)
        except TimeoutError:
            outcome = progress.best or Outcome(
                OutcomeKind.TIMED_OUT, reason="no answer within the time limit"
            )
        except asyncio.CancelledError:
            details = self._details(request, accepted, progress)
            self._log.write(
                "cancelled", request=request_id.decode("latin-1"), **details
            )
            raise
        finally:
            self._acceptance.settle(accepted, progress.may_have_run)
        if accepted.is_nested:
            parent_id = self._dialect.parent_id(request_id)
            self._gate.note_nested(parent_id, has_starved(outcome))
        return self._final(request, accepted, progress, outcome)

    async def _accept(
        self, request: CallerRequest, headers: dict[bytes, bytes], request_id: bytes
    ) -> Accepted | Refusal:
        accepted = self._acceptance.accept(request, headers, request_id)
        if not isinstance(accepted, RateQuestion):
            return accepted
        organisation = accepted.organisation
        if not await self._homes.ask(organisation):
            self._metrics.rate_decisions[("refused by its home",)] += 1
            return self._acceptance.over_rate(request, headers, organisation)
        self._metrics.rate_decisions[("admitted by its home",)] += 1
        granted = self._acceptance.accept(request, headers, request_id, is_granted=True)
        assert not isinstance(granted, RateQuestion)
        return granted

    async def _attempts(
        self, request: CallerRequest, accepted: Accepted, progress: Progress
    ) -> Outcome:
        head = self._head(request, accepted)
        objective_ms = accepted.route.objective_ms
        outcome = Outcome(OutcomeKind.REFUSED, reason="no upstream is known")
        while len(progress.nodes) < MAX_NODES:
            member = self._fleet.choose(
                accepted.service, accepted.route.name, objective_ms, progress.nodes
            )
            if member is None:
                break
            progress.nodes.add(member.node)
            outcome = await self._attempt(request, accepted, progress, member, head)
            progress.retry_after_ms = max(
                progress.retry_after_ms, outcome.retry_after_ms
            )
            if not self._may_continue(accepted, progress, outcome):
                break
            self._metrics.retries[(outcome.kind.name,)] += 1
            self._log.write(
                "sent again",
                request=accepted.id.decode("latin-1"),
                kind=outcome.kind.name,
                status=outcome.status,
                reason=outcome.reason,
                peer=member.node,
                left_ms=int(accepted.deadline_ms - self._clock.now_ms()),
            )
        return better(progress.best, outcome)

    async def _attempt(
        self,
        request: CallerRequest,
        accepted: Accepted,
        progress: Progress,
        member: MemberRecord,
        head: bytes,
    ) -> Outcome:
        now_ms = self._clock.now_ms()
        route = accepted.route
        attempt = Attempt(
            member.service,
            member.instance,
            route.name,
            accepted.id,
            head,
            request.body,
            request.method == b"HEAD",
            route.idempotent,
            self._rank(accepted),
            accepted.deadline_ms - now_ms - MARGIN_MS,
            route.objective_ms,
        )
        may_have_run, progress.may_have_run = progress.may_have_run, True
        if member.node == self.settings.host:
            outcome = await self._run_here(attempt, progress, may_have_run)
        else:
            link = self._fleet.peers_by_id[member.node].link
            outcome = await link.call(next(self._streams), attempt)
            self._metrics.link_times.add(self._clock.now_ms() - now_ms)
        if outcome.kind in (OutcomeKind.REFUSED, OutcomeKind.SHED):
            progress.may_have_run = may_have_run
        if outcome.kind is not OutcomeKind.REFUSED:
            progress.n_sent += 1
        if outcome.kind is OutcomeKind.ANSWERED and outcome.status < 500:
            took_ms = self._clock.now_ms() - now_ms
            n_bytes = len(head) + len(request.body)
            n_bytes += len(outcome.headers) + len(outcome.body)
            self._fleet.note_answer(member.node, route.name, took_ms, n_bytes)
        return outcome

    async def _run_here(
        self, attempt: Attempt, progress: Progress, ran_before: bool
    ) -> Outcome:
        ended: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()

        def on_outcome(outcome: Outcome) -> None:
            if not ended.done():
                ended.set_result(outcome)

        number = self._gate.submit(attempt, on_outcome)
        try:
            return await ended
        except asyncio.CancelledError:
            may_have_run = self._gate.cancel(number)
            progress.may_have_run = ran_before or may_have_run
            raise

    def _may_continue(
        self, accepted: Accepted, progress: Progress, outcome: Outcome
    ) -> bool:
        """Decide whether another node is asked, and keep the best outcome so far."""
        now_ms = self._clock.now_ms()
        if outcome.kind is OutcomeKind.REFUSED:
            return accepted.deadline_ms - now_ms > 2 * MARGIN_MS
        if outcome.kind is OutcomeKind.ANSWERED and outcome.status < 500:
            return False
        if outcome.kind is not OutcomeKind.SHED:
            if not accepted.route.idempotent:
                return False
            if outcome.has_starved:
                return False
            progress.best = better(progress.best, outcome)
        if progress.n_sent >= accepted.route.max_attempts:
            return False
        if accepted.deadline_ms - now_ms < MIN_RERUN_MS:
            return False
        has_run = outcome.kind is not OutcomeKind.SHED
        return self._retries.take(accepted.service, has_run, now_ms)

    def _rank(self, accepted: Accepted) -> tuple[int, int]:
        """Return the order in which a request runs.

        Calls of an upstream follow the request that it serves, just before others of
        that priority: work has been done for these. Priorities are doubled for that.
        """
        route, holder = accepted.route, accepted.holder
        if not accepted.is_nested:
            return (2 * route.priority, holder.priority if holder is not None else 0)
        parent = self._gate.rank_of(self._dialect.parent_id(accepted.id))
        if parent is None:
            return UNKNOWN_PARENT_RANK
        priority, organisation_priority = parent
        return (priority if priority % 2 else priority - 1, organisation_priority)

    def _head(self, request: CallerRequest, accepted: Accepted) -> bytes:
        """Return request line and headers as the upstream gets them."""
        lines = [b"%b %b HTTP/1.1\r\n" % (request.method, request.target)]
        connection_bound = _connection_options(request.headers)
        for lower, name, value in request.headers:
            if lower not in self._dropped and lower not in connection_bound:
                lines.append(b"%b: %b\r\n" % (name, value))
        dialect = self._dialect
        caller = self.settings.service.encode()
        lines.append(b"%b: %b\r\n" % (dialect.caller_service, caller))
        if accepted.holder is not None:
            organisation = accepted.holder.organisation.encode()
            lines.append(b"%b: %b\r\n" % (dialect.organisation, organisation))
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            lines.append(b"content-length: %d\r\n" % len(request.body))
        return b"".join(lines)

    def _final(
        self,
        request: CallerRequest,
        accepted: Accepted,
        progress: Progress,
        outcome: Outcome,
    ) -> CallerAnswer:
        if outcome.kind is OutcomeKind.ANSWERED:
            took_ms = self._clock.now_ms() - request.arrived_ms
            self._metrics.answered(accepted.route.priority, outcome.status, took_ms)
            if progress.n_sent > 1:
                self._log.write(
                    "answered after a repeat",
                    request=accepted.id.decode("latin-1"),
                    status=outcome.status,
                    n_sent=progress.n_sent,
                )
            return CallerAnswer(outcome.status, outcome.headers, outcome.body)
        if not progress.may_have_run:
            wait_ms = self._retry_after_ms(accepted, progress)
            refusal = Refusal(503, outcome.reason, wait_ms)
        elif outcome.kind is OutcomeKind.TIMED_OUT:
            refusal = Refusal(504, outcome.reason)
        else:
            refusal = Refusal(502, outcome.reason)
        details = self._details(request, accepted, progress)
        return self._refused(accepted.id, refusal, details)

    def _retry_after_ms(self, accepted: Accepted, progress: Progress) -> float:
        left_ms = accepted.caller_deadline_ms - self._clock.now_ms()
        spread_ms = RETRY_SPREAD * left_ms * self._rng.random()
        wait_ms = max(MIN_RETRY_AFTER_MS, progress.retry_after_ms) + spread_ms
        return max(50.0, min(wait_ms, MAX_RETRY_SHARE * left_ms))

    def _refused(
        self, request_id: bytes, refusal: Refusal, details: dict[str, str | int]
    ) -> CallerAnswer:
        self._metrics.refused(refusal.status, refusal.reason)
        if refusal.organisation:
            details["organisation"] = refusal.organisation
        self._log.write(
            f"refused {refusal.status}",
            request=request_id.decode("latin-1"),
            reason=refusal.reason,
            retry_after_ms=int(refusal.retry_after_ms),
            version=self._acceptance.version,
            **details,
        )
        headers = b"%b: %b\r\n" % (self._dialect.request_id, request_id)
        if refusal.retry_after_ms:
            headers += b"retry-after: %.3f\r\n" % (refusal.retry_after_ms / 1000.0)
        return CallerAnswer(refusal.status, headers, b"")

    def _details(
        self, request: CallerRequest, accepted: Accepted, progress: Progress
    ) -> dict[str, str | int]:
        """Return what decided the end of a request, for its line."""
        now_ms = self._clock.now_ms()
        holder = accepted.holder
        return {
            "route": accepted.route.name,
            "service": accepted.service,
            "organisation": holder.organisation if holder is not None else "",
            "left_ms": int(accepted.deadline_ms - now_ms),
            "held_ms": int(now_ms - request.arrived_ms),
            "asked": " ".join(sorted(progress.nodes)),
        }


def _connection_options(headers: list[tuple[bytes, bytes, bytes]]) -> set[bytes]:
    """Return the headers that the caller binds to its connection."""
    options: set[bytes] = set()
    for lower, _, value in headers:
        if lower == b"connection":
            options.update(part.strip().lower() for part in value.split(b","))
    return options
