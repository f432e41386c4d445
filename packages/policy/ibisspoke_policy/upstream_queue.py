"""Admission to one upstream: a limit of concurrency and an ordered, bounded queue."""

import bisect
import math
from enum import StrEnum
from typing import NamedTuple

from .decaying_share import DecayingShare
from .route_pressure import RoutePressures
from .service_times import ServiceTimes

OUTCOME_WEIGHT = 0.08  # of one outcome in the shares; about the last dozen
FAILURE_HALF_LIFE_MS = 3_000.0  # then an upstream that is avoided gets a new chance
MIN_TIME_SHARE = 0.15  # of the upstream's time that less urgent requests keep
MIN_TIME_MS = 2_000.0  # of the upstream's time, from which shares mean something
TIME_HALF_LIFE_MS = 2_000.0  # over which that share is kept
EARLY_SHARE = 0.125  # of the objective: a refusal within it costs the caller nothing
WAIT_SHARE = 0.5  # of the objective that a queue may use up
MAX_STALL_MS = 2_000.0
STALL_SERVICE_TIMES = 6.0  # without an answer before an upstream counts as stalled


class QueueError(StrEnum):
    """Why an offer was not taken or did not stay."""

    FULL = "full"
    STALLED = "stalled"
    LEAVING = "leaving"
    EXPIRED = "expired"
    PREEMPTED = "preempted"


class Offer(NamedTuple):
    """A request that asks to run.

    :param rank: lower ranks run first.
    :param expires_ms: when nobody waits any more, in this process's time.
    :param patience_ms: the latency objective, which bounds the wait.
    """

    id: int
    route: str
    rank: tuple[int, int]
    arrived_ms: float
    expires_ms: float
    patience_ms: float


class Load(NamedTuple):
    """What a node tells others of its upstream.

    :param limit: requests that may run at once; 0 takes none.
    :param service_ms: the average time that one takes.
        0 where nothing has been answered yet.
    :param failure_share: recent share of requests that the upstream failed.
    :param pressures: routes with the recent share of their requests that failed for
        want of room in the services that the upstream calls.
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
    STARVED = "starved"  # a service that the upstream calls had no room
    DROPPED = "dropped"  # nobody waited any more


class _TimeShares:
    """Decaying sums of the upstream's time, of urgent and of all requests."""

    def __init__(self, now_ms: float) -> None:
        self._at_ms = now_ms
        self._by_priority: dict[int, float] = {}

    def add(self, priority: int, took_ms: float, now_ms: float) -> None:
        """Take in one run."""
        decay = 0.5 ** (max(0.0, now_ms - self._at_ms) / TIME_HALF_LIFE_MS)
        self._at_ms = now_ms
        for key in self._by_priority:
            self._by_priority[key] *= decay
        self._by_priority[priority] = self._by_priority.get(priority, 0.0) + took_ms

    def share(self, priority: int) -> float:
        """Return the part of the time that requests of ``priority`` got."""
        total = sum(self._by_priority.values())
        if total < MIN_TIME_MS:
            return 1.0
        return self._by_priority.get(priority, 0.0) / total


