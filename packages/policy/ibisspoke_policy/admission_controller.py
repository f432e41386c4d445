"""Admission controller with an adaptive limit, a short queue and recovery probes."""

import math
from typing import NamedTuple

from .adaptive_limit import ConcurrencyLimit, GradientLimit, Sample
from .admission import (
    Abort,
    AdmissionEvent,
    AdmissionLevel,
    Capacity,
    Ending,
    Refused,
    Started,
    Ticket,
)
from .admission_queue import AdmissionQueue
from .attempt import Attempt
from .fair_share import FairShare
from .refusal import Ran, Refusal, RefusalKind, deadline_exceeded, overloaded
from .shed_level import MAX_SHED, ShedLevel
from .stuck_upstream import MAX_HANG_MS, ProgressMonitor, ProgressState
from .table import Table

SMOOTHING_WEIGHT = 0.1  # of one sample in the averages
LOAD_WHEN_UNAVAILABLE = 1_000.0  # reported while the upstream gets no work
TARGET_QUEUE_SHARE = 0.5  # of the queue, at most filled at the target delay
FULL_QUEUE_SHARE = 0.75  # of the queue in use, from which it counts as full
UNANSWERED_AGE_FACTOR = 4.0  # of the mean; older aborted attempts timed out
MIN_OWN_GROWTH = 1.01  # of the shortest time with each success, to follow changes


class AdmissionSettings(NamedTuple):
    """Settings of an admission controller.

    :param window_ms: interval between adaptations.
    :param target_delay_ms: queueing delay to aim for while callers shed load.
    :param max_delay_ms: queueing delay above which attempts are evicted.
    :param min_queue: lower bound on the capacity of the queue.
    """

    window_ms: float = 50.0
    target_delay_ms: float = 15.0
    max_delay_ms: float = 100.0
    min_queue: int = 8


