"""Sends a request to the best node and retries within its allowance."""

import asyncio
from typing import NamedTuple, Protocol

from result import Err, Ok

from ibisspoke_policy.admission import AdmissionLevel
from ibisspoke_policy.catalogue import Call
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.context import RequestContext
from ibisspoke_policy.member import Member
from ibisspoke_policy.refusal import (
    Ran,
    Refusal,
    RefusalKind,
    deadline_exceeded,
    no_upstream,
    overloaded,
)
from ibisspoke_policy.routing import RouteQuery, Router

from .link_pool import LinkPool
from .messages import Answer, Attempt, Header, Outcome, Refused
from .server_link import AttemptHandler

RETRIABLE = frozenset(
    {
        RefusalKind.OVERLOADED,
        RefusalKind.DRAINING,
        RefusalKind.NO_UPSTREAM,
        RefusalKind.UPSTREAM_FAILED,
        RefusalKind.OUT_OF_MEMORY,
        RefusalKind.OUTCOME_UNKNOWN,
    }
)


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
    :param local: the executor of this node.
    """

    def __init__(
        self,
        node_id: str,
        router: Router,
        links: LinkPool,
        local: AttemptHandler,
        clock: Clock,
    ) -> None:
        self._node_id = node_id
        self._router = router
        self._links = links
        self._local = local
        self._clock = clock

    async def run(self, request: Request) -> Outcome:
        """Return the answer to ``request``, or why there is none."""
        tried: list[str] = []
        retries_left = request.context.retries_left
        outcome: Outcome | None = None
        while True:
            now_ms = self._clock.now_ms()
            if now_ms >= request.deadline_ms:
                return outcome or Err(Refused(_late()))
            member = self._choose(request, tried, now_ms)
            if member is None:
                return outcome or Err(Refused(no_upstream(request.call.service)))
            tried.append(member.id)
            context = request.context._replace(retries_left=retries_left)
            outcome = await self._attempt(request, context, member)
            if retries_left <= 0 or not _may_retry(request, outcome):
                return outcome
            retries_left -= 1

    def _choose(
        self, request: Request, tried: list[str], now_ms: float
    ) -> Member | None:
        query = RouteQuery(
            request.call.service,
            request.context.importance,
            len(request.body),
            tried,
        )
        return self._router.choose(query, now_ms)

    async def _attempt(
        self, request: Request, context: RequestContext, member: Member
    ) -> Outcome:
        self._router.sent(member.id, self._clock.now_ms())
        outcome: Outcome | None = None
        try:
            outcome = await self._send(request, context, member)
        finally:
            level = _level(outcome)
            self._router.done(member.id, level, self._clock.now_ms())
        return outcome

    async def _send(
        self, request: Request, context: RequestContext, member: Member
    ) -> Outcome:
        ended: asyncio.Future[Outcome] = asyncio.Future()

        def done(outcome: Outcome) -> None:
            if not ended.done():
                ended.set_result(outcome)

        if member.id == self._node_id:
            attempt = self._describe(request, context)
            attempt_id = self._local.submit(attempt, request.body, done)
            return await self._wait(request, ended, self._local, attempt_id)
        link = self._links.open_link(member.host, member.call_port)
        if link is None:
            link = await self._links.connect(member.host, member.call_port)
        if link is None:
            return Err(Refused(_unreachable(member)))
        attempt = self._describe(request, context)
        stream_id = link.call(attempt, request.body, done)
        return await self._wait(request, ended, link, stream_id)

    async def _wait(
        self,
        request: Request,
        ended: asyncio.Future[Outcome],
        canceller: Canceller,
        attempt_id: int,
    ) -> Outcome:
        remaining_ms = request.deadline_ms - self._clock.now_ms()
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

    def _describe(self, request: Request, context: RequestContext) -> Attempt:
        call = request.call
        return Attempt(
            call.id,
            call.service,
            call.method,
            request.target,
            request.headers,
            context,
            request.deadline_ms - self._clock.now_ms(),
            call.idempotent,
            call.max_answer_bytes,
            request.idempotency_key,
        )


def _may_retry(request: Request, outcome: Outcome) -> bool:
    if isinstance(outcome, Ok):
        return False
    refusal = outcome.err_value.refusal
    if refusal.kind not in RETRIABLE:
        return False
    return refusal.ran is Ran.NOT_RUN or request.call.idempotent


def _level(outcome: Outcome | None) -> AdmissionLevel | None:
    if outcome is None:
        return None
    ended: Answer | Refused = (
        outcome.ok_value if isinstance(outcome, Ok) else outcome.err_value
    )
    return ended.level


def _late() -> Refusal:
    return deadline_exceeded(Ran.NOT_RUN, "the deadline passed before any attempt")


def _unreachable(member: Member) -> Refusal:
    return overloaded(f"node {member.id} cannot be reached", 100)