class _Queued(NamedTuple):
    """A request that waits; in order of rank, then of arrival.

    :param work_ms: what it will probably take at the upstream.
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

    :param limit: requests that may run at once.
    """

    def __init__(self, limit: int, now_ms: float) -> None:
        self.limit = limit
        self.is_leaving = False
        self.times = ServiceTimes()
        self._failures = DecayingShare(OUTCOME_WEIGHT, FAILURE_HALF_LIFE_MS)
        self._pressures = RoutePressures()
        self._shares = _TimeShares(now_ms)
        self._queue: list[_Queued] = []
        self._running_by_id: dict[int, _Running] = {}
        self._progress_ms = now_ms

    def __repr__(self) -> str:
        return (
            f"UpstreamQueue(n_running={len(self._running_by_id)}, "
            f"n_queued={len(self._queue)}, limit={self.limit})"
        )

    @property
    def n_running(self) -> int:
        """Requests at the upstream."""
        return len(self._running_by_id)

    @property
    def n_queued(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    def load(self, now_ms: float) -> Load:
        """Return what other nodes should know."""
        closed = self.is_leaving or self.is_stalled(now_ms)
        return Load(
            self.n_running,
            self.n_queued,
            0 if closed else self.limit,
            self.times.overall_ms if self.times.is_known else 0.0,
            self._failures.at(now_ms),
            self._pressures.told(now_ms),
        )

    def is_stalled(self, now_ms: float) -> bool:
        """Return whether requests are running but none has ended for long."""
        if not self._running_by_id:
            return False
        oldest_ms = next(iter(self._running_by_id.values())).started_ms
        stalled_ms = now_ms - max(self._progress_ms, oldest_ms)
        if stalled_ms <= MAX_STALL_MS:
            return False
        slowest_ms = max(
            self.times.expected_ms(running.offer.route)
            for running in self._running_by_id.values()
        )
        return stalled_ms > STALL_SERVICE_TIMES * slowest_ms

    def wait_ms(self, rank: tuple[int, int]) -> float:
        """Return how long a new request of ``rank`` would wait."""
        if self.limit <= 0:
            return float("inf")
        n_ahead = bisect.bisect_right(self._queue, (rank, math.inf))
        return self._wait_behind(
            n_ahead, sum(entry.work_ms for entry in self._queue[:n_ahead])
        )

    def _wait_behind(self, n_ahead: int, work_ms: float) -> float:
        """Return how long the request behind ``n_ahead`` others would wait.

        :param work_ms: what these will take.
        """
        if self.n_running + n_ahead < self.limit:
            return 0.0
        return (self.times.overall_ms + work_ms) / self.limit

    def offer(self, offer: Offer) -> QueueError | None:
        """Queue a request, or return why it is refused."""
        now_ms = offer.arrived_ms
        if self.is_leaving:
            return QueueError.LEAVING
        if self.limit <= 0 or self.is_stalled(now_ms):
            return QueueError.STALLED
        if not self._is_worth_waiting(offer, self.wait_ms(offer.rank)):
            return QueueError.FULL
        work_ms = self.times.expected_ms(offer.route)
        entry = _Queued(offer.rank, offer.arrived_ms, offer.id, offer, work_ms)
        bisect.insort(self._queue, entry)
        return None

    def start_next(self, now_ms: float) -> Offer | None:
        """Return the next request to run, and count it as running."""
        if not self._queue or self.n_running >= self.limit:
            return None
        offer = self._queue.pop(self._next_index()).offer
        if not self._running_by_id:
            self._progress_ms = now_ms
        self._running_by_id[offer.id] = _Running(offer, now_ms)
        return offer

    def finish(self, offer_id: int, now_ms: float, ending: Ending) -> None:
        """Count a request as ended."""
        running = self._running_by_id.pop(offer_id, None)
        if running is None:
            return
        took_ms = now_ms - running.started_ms
        self._shares.add(running.offer.rank[0], took_ms, now_ms)
        if ending is Ending.DROPPED:
            return
        self._progress_ms = now_ms
        self._failures.add(ending is Ending.FAILED, now_ms)
        has_starved = ending is Ending.STARVED
        self._pressures.add(running.offer.route, has_starved, now_ms)
        if ending is Ending.ANSWERED:
            self.times.add(running.offer.route, took_ms)

    def _next_index(self) -> int:
        """Return the place of the request to run next.

        Less urgent ones keep a part of the upstream's time, so that none starves.
        """
        last = self._queue[-1].rank[0]
        if last == self._queue[0].rank[0]:
            return 0
        if self._shares.share(last) >= MIN_TIME_SHARE:
            return 0
        return bisect.bisect_left(self._queue, ((last, -math.inf),))

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
        """Remove requests whose wait has become useless, and return them."""
        removed: list[tuple[Offer, QueueError]] = []
        kept: list[_Queued] = []
        ahead_ms = 0.0
        is_stalled = self.is_stalled(now_ms)
        for entry in self._queue:
            wait_ms = self._wait_behind(len(kept), ahead_ms)
            error = self._fate(entry.offer, wait_ms, is_stalled, now_ms)
            if error is None:
                kept.append(entry)
                ahead_ms += entry.work_ms
            else:
                removed.append((entry.offer, error))
        self._queue = kept
        return removed

    def _fate(
        self, offer: Offer, wait_ms: float, is_stalled: bool, now_ms: float
    ) -> QueueError | None:
        """Return why a request is removed, or None.

        :param wait_ms: that it has still before it.
        """
        if self.is_leaving:
            return QueueError.LEAVING
        if now_ms >= offer.expires_ms:
            return QueueError.EXPIRED
        if is_stalled:
            return QueueError.STALLED
        early_ms = offer.arrived_ms + EARLY_SHARE * offer.patience_ms
        if now_ms <= early_ms:
            waited_ms = now_ms - offer.arrived_ms
            if not self._is_worth_waiting(offer, wait_ms + waited_ms):
                return QueueError.PREEMPTED
        return None

    def _is_worth_waiting(self, offer: Offer, wait_ms: float) -> bool:
        if wait_ms <= 0.0:
            return True
        ready_ms = offer.arrived_ms + wait_ms + self.times.expected_ms(offer.route)
        bound_ms = max(EARLY_SHARE, WAIT_SHARE) * offer.patience_ms
        return wait_ms <= bound_ms and ready_ms <= offer.expires_ms