class UpstreamAdmissionController:
    """Admit attempts to one upstream.

    Attempts start while fewer than the adaptive limit are in flight, and wait in a
    short queue otherwise. An upstream that makes no progress is only sent probes.

    :param limit: limit on the attempts in flight.
    :param settings: intervals and delays.
    :param now_ms: time of creation.
    """

    def __init__(
        self,
        limit: ConcurrencyLimit | None = None,
        settings: AdmissionSettings | None = None,
        now_ms: float = 0.0,
    ) -> None:
        self.settings = settings or AdmissionSettings()
        self._limit = limit if limit is not None else GradientLimit()
        self._shares = FairShare(now_ms)
        self._queue = AdmissionQueue(self._shares)
        self._attempts: Table[int, Attempt] = Table("attempts")
        self._monitor = ProgressMonitor(now_ms)
        self._shed_level = ShedLevel()
        self._capacity: Capacity | None = None
        self._window_start_ms = now_ms
        self._mean_own_ms = 0.0
        self._mean_in_flight_ms = 0.0
        self._min_own_ms = math.inf
        self._now_ms = now_ms

    def __repr__(self) -> str:
        counts = f"{len(self._attempts)} in flight, {len(self._queue)} queued"
        return f"{type(self).__name__}({counts}, {self._limit!r}, {self.progress})"

    @property
    def limit(self) -> int:
        """Attempts that may be in flight now."""
        if self._monitor.state is not ProgressState.RUNNING:
            return 0
        return self._limit.value

    @property
    def n_in_flight(self) -> int:
        """Attempts in flight at the upstream."""
        return len(self._attempts)

    @property
    def n_queued(self) -> int:
        """Attempts in the queue."""
        return len(self._queue)

    @property
    def progress(self) -> ProgressState:
        """Whether the upstream makes progress or is stuck."""
        return self._monitor.state

    @property
    def level(self) -> AdmissionLevel:
        """The current admission level."""
        limit = self.limit
        if limit == 0 or self._capacity is None or self._capacity.draining:
            wait_ms = max(1, math.ceil(self._monitor.probe_wait_ms(self._now_ms)))
            return AdmissionLevel(LOAD_WHEN_UNAVAILABLE, int(MAX_SHED), 0, wait_ms)
        load = (len(self._attempts) + len(self._queue)) / limit
        below = int(self._shed_level.value)
        share = self._shed_level.value - below
        return AdmissionLevel(
            load, below, limit, self._shed_level.retry_after_ms, share
        )

    def offer(self, ticket: Ticket, now_ms: float) -> list[AdmissionEvent]:
        """Start, queue or refuse an attempt."""
        self._now_ms = now_ms
        refusal = self._immediate_refusal(ticket, now_ms)
        if refusal is not None:
            return [Refused(ticket.attempt_id, refusal)]
        if self._monitor.state is not ProgressState.RUNNING:
            return self._offer_probe(ticket, now_ms)
        self._shed_level.offered(ticket.importance, ticket.admitted_level)
        if not len(self._queue) and len(self._attempts) < self.limit:
            return [self._start(ticket, now_ms)]
        self._queue.push(ticket)
        events = self._start_queued(now_ms)
        if len(self._queue) > self._max_queued():
            events += self._evict()
        return events

    def finish(
        self, attempt_id: int, ending: Ending, now_ms: float
    ) -> list[AdmissionEvent]:
        """Record the end of a started attempt and start queued ones."""
        self._now_ms = now_ms
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return []
        own_ms = attempt.own_ms(now_ms)
        sample = Sample(own_ms, len(self._attempts), ending)
        self._attempts.pop(attempt_id)
        self._charge(attempt, own_ms)
        self._note_progress(attempt, ending, own_ms, now_ms)
        if not attempt.is_aborted:
            self._limit.record(sample)
        return self._start_queued(now_ms)

    def nested(self, attempt_id: int, n_change: int, now_ms: float) -> None:
        """Record that a started attempt began (1) or ended (-1) a nested call."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return
        self._monitor.progressed(now_ms)
        n_nested = max(0, attempt.n_nested + n_change)
        if attempt.n_nested == 0 and n_nested > 0:
            attempt = attempt._replace(nested_since_ms=now_ms)
        elif attempt.n_nested > 0 and n_nested == 0:
            nested_ms = attempt.nested_ms + now_ms - attempt.nested_since_ms
            attempt = attempt._replace(nested_ms=nested_ms)
        self._attempts.put(attempt_id, attempt._replace(n_nested=n_nested))

    def cancel(self, attempt_id: int, now_ms: float) -> list[AdmissionEvent]:
        """Remove a queued attempt, or abort a started one.

        An aborted attempt stays in flight until :meth:`finish` is called for it.
        """
        self._now_ms = now_ms
        if self._queue.remove(attempt_id) is not None:
            return []
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.is_aborted:
            return []
        self._attempts.put(attempt_id, attempt._replace(is_aborted=True))
        return [Abort(attempt_id)]

    def announce(self, capacity: Capacity, now_ms: float) -> list[AdmissionEvent]:
        """Apply the capacity that the upstream announced."""
        self._now_ms = now_ms
        was_cold = self._capacity is not None and self._capacity.cold
        self._capacity = capacity
        self._limit.set_ceiling(max(0, min(capacity.n_slots, capacity.n_connections)))
        if capacity.cold and not was_cold:
            self._limit.restart()
        if capacity.draining:
            return [
                _refuse(ticket, _draining_refusal()) for ticket in self._queue.clear()
            ]
        return self._start_queued(now_ms)

    def tick(self, now_ms: float) -> list[AdmissionEvent]:
        """Expire queued attempts, adapt the limit and check for progress."""
        self._now_ms = now_ms
        events = self._expire(now_ms)
        events += self._check_progress(now_ms)
        if now_ms - self._window_start_ms >= self.settings.window_ms:
            self._adapt(now_ms)
        return events + self._start_queued(now_ms)

    def _immediate_refusal(self, ticket: Ticket, now_ms: float) -> Refusal | None:
        if self._capacity is None:
            return overloaded("the upstream has not announced itself", 500)
        if self._capacity.draining:
            return _draining_refusal()
        if ticket.deadline_ms < now_ms + self._min_needed_ms():
            return deadline_exceeded(Ran.NOT_RUN, "too little time left to run")
        return None

    def _offer_probe(self, ticket: Ticket, now_ms: float) -> list[AdmissionEvent]:
        if not self._monitor.probe_due(ticket.idempotent, now_ms):
            wait_ms = max(1, math.ceil(self._monitor.probe_wait_ms(now_ms)))
            return [_refuse(ticket, overloaded("the upstream is stuck", wait_ms))]
        self._monitor.probe_started(now_ms)
        return [self._start(ticket, now_ms, is_probe=True)]

    def _start(
        self, ticket: Ticket, now_ms: float, is_probe: bool = False
    ) -> AdmissionEvent:
        attempt = Attempt(ticket, now_ms, is_probe=is_probe)
        self._attempts.put(ticket.attempt_id, attempt)
        self._shares.charge(ticket.organisation, 1.0)
        return Started(ticket.attempt_id)

    def _start_queued(self, now_ms: float) -> list[AdmissionEvent]:
        events: list[AdmissionEvent] = []
        newest_first = self._delay_ms() > self._target_ms()
        while len(self._queue) and len(self._attempts) < self.limit:
            ticket = self._queue.pop(newest_first)
            if ticket is None:
                break
            if ticket.deadline_ms < now_ms + self._min_needed_ms():
                events.append(_refuse_expired(ticket))
            else:
                events.append(self._start(ticket, now_ms))
        return events

    def _evict(self) -> list[AdmissionEvent]:
        ticket = self._queue.evict()
        if ticket is None:
            return []
        refusal = overloaded("the queue is full", self._shed_level.retry_after_ms)
        return [_refuse(ticket, refusal)]

    def _expire(self, now_ms: float) -> list[AdmissionEvent]:
        late = self._queue.expire(now_ms + self._min_needed_ms())
        return [_refuse_expired(ticket) for ticket in late]

    def _check_progress(self, now_ms: float) -> list[AdmissionEvent]:
        hanging = self._hanging_attempts(now_ms)
        if self._monitor.state is not ProgressState.RUNNING:
            return self._abort(hanging)
        if not self._monitor.is_stuck(len(hanging), self._limit.value, now_ms):
            return []
        self._monitor.mark_stuck(now_ms)
        self._limit.restart()
        events = self._abort(hanging)
        wait_ms = math.ceil(self._monitor.probe_wait_ms(now_ms))
        refusal = overloaded("the upstream makes no progress", wait_ms)
        return events + [_refuse(ticket, refusal) for ticket in self._queue.clear()]

    def _hanging_attempts(self, now_ms: float) -> list[Attempt]:
        """Return the attempts that hang; probes get the longest time allowed.

        Only a probe can show that the upstream has become slow permanently.
        """
        hang_ms = self._monitor.hang_ms
        return self._attempts.where(
            lambda a: (
                not a.n_nested
                and not a.is_aborted
                and a.own_ms(now_ms) > (MAX_HANG_MS if a.is_probe else hang_ms)
            )
        )

    def _abort(self, attempts: list[Attempt]) -> list[AdmissionEvent]:
        for attempt in attempts:
            attempt_id = attempt.ticket.attempt_id
            self._attempts.put(attempt_id, attempt._replace(is_aborted=True))
        return [Abort(attempt.ticket.attempt_id) for attempt in attempts]

    def _note_progress(
        self, attempt: Attempt, ending: Ending, own_ms: float, now_ms: float
    ) -> None:
        if attempt.is_probe:
            self._monitor.probe_ended(ending.succeeded, now_ms)
        is_unanswered = (
            attempt.is_aborted and own_ms > UNANSWERED_AGE_FACTOR * self._mean_own_ms
        )
        if ending.timed_out or is_unanswered:
            self._monitor.timed_out()
        elif not attempt.is_aborted:
            self._monitor.answered(own_ms, now_ms)
        if ending.succeeded:
            in_flight_ms = now_ms - attempt.started_ms
            self._mean_own_ms = _smooth(self._mean_own_ms, own_ms)
            self._mean_in_flight_ms = _smooth(self._mean_in_flight_ms, in_flight_ms)
            self._min_own_ms = min(own_ms, self._min_own_ms * MIN_OWN_GROWTH)

    def _charge(self, attempt: Attempt, own_ms: float) -> None:
        """Correct the use charged at the start for the actual time taken."""
        if self._mean_own_ms <= 0:
            return
        extra = min(10.0, own_ms / self._mean_own_ms) - 1.0
        self._shares.charge(attempt.ticket.organisation, extra)

    def _adapt(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._window_start_ms
        self._window_start_ms = now_ms
        self._shares.decay(now_ms)
        self._limit.adapt()
        if self._mean_in_flight_ms > 0:
            capacity_per_ms = self._limit.value / self._mean_in_flight_ms
            delay_ms = self._delay_ms()
            target_ms = self._target_ms()
            is_full = len(self._queue) >= FULL_QUEUE_SHARE * self._max_queued()
            self._shed_level.adapt(
                capacity_per_ms, delay_ms, target_ms, elapsed_ms, is_full
            )

    def _delay_ms(self) -> float:
        """Return the time that the queue takes to drain at the current rate."""
        return len(self._queue) * self._mean_in_flight_ms / max(1, self.limit)

    def _target_ms(self) -> float:
        """Return the queueing delay to aim for while callers shed load.

        Some attempts must wait to keep all slots busy; more slots need more of them.
        """
        n_waiting = min(math.sqrt(self.limit), TARGET_QUEUE_SHARE * self._max_queued())
        slot_delay_ms = n_waiting * self._mean_in_flight_ms / max(1, self.limit)
        return max(self.settings.target_delay_ms, slot_delay_ms)

    def _max_queued(self) -> int:
        if self._mean_in_flight_ms <= 0:
            return max(self.settings.min_queue, self.limit)
        n_by_delay = int(
            self.limit * self.settings.max_delay_ms / self._mean_in_flight_ms
        )
        return max(self.settings.min_queue, self.limit // 2, n_by_delay)

    def _min_needed_ms(self) -> float:
        """Return the time below which an attempt cannot finish."""
        return self._min_own_ms if math.isfinite(self._min_own_ms) else 0.0


def _smooth(mean: float, sample: float) -> float:
    return sample if mean <= 0 else mean + SMOOTHING_WEIGHT * (sample - mean)


def _refuse(ticket: Ticket, refusal: Refusal) -> AdmissionEvent:
    return Refused(ticket.attempt_id, refusal)


def _refuse_expired(ticket: Ticket) -> AdmissionEvent:
    refusal = deadline_exceeded(Ran.NOT_RUN, "the deadline passed in the queue")
    return _refuse(ticket, refusal)


def _draining_refusal() -> Refusal:
    return Refusal(
        RefusalKind.DRAINING,
        Ran.NOT_RUN,
        "the upstream takes no new work",
        "retry; another upstream of the service takes the request",
        0,
    )
