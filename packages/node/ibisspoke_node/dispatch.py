"""Sends a request to the best node and retries within its allowance."""

import asyncio
from typing import NamedTuple, Protocol

from result import Err, Ok

from ibisspoke_policy.admission import AdmissionLevel
from ibisspoke_policy.catalogue import Call
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.context import RequestContext
from ibisspoke_policy.early_shedding import EarlyShedder
from ibisspoke_policy.member import Member
from ibisspoke_policy.refusal import (
    Ran,
    Refusal,
    RefusalKind,
    deadline_exceeded,
    no_upstream,
    overloaded,
)
from ibisspoke_policy.retry import N_REDIRECTS, Allowance, RetryBudgets, classify
from ibisspoke_policy.routing import RouteQuery, Router

from .claims import KeyedServices, is_keyed, scoped_key
from .link_pool import LinkPool
from .messages import Answer, Attempt, Header, Outcome, Refused
from .parents import Parent, ParentTable
from .server_link import AttemptHandler

SHED_RETRY_AFTER_MS = 500


class Request(NamedTuple):
    """A request that the entry has accepted.

    :param deadline_ms: in the monotonic time of this process.
    """

    call: Call
    context: RequestContext
    target: str
    headers: list[Header]
    idempotency_key: str
    body: bytes
    deadline_ms: float


class _Job(NamedTuple):
    """What is sent, once or more often."""

    attempt: Attempt
    body: bytes
    deadline_ms: float


class _Progress(NamedTuple):
    """What was tried so far for one job."""

    tried: tuple[str, ...] = ()
    n_redirects: int = 0


class Canceller(Protocol):
    """Stop an attempt that nobody waits for."""

    def cancel(self, attempt_id: int) -> None:
        """Stop the attempt of that id."""


