"""Sends a request to the best node and retries it within its retry allowance."""

import asyncio
from typing import NamedTuple, Protocol

from result import Err, Ok

from ibisspoke_policy.catalogue import Call
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.context import RequestContext
from ibisspoke_policy.early_shedding import Candidate, EarlyShedder
from ibisspoke_policy.member import Member
from ibisspoke_policy.refusal import (
    Ran,
    Refusal,
    deadline_exceeded,
    no_upstream,
    overloaded,
)
from ibisspoke_policy.retry import Allowance
from ibisspoke_policy.routing import LinkCapacity, Router

from .claims import KeyOwnerDirectory, is_keyed, key_scope, scoped_key
from .link_pool import LinkPool
from .messages import Attempt, Header, Outcome, Refused
from .outcomes import (
    combine_outcomes,
    outcome_level,
    parent_ended,
    unreachable,
    unused_retries,
    with_unused_retries,
)
from .parent_attempts import Parent, ParentTable
from .retry_rules import Job, Progress, RetryRules, route_query
from .server_link import AttemptHandler

SHED_RETRY_AFTER_MS = 500
# In levels of importance.
NESTED_SHED_MARGIN_LEVELS = 1.75


class Request(NamedTuple):
    """A request that the entry has accepted.

    :param deadline_ms: in monotonic time of this process.
    """

    call: Call
    context: RequestContext
    target: str
    headers: list[Header]
    idempotency_key: str
    body: bytes
    deadline_ms: float


class Canceller(Protocol):
    """Cancel attempts whose outcome is no longer needed."""

    def cancel(self, attempt_id: int) -> None:
        """Cancel the attempt with this id."""


