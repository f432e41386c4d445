"""Admission to one upstream: a concurrency limit and a bounded priority queue."""

import bisect
import math
from enum import StrEnum
from typing import NamedTuple

from .cold_rate import ColdRate
from .decaying_share import DecayingShare
from .route_pressure import RoutePressures
from .service_times import ServiceTimes

OUTCOME_WEIGHT = 0.08  # of one outcome in the shares; averages about the last 12
FAILURE_HALF_LIFE_MS = 1_000.0  # then an upstream that was avoided is tried again
SERVICE_TIME_VALIDITY_MS = 2_000.0  # after the last end of a request
MIN_LESS_URGENT_TIME_SHARE = 0.15  # of the upstream's time
MIN_RECORDED_TIME_MS = 2_000.0  # with less, the shares are not meaningful
TIME_SHARE_HALF_LIFE_MS = 2_000.0
# Share of the objective; a refusal within it costs the caller nothing.
EARLY_REFUSAL_SHARE = 0.125
MAX_WAIT_SHARE = 0.5  # of the objective that may be spent in the queue
MIN_STALL_MS = 2_000.0
STALL_SERVICE_TIME_FACTOR = 6.0  # without an answer, before it counts as stalled


class QueueError(StrEnum):
    """Why a request was not queued or was removed from the queue."""

    FULL = "full"
    STALLED = "stalled"
    LEAVING = "leaving"
    EXPIRED = "expired"
    PREEMPTED = "preempted"
    COLD = "cold"  # the rate of a cold upstream leaves no room for it in time


class Offer(NamedTuple):
    """A request that is to run at the upstream.

    :param rank: lower ranks run first; the first part is the priority.
    :param expires_ms: deadline, in the monotonic time of this process.
    :param objective_ms: the latency objective, which limits the wait.
    """

    id: int
    route: str
    rank: tuple[int, int]
    arrived_ms: float
    expires_ms: float
    objective_ms: float


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


class _TimeShares:
    """Shares of the upstream's time by priority, from decaying sums."""

    def __init__(self, now_ms: float) -> None:
        self._at_ms = now_ms
        self._by_priority: dict[int, float] = {}

    def add(self, priority: int, took_ms: float, now_ms: float) -> None:
        """Record the time that one request took."""
        decay = 0.5 ** (max(0.0, now_ms - self._at_ms) / TIME_SHARE_HALF_LIFE_MS)
        self._at_ms = now_ms
        for key in self._by_priority:
            self._by_priority[key] *= decay
        self._by_priority[priority] = self._by_priority.get(priority, 0.0) + took_ms

    def share(self, priority: int) -> float:
        """Return the share of the time that requests of ``priority`` used."""
        total = sum(self._by_priority.values())
        if total < MIN_RECORDED_TIME_MS:
            return 1.0
        return self._by_priority.get(priority, 0.0) / total


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
    """

    def __init__(self, limit: int, now_ms: float, cold: ColdRate | None = None) -> None:
        self.limit = limit
        self.cold = cold
        self.is_leaving = False
        self.service_times = ServiceTimes()
        self._failures = DecayingShare(OUTCOME_WEIGHT, FAILURE_HALF_LIFE_MS)
        self._pressures = RoutePressures()
        self._time_shares = _TimeShares(now_ms)
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
        return len(self._running_by_id) >= self.limit

    def load(self, now_ms: float) -> Load:
        """Return the load to report to other nodes."""
        closed = self.is_leaving or self.is_stalled(now_ms)
        limit = self.limit
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
        if self.n_running + n_ahead < self.limit:
            return 0.0
        return (self.service_times.overall_ms + work_ms) / self.limit

    def offer(self, offer: Offer) -> QueueError | None:
        """Queue a request, or return the reason for refusing it."""
        now_ms = offer.arrived_ms
        if self.is_leaving:
            return QueueError.LEAVING
        if self.limit <= 0 or self.is_stalled(now_ms):
            return QueueError.STALLED
        if not self._is_wait_acceptable(offer, self.cold_wait_ms(offer.rank, now_ms)):
            return QueueError.COLD
        if not self._is_wait_acceptable(offer, self.wait_ms(offer.rank)):
            return QueueError.FULL
        work_ms = self.service_times.expected_ms(offer.route)
        entry = _Queued(offer.rank, offer.arrived_ms, offer.id, offer, work_ms)
        bisect.insort(self._queue, entry)
        return None

    def start_next(self, now_ms: float) -> Offer | None:
        """Return the next request to run, counting it as running."""
        if not self._queue or self.n_running >= self.limit:
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
        removed: list[tuple[Offer, QueueError]] = []
        kept: list[_Queued] = []
        work_ahead_ms = 0.0
        is_stalled = self.is_stalled(now_ms)
        for entry in self._queue:
            wait_ms = self._expected_wait_ms(len(kept), work_ahead_ms)
            error = self._removal_reason(entry.offer, wait_ms, is_stalled, now_ms)
            if error is None and self.cold is not None:
                cold_wait_ms = self.cold.wait_ms(len(kept), now_ms)
                error = self._cold_removal_reason(entry.offer, cold_wait_ms, now_ms)
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
        early_until_ms = offer.arrived_ms + EARLY_REFUSAL_SHARE * offer.objective_ms
        if now_ms <= early_until_ms:
            waited_ms = now_ms - offer.arrived_ms
            if not self._is_wait_acceptable(offer, wait_ms + waited_ms):
                return QueueError.PREEMPTED
        return None

    def _cold_removal_reason(
        self, offer: Offer, wait_ms: float, now_ms: float
    ) -> QueueError | None:
        """Return why the rate of a cold upstream removes a request from the queue.

        An upstream may become cold while requests are queued for it.

        :param wait_ms: its expected remaining wait.
        """
        if wait_ms <= 0.0:
            return None
        if now_ms <= offer.arrived_ms + EARLY_REFUSAL_SHARE * offer.objective_ms:
            wait_ms += now_ms - offer.arrived_ms
            return None if self._is_wait_acceptable(offer, wait_ms) else QueueError.COLD
        # Later, a wait that was accepted must not end for a small error of estimates.
        ready_ms = now_ms + wait_ms + self.service_times.expected_ms(offer.route)
        is_late = ready_ms > offer.expires_ms
        is_long = wait_ms > MAX_WAIT_SHARE * offer.objective_ms
        return QueueError.COLD if is_late or is_long else None

    def _is_wait_acceptable(self, offer: Offer, wait_ms: float) -> bool:
        if wait_ms <= 0.0:
            return True
        ready_ms = (
            offer.arrived_ms + wait_ms + self.service_times.expected_ms(offer.route)
        )
        bound_ms = max(EARLY_REFUSAL_SHARE, MAX_WAIT_SHARE) * offer.objective_ms
        return wait_ms <= bound_ms and ready_ms <= offer.expires_ms
