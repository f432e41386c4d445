"""Admission to one upstream: a concurrency limit and a bounded priority queue."""

import bisect
import math
from enum import StrEnum
from typing import NamedTuple

from .cold_rate import ColdRate
from .decaying_share import DecayingShare
from .offer import Offer, QueueError, is_early, is_too_cold, is_wait_acceptable
from .route_pressure import RoutePressures
from .service_times import ServiceTimes
from .start_ramp import RampReason, Running, StartRamp
from .time_shares import TimeShares

OUTCOME_WEIGHT = 0.08  # of one outcome in the shares; averages about the last 12
FAILURE_HALF_LIFE_MS = 1_000.0  # then an upstream that was avoided is tried again
SERVICE_TIME_VALIDITY_MS = 2_000.0  # after the last end of a request
MIN_LESS_URGENT_TIME_SHARE = 0.15  # of the upstream's time
MIN_STALL_MS = 2_000.0
STALL_SERVICE_TIME_FACTOR = 6.0  # without an answer, before it counts as stalled


class Load(NamedTuple):
    """Load of an upstream, as its node reports it to other nodes.

    :param limit: concurrency limit; 0 if no requests are accepted.
    :param service_ms: average service time; 0 if no recent one is known.
    :param failure_share: recent share of requests that failed at the upstream.
    :param pressures: routes with the recent share of their requests that failed because
        a service called by the upstream was overloaded.
    """

    n_running: int
    n_queued: int
    limit: int
    service_ms: float
    failure_share: float
    pressures: tuple[tuple[str, float], ...]


class Ending(StrEnum):
    """How a request ended at the upstream."""

    ANSWERED = "answered"
    FAILED = "failed"
    STARVED = "starved"  # a service that the upstream calls was overloaded
    CALL_FAILED = "call failed"  # a call that the upstream made failed otherwise
    DROPPED = "dropped"  # the caller no longer waited


class _Queued(NamedTuple):
    """A request in the queue; sorts by rank, then by arrival.

    :param work_ms: its expected service time at the upstream.
    """

    rank: tuple[int, int]
    arrived_ms: float
    id: int
    offer: Offer
    work_ms: float


class _Running(NamedTuple):
    offer: Offer
    started_ms: float


