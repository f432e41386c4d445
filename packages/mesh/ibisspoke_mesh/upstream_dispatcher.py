"""Dispatch of attempts to the upstream of this VM: queue, connections and state."""

import asyncio
import itertools
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

import msgspec

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.decaying_share import DecayingShare
from ibisspoke_policy.offer import Offer
from ibisspoke_policy.upstream_queue import Ending, Load, UpstreamQueue
from ibisspoke_policy.upstream_tracker import (
    Announcement,
    UpstreamProcess,
    UpstreamState,
    UpstreamTracker,
)

from ._pending_attempts import (
    NestedCall,
    OnOutcome,
    PendingAttempt,
    PendingAttempts,
)
from ._upstream_outcome import MIN_RETRY_AFTER_MS, outcome_of
from .decision_log import DecisionLog
from .dialect import Dialect
from .frames import Attempt, Outcome, OutcomeKind
from .load_reports import LoadReports
from .metrics import NodeMetrics
from .settings import NodeSettings
from .upstream_connection import Result as UpstreamResult
from .upstream_connection import UpstreamFailure, UpstreamRequest, UpstreamResponse
from .upstream_pace import UpstreamPace
from .upstream_pool import UpstreamPool

MAX_MISSED_HEARTBEATS = 3.0  # intervals without heartbeat or response until absent
# Intervals by which a heartbeat may be late. One that arrives later after the start was
# sent after it.
MAX_DELAY_INTERVALS = 7.0
# Intervals after the start in which one heartbeat is enough, if the store was there at
# the start. A process is not yet held to its guarantees in this time.
FIRST_HEARTBEAT_INTERVALS = 1.7
DRAIN_QUEUE_SHARE = 0.4  # of the drain time, in which queued requests may still start
NESTED_WEIGHT = 0.05  # of one call of unknown parent; averages about the last twenty
NESTED_HALF_LIFE_MS = 1_000.0  # longer than a parent runs after its nested call failed
NESTED_STARVED_SHARE = 0.04  # above it, upstream failures are attributed to starvation
WRONG_UPSTREAM_RETRY_MS = 50.0
MISDIRECTED = 421  # status of an upstream that the request was not meant for
# After its deadline, until an attempt is cut off that may run only once: the upstream
# stops at the deadline by itself and may still tell the outcome.
OVERDUE_MS = 500.0


