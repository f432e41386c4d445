"""Admission to one upstream: a limit of concurrency and an ordered, bounded queue."""

import bisect
from enum import StrEnum
from typing import NamedTuple

SERVICE_TIME_WEIGHT = 0.08  # of one answer in the average; about the last dozen
INITIAL_SERVICE_MS = 100.0
FAIR_EVERY = 4  # each fourth start goes to the longest waiting, so that none starves
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
    :param objective_ms: when the answer loses worth, in this process's time.
    :param expires_ms: when nobody waits any more, in this process's time.
    :param patience_ms: the latency objective as a duration, which bounds the wait.
    """

    id: int
    rank: tuple[int, int]
    arrived_ms: float
    objective_ms: float
    expires_ms: float
    patience_ms: float


class Load(NamedTuple):
    """What a node tells others of its upstream.

    :param limit: requests that may run at once; 0 takes none.
    :param service_ms: the average time that one takes.
    :param failure_share: recent share of requests that the upstream failed.
    """

    n_running: int
    n_queued: int
    limit: int
    service_ms: float
    failure_share: float


class UpstreamQueue:
    """Decide which requests run at the upstream of this VM, and when.

    :param limit: requests that may run at once.
    """

    def __init__(self, limit: int, now_ms: float) -> None:
        self.limit = limit
        self.is_leaving = False
        self.service_ms = INITIAL_SERVICE_MS
        self.failure_share = 0.0
        self._queue: list[tuple[tuple[int, int], float, int, Offer]] = []
        self._started_by_id: dict[int, float] = {}
        self._n_started = 0
        self._progress_ms = now_ms

    def __repr__(self) -> str:
        return (
            f"UpstreamQueue(n_running={len(self._started_by_id)}, "
            f"n_queued={len(self._queue)}, limit={self.limit})"
        )

    @property
    def n_running(self) -> int:
        """Requests at the upstream."""
        return len(self._started_by_id)

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
            self.service_ms,
            self.failure_share,
        )

    def is_stalled(self, now_ms: float) -> bool:
        """Return whether requests are running but none has ended for long."""
        if not self._started_by_id:
            return False
        patience = max(MAX_STALL_MS, STALL_SERVICE_TIMES * self.service_ms)
        oldest = next(iter(self._started_by_id.values()))
        return now_ms - max(self._progress_ms, oldest) > patience

    def wait_ms(self, rank: tuple[int, int]) -> float:
        """Return how long a new request of ``rank`` would wait."""
        if self.limit <= 0:
            return float("inf")
        n_ahead = bisect.bisect_right(self._queue, (rank, float("inf")))
        n_excess = n_ahead + self.n_running + 1 - self.limit
        return max(0.0, n_excess * self.service_ms / self.limit)

    def offer(self, offer: Offer) -> QueueError | None:
        """Queue a request, or return why it is refused."""
        now_ms = offer.arrived_ms
        if self.is_leaving:
            return QueueError.LEAVING
        if self.limit <= 0 or self.is_stalled(now_ms):
            return QueueError.STALLED
        if not self._is_worth_waiting(offer, self.wait_ms(offer.rank)):
            return QueueError.FULL
        entry = (offer.rank, offer.arrived_ms, offer.id, offer)
        bisect.insort(self._queue, entry)
        return None

    def start_next(self, now_ms: float) -> Offer | None:
        """Return the next request to run, and count it as running."""
        if not self._queue or self.n_running >= self.limit:
            return None
        self._n_started += 1
        index = 0
        if self._n_started % FAIR_EVERY == 0:
            index = min(
                range(len(self._queue)), key=lambda i: self._queue[i][3].arrived_ms
            )
        offer = self._queue.pop(index)[3]
        if not self._started_by_id:
            self._progress_ms = now_ms
        self._started_by_id[offer.id] = now_ms
        return offer

    def finish(self, offer_id: int, now_ms: float, failed: bool | None) -> None:
        """Count a request as ended.

        :param failed: whether the upstream failed it; None where that is not known.
        """
        started_ms = self._started_by_id.pop(offer_id, None)
        if started_ms is None or failed is None:
            return
        self._progress_ms = now_ms
        self.failure_share += 0.1 * (float(failed) - self.failure_share)
        if not failed:
            took_ms = now_ms - started_ms
            self.service_ms += SERVICE_TIME_WEIGHT * (took_ms - self.service_ms)

    def withdraw(self, offer_id: int) -> bool:
        """Remove a request from the queue.

        :returns: False if it is running or unknown.
        """
        for index, entry in enumerate(self._queue):
            if entry[2] == offer_id:
                del self._queue[index]
                return True
        return False

    def tick(self, now_ms: float) -> list[tuple[Offer, QueueError]]:
        """Remove requests whose wait has become useless, and return them."""
        removed: list[tuple[Offer, QueueError]] = []
        kept = []
        for position, entry in enumerate(self._queue):
            error = self._fate(entry[3], position, now_ms)
            if error is None:
                kept.append(entry)
            else:
                removed.append((entry[3], error))
        self._queue = kept
        return removed

    def _fate(self, offer: Offer, position: int, now_ms: float) -> QueueError | None:
        if self.is_leaving:
            return QueueError.LEAVING
        if now_ms >= offer.expires_ms:
            return QueueError.EXPIRED
        if self.is_stalled(now_ms):
            return QueueError.STALLED
        early_ms = offer.arrived_ms + EARLY_SHARE * offer.patience_ms
        if now_ms <= early_ms:
            wait_ms = (position + 1) * self.service_ms / max(1, self.limit)
            if not self._is_worth_waiting(offer, wait_ms + now_ms - offer.arrived_ms):
                return QueueError.PREEMPTED
        return None

    def _is_worth_waiting(self, offer: Offer, wait_ms: float) -> bool:
        if wait_ms <= 0.0:
            return True
        ready_ms = offer.arrived_ms + wait_ms + self.service_ms
        bound_ms = max(EARLY_SHARE, WAIT_SHARE) * offer.patience_ms
        return wait_ms <= bound_ms and ready_ms <= offer.expires_ms