class UpstreamQueue:
    """Decide which requests run at the upstream of this VM, and when.

    :param limit: number of requests that may run concurrently.
    :ivar cold: bounds the rate while the upstream is cold; None for no bound.
    :ivar ramp: limits the requests after a start; None for no such limit.
    """

    def __init__(
        self,
        limit: int,
        now_ms: float,
        cold: ColdRate | None = None,
        ramp: StartRamp | None = None,
    ) -> None:
        self.limit = limit
        self.cold = cold
        self.ramp = ramp
        self.is_leaving = False
        self.service_times = ServiceTimes()
        self._failures = DecayingShare(OUTCOME_WEIGHT, FAILURE_HALF_LIFE_MS)
        self._pressures = RoutePressures()
        self._time_shares = TimeShares(now_ms)
        self._queue: list[_Queued] = []
        self._running_by_id: dict[int, _Running] = {}
        self._last_progress_ms = now_ms

    def __repr__(self) -> str:
        return (
            f"UpstreamQueue(n_running={len(self._running_by_id)}, "
            f"n_queued={len(self._queue)}, limit={self.limit})"
        )

    @property
    def n_running(self) -> int:
        """Number of requests that run at the upstream."""
        return len(self._running_by_id)

    @property
    def n_queued(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def is_saturated(self) -> bool:
        """Whether all slots of the upstream are taken."""
        return len(self._running_by_id) >= self.limit_in_force

    @property
    def limit_in_force(self) -> int:
        """Number of requests that may run concurrently now."""
        return self.limit if self.ramp is None else self.ramp.limit(self.limit)

    def load(self, now_ms: float) -> Load:
        """Return the load to report to other nodes."""
        closed = self.is_leaving or self.is_stalled(now_ms)
        limit = self.limit_in_force
        if limit > 0 and self.cold is not None and self.cold.is_bounding(now_ms):
            limit = min(limit, self.cold.concurrency(self.service_times.overall_ms))
        is_known = self.service_times.has_answers and (
            self._running_by_id
            or now_ms - self._last_progress_ms < SERVICE_TIME_VALIDITY_MS
        )
        return Load(
            self.n_running,
            self.n_queued,
            0 if closed else limit,
            self.service_times.overall_ms if is_known else 0.0,
            self._failures.at(now_ms),
            self._pressures.reported(now_ms),
        )

    def is_stalled(self, now_ms: float) -> bool:
        """Return whether requests are running but none has ended for a long time."""
        if not self._running_by_id:
            return False
        oldest_ms = next(iter(self._running_by_id.values())).started_ms
        stalled_ms = now_ms - max(self._last_progress_ms, oldest_ms)
        if stalled_ms <= MIN_STALL_MS:
            return False
        slowest_ms = max(
            self.service_times.expected_ms(running.offer.route)
            for running in self._running_by_id.values()
        )
        return stalled_ms > STALL_SERVICE_TIME_FACTOR * slowest_ms

    def wait_ms(self, rank: tuple[int, int]) -> float:
        """Return how long a new request of ``rank`` would wait."""
        if self.limit <= 0:
            return float("inf")
        n_ahead = bisect.bisect_right(self._queue, (rank, math.inf))
        return self._expected_wait_ms(
            n_ahead, sum(entry.work_ms for entry in self._queue[:n_ahead])
        )

    def cold_wait_ms(self, rank: tuple[int, int], now_ms: float) -> float:
        """Return how long a new request would wait since the upstream is cold."""
        if self.cold is None:
            return 0.0
        return self.cold.wait_ms(
            bisect.bisect_right(self._queue, (rank, math.inf)), now_ms
        )

    def retry_after_ms(self, rank: tuple[int, int], now_ms: float) -> float:
        """Return when a refused request of ``rank`` may find room."""
        return max(self.wait_ms(rank), self.cold_wait_ms(rank, now_ms))

    def _expected_wait_ms(self, n_ahead: int, work_ms: float) -> float:
        """Return the expected wait of a request behind ``n_ahead`` others.

        :param work_ms: total expected service time of these.
        """
        limit = self.limit_in_force
        if self.n_running + n_ahead < limit:
            return 0.0
        return (self.service_times.overall_ms + work_ms) / limit

    def offer(self, offer: Offer) -> QueueError | None:
        """Queue a request, or return the reason for refusing it."""
        now_ms = offer.arrived_ms
        if self.is_leaving:
            return QueueError.LEAVING
        if self.limit <= 0 or self.is_stalled(now_ms):
            return QueueError.STALLED
        if self.cold is not None:
            cold_wait_ms = self.cold_wait_ms(offer.rank, now_ms)
            if not self._is_wait_acceptable(offer, cold_wait_ms):
                return QueueError.COLD
        if not self._is_wait_acceptable(offer, self.wait_ms(offer.rank)):
            return QueueError.FULL
        work_ms = self.service_times.expected_ms(offer.route)
        entry = _Queued(offer.rank, offer.arrived_ms, offer.id, offer, work_ms)
        bisect.insort(self._queue, entry)
        return None

    def start_next(self, now_ms: float) -> Offer | None:
        """Return the next request to run, counting it as running."""
        if not self._queue or self.n_running >= self.limit_in_force:
            return None
        if self.cold is not None:
            if self.cold.wait_ms(0, now_ms) > 0.0:
                return None
            offer = self._queue.pop(self._next_index(now_ms)).offer
            self.cold.start(offer.id, now_ms)
        else:
            offer = self._queue.pop(self._next_index(now_ms)).offer
        if not self._running_by_id:
            self._last_progress_ms = now_ms
        self._running_by_id[offer.id] = _Running(offer, now_ms)
        return offer

    def finish(self, offer_id: int, now_ms: float, ending: Ending) -> None:
        """Count a request as ended."""
        was_stalled = self.ramp is not None and self.is_stalled(now_ms)
        running = self._running_by_id.pop(offer_id, None)
        if running is None:
            return
        took_ms = now_ms - running.started_ms
        self._time_shares.add(running.offer.rank[0], took_ms, now_ms)
        if ending is Ending.DROPPED:
            return
        self._last_progress_ms = now_ms
        has_starved = ending is Ending.STARVED
        if ending is not Ending.CALL_FAILED:  # says nothing about this upstream
            self._failures.add(ending is Ending.FAILED, now_ms)
        self._pressures.add(running.offer.route, has_starved, now_ms)
        if ending is Ending.ANSWERED:
            self.service_times.add(running.offer.route, took_ms)
        if self.ramp is not None and ending in (Ending.ANSWERED, Ending.FAILED):
            self._update_ramp(running, ending is Ending.FAILED, was_stalled, now_ms)

    def _update_ramp(
        self, ended: _Running, is_failed: bool, was_stalled: bool, now_ms: float
    ) -> None:
        if self.ramp is None:
            return
        if was_stalled:
            self.ramp.restart(RampReason.STALLED, now_ms)
        request = Running(ended.offer.route, ended.started_ms)
        self.ramp.add(request, is_failed, self.limit, now_ms)
        self._tick_ramp(now_ms)

    def _tick_ramp(self, now_ms: float) -> None:
        if self.ramp is not None:
            running = (
                Running(other.offer.route, other.started_ms)
                for other in self._running_by_id.values()
            )
            self.ramp.tick(running, self.limit, now_ms)

    def _next_index(self, now_ms: float) -> int:
        """Return the index of the request to run next.

        The least urgent requests get a minimum share of the upstream's time, so that
        they do not starve. A cold upstream takes few requests for some seconds, and the
        others can run elsewhere, so that only the most urgent ones run there.
        """
        if self.cold is not None and self.cold.is_bounding(now_ms):
            return 0
        lowest_priority = self._queue[-1].rank[0]
        if lowest_priority == self._queue[0].rank[0]:
            return 0
        if self._time_shares.share(lowest_priority) >= MIN_LESS_URGENT_TIME_SHARE:
            return 0
        return bisect.bisect_left(self._queue, ((lowest_priority, -math.inf),))

    def withdraw(self, offer_id: int) -> bool:
        """Remove a request from the queue.

        :returns: False if it is running or unknown.
        """
        for index, entry in enumerate(self._queue):
            if entry.id == offer_id:
                del self._queue[index]
                return True
        return False

    def tick(self, now_ms: float) -> list[tuple[Offer, QueueError]]:
        """Remove and return requests that can no longer succeed by waiting."""
        self._tick_ramp(now_ms)
        removed: list[tuple[Offer, QueueError]] = []
        kept: list[_Queued] = []
        work_ahead_ms = 0.0
        is_stalled = self.is_stalled(now_ms)
        for entry in self._queue:
            wait_ms = self._expected_wait_ms(len(kept), work_ahead_ms)
            error = self._removal_reason(entry.offer, wait_ms, is_stalled, now_ms)
            if error is None and self.cold is not None:
                cold_wait_ms = self.cold.wait_ms(len(kept), now_ms)
                if is_too_cold(entry.offer, cold_wait_ms, entry.work_ms, now_ms):
                    error = QueueError.COLD
            if error is None:
                kept.append(entry)
                work_ahead_ms += entry.work_ms
            else:
                removed.append((entry.offer, error))
        self._queue = kept
        return removed

    def _removal_reason(
        self, offer: Offer, wait_ms: float, is_stalled: bool, now_ms: float
    ) -> QueueError | None:
        """Return why to remove a request from the queue, or None to keep it.

        :param wait_ms: its expected remaining wait.
        """
        if self.is_leaving:
            return QueueError.LEAVING
        if now_ms >= offer.expires_ms:
            return QueueError.EXPIRED
        if is_stalled:
            return QueueError.STALLED
        if is_early(offer, now_ms):
            waited_ms = now_ms - offer.arrived_ms
            if not self._is_wait_acceptable(offer, wait_ms + waited_ms):
                return QueueError.PREEMPTED
        return None

    def _is_wait_acceptable(self, offer: Offer, wait_ms: float) -> bool:
        if wait_ms <= 0.0:
            return True
        service_ms = self.service_times.expected_ms(offer.route)
        return is_wait_acceptable(offer, wait_ms, service_ms)
