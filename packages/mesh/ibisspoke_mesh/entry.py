"""Requests of callers: key, rate, route, attempts, and an honest end."""

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.dependency_shedding import DependencyShedder
from ibisspoke_policy.freshness import Freshness
from ibisspoke_policy.retry_window import RetryWindow
from ibisspoke_policy.route_table import KeyHolder, Route, RouteTable
from ibisspoke_policy.shared_rate import SharedRates
from ibisspoke_policy.weighted_split import WeightedSplitter

from .caller_server import CallerAnswer, CallerRequest
from .decision_log import DecisionLog
from .dialect import HOP_BY_HOP, Dialect
from .fleet import Fleet, MemberRecord
from .frames import Attempt, Outcome, OutcomeKind
from .gate import Gate
from .metrics_page import RequestMetrics
from .settings import NodeSettings

RESEND_RATIO_SHARE = 0.4  # of the promised ratio of retries: it ran nowhere
RERUN_RATIO_SHARE = 0.15  # a second run makes its calls again, up to three deep
RESEND_SLACK_SHARE = 0.6
RERUN_SLACK_SHARE = 0.1
MAX_NODES = 4  # nodes asked for one request; refusals of a node cost no upstream
MARGIN_MS = 25.0  # kept from the time left, so that the end is told in time
NO_CONFIG_RETRY_MS = 500.0
RETRY_SPREAD = 0.2  # of the time left over which callers are asked to come back
MAX_RETRY_SHARE = 0.3  # of the time left: callers wait for at most a third of it
MIN_RERUN_MS = 100.0  # that must be left for running a request again
STARVED_PRESSURE = 0.03  # from which failures of a service are put down to overload
NESTED_PRIORITY = -1  # before all others: work has been done for these
BEARER = b"bearer "


class Refusal(NamedTuple):
    """A final answer of this node's own.

    :param reason: for the log.
    :param retry_after_ms: when to come back; 0 for never.
    :param organisation: whose rate was exceeded.
    """

    status: int
    reason: str
    retry_after_ms: float = 0.0
    organisation: str = ""


class Accepted(NamedTuple):
    """A request that may be passed on.

    :param deadline_ms: when its caller or its route gives up, in process time.
    :param objective_ms: when its answer loses worth, in process time.
    """

    id: bytes
    route: Route
    holder: KeyHolder | None
    service: str
    deadline_ms: float
    objective_ms: float
    caller_deadline_ms: float


class Progress:
    """What became of a request so far."""

    def __init__(self) -> None:
        self.nodes: set[str] = set()
        self.n_sent = 0
        self.best: Outcome | None = None
        self.retry_after_ms = 0.0
        self.may_have_run = False


