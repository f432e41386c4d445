"""Executes attempts on the upstream of this VM, limited by admission control."""

import asyncio
import contextlib
import itertools
import logging
from typing import NamedTuple

from result import Err, Ok

from ibisspoke_policy.admission import (
    AdmissionController,
    AdmissionEvent,
    AdmissionLevel,
    Capacity,
    Ending,
    Refused,
    Started,
    Ticket,
)
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.context import ContextSigner
from ibisspoke_policy.refusal import (
    Ran,
    Refusal,
    RefusalKind,
    deadline_exceeded,
    no_upstream,
    outcome_unknown,
    overloaded,
)
from ibisspoke_policy.table import Table

from . import messages
from .buffer_budget import BufferBudget
from .eager_task import EagerTask
from .headers import (
    ATTEMPT_HEADER,
    CONTEXT_HEADER,
    TIMEOUT_HEADER,
    to_caller,
)
from .messages import Answer, Attempt, Outcome, OutcomeCallback
from .outcomes import UPSTREAM_RETRY_AFTER_MS, upstream_failed, was_shed
from .parent_attempts import ParentTable
from .upstream_client import (
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
)

logger = logging.getLogger(__name__)


class Announcement(NamedTuple):
    """Service, address and capacity, as announced by the upstream."""

    service: str
    host: str
    port: int
    capacity: Capacity


class OpenAttempt(NamedTuple):
    """An attempt that has not ended."""

    id: int
    attempt: Attempt
    body: bytes
    done: OutcomeCallback
    deadline_ms: float