class UpstreamDispatcher:
    """Queues attempts and runs them at the upstream of this VM within its limit.

    All requests to the upstream pass through here.

    :param service: service of the upstream, by the settings.
    :param heartbeat_ms: interval of the upstream's heartbeats.
    :param drain_ms: how long a leaving upstream continues to serve.
    :ivar pace: limits the requests to an upstream that starts, recovers or is cold.
    :ivar private_address: address for heartbeats that this process alone has named,
        or empty. What arrives there was sent since its start.
    :ivar is_service_named: returns whether the configuration names a service; None
        while there is no configuration.
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
        self.upstream = UpstreamTracker()
        self.pace = UpstreamPace(clock, log)
        self.queue = UpstreamQueue(0, clock.now_ms())
        self.on_change: Callable[[], None] = lambda: None
        self.private_address = ""
        self.is_service_named: Callable[[str], bool | None] = lambda service: True
        self.is_stopping = False
        self.blocked_reason = ""
        self._pool = pool
        pool.on_all_reset = lambda: self.pace.expect_restart("connections reset")
        self._dialect = dialect
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._load_reports = LoadReports(dialect, clock, log, metrics)
        self._heartbeat_ms = heartbeat_ms
        self._drain_ms = drain_ms
        self._numbers = itertools.count(1)
        self._pending = PendingAttempts()
        self._nested_starved_share = DecayingShare(NESTED_WEIGHT, NESTED_HALF_LIFE_MS)
        self._n_unattributed_calls = 0
        self._started_ms = self._last_seen_ms = clock.now_ms()
        self._last_heartbeat_ms = clock.now_ms()
        self._draining_since_ms: float | None = None
        self._accepts_first_heartbeat = False
        self._is_misdirected = False
        self._hosted_service = service
        self.cold_until_ms = 0.0

    def __repr__(self) -> str:
        return (
            f"UpstreamDispatcher({self.service!r}, {self.upstream.state}, "
            f"{self.queue!r})"
        )

    @property
    def instance(self) -> str:
        """Id of the upstream, or an empty string if none is known."""
        return self.upstream.latest.instance if self.upstream.latest else ""

    @property
    def state(self) -> UpstreamState:
        """State of the upstream for other nodes.

        It is draining while this node stops, and absent while this node must not send
        to it, which earlier versions understand as well.
        """
        if self.is_stopping:
            return UpstreamState.DRAINING
        if self.blocked_reason and self.upstream.state is UpstreamState.READY:
            return UpstreamState.ABSENT
        return self.upstream.state

    @property
    def is_idle(self) -> bool:
        """Whether no attempt is queued or running."""
        return not len(self._pending)

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply the settings of the pace, and the service of the upstream."""
        self._hosted_service = settings.service
        self.pace.apply_settings(settings)
        self.pace.attach(self.queue)

    def note_shared_vms(self) -> None:
        """Handle that upstreams share their VMs with other programs."""
        self.pace.note_shared_vms()
        self.pace.attach(self.queue)

    def expect_cold(self) -> None:
        """Count the upstream as cold until a heartbeat that arrives later tells.

        It got no requests for a while, for example in an evacuation.
        """
        self.pace.expect_cold("expected")

    def load(self) -> Load:
        """Return the load of the upstream, for balancing by other nodes."""
        return self.queue.load(self._clock.now_ms())

    def vm_pace(self) -> float:
        """Return how long work takes on this VM now; 0.0 if it is not known."""
        return self._load_reports.pace()

    @property
    def wanted_address(self) -> str:
        """Address for the next heartbeats; empty if they may arrive anywhere."""
        return "" if self.upstream.is_history_known else self.private_address

    def announce(self, announcement: Announcement, is_private: bool = False) -> None:
        """Handle a heartbeat of the upstream.

        One that names a service which is neither that of the settings nor in the
        configuration names no upstream. A draining is recorded as long as there is no
        configuration to tell.

        :param is_private: whether it came to :attr:`private_address`.
        """
        now_ms = self._clock.now_ms()
        is_named = self._names_service(announcement.service)
        if not is_named:
            self._log.write(
                "heartbeat of an unknown service",
                instance=announcement.instance,
                service=announcement.service,
            )
            if is_named is None and announcement.is_draining:
                self.handle_departure(announcement.instance, announcement.start_ms)
            return
        previous, state = self.upstream.latest, self.upstream.state
        was_history_known = self.upstream.is_history_known
        running_ms = now_ms - self._started_ms
        is_recent = is_private or running_ms > MAX_DELAY_INTERVALS * self._heartbeat_ms
        is_in_doubt = self._is_in_doubt(now_ms)
        if not self.upstream.announce(announcement, is_in_doubt, is_recent):
            if announcement.is_draining:  # final, whatever came before
                self.handle_departure(announcement.instance, announcement.start_ms)
            return
        self._last_seen_ms = self._last_heartbeat_ms = now_ms
        self.cold_until_ms = now_ms + announcement.cold_ms
        same = previous is not None and (
            (previous.instance, previous.start_ms, previous.service)
            == (announcement.instance, announcement.start_ms, announcement.service)
        )
        if not same:
            self._is_misdirected = False
            self._pool.close_idle()
            self.service = announcement.service
            self.queue = self._replace_queue(announcement.n_slots)
            self._draining_since_ms = None
            self.cold_until_ms = now_ms + announcement.cold_ms
        self.queue.limit = announcement.n_slots
        self.pace.heartbeat(announcement, not same)
        self._track_draining(self.upstream.state)
        if not same or state is not self.upstream.state:
            self._log.write(
                "upstream state",
                instance=announcement.instance,
                service=announcement.service,
                state=self.upstream.state,
                sequence=announcement.sequence,
                n_slots=announcement.n_slots,
            )
            self.on_change()
        elif self.upstream.is_history_known is not was_history_known:
            self.on_change()

    def _names_service(self, service: str) -> bool | None:
        """Whether an upstream may be of a service; None if that is not known yet."""
        return service == self._hosted_service or self.is_service_named(service)

    def _is_in_doubt(self, now_ms: float) -> bool:
        """Whether the latest heartbeats may have been those of another writer."""
        silent_ms = now_ms - self._last_heartbeat_ms
        is_silent = silent_ms > MAX_MISSED_HEARTBEATS * self._heartbeat_ms
        return is_silent or self._is_misdirected

    def handle_departure(self, instance: str, start_ms: int | None) -> None:
        """Handle the announcement that the upstream leaves."""
        known = self.upstream.departures
        has_left = self.upstream.record_departure(
            instance, start_ms, self._clock.wall_ms()
        )
        is_new = self.upstream.departures != known
        if has_left:
            self._track_draining(self.upstream.state)
        if has_left or is_new:
            self._log.write("upstream leaves", instance=instance)
        if is_new:
            self.on_change()

    def add_departures(self, departures: Iterable[UpstreamProcess]) -> None:
        """Apply departures that an earlier process on this VM acknowledged."""
        if self.upstream.add_departures(departures):
            self._handle_recalled()

    def complete_departures(self) -> None:
        """Take the departures that are known for all of earlier processes."""
        if self.upstream.restore_departures([]):
            self._handle_recalled()
        else:
            self.on_change()

    def accept_first_heartbeat(self) -> None:
        """Let a single heartbeat make the upstream ready for a short time.

        All nodes have lost their processes, so that each would wait for a second one.
        An upstream that has not proved by then that it has not left is absent.
        """
        self._accepts_first_heartbeat = True
        if self.upstream.accept_unproven(True):
            self._handle_recalled()

    def _handle_recalled(self) -> None:
        self._track_draining(self.upstream.state)
        self._log.write(
            "upstream state",
            instance=self.instance,
            service=self.service,
            state=self.upstream.state,
            departed=" ".join(process.instance for process in self.upstream.departures),
            why="recalled from the store or other nodes",
        )
        self.on_change()

    def block(self, reason: str) -> None:
        """Refuse all attempts that are not running, until the reason is empty."""
        if reason == self.blocked_reason:
            return
        self.blocked_reason = reason
        if reason:
            for number in self._pending.queued():
                pending = self._pending.pop(number)
                assert pending is not None
                self.queue.withdraw(number)
                self._refuse(
                    pending.attempt, pending.on_outcome, reason, WRONG_UPSTREAM_RETRY_MS
                )
        self.on_change()

    def submit(self, attempt: Attempt, on_outcome: OnOutcome) -> int:
        """Queue an attempt; ``on_outcome`` is called with its outcome.

        :returns: a number to pass to :meth:`cancel`.
        """
        number = next(self._numbers)
        now_ms = self._clock.now_ms()
        if attempt.instance != self.instance or attempt.service != self.service:
            self._refuse(
                attempt, on_outcome, "upstream_replaced", WRONG_UPSTREAM_RETRY_MS
            )
            return number
        if self.state is not UpstreamState.READY:
            reason = self.blocked_reason or f"upstream_{self.state}"
            self._refuse(attempt, on_outcome, reason, WRONG_UPSTREAM_RETRY_MS)
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
            wait_ms = self.queue.retry_after_ms(attempt.rank, now_ms)
            self._refuse(attempt, on_outcome, error, wait_ms)
            return number
        pending = PendingAttempt(attempt, now_ms, offer.expires_ms, on_outcome)
        self._pending.add(number, pending)
        self._start_ready()
        return number

    def remove_queued(self, number: int) -> bool:
        """Remove a queued attempt without an outcome.

        :returns: whether it was queued, which means that it will never run.
        """
        pending = self._pending.get(number)
        if pending is None or pending.started_ms is not None:
            return False
        self._pending.pop(number)
        self.queue.withdraw(number)
        return True

    def cancel(self, number: int) -> bool:
        """Cancel an attempt without an outcome.

        A started request that is not idempotent continues to run at the upstream.

        :returns: whether it may have run.
        """
        if self.remove_queued(number):
            return False
        pending = self._pending.get(number)
        if pending is None or not pending.attempt.idempotent:
            return True
        self._pending.pop(number)
        was_sent = self._pool.cancel(number)
        self.pace.ended(number, was_sent)
        now_ms = self._clock.now_ms()
        self.queue.finish(number, now_ms, Ending.DROPPED)
        self._count_ended(pending, Ending.DROPPED, now_ms)
        self._start_ready()
        return was_sent

    def tick(self) -> None:
        """Refuse expired attempts, and detect an upstream that sends no heartbeats."""
        now_ms = self._clock.now_ms()
        self._pool.tick()
        if self._draining_since_ms is not None:
            waited_ms = now_ms - self._draining_since_ms
            if waited_ms > self._drain_ms * DRAIN_QUEUE_SHARE:
                self.queue.is_leaving = True
        for offer, error in self.queue.tick(now_ms):
            pending = self._pending.pop(offer.id)
            if pending is not None:
                wait_ms = self.queue.retry_after_ms(offer.rank, now_ms)
                self._refuse(pending.attempt, pending.on_outcome, error, wait_ms)
        for number in self._pending.overdue(now_ms - OVERDUE_MS):
            self._cut_off(number, now_ms)
        self._check_heartbeats(now_ms)
        self._start_ready()
        self.pace.log_ramp(self.queue)

    def _check_heartbeats(self, now_ms: float) -> None:
        """Detect an upstream that sends no heartbeats."""
        ready = self.upstream.state is UpstreamState.READY
        silent_ms = now_ms - self._last_seen_ms
        if ready and silent_ms > MAX_MISSED_HEARTBEATS * self._heartbeat_ms:
            self._mark_absent("no heartbeat", silent_ms)
        if self.upstream.is_history_known:
            return
        running_ms = now_ms - self._started_ms
        bound_ms = FIRST_HEARTBEAT_INTERVALS * self._heartbeat_ms
        if self._accepts_first_heartbeat and running_ms > bound_ms:
            self._accepts_first_heartbeat = False
            if self.upstream.accept_unproven(False):
                self._handle_absence("no heartbeat sent since the start", silent_ms)

    def _cut_off(self, number: int, now_ms: float) -> None:
        """End an attempt that the upstream neither answers nor stops."""
        pending = self._pending.pop(number)
        assert pending is not None
        self.pace.ended(number, self._pool.cancel(number))
        self.queue.finish(number, now_ms, Ending.FAILED)
        self._count_ended(pending, Ending.FAILED, now_ms)
        reason = "the upstream went on after the deadline"
        self._log.write(
            "attempt failed",
            request=pending.attempt.request_id.decode("latin-1"),
            reason=reason,
            kind=OutcomeKind.TIMED_OUT.name,
            n_running=self.queue.n_running,
            limit=self.queue.limit_in_force,
        )
        pending.on_outcome(Outcome(OutcomeKind.TIMED_OUT, reason=reason))

    def _replace_queue(self, limit: int) -> UpstreamQueue:
        """Return a queue for a new upstream, and refuse what the old one holds."""
        old = self.queue
        old.is_leaving = True
        old.ramp = None  # its running requests tell nothing about the new upstream
        for offer, error in old.tick(self._clock.now_ms()):
            pending = self._pending.pop(offer.id)
            if pending is not None:
                self._refuse(
                    pending.attempt, pending.on_outcome, error, WRONG_UPSTREAM_RETRY_MS
                )
        return self.pace.attach(UpstreamQueue(limit, self._clock.now_ms()))

    def _track_draining(self, state: UpstreamState) -> None:
        if state is UpstreamState.DRAINING and self._draining_since_ms is None:
            self._draining_since_ms = self._clock.now_ms()

    def _mark_absent(self, why: str, silent_ms: float) -> None:
        self.upstream.mark_absent()
        self._handle_absence(why, silent_ms)

    def _handle_absence(self, why: str, silent_ms: float) -> None:
        self.pace.mark_absent(why)
        self._pool.close_idle()
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
            pending = self._pending.get(offer.id)
            if pending is None:
                self.queue.finish(offer.id, now_ms, Ending.DROPPED)
                continue
            self._metrics.queue_times.add(now_ms - offer.arrived_ms)
            self._start(offer.id, pending, now_ms)

    def _start(self, number: int, pending: PendingAttempt, now_ms: float) -> None:
        pending.started_ms = now_ms
        pending.n_unattributed_before = self._n_unattributed_calls
        attempt = pending.attempt
        remaining_ms = max(1, int(pending.deadline_at_ms - now_ms))
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
            attempt.request_id,
            head,
            attempt.body,
            attempt.is_head_request,
            on_result,
            lambda: self.pace.sent(number),
        )
        self._pool.send(number, request)

    def _finish(
        self, number: int, queue: UpstreamQueue, result: UpstreamResult
    ) -> None:
        now_ms = self._clock.now_ms()
        self._pool.release(number)
        pending = self._pending.pop(number)
        outcome = outcome_of(result)
        ending = self._ending(outcome, pending)
        if ending is Ending.STARVED or (
            # an upstream may also reject while it has free slots
            outcome.kind is OutcomeKind.SHED and queue.is_saturated
        ):
            outcome = msgspec.structs.replace(outcome, has_starved=True)
        queue.finish(number, now_ms, ending)
        if isinstance(result, UpstreamResponse):
            self._last_seen_ms = now_ms
            self._load_reports.receive(result)
            self.pace.ended(number, was_sent=True)
            if result.status == MISDIRECTED:
                self.pace.misdirected(number)
                expected = pending.attempt.instance if pending is not None else ""
                self._is_misdirected |= expected == self.instance
        else:
            self._handle_failure(number, result, now_ms)
        if pending is not None:
            if pending.started_ms is not None:
                running_ms = now_ms - pending.started_ms
                self._metrics.upstream_times.add(running_ms)
                is_exhausted = ending is Ending.CALL_FAILED and pending.has_retried_call
                outcome = msgspec.structs.replace(
                    outcome,
                    running_ms=running_ms,
                    n_calls=pending.known_calls(self._n_unattributed_calls),
                    has_retried_call=is_exhausted,
                )
            self._count_ended(pending, ending, now_ms)
            if outcome.kind is not OutcomeKind.ANSWERED:
                self._log.write(
                    "attempt failed",
                    request=pending.attempt.request_id.decode("latin-1"),
                    reason=outcome.reason,
                    kind=outcome.kind.name,
                    n_running=queue.n_running,
                    limit=queue.limit_in_force,
                )
            pending.on_outcome(outcome)
        self._start_ready()

    def _handle_failure(
        self, number: int, failure: UpstreamFailure, now_ms: float
    ) -> None:
        self.pace.ended(number, failure.was_sent)
        if failure.was_sent:
            return
        self.pace.expect_restart(failure.reason)
        if self.upstream.state is UpstreamState.READY:
            self._mark_absent(failure.reason, now_ms - self._last_seen_ms)

    def rank_of(self, request_id: bytes) -> tuple[int, int] | None:
        """Return the rank of a request that is running at the upstream, or None."""
        pending = self._pending.find_started(request_id)
        return pending.attempt.rank if pending is not None else None

    @contextmanager
    def nested_call(self, parent_id: bytes) -> Iterator[NestedCall]:
        """Attribute a call that the upstream makes to the request it is made for.

        A call that is given up within the context counts as failed.

        :param parent_id: id of the request that the upstream is serving, if known.
        """
        parent = self._pending.find_started(parent_id)
        call = NestedCall()
        if parent is not None:
            parent.n_calls += 1
            parent.n_open_calls += 1
        else:
            self._n_unattributed_calls += 1
        try:
            yield call
        finally:
            if parent is None:
                self._nested_starved_share.add(call.has_starved, self._clock.now_ms())
            else:
                parent.n_open_calls -= 1
                parent.has_failed_call |= call.has_failed
                parent.has_starved |= call.has_starved
                parent.has_retried_call |= call.has_failed and call.was_retryable

    def count_call(self, parent_id: bytes) -> None:
        """Count a call that only its id shows to be one of the upstream's."""
        parent = self._pending.find_started(parent_id)
        if parent is not None:
            parent.n_calls += 1

    def _ending(self, outcome: Outcome, pending: PendingAttempt | None) -> Ending:
        if outcome.kind is not OutcomeKind.ANSWERED:
            return Ending.FAILED
        if outcome.status < 500:
            return Ending.ANSWERED
        if pending is not None and pending.has_starved:
            return Ending.STARVED
        if pending is not None and (pending.has_failed_call or pending.n_open_calls):
            return Ending.CALL_FAILED
        nested_share = self._nested_starved_share.at(self._clock.now_ms())
        has_starved = nested_share > NESTED_STARVED_SHARE
        return Ending.STARVED if has_starved else Ending.FAILED

    def _count_ended(
        self, pending: PendingAttempt, ending: Ending, now_ms: float
    ) -> None:
        """Count an attempt that was started, and its times, by its route."""
        started_ms = now_ms if pending.started_ms is None else pending.started_ms
        self._metrics.count_attempt(
            pending.attempt.route,
            ending,
            started_ms - pending.arrived_ms,
            now_ms - started_ms,
        )

    def _refuse(
        self, attempt: Attempt, on_outcome: OnOutcome, reason: str, wait_ms: float
    ) -> None:
        self._metrics.count_attempt(attempt.route, str(reason), 0.0, 0.0)
        retry_after_ms = max(MIN_RETRY_AFTER_MS, min(wait_ms, 60_000.0))
        outcome = Outcome(
            OutcomeKind.REFUSED, reason=str(reason), retry_after_ms=retry_after_ms
        )
        asyncio.get_running_loop().call_soon(on_outcome, outcome)