class Entry:
    """Serve the requests of callers on this VM.

    :param table: returns the configuration in force.
    """

    def __init__(
        self,
        settings: NodeSettings,
        dialect: Dialect,
        table: Callable[[], RouteTable | None],
        freshness: Freshness,
        fleet: Fleet,
        gate: Gate,
        rates: SharedRates,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        metrics: RequestMetrics,
    ) -> None:
        self.settings = settings
        self.resends = RetryWindow(0.0, 0.0, settings.retry_window_ms)
        self.reruns = RetryWindow(0.0, 0.0, settings.retry_window_ms)
        self.splitter = WeightedSplitter(rng)
        self._shedder = DependencyShedder(rng)
        self.is_closing = False
        self._dialect = dialect
        self._dropped = dialect.set_by_nodes | HOP_BY_HOP
        self._table = table
        self._freshness = freshness
        self._fleet = fleet
        self._gate = gate
        self._rates = rates
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._streams = itertools.count(1)

    def __repr__(self) -> str:
        return f"Entry({self._table()})"

    def set_retry_budget(self, n_nodes: int) -> None:
        """Take this node's share of the retries that the fleet may make."""
        ratio = self.settings.retry_ratio
        slack = self.settings.retry_slack / n_nodes
        self.resends.ratio = ratio * RESEND_RATIO_SHARE
        self.resends.slack = slack * RESEND_SLACK_SHARE
        self.reruns.ratio = ratio * RERUN_RATIO_SHARE
        self.reruns.slack = slack * RERUN_SLACK_SHARE

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Return the answer to a request."""
        headers = {lower: value for lower, _, value in request.headers}
        request_id = headers.get(self._dialect.request_id, b"")
        accepted = self._accept(request, headers, request_id)
        if isinstance(accepted, Refusal):
            return self._refused(request, request_id, accepted, None)
        progress = Progress()
        try:
            remaining_ms = accepted.deadline_ms - self._clock.now_ms()
            async with asyncio.timeout(max(0.0, remaining_ms) / 1000.0):
                outcome = await self._attempts(request, accepted, progress)
        except TimeoutError:
            outcome = progress.best or Outcome(
                OutcomeKind.TIMED_OUT, reason="no answer within the time limit"
            )
        finally:
            self._settle(accepted, progress)
        if _is_nested(accepted.route, accepted.holder):
            self._gate.note_nested(self._has_starved(accepted, outcome))
        return self._final(request, accepted, progress, outcome)

    def _settle(self, accepted: Accepted, progress: Progress) -> None:
        holder = accepted.holder
        if holder is not None and not progress.may_have_run:
            self._rates.give_back(holder.organisation)

    def _has_starved(self, accepted: Accepted, outcome: Outcome) -> bool:
        """Tell whether a request failed for want of room here or deeper down."""
        if outcome.kind is OutcomeKind.ANSWERED:
            pressure = self._fleet.pressure(accepted.service)
            return outcome.status >= 500 and pressure > STARVED_PRESSURE
        return outcome.kind in (OutcomeKind.REFUSED, OutcomeKind.TIMED_OUT)

    def _accept(
        self, request: CallerRequest, headers: dict[bytes, bytes], request_id: bytes
    ) -> Accepted | Refusal:
        table = self._table()
        if table is None:
            return Refusal(503, "no_configuration", NO_CONFIG_RETRY_MS)
        if self.is_closing:
            return Refusal(503, "stopping", NO_CONFIG_RETRY_MS)
        now_ms = self._clock.boot_ms()
        age_ms = self._freshness.age_ms(table.version, now_ms)
        is_fresh = age_ms < self.settings.key_proof_ms
        host = headers.get(b"host", b"").decode("latin-1")
        path = request.target.decode("latin-1").partition("?")[0]
        route = table.find(host, path)
        if route is None:
            return self._unknown("route_unknown", 404, is_fresh)
        holder: KeyHolder | None = None
        if table.has_organisations and not route.is_public:
            holder = table.holders_by_key.get(_key_of(headers, self._dialect))
            if holder is None:
                return self._unknown("key_unknown", 401, is_fresh)
            if not is_fresh:
                return Refusal(503, "keys_not_proven", NO_CONFIG_RETRY_MS)
        return self._admit(request, headers, request_id, route, holder)

    def _unknown(self, reason: str, status: int, is_fresh: bool) -> Refusal:
        """Refuse for good only by a configuration that is known to be current."""
        if is_fresh:
            return Refusal(status, reason)
        return Refusal(503, f"{reason}_not_proven", NO_CONFIG_RETRY_MS)

    def _admit(
        self,
        request: CallerRequest,
        headers: dict[bytes, bytes],
        request_id: bytes,
        route: Route,
        holder: KeyHolder | None,
    ) -> Accepted | Refusal:
        now_ms = self._clock.now_ms()
        stated_ms = _number(headers.get(self._dialect.deadline))
        caller_ms = stated_ms if stated_ms is not None else route.timeout_ms
        if holder is not None and not self._rates.admit(holder.organisation, now_ms):
            wait_ms = caller_ms * MAX_RETRY_SHARE * self._rng.random()
            name = holder.organisation
            return Refusal(429, "rate_exceeded", max(100.0, wait_ms), name)
        service = self.splitter.pick(route)
        self.resends.count_request(service, now_ms)
        self.reruns.count_request(service, now_ms)
        if not _is_nested(route, holder):
            pressure = self._fleet.pressure(service)
            if not self._shedder.admits(service, route.priority, pressure, now_ms):
                if holder is not None:
                    self._rates.give_back(holder.organisation)
                wait_ms = caller_ms * MAX_RETRY_SHARE * self._rng.uniform(0.5, 1.0)
                return Refusal(503, "dependency_overloaded", wait_ms)
        arrived_ms = request.arrived_ms
        return Accepted(
            request_id,
            route,
            holder,
            service,
            arrived_ms + min(caller_ms, route.timeout_ms),
            arrived_ms + route.objective_ms,
            arrived_ms + caller_ms,
        )

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
            outcome = await self._attempt(request, accepted, progress, member, head)
            progress.nodes.add(member.node)
            progress.retry_after_ms = max(
                progress.retry_after_ms, outcome.retry_after_ms
            )
            if not self._may_continue(accepted, progress, outcome):
                break
            self._metrics.count_retry(accepted.service, outcome.kind.name)
            self._log.write(
                "sent again",
                request=accepted.id.decode("latin-1"),
                kind=outcome.kind.name,
                status=outcome.status,
                reason=outcome.reason,
                peer=member.node,
                left_ms=int(accepted.deadline_ms - self._clock.now_ms()),
            )
        return _better(progress.best, outcome)

    async def _attempt(
        self,
        request: CallerRequest,
        accepted: Accepted,
        progress: Progress,
        member: MemberRecord,
        head: bytes,
    ) -> Outcome:
        now_ms = self._clock.now_ms()
        route, holder = accepted.route, accepted.holder
        attempt = Attempt(
            member.service,
            member.instance,
            route.name,
            accepted.id,
            head,
            request.body,
            request.method == b"HEAD",
            route.idempotent,
            _rank(route, holder),
            accepted.deadline_ms - now_ms - MARGIN_MS,
            accepted.objective_ms - now_ms,
            route.objective_ms,
        )
        may_have_run, progress.may_have_run = progress.may_have_run, True
        if member.node == self.settings.host:
            outcome = await self._run_here(attempt, progress, may_have_run)
        else:
            link = self._fleet.peers_by_id[member.node].link
            outcome = await link.call(next(self._streams), attempt)
        if outcome.kind in (OutcomeKind.REFUSED, OutcomeKind.SHED):
            progress.may_have_run = may_have_run
        if outcome.kind is not OutcomeKind.REFUSED:
            progress.n_sent += 1
        if outcome.kind is OutcomeKind.ANSWERED and outcome.status < 500:
            took_ms = self._clock.now_ms() - now_ms
            self._fleet.route_times.add(route.name, took_ms)
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
            if self._fleet.pressure(accepted.service) > STARVED_PRESSURE:
                return False
            progress.best = _better(progress.best, outcome)
        if progress.n_sent >= accepted.route.max_attempts:
            return False
        if accepted.deadline_ms - now_ms < MIN_RERUN_MS:
            return False
        is_unrun = outcome.kind is OutcomeKind.SHED
        budget = self.resends if is_unrun else self.reruns
        return budget.take(accepted.service, now_ms)

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
            self._metrics.answered(accepted.route, outcome.status, took_ms)
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
        return self._refused(request, accepted.id, refusal, accepted)

    def _retry_after_ms(self, accepted: Accepted, progress: Progress) -> float:
        left_ms = accepted.caller_deadline_ms - self._clock.now_ms()
        spread_ms = RETRY_SPREAD * left_ms * self._rng.random()
        wait_ms = max(100.0, progress.retry_after_ms) + spread_ms
        return max(50.0, min(wait_ms, MAX_RETRY_SHARE * left_ms))

    def _refused(
        self,
        request: CallerRequest,
        request_id: bytes,
        refusal: Refusal,
        accepted: Accepted | None,
    ) -> CallerAnswer:
        self._metrics.refused(refusal.status, refusal.reason)
        now_ms = self._clock.now_ms()
        table = self._table()
        details: dict[str, str | int] = {"version": table.version if table else 0}
        if refusal.organisation:
            details["organisation"] = refusal.organisation
        if accepted is not None:
            details |= {
                "route": accepted.route.name,
                "service": accepted.service,
                "organisation": (
                    accepted.holder.organisation if accepted.holder else ""
                ),
                "left_ms": int(accepted.deadline_ms - now_ms),
                "held_ms": int(now_ms - request.arrived_ms),
            }
        self._log.write(
            f"refused {refusal.status}",
            request=request_id.decode("latin-1"),
            reason=refusal.reason,
            retry_after_ms=int(refusal.retry_after_ms),
            **details,
        )
        headers = b"%b: %b\r\n" % (self._dialect.request_id, request_id)
        if refusal.retry_after_ms:
            headers += b"retry-after: %.3f\r\n" % (refusal.retry_after_ms / 1000.0)
        return CallerAnswer(refusal.status, headers, b"")


def _is_nested(route: Route, holder: KeyHolder | None) -> bool:
    """Tell whether an upstream makes the call: callers of public routes are few."""
    return holder is None and route.is_public


def _rank(route: Route, holder: KeyHolder | None) -> tuple[int, int]:
    if _is_nested(route, holder):
        return (NESTED_PRIORITY, route.priority)
    return (route.priority, holder.priority if holder is not None else 0)


def _better(best: Outcome | None, latest: Outcome) -> Outcome:
    """Prefer an answer of an upstream, then the latest outcome."""
    if best is None or latest.kind is OutcomeKind.ANSWERED:
        return latest
    if best.kind is OutcomeKind.ANSWERED:
        return best
    return best if latest.kind is OutcomeKind.REFUSED else latest


def _key_of(headers: dict[bytes, bytes], dialect: Dialect) -> str:
    value = headers.get(dialect.credentials, b"")
    if not value.lower().startswith(BEARER):
        return ""
    return value[len(BEARER) :].strip().decode("latin-1")


def _connection_options(headers: list[tuple[bytes, bytes, bytes]]) -> set[bytes]:
    """Return the headers that the caller binds to its connection."""
    options: set[bytes] = set()
    for lower, _, value in headers:
        if lower == b"connection":
            options.update(part.strip().lower() for part in value.split(b","))
    return options


def _number(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0.0 <= number < 1e9 else None