class Dispatcher:
    """Choose a node for each attempt, and retry on another node where that is safe.

    :param node_id: identity of this node; attempts on it bypass the network.
    :param local: runs attempts on the upstream of this node.
    :param parents: attempts that nested calls belong to.
    :param key_owners: owners of idempotency keys.
    :param shedder: refuses requests early that a nested service would refuse.
    """

    def __init__(
        self,
        node_id: str,
        router: Router,
        links: LinkPool,
        local: AttemptHandler,
        parents: ParentTable,
        key_owners: KeyOwnerDirectory,
        shedder: EarlyShedder,
        clock: Clock,
    ) -> None:
        self._node_id = node_id
        self._router = router
        self._links = links
        self._local = local
        self._parents = parents
        self._key_owners = key_owners
        self._clock = clock
        self.shedder = shedder
        self.link_capacity: LinkCapacity | None = None
        self._rules = RetryRules(clock)

    def __repr__(self) -> str:
        return f"Dispatcher({self._node_id!r})"

    async def run(self, request: Request) -> Outcome:
        """Return the answer to ``request``, or the reason why there is none."""
        job = Job(self._make_attempt(request), request.body, request.deadline_ms)
        attempt_id = request.context.attempt_id
        if not attempt_id:
            allowance = Allowance(request.context.retries_left)
            return await self._run(job, allowance)
        if not self._parents.is_local(attempt_id):
            return await self._run(job, Allowance(0))
        parent = self._parents.find(attempt_id)
        if parent is None:
            return Err(Refused(parent_ended()))
        return await self._run_nested(job, parent)

    async def forward(
        self, attempt: Attempt, body: bytes, deadline_ms: float
    ) -> Outcome:
        """Run an attempt on another node, after this one has refused it."""
        progress = Progress((self._node_id,), 1)
        allowance = Allowance(attempt.context.retries_left)
        outcome = await self._run_attempts(
            Job(attempt, body, deadline_ms), allowance, progress
        )
        return with_unused_retries(outcome, allowance.n_left)

    async def _run_nested(self, job: Job, parent: Parent) -> Outcome:
        task = asyncio.current_task()
        assert task is not None
        attempt = job.attempt
        now_ms = self._clock.now_ms()
        chain = self._parents.chain
        chain.nested(parent.call_id, attempt.call_id, attempt.service, now_ms)
        cancel = task.cancel
        with self._parents.track_nested(parent, attempt.call_id, cancel) as allowance:
            try:
                outcome = await self._run(job, allowance)
            except asyncio.CancelledError:
                if not parent.is_ended:
                    raise
                task.uncancel()
                return Err(Refused(parent_ended(Ran.UNKNOWN)))
        if isinstance(outcome, Err) or outcome.ok_value.status >= 500:
            parent.n_failed_nested += 1
        return outcome

    async def _run(self, job: Job, allowance: Allowance) -> Outcome:
        attempt = job.attempt
        if is_keyed(attempt):
            return await self._run_attempts(job, allowance)
        now_ms = self._clock.now_ms()
        level = self._shed_level(attempt, now_ms)
        context = attempt.context
        candidate = Candidate(
            attempt.call_id,
            attempt.service,
            context.organisation,
            context.importance,
            context.request_id,
        )
        is_shed = self._must_shed(candidate, level, context.n_hops > 0, now_ms)
        if is_shed and not await self._can_spill_over(job, now_ms):
            detail = "the services that the request needs are overloaded"
            return Err(Refused(overloaded(detail, SHED_RETRY_AFTER_MS)))
        if context.n_hops:
            level = 0.0
        forwarded_context = context._replace(
            admitted_level=max(context.admitted_level, level)
        )
        attempt = attempt._replace(context=forwarded_context)
        admitted = job._replace(attempt=attempt, is_shed=is_shed)
        return await self._run_attempts(admitted, allowance)

    def _must_shed(
        self, candidate: Candidate, level: float, is_nested: bool, now_ms: float
    ) -> bool:
        """Return whether to refuse a request before sending it.

        Work has already been done for the request that a nested call belongs to. A
        nested call is therefore refused early only if its importance is far below the
        shed level; otherwise the queue of the node decides.
        """
        if is_nested and level < candidate.importance + NESTED_SHED_MARGIN_LEVELS:
            return False
        return self.shedder.refuses(candidate, level, now_ms)

    async def _can_spill_over(self, job: Job, now_ms: float) -> bool:
        """Return whether a more distant node accepts what the nearest ones shed.

        If an overloaded nested service is the cause, no other node can help.
        """
        attempt = job.attempt
        chain = max(
            self.shedder.call_chain_level(attempt.call_id, now_ms),
            self._parents.chain.level(attempt.call_id, now_ms),
        )
        if chain > attempt.context.importance:
            return False
        shed = job._replace(is_shed=True)
        query = route_query(shed, Progress())
        if self._router.early_refusal_level(query, now_ms) is None:
            return True
        return await self._gain_link_capacity(shed, Progress(), now_ms)

    def _shed_level(self, attempt: Attempt, now_ms: float) -> float:
        """Return the shed level, from received answers and from calls run here."""
        level = self.shedder.level(attempt.call_id, attempt.service, now_ms)
        chain = self._parents.chain.level(attempt.call_id, now_ms)
        return max(level, chain)

    async def _run_attempts(
        self, job: Job, allowance: Allowance, progress: Progress | None = None
    ) -> Outcome:
        progress = progress or Progress()
        outcome: Outcome | None = None
        while True:
            now_ms = self._clock.now_ms()
            if now_ms >= job.deadline_ms:
                return outcome or Err(Refused(_deadline_passed(job)))
            member = self._choose_member(job, progress, now_ms)
            if member is None and await self._gain_link_capacity(job, progress, now_ms):
                continue
            if member is None:
                return outcome or Err(
                    Refused(self._no_node_refusal(job, progress, now_ms))
                )
            n_allotted = allowance.allot()
            latest = await self._run_attempt(job, n_allotted, member)
            allowance.return_unused(n_allotted, unused_retries(latest, n_allotted))
            outcome = combine_outcomes(outcome, latest)
            tried = (*progress.tried, member.id)
            next_progress = self._rules.next_progress(job, latest, allowance, progress)
            if next_progress is None:
                if not self._router.is_in_other_region(member):
                    self._report_level(job.attempt, outcome)
                return outcome
            progress = next_progress._replace(tried=tried)

    async def _gain_link_capacity(
        self, job: Job, progress: Progress, now_ms: float
    ) -> bool:
        """Return whether an attempt that lacked link capacity has obtained it."""
        query = route_query(job, progress)
        if self.link_capacity is None or not self._router.is_limited_by_link(
            query, now_ms
        ):
            return False
        return await self.link_capacity.obtain_capacity(query.n_bytes, job.deadline_ms)

    def _no_node_refusal(self, job: Job, progress: Progress, now_ms: float) -> Refusal:
        wait_ms = self._router.link_wait_ms(route_query(job, progress), now_ms)
        if wait_ms is None:
            return _unknown_if_keyed(job, no_upstream(job.attempt.service))
        detail = "only another region can take it, and the link there has no room"
        return _unknown_if_keyed(job, overloaded(detail, int(wait_ms) + 1))

    def _choose_member(
        self, job: Job, progress: Progress, now_ms: float
    ) -> Member | None:
        attempt = job.attempt
        if is_keyed(attempt):
            key = scoped_key(attempt)
            return self._key_owners.owner(key_scope(attempt), key, now_ms)
        query = route_query(job, progress)
        member = self._router.choose(query, now_ms)
        if member is None and len(progress.tried) > progress.n_redirects:
            member = self._router.choose(query._replace(excluded=()), now_ms)
        return member

    async def _run_attempt(self, job: Job, n_allotted: int, member: Member) -> Outcome:
        now_ms = self._clock.now_ms()
        self._router.sent(member.id, now_ms)
        self._router.count_bytes(member.id, len(job.body), now_ms)
        outcome: Outcome | None = None
        try:
            outcome = await self._send(job, n_allotted, member)
        finally:
            level = outcome_level(outcome)
            self._router.done(member.id, level, self._clock.now_ms())
            self._count_answer(member.id, outcome)
        return outcome

    def _count_answer(self, member_id: str, outcome: Outcome | None) -> None:
        if isinstance(outcome, Ok):
            n_bytes = len(outcome.ok_value.body)
            self._router.count_bytes(member_id, n_bytes, self._clock.now_ms())

    async def _send(self, job: Job, n_allotted: int, member: Member) -> Outcome:
        outcome_future: asyncio.Future[Outcome] = asyncio.Future()

        def done(outcome: Outcome) -> None:
            if not outcome_future.done():
                outcome_future.set_result(outcome)

        if member.id == self._node_id:
            attempt = self._with_allotted_retries(job, n_allotted)
            attempt_id = self._local.submit(attempt, job.body, done)
            return await self._wait_for_outcome(
                job, outcome_future, self._local, attempt_id
            )
        link = self._links.open_link(member.host, member.call_port)
        if link is None or (link.is_quiet and not job.attempt.idempotent):
            link = await self._links.verified_link(member.host, member.call_port)
        if link is None:
            return Err(Refused(_unknown_if_keyed(job, unreachable(member))))
        stream_id = link.call(
            self._with_allotted_retries(job, n_allotted), job.body, done
        )
        return await self._wait_for_outcome(job, outcome_future, link, stream_id)

    async def _wait_for_outcome(
        self,
        job: Job,
        outcome_future: asyncio.Future[Outcome],
        canceller: Canceller,
        attempt_id: int,
    ) -> Outcome:
        remaining_ms = job.deadline_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, remaining_ms) / 1000.0):
                return await outcome_future
        except TimeoutError:
            canceller.cancel(attempt_id)
            detail = "no answer came before the deadline"
            return Err(Refused(deadline_exceeded(Ran.UNKNOWN, detail)))
        except asyncio.CancelledError:
            canceller.cancel(attempt_id)
            raise

    def _report_level(self, attempt: Attempt, outcome: Outcome) -> None:
        level = outcome_level(outcome)
        if level is not None:
            now_ms = self._clock.now_ms()
            self.shedder.report(attempt.call_id, attempt.service, level, now_ms)

    def _with_allotted_retries(self, job: Job, n_allotted: int) -> Attempt:
        context = job.attempt.context._replace(retries_left=n_allotted)
        remaining_ms = job.deadline_ms - self._clock.now_ms()
        return job.attempt._replace(context=context, remaining_ms=remaining_ms)

    def _make_attempt(self, request: Request) -> Attempt:
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


def _deadline_passed(job: Job) -> Refusal:
    detail = "the deadline passed before any attempt"
    return _unknown_if_keyed(job, deadline_exceeded(Ran.NOT_RUN, detail))


def _unknown_if_keyed(job: Job, refusal: Refusal) -> Refusal:
    """Mark a keyed request as unknown: the owner of its key was not asked."""
    if is_keyed(job.attempt):
        return refusal._replace(ran=Ran.UNKNOWN)
    return refusal
