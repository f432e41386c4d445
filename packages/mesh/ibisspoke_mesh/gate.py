"""The only way to the upstream of this VM: its queue, its connections, its state."""

import asyncio
import itertools
from collections.abc import Callable

import msgspec

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.decaying_share import DecayingShare
from ibisspoke_policy.upstream_life import (
    Announcement,
    Life,
    UpstreamLife,
    UpstreamState,
)
from ibisspoke_policy.upstream_queue import Ending, Load, Offer, UpstreamQueue

from ._running_attempts import OnOutcome, Running, RunningAttempts
from ._upstream_outcome import MIN_RETRY_AFTER_MS, outcome_of
from .decision_log import DecisionLog
from .dialect import Dialect
from .frames import Attempt, Outcome, OutcomeKind
from .metrics import NodeMetrics
from .upstream_pool import Result as UpstreamResult
from .upstream_pool import (
    UpstreamAnswer,
    UpstreamPool,
    UpstreamRequest,
)

LOST_HEARTBEATS = 3.0  # intervals without a heartbeat or an answer until it is absent
DRAIN_QUEUE_SHARE = 0.4  # of the drain time in which queued requests may still start
NESTED_WEIGHT = 0.05  # of one call of unknown parent; about the last twenty
NESTED_HALF_LIFE_MS = 1_000.0  # longer than a request runs on after its call failed
NESTED_STARVED_SHARE = 0.04  # from which failures of the upstream are put down to it
NOT_FOUND_HERE_MS = 50.0


