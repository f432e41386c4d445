"""Sends a request to the best node and retries within its allowance."""

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
from ibisspoke_policy.routing import LinkRoom, Router

from .claims import KeyedServices, is_keyed, key_scope, scoped_key
from .link_pool import LinkPool
from .messages import Attempt, Header, Outcome, Refused
from .outcomes import (
    combined,
    outcome_level,
    parent_ended,
    unreachable,
    unused,
    with_unused,
)
from .parents import Parent, ParentTable
from .retry_rules import Job, Progress, RetryRules, query_of
from .server_link import AttemptHandler

SHED_RETRY_AFTER_MS = 500
NESTED_MARGIN = 1.75


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
    :param shedder: refuses what a service deeper down would refuse.
    """

    def __init__(
        self,
        node_id: str,
        router: Router,
        links: LinkPool,
        local: AttemptHandler,
        parents: ParentTable,
        keyed: KeyedServices,
        shedder: EarlyShedder,
        clock: Clock,
    ) -> None:
        self._node_id = node_id
        self._router = router
        self._links = links
        self._local = local
        self._parents = parents
        self._keyed = keyed
        self._clock = clock
        self.shedder = shedder
        self.link_room: LinkRoom | None = None
        self._rules = RetryRules(clock)

    def __repr__(self) -> str:
        return f"Dispatcher({self._node_id!r})"

    async def run(self, request: Request) -> Outcome:
        """Return the answer to ``request``, or why there is none."""
        job = Job(self._describe(request), request.body, request.deadline_ms)
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
        """Run an attempt that this node does not take on another one."""
        progress = Progress((self._node_id,), 1)
        allowance = Allowance(attempt.context.retries_left)
        outcome = await self._attempts(
            Job(attempt, body, deadline_ms), allowance, progress
        )
        return with_unused(outcome, allowance.n_left)

    async def _run_nested(self, job: Job, parent: Parent) -> Outcome:
        task = asyncio.current_task()
        assert task is not None
        attempt = job.attempt
        now_ms = self._clock.now_ms()
        chain = self._parents.chain
        chain.nested(parent.call_id, attempt.call_id, attempt.service, now_ms)
        cancel = task.cancel
        with self._parents.nested(parent, attempt.call_id, cancel) as allowance:
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
            return await self._attempts(job, allowance)
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
        is_shed = self._sheds(candidate, level, context.n_hops > 0, now_ms)
        if is_shed and not await self._may_spill(job, now_ms):
            detail = "the services that the request needs are overloaded"
            return Err(Refused(overloaded(detail, SHED_RETRY_AFTER_MS)))
        if context.n_hops:
            level = 0.0
        passed = context._replace(admitted_level=max(context.admitted_level, level))
        attempt = attempt._replace(context=passed)
        admitted = job._replace(attempt=attempt, is_shed=is_shed)
        return await self._attempts(admitted, allowance)

    def _sheds(
        self, candidate: Candidate, level: float, is_nested: bool, now_ms: float
    ) -> bool:
        """Return whether to refuse a request at once.

        Work has been done for a nested call: it is refused only when far below the
        level, and takes its chance in the queue otherwise.
        """
        if is_nested and level < candidate.importance + NESTED_MARGIN:
            return False
        return self.shedder.refuses(candidate, level, now_ms)

    async def _may_spill(self, job: Job, now_ms: float) -> bool:
        """Return whether a node in reach takes what the nearest ones shed.

        Where a service deeper down is the cause, no other node helps.
        """
        attempt = job.attempt
        chain = max(
            self.shedder.chain_level(attempt.call_id, now_ms),
            self._parents.chain.level(attempt.call_id, now_ms),
        )
        if chain > attempt.context.importance:
            return False
        shed = job._replace(is_shed=True)
        query = query_of(shed, Progress())
        if self._router.shed_early(query, now_ms) is None:
            return True
        return await self._make_room(shed, Progress(), now_ms)

    def _shed_level(self, attempt: Attempt, now_ms: float) -> float:
        """Return the level by what answers told and by what this node serves."""
        level = self.shedder.level(attempt.call_id, attempt.service, now_ms)
        chain = self._parents.chain.level(attempt.call_id, now_ms)
        return max(level, chain)

    async def _attempts(
        self, job: Job, allowance: Allowance, progress: Progress | None = None
    ) -> Outcome:
        progress = progress or Progress()
        outcome: Outcome | None = None
        while True:
            now_ms = self._clock.now_ms()
            if now_ms >= job.deadline_ms:
                return outcome or Err(Refused(_late(job)))
            member = self._choose(job, progress, now_ms)
            if member is None and await self._make_room(job, progress, now_ms):
                continue
            if member is None:
                return outcome or Err(Refused(self._nobody(job, progress, now_ms)))
            n_lent = allowance.lend()
            latest = await self._attempt(job, n_lent, member)
            allowance.give_back(n_lent, unused(latest, n_lent))
            outcome = combined(outcome, latest)
            tried = (*progress.tried, member.id)
            following = self._rules.following(job, latest, allowance, progress)
            if following is None:
                if not self._router.is_far(member):
                    self._report(job.attempt, outcome)
                return outcome
            progress = following._replace(tried=tried)

    async def _make_room(self, job: Job, progress: Progress, now_ms: float) -> bool:
        """Return whether room on the link came for an attempt that lacked it."""
        query = query_of(job, progress)
        if self.link_room is None or not self._router.lacks_room(query, now_ms):
            return False
        return await self.link_room.make_room(query.n_bytes, job.deadline_ms)

    def _nobody(self, job: Job, progress: Progress, now_ms: float) -> Refusal:
        wait_ms = self._router.link_wait_ms(query_of(job, progress), now_ms)
        if wait_ms is None:
            return _undelivered(job, no_upstream(job.attempt.service))
        detail = "only another region can take it, and the link there has no room"
        return _undelivered(job, overloaded(detail, int(wait_ms) + 1))

    def _choose(self, job: Job, progress: Progress, now_ms: float) -> Member | None:
        attempt = job.attempt
        if is_keyed(attempt):
            key = scoped_key(attempt)
            return self._keyed.owner(key_scope(attempt), key, now_ms)
        query = query_of(job, progress)
        member = self._router.choose(query, now_ms)
        if member is None and len(progress.tried) > progress.n_redirects:
            member = self._router.choose(query._replace(excluded=()), now_ms)
        return member

    async def _attempt(self, job: Job, n_lent: int, member: Member) -> Outcome:
        now_ms = self._clock.now_ms()
        self._router.sent(member.id, now_ms)
        self._router.count_bytes(member.id, len(job.body), now_ms)
        outcome: Outcome | None = None
        try:
            outcome = await self._send(job, n_lent, member)
        finally:
            level = outcome_level(outcome)
            self._router.done(member.id, level, self._clock.now_ms())
            self._count_answer(member.id, outcome)
        return outcome

    def _count_answer(self, member_id: str, outcome: Outcome | None) -> None:
        if isinstance(outcome, Ok):
            n_bytes = len(outcome.ok_value.body)
            self._router.count_bytes(member_id, n_bytes, self._clock.now_ms())

    async def _send(self, job: Job, n_lent: int, member: Member) -> Outcome:
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
            return Err(Refused(_undelivered(job, unreachable(member))))
        stream_id = link.call(self._prepare(job, n_lent), job.body, done)
        return await self._wait(job, ended, link, stream_id)

    async def _wait(
        self,
        job: Job,
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
        level = outcome_level(outcome)
        if level is not None:
            now_ms = self._clock.now_ms()
            self.shedder.report(attempt.call_id, attempt.service, level, now_ms)

    def _prepare(self, job: Job, n_lent: int) -> Attempt:
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


def _late(job: Job) -> Refusal:
    detail = "the deadline passed before any attempt"
    return _undelivered(job, deadline_exceeded(Ran.NOT_RUN, detail))


def _undelivered(job: Job, refusal: Refusal) -> Refusal:
    """Leave open what became of a key whose owner was not asked."""
    if is_keyed(job.attempt):
        return refusal._replace(ran=Ran.UNKNOWN)
    return refusal