class Dispatcher:
    """Choose a node for each attempt, and retry elsewhere where that is safe.

    :param node_id: identity of this node; its attempts skip the network.
    :param local: takes the attempts for the upstream of this node.
    :param parents: attempts that nested calls belong to.
    :param keyed: owners of idempotency keys.
    """

    def __init__(
        self,
        node_id: str,
        router: Router,
        links: LinkPool,
        local: AttemptHandler,
        parents: ParentTable,
        keyed: KeyedServices,
        clock: Clock,
    ) -> None:
        self._node_id = node_id
        self._router = router
        self._links = links
        self._local = local
        self._parents = parents
        self._keyed = keyed
        self._clock = clock
        self.shedder = EarlyShedder()
        self.budgets = RetryBudgets()

    def __repr__(self) -> str:
        return f"Dispatcher({self._node_id!r})"

    async def run(self, request: Request) -> Outcome:
        """Return the answer to ``request``, or why there is none."""
        job = _Job(self._describe(request), request.body, request.deadline_ms)
        attempt_id = request.context.attempt_id
        if not attempt_id:
            allowance = Allowance(request.context.retries_left)
            return await self._run(job, allowance)
        if not self._parents.is_local(attempt_id):
            return await self._run(job, Allowance(0))
        parent = self._parents.find(attempt_id)
        if parent is None:
            return Err(Refused(_parent_ended()))
        return await self._run_nested(job, parent)

    async def forward(
        self, attempt: Attempt, body: bytes, deadline_ms: float
    ) -> Outcome:
        """Run an attempt that this node does not take on another one."""
        progress = _Progress((self._node_id,), 1)
        allowance = Allowance(attempt.context.retries_left)
        outcome = await self._attempts(
            _Job(attempt, body, deadline_ms), allowance, progress
        )
        return _with_unused(outcome, allowance.n_left)

    async def _run_nested(self, job: _Job, parent: Parent) -> Outcome:
        task = asyncio.current_task()
        assert task is not None
        call_id = job.attempt.call_id
        with self._parents.nested(parent, call_id, task.cancel) as allowance:
            try:
                return await self._run(job, allowance)
            except asyncio.CancelledError:
                if not parent.is_ended:
                    raise
                task.uncancel()
                return Err(Refused(_parent_ended(Ran.UNKNOWN)))
            finally:
                now_ms = self._clock.now_ms()
                level = self.shedder.level(call_id, now_ms)
                self._parents.chain.nested(parent.call_id, call_id, level, now_ms)

    async def _run(self, job: _Job, allowance: Allowance) -> Outcome:
        attempt = job.attempt
        now_ms = self._clock.now_ms()
        if is_keyed(attempt):
            return await self._attempts(job, allowance)
        context = attempt.context
        if self.shedder.refuses(
            attempt.call_id,
            context.organisation,
            context.importance,
            context.request_id,
            now_ms,
        ):
            detail = "the services that the request needs are overloaded"
            return Err(Refused(overloaded(detail, SHED_RETRY_AFTER_MS)))
        return await self._attempts(job, allowance)

    async def _attempts(
        self, job: _Job, allowance: Allowance, progress: _Progress | None = None
    ) -> Outcome:
        progress = progress or _Progress()
        outcome: Outcome | None = None
        while True:
            now_ms = self._clock.now_ms()
            if now_ms >= job.deadline_ms:
                return outcome or Err(Refused(_late(job)))
            member = self._choose(job, progress, now_ms)
            if member is None:
                return outcome or Err(Refused(_nobody(job)))
            n_lent = allowance.lend()
            outcome = await self._attempt(job, n_lent, member)
            allowance.give_back(n_lent, _unused(outcome, n_lent))
            tried = (*progress.tried, member.id)
            following = self._following(job, outcome, allowance, progress)
            if following is None:
                self._report(job.attempt, outcome)
                return outcome
            progress = following._replace(tried=tried)

    def _following(
        self, job: _Job, outcome: Outcome, allowance: Allowance, progress: _Progress
    ) -> _Progress | None:
        """Return what to count if another attempt may follow, or None."""
        service = job.attempt.service
        now_ms = self._clock.now_ms()
        if isinstance(outcome, Ok):
            if outcome.ok_value.status < 500:
                self.budgets.succeeded(service, now_ms)
            return None
        refused = outcome.err_value
        if is_keyed(job.attempt):
            return progress if _may_ask_again(refused) and allowance.spend() else None
        kind = classify(refused.refusal, job.attempt.idempotent)
        if not kind.retry:
            return None
        if not kind.is_redirect:
            may = self.budgets.spend(service, now_ms) and allowance.spend()
            return progress if may else None
        if progress.n_redirects >= N_REDIRECTS:
            return None
        if not _is_out(refused.level) and not self._may_crowd(job, refused):
            return None
        return progress._replace(n_redirects=progress.n_redirects + 1)

    def _may_crowd(self, job: _Job, refused: Refused) -> bool:
        """Return whether to try another node though this one is merely full."""
        level = refused.level
        if level is not None and level.shed > job.attempt.context.importance:
            return False
        return self.budgets.spend(job.attempt.service, self._clock.now_ms())

    def _choose(self, job: _Job, progress: _Progress, now_ms: float) -> Member | None:
        attempt = job.attempt
        if is_keyed(attempt):
            key = scoped_key(attempt)
            return self._keyed.owner(attempt.service, key, now_ms)
        query = RouteQuery(
            attempt.service,
            attempt.context.importance,
            len(job.body),
            progress.tried,
        )
        member = self._router.choose(query, now_ms)
        if member is None and len(progress.tried) > progress.n_redirects:
            member = self._router.choose(query._replace(excluded=()), now_ms)
        return member

    async def _attempt(self, job: _Job, n_lent: int, member: Member) -> Outcome:
        self._router.sent(member.id, self._clock.now_ms())
        outcome: Outcome | None = None
        try:
            outcome = await self._send(job, n_lent, member)
        finally:
            level = _level(outcome)
            self._router.done(member.id, level, self._clock.now_ms())
        return outcome

    async def _send(self, job: _Job, n_lent: int, member: Member) -> Outcome:
        ended: asyncio.Future[Outcome] = asyncio.Future()

        def done(outcome: Outcome) -> None:
            if not ended.done():
                ended.set_result(outcome)

        if member.id == self._node_id:
            attempt = self._prepare(job, n_lent)
            attempt_id = self._local.submit(attempt, job.body, done)
            return await self._wait(job, ended, self._local, attempt_id)
        link = self._links.open_link(member.host, member.call_port)
        if link is None or (link.is_quiet and not job.attempt.idempotent):
            link = await self._links.proven_link(member.host, member.call_port)
        if link is None:
            return Err(Refused(_unreachable(member)))
        stream_id = link.call(self._prepare(job, n_lent), job.body, done)
        return await self._wait(job, ended, link, stream_id)

    async def _wait(
        self,
        job: _Job,
        ended: asyncio.Future[Outcome],
        canceller: Canceller,
        attempt_id: int,
    ) -> Outcome:
        remaining_ms = job.deadline_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, remaining_ms) / 1000.0):
                return await ended
        except TimeoutError:
            canceller.cancel(attempt_id)
            detail = "no answer came before the deadline"
            return Err(Refused(deadline_exceeded(Ran.UNKNOWN, detail)))
        except asyncio.CancelledError:
            canceller.cancel(attempt_id)
            raise

    def _report(self, attempt: Attempt, outcome: Outcome) -> None:
        level = _level(outcome)
        if level is not None:
            shed = max(level.shed, level.chain_shed)
            self.shedder.report(attempt.call_id, shed, self._clock.now_ms())

    def _prepare(self, job: _Job, n_lent: int) -> Attempt:
        context = job.attempt.context._replace(retries_left=n_lent)
        remaining_ms = job.deadline_ms - self._clock.now_ms()
        return job.attempt._replace(context=context, remaining_ms=remaining_ms)

    def _describe(self, request: Request) -> Attempt:
        call = request.call
        return Attempt(
            call.id,
            call.service,
            call.method,
            request.target,
            request.headers,
            request.context,
            request.deadline_ms - self._clock.now_ms(),
            call.idempotent,
            call.max_answer_bytes,
            request.idempotency_key,
        )