class Executor:
    """Run attempts on the upstream as its admission controller allows.

    :param controller: decides which attempts start and which are refused.
    :param parents: records the attempts that run on the upstream.
    :param answers: limits the bytes of answers read from the upstream.
    """

    def __init__(
        self,
        controller: AdmissionController,
        parents: ParentTable,
        signer: ContextSigner,
        clock: Clock,
        answers: BufferBudget,
    ) -> None:
        self._answers = answers
        self._controller = controller
        self._parents = parents
        parents.on_nested = self._on_nested
        self._signer = signer
        self._clock = clock
        self._ids = itertools.count(1)
        self._open_by_id: Table[int, OpenAttempt] = Table("open attempts")
        self._task_by_id: dict[int, EagerTask] = {}
        self._announcement: Announcement | None = None
        self._client: UpstreamClient | None = None
        self._idle = asyncio.Event()
        self.stopping = False

    def __repr__(self) -> str:
        return f"Executor({len(self._open_by_id)} open)"

    @property
    def announcement(self) -> Announcement | None:
        """The last announcement of the upstream."""
        return self._announcement

    @property
    def level(self) -> AdmissionLevel:
        """The admission level of this node."""
        return self._controller.level

    @property
    def n_open(self) -> int:
        """Number of attempts that have not ended."""
        return len(self._open_by_id)

    def announce(self, announcement: Announcement) -> None:
        """Apply an announcement of the upstream."""
        client = self._client
        if client is None or (client.host, client.port) != announcement[1:3]:
            if client is not None:
                client.close()
            self._client = UpstreamClient(
                announcement.host, announcement.port, self._clock, self._answers
            )
        self._announcement = announcement
        now_ms = self._clock.now_ms()
        self._apply(self._controller.announce(announcement.capacity, now_ms))

    def submit(self, attempt: Attempt, body: bytes, done: OutcomeCallback) -> int:
        """Queue or start an attempt; ``done`` is called once with its outcome."""
        attempt_id = next(self._ids)
        now_ms = self._clock.now_ms()
        refusal = self._check_attempt(attempt)
        if refusal is not None:
            level = self._level(attempt.call_id)
            n_unused = attempt.context.retries_left
            done(Err(messages.Refused(refusal, level, n_unused)))
            return attempt_id
        deadline_ms = now_ms + attempt.remaining_ms
        open_attempt = OpenAttempt(attempt_id, attempt, body, done, deadline_ms)
        self._open_by_id.put(attempt_id, open_attempt)
        context = attempt.context
        ticket = Ticket(
            attempt_id,
            context.organisation,
            context.importance,
            deadline_ms,
            attempt.idempotent,
            context.admitted_level,
            context.n_hops,
        )
        self._apply(self._controller.offer(ticket, now_ms))
        return attempt_id

    def cancel(self, attempt_id: int) -> None:
        """Cancel an attempt; ``done`` is not called."""
        if self._open_by_id.pop(attempt_id) is None:
            return
        now_ms = self._clock.now_ms()
        events = self._controller.cancel(attempt_id, now_ms)
        task = self._task_by_id.pop(attempt_id, None)
        if task is None:
            self._apply(events)
            return
        task.cancel()
        self._parents.close(attempt_id, now_ms)
        ending = Ending(succeeded=False)
        self._apply(self._controller.finish(attempt_id, ending, now_ms))

    def tick(self) -> None:
        """Expire queued attempts and adapt the admission limit."""
        self._apply(self._controller.tick(self._clock.now_ms()))

    async def drain(self, timeout_ms: float) -> None:
        """Refuse new attempts and wait until the open ones have ended."""
        self.stopping = True
        self._signal_if_idle()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._idle.wait(), timeout_ms / 1000.0)

    def close(self) -> None:
        """Close the connections to the upstream."""
        for task in self._task_by_id.values():
            task.cancel()
        if self._client is not None:
            self._client.close()

    def _check_attempt(self, attempt: Attempt) -> Refusal | None:
        announced = self._announcement
        if announced is None or announced.service != attempt.service:
            return no_upstream(attempt.service)
        if self.stopping or announced.capacity.draining:
            return Refusal(
                RefusalKind.DRAINING,
                Ran.NOT_RUN,
                "the upstream takes no new work",
                "try another node",
                0,
            )
        if attempt.remaining_ms <= 0:
            detail = "the deadline passed before the upstream was asked"
            return deadline_exceeded(Ran.NOT_RUN, detail)
        return None

    def _apply(self, events: list[AdmissionEvent]) -> None:
        self._signal_if_idle()
        for event in events:
            if isinstance(event, Started):
                self._start(event.attempt_id)
            elif isinstance(event, Refused):
                self._refuse(event.attempt_id, event.refusal)
            else:
                self._abort(event.attempt_id)

    def _signal_if_idle(self) -> None:
        if self.stopping and not len(self._open_by_id):
            self._idle.set()

    def _start(self, attempt_id: int) -> None:
        open_attempt = self._open_by_id.get(attempt_id)
        if open_attempt is None:
            return
        context = open_attempt.attempt.context
        self._parents.open(
            attempt_id, open_attempt.attempt.call_id, context.retries_left
        )
        task = EagerTask(self._execute(open_attempt))
        if not task.done():
            self._task_by_id[attempt_id] = task

    def _refuse(self, attempt_id: int, refusal: Refusal) -> None:
        open_attempt = self._open_by_id.pop(attempt_id)
        if open_attempt is not None:
            level = self._level(open_attempt.attempt.call_id)
            n_unused = open_attempt.attempt.context.retries_left
            open_attempt.done(Err(messages.Refused(refusal, level, n_unused)))

    def _abort(self, attempt_id: int) -> None:
        open_attempt = self._open_by_id.get(attempt_id)
        task = self._task_by_id.get(attempt_id)
        if open_attempt is None or task is None:
            return
        task.cancel()
        if self._client is not None:
            self._client.close()
        detail = "the upstream made no progress and the attempt was cancelled"
        ending = Ending(succeeded=False, timed_out=True)
        self._finish(
            open_attempt, ending, Err(messages.Refused(outcome_unknown(detail)))
        )

    def _on_nested(self, attempt_id: int, n_change: int) -> None:
        self._controller.nested(attempt_id, n_change, self._clock.now_ms())

    def _level(self, call_id: str) -> AdmissionLevel:
        call_chain_shed = self._parents.chain.level(call_id, self._clock.now_ms())
        return self._controller.level._replace(call_chain_shed=call_chain_shed)

    async def _execute(self, open_attempt: OpenAttempt) -> None:
        client = self._client
        assert client is not None
        remaining_ms = open_attempt.deadline_ms - self._clock.now_ms()
        request = self._make_request(open_attempt, remaining_ms)
        try:
            async with asyncio.timeout(max(0.0, remaining_ms) / 1000.0):
                result = await client.fetch(request)
        except TimeoutError:
            ending = Ending(succeeded=False, timed_out=True)
            refusal = deadline_exceeded(Ran.UNKNOWN, "the upstream did not answer")
            self._finish(open_attempt, ending, Err(messages.Refused(refusal)))
            return
        if isinstance(result, Err):
            failure = result.err_value
            ending = Ending(succeeded=False, timed_out=not failure.sent)
            self._finish(
                open_attempt, ending, Err(messages.Refused(upstream_failed(failure)))
            )
            return
        self._handle_answer(open_attempt, result.ok_value)

    def _handle_answer(self, open_attempt: OpenAttempt, answer: UpstreamAnswer) -> None:
        if was_shed(answer):
            refusal = overloaded(
                "the upstream shed the request", UPSTREAM_RETRY_AFTER_MS
            )
            ending = Ending(succeeded=False, shed=True)
            self._finish(open_attempt, ending, Err(messages.Refused(refusal)))
            return
        ending = Ending(succeeded=answer.status < 500)
        headers = to_caller(answer.headers)
        caller_answer = Answer(answer.status, answer.reason, headers, answer.body)
        self._finish(open_attempt, ending, Ok(caller_answer))

    def _finish(
        self, open_attempt: OpenAttempt, ending: Ending, outcome: Outcome
    ) -> None:
        self._task_by_id.pop(open_attempt.id, None)
        if self._open_by_id.pop(open_attempt.id) is None:
            return
        now_ms = self._clock.now_ms()
        n_unused, nested_failed = self._parents.close(open_attempt.id, now_ms)
        ending = ending._replace(
            is_nested_failure=nested_failed and not ending.succeeded
        )
        events = self._controller.finish(open_attempt.id, ending, now_ms)
        level = self._level(open_attempt.attempt.call_id)
        if isinstance(outcome, Ok):
            answer = outcome.ok_value
            open_attempt.done(
                Ok(answer._replace(level=level, n_retries_unused=n_unused))
            )
        else:
            refused = outcome.err_value
            open_attempt.done(
                Err(refused._replace(level=level, n_retries_unused=n_unused))
            )
        self._apply(events)

    def _make_request(
        self, open_attempt: OpenAttempt, remaining_ms: float
    ) -> UpstreamRequest:
        attempt = open_attempt.attempt
        attempt_id = self._parents.attempt_id(open_attempt.id)
        token = self._signer.encode(attempt.context._replace(attempt_id=attempt_id))
        headers = [
            *attempt.headers,
            (CONTEXT_HEADER, token),
            (TIMEOUT_HEADER, str(max(0, int(remaining_ms)))),
            (ATTEMPT_HEADER, attempt_id),
        ]
        return UpstreamRequest(
            attempt.method,
            attempt.target,
            headers,
            open_attempt.body,
            attempt.max_answer_bytes,
            attempt.idempotent,
            attempt_id,
        )