class Gate:
    """Run attempts at the upstream of this VM within its limit.

    :param service: what the upstream serves, by the settings.
    :param heartbeat_ms: how often the upstream announces itself.
    :param drain_ms: how long a leaving upstream serves on.
    """

    def __init__(
        self,
        service: str,
        pool: UpstreamPool,
        dialect: Dialect,
        clock: Clock,
        log: DecisionLog,
        metrics: NodeMetrics,
        heartbeat_ms: float,
        drain_ms: float,
    ) -> None:
        self.service = service
        self.life = UpstreamLife()
        self.queue = UpstreamQueue(0, clock.now_ms())
        self.on_change: Callable[[], None] = lambda: None
        self.is_stopping = False
        self._pool = pool
        self._dialect = dialect
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._heartbeat_ms = heartbeat_ms
        self._drain_ms = drain_ms
        self._ids = itertools.count(1)
        self._running = RunningAttempts()
        self._nested_starved = DecayingShare(NESTED_WEIGHT, NESTED_HALF_LIFE_MS)
        self._heard_ms = clock.now_ms()
        self._draining_ms: float | None = None
        self.cold_until_ms = 0.0

    def __repr__(self) -> str:
        return f"Gate({self.service!r}, {self.life.state}, {self.queue!r})"

    @property
    def instance(self) -> str:
        """The id of the upstream, or an empty string."""
        return self.life.latest.instance if self.life.latest else ""

    @property
    def state(self) -> UpstreamState:
        """Whether other nodes may send requests here."""
        if self.is_stopping:
            return UpstreamState.DRAINING
        return self.life.state

    @property
    def is_idle(self) -> bool:
        """Whether no attempt is queued or running."""
        return not len(self._running)

    def load(self) -> Load:
        """Return what other nodes should know of this upstream."""
        return self.queue.load(self._clock.now_ms())

    def announce(self, announcement: Announcement) -> None:
        """Take in a heartbeat of the upstream."""
        previous, state = self.life.latest, self.life.state
        if not self.life.announce(announcement):
            return
        now_ms = self._clock.now_ms()
        self._heard_ms = now_ms
        self.cold_until_ms = now_ms + announcement.cold_ms
        same = previous is not None and (
            (previous.instance, previous.born_ms)
            == (announcement.instance, announcement.born_ms)
        )
        if not same:
            self._pool.close_kept()
            self.service = announcement.service
            self.queue = self._fresh_queue(announcement.n_slots)
            self._draining_ms = None
            self.cold_until_ms = now_ms + announcement.cold_ms
        self.queue.limit = announcement.n_slots
        self._enter(self.life.state)
        if not same or state is not self.life.state:
            self._log.write(
                "upstream state",
                instance=announcement.instance,
                service=announcement.service,
                state=self.life.state,
                sequence=announcement.sequence,
                n_slots=announcement.n_slots,
            )
            self.on_change()

    def depart(self, instance: str, born_ms: int | None) -> None:
        """Take in that the upstream leaves."""
        if self.life.depart(instance, born_ms, self._clock.wall_ms()):
            self._enter(self.life.state)
            self._log.write("upstream leaves", instance=instance)
            self.on_change()

    def recall(self, departed: Life | None) -> None:
        """Take in which life of the upstream left under an earlier process."""
        if self.life.recall(departed):
            self._enter(self.life.state)
            self._log.write(
                "upstream state",
                instance=self.instance,
                service=self.service,
                state=self.life.state,
                why="recalled from the store",
            )
            self.on_change()

    def submit(self, attempt: Attempt, on_outcome: OnOutcome) -> int:
        """Queue an attempt, and call back with its outcome.

        :returns: a number for :meth:`cancel`.
        """
        number = next(self._ids)
        now_ms = self._clock.now_ms()
        if attempt.instance != self.instance or attempt.service != self.service:
            self._refuse(on_outcome, "upstream_replaced", NOT_FOUND_HERE_MS)
            return number
        if self.state is not UpstreamState.READY:
            self._refuse(on_outcome, f"upstream_{self.state}", NOT_FOUND_HERE_MS)
            return number
        offer = Offer(
            number,
            attempt.route,
            attempt.rank,
            now_ms,
            now_ms + attempt.deadline_ms,
            attempt.patience_ms,
        )
        error = self.queue.offer(offer)
        if error is not None:
            self._refuse(on_outcome, error, self.queue.wait_ms(attempt.rank))
            return number
        self._running.add(number, Running(attempt, offer.expires_ms, on_outcome))
        self._start_ready()
        return number

    def withdraw(self, number: int) -> bool:
        """Remove an attempt that still waits, without an outcome.

        :returns: whether it waited, which means that it has not run and never will.
        """
        running = self._running.get(number)
        if running is None or running.started_ms is not None:
            return False
        self._running.pop(number)
        self.queue.withdraw(number)
        return True

    def cancel(self, number: int) -> bool:
        """Drop an attempt without an outcome.

        A request that may run only once is left to end at the upstream.

        :returns: whether it may have run.
        """
        if self.withdraw(number):
            return False
        running = self._running.get(number)
        if running is None or not running.attempt.idempotent:
            return True
        self._running.pop(number)
        was_sent = self._pool.cancel(number)
        self.queue.finish(number, self._clock.now_ms(), Ending.DROPPED)
        self._start_ready()
        return was_sent

    def tick(self) -> None:
        """Drop waits that became useless, and notice an upstream that fell silent."""
        now_ms = self._clock.now_ms()
        self._pool.tick()
        if self._draining_ms is not None:
            waited_ms = now_ms - self._draining_ms
            if waited_ms > self._drain_ms * DRAIN_QUEUE_SHARE:
                self.queue.is_leaving = True
        for offer, error in self.queue.tick(now_ms):
            running = self._running.pop(offer.id)
            if running is not None:
                self._refuse(running.on_outcome, error, self.queue.wait_ms(offer.rank))
        silent_ms = now_ms - self._heard_ms
        ready = self.life.state is UpstreamState.READY
        if ready and silent_ms > LOST_HEARTBEATS * self._heartbeat_ms:
            self._lose("no heartbeat", silent_ms)
        self._start_ready()

    def _fresh_queue(self, limit: int) -> UpstreamQueue:
        """Return a queue for a new upstream, and refuse what waited for the old."""
        old = self.queue
        old.is_leaving = True
        for offer, error in old.tick(self._clock.now_ms()):
            running = self._running.pop(offer.id)
            if running is not None:
                self._refuse(running.on_outcome, error, NOT_FOUND_HERE_MS)
        return UpstreamQueue(limit, self._clock.now_ms())

    def _enter(self, state: UpstreamState) -> None:
        if state is UpstreamState.DRAINING and self._draining_ms is None:
            self._draining_ms = self._clock.now_ms()

    def _lose(self, why: str, silent_ms: float) -> None:
        self.life.lose()
        self._pool.close_kept()
        self._log.write(
            "upstream absent",
            instance=self.instance,
            why=why,
            silent_ms=int(silent_ms),
        )
        self.on_change()

    def _start_ready(self) -> None:
        now_ms = self._clock.now_ms()
        while (offer := self.queue.start_next(now_ms)) is not None:
            running = self._running.get(offer.id)
            if running is None:
                self.queue.finish(offer.id, now_ms, Ending.DROPPED)
                continue
            self._metrics.queue_times.add(now_ms - offer.arrived_ms)
            self._start(offer.id, running, now_ms)

    def _start(self, number: int, running: Running, now_ms: float) -> None:
        running.started_ms = now_ms
        attempt = running.attempt
        remaining_ms = max(1, int(running.deadline_at_ms - now_ms))
        dialect = self._dialect
        head = b"%b%b: %d\r\n%b: %b\r\n\r\n" % (
            attempt.head,
            dialect.deadline,
            remaining_ms,
            dialect.expected_instance,
            attempt.instance.encode(),
        )
        queue = self.queue

        def on_result(result: UpstreamResult) -> None:
            self._finish(number, queue, result)

        request = UpstreamRequest(
            attempt.request_id, head + attempt.body, attempt.is_head_request, on_result
        )
        self._pool.send(number, request)

    def _finish(
        self, number: int, queue: UpstreamQueue, result: UpstreamResult
    ) -> None:
        now_ms = self._clock.now_ms()
        self._pool.release(number)
        running = self._running.pop(number)
        outcome = outcome_of(result)
        ending = self._ending(outcome, running)
        if ending is Ending.STARVED:
            outcome = msgspec.structs.replace(outcome, has_starved=True)
        queue.finish(number, now_ms, ending)
        if isinstance(result, UpstreamAnswer):
            self._heard_ms = now_ms
        elif not result.was_sent and self.life.state is UpstreamState.READY:
            self._lose(result.reason, now_ms - self._heard_ms)
        if running is not None:
            if running.started_ms is not None:
                self._metrics.upstream_times.add(now_ms - running.started_ms)
            if outcome.kind is not OutcomeKind.ANSWERED:
                self._log.write(
                    "attempt failed",
                    request=running.attempt.request_id.decode("latin-1"),
                    reason=outcome.reason,
                    kind=outcome.kind.name,
                    n_running=queue.n_running,
                    limit=queue.limit,
                )
            running.on_outcome(outcome)
        self._start_ready()

    def rank_of(self, request_id: bytes) -> tuple[int, int] | None:
        """Return the rank of a request that runs at the upstream now."""
        running = self._running.at_upstream(request_id)
        return running.attempt.rank if running is not None else None

    def note_nested(self, parent_id: bytes, has_starved: bool) -> None:
        """Take in how a call that the upstream made has ended.

        :param parent_id: of the request that it made the call for, if that is known.
        :param has_starved: whether it failed for want of room at its service or
            deeper down.
        """
        parent = self._running.at_upstream(parent_id)
        if parent is None:
            self._nested_starved.add(has_starved, self._clock.now_ms())
        elif has_starved:
            parent.has_starved = True

    def _ending(self, outcome: Outcome, running: Running | None) -> Ending:
        if outcome.kind is not OutcomeKind.ANSWERED:
            return Ending.FAILED
        if outcome.status < 500:
            return Ending.ANSWERED
        if running is not None and running.has_starved:
            return Ending.STARVED
        nested_share = self._nested_starved.at(self._clock.now_ms())
        has_starved = nested_share > NESTED_STARVED_SHARE
        return Ending.STARVED if has_starved else Ending.FAILED

    def _refuse(self, on_outcome: OnOutcome, reason: str, wait_ms: float) -> None:
        retry_after_ms = max(MIN_RETRY_AFTER_MS, min(wait_ms, 60_000.0))
        outcome = Outcome(
            OutcomeKind.REFUSED, reason=str(reason), retry_after_ms=retry_after_ms
        )
        asyncio.get_running_loop().call_soon(on_outcome, outcome)