def _unused(outcome: Outcome, n_lent: int) -> int:
    if isinstance(outcome, Ok):
        return outcome.ok_value.n_retries_unused
    refused = outcome.err_value
    if refused.refusal.ran is Ran.NOT_RUN:
        return n_lent
    return refused.n_retries_unused


def _with_unused(outcome: Outcome, n_unused: int) -> Outcome:
    if isinstance(outcome, Ok):
        return Ok(outcome.ok_value._replace(n_retries_unused=n_unused))
    return Err(outcome.err_value._replace(n_retries_unused=n_unused))


def _may_ask_again(refused: Refused) -> bool:
    """Return whether the owner of the key did not say what became of it."""
    is_unknown = refused.refusal.kind is RefusalKind.OUTCOME_UNKNOWN
    return refused.level is None and is_unknown


def _is_out(level: AdmissionLevel | None) -> bool:
    """Return whether a node takes nothing at all."""
    return level is None or level.limit == 0


def _level(outcome: Outcome | None) -> AdmissionLevel | None:
    if outcome is None:
        return None
    ended: Answer | Refused = (
        outcome.ok_value if isinstance(outcome, Ok) else outcome.err_value
    )
    return ended.level


def _late(job: _Job) -> Refusal:
    ran = Ran.UNKNOWN if is_keyed(job.attempt) else Ran.NOT_RUN
    return deadline_exceeded(ran, "the deadline passed before any attempt")


def _nobody(job: _Job) -> Refusal:
    refusal = no_upstream(job.attempt.service)
    if is_keyed(job.attempt):
        return refusal._replace(ran=Ran.UNKNOWN)
    return refusal


def _unreachable(member: Member) -> Refusal:
    return overloaded(f"node {member.id} cannot be reached", 100)


def _parent_ended(ran: Ran = Ran.NOT_RUN) -> Refusal:
    return Refusal(
        RefusalKind.CANCELLED,
        ran,
        "the request that this call belongs to has ended",
        "stop working for a request when its caller has left",
    )
