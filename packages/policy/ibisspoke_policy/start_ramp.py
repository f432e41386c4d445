"""Concurrency limit of an upstream that starts or recovers, found from its answers.

Load: full traffic that meets an upstream that has just started, or returns from an
absence, a stall or a run of failures. All at once would overload it again; a fixed slow
start would leave it idle while others are overloaded.
"""

import math
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from .service_times import ServiceTimes

START_SHARE = 1 / 8  # of the slots; three doublings take it to all of them
MIN_START = 2  # one request at a time would not show what concurrency does
GROWTH_FACTOR = 2  # an upstream that answered n at once is tried with 2n
# Near a limit at which answers were bad, doubling would alternate between too little
# and too much.
CAREFUL_GROWTH_DIVISOR = 4
# Three rounds take about 1 s. Shorter ones would only see requests of the first moment,
# before caches and queues of the upstream show their effect.
MIN_ROUND_MS = 350.0
SHRINK_DIVISOR = 2
MIN_LIMIT = 1  # requests are the only probes of an upstream that does not recover
# Above it an answer is slow. About 1 answer in 20 takes longer while all is well, as
# service times are spread widely.
SLOW_FACTOR = 2.5
SLOW_MARGIN_MS = 20.0  # delays of scheduling, which short requests also have
MAX_BAD_SHARE_TO_GROW = 0.15  # lost and slow answers of an ordinary moment stay below
MIN_BAD_SHARE_TO_SHRINK = 0.35  # far above what an ordinary moment has
MIN_BAD_TO_SHRINK = 2  # one failure may be the request's own
# Without a good answer between them; 1 in 20 answers that is lost makes no such run.
FAILURE_RUN = 8
FAILED_WEIGHT = 0.02  # of one answer in the usual share of failures; about the last 50
# A route that always fails must not take the service of the others down to one request
# at a time. An upstream that fails more than this has to recover first.
MAX_USUAL_FAILED_SHARE = 0.5


class RampReason(StrEnum):
    """Why the limit changed."""

    STARTED = "started"
    RETURNED = "returned"
    STALLED = "stalled"
    FAILED = "failed"
    GOOD = "good answers"
    BAD = "bad answers"


class Running(NamedTuple):
    """A request that is running at the upstream."""

    route: str
    started_ms: float


class StartRamp:
    """Limit the requests that run at an upstream until it has shown that it copes.

    The limit starts at a share of the slots, and doubles after each round of answers
    that arrive in about the usual time of their route. A round has as many answers as
    the limit. Failed, rejected and slow answers halve it, and it then returns in small
    steps to where they began. Without answers it does not change. It ends when it
    reaches the slots.

    The usual times are those of the time before, also of earlier processes of the
    upstream. At the limit of the start or below, an answer is not slow because of its
    concurrency, so that the usual times follow the answers there. An upstream that is
    slower than it was before therefore does not stay at a small limit. The usual share
    of failures follows in the same way, up to a bound.

    :ivar n_changes: how often the limit has changed, for the log.
    :ivar reason: why it last changed.
    """

    def __init__(self) -> None:
        self.n_changes = 0
        self.reason = RampReason.GOOD
        self._usual = ServiceTimes()
        self._is_in_force = False
        self._limit: int | None = None  # None for that of the start
        self._bad_limit: int | None = (
            None  # at which answers were bad, if not yet passed
        )
        self._round_ms = 0.0
        self._n_good = 0
        self._n_bad = 0
        self._counted_from_ms = 0.0
        self._n_failed_in_a_row = 0
        self._failed_share = 0.0

    def __repr__(self) -> str:
        return f"StartRamp(in_force={self._is_in_force}, limit={self._limit})"

    def is_in_force(self, n_slots: int) -> bool:
        """Return whether the limit is below the slots."""
        return self.limit(n_slots) < n_slots

    def limit(self, n_slots: int) -> int:
        """Return how many requests may run at once."""
        if not self._is_in_force:
            return n_slots
        limit = self._start_limit(n_slots) if self._limit is None else self._limit
        return min(n_slots, limit)

    def restart(self, reason: RampReason, now_ms: float) -> None:
        """Begin with the limit of the start."""
        self._is_in_force = True
        self._limit = self._bad_limit = None
        self._counted_from_ms = now_ms
        self._begin_round(reason, now_ms)

    def add(
        self, request: Running, is_failed: bool, n_slots: int, now_ms: float
    ) -> None:
        """Record a request that the upstream has answered, failed or rejected."""
        self._n_failed_in_a_row = self._n_failed_in_a_row + 1 if is_failed else 0
        took_ms = now_ms - request.started_ms
        if not self._is_in_force:
            self._learn(request.route, is_failed, took_ms)
            if self._n_failed_in_a_row >= FAILURE_RUN / (1.0 - self._usual_failed):
                self._n_failed_in_a_row = 0
                self.restart(RampReason.FAILED, now_ms)
            return
        if request.started_ms < self._counted_from_ms:
            return  # it ran beside more requests than the limit allows now
        is_bad = is_failed or self._is_slow(request, now_ms)
        self._n_bad += is_bad
        self._n_good += not is_bad
        limit = self.limit(n_slots)
        is_small = limit <= self._start_limit(n_slots)
        if is_small or not self._usual.is_known(request.route):
            self._learn(request.route, is_failed, took_ms)
        n_ended = max(limit, self._n_good + self._n_bad)
        bad_share = self._usual_failed + MIN_BAD_SHARE_TO_SHRINK
        if self._n_bad >= max(MIN_BAD_TO_SHRINK, bad_share * n_ended):
            self._limit = max(MIN_LIMIT, limit // SHRINK_DIVISOR)
            self._bad_limit = limit
            self._counted_from_ms = now_ms
            self._begin_round(RampReason.BAD, now_ms)

    def tick(self, running: Iterable[Running], n_slots: int, now_ms: float) -> None:
        """Let the limit grow if a round of answers was good.

        Requests that have run for longer than usual count as slow answers.
        """
        if not self._is_in_force or now_ms - self._round_ms < MIN_ROUND_MS:
            return
        limit = self.limit(n_slots)
        if self._n_good + self._n_bad < limit:
            return
        n_bad = self._n_bad + sum(self._is_slow(request, now_ms) for request in running)
        bad_share = self._usual_failed + MAX_BAD_SHARE_TO_GROW
        if n_bad > bad_share * (self._n_good + n_bad):
            self._n_good = self._n_bad = 0
            self._round_ms = now_ms
            return
        if self._bad_limit is not None and limit >= self._bad_limit:
            self._bad_limit = None
        self._limit = GROWTH_FACTOR * limit
        if self._bad_limit is not None and self._limit >= self._bad_limit:
            self._limit = limit + max(1, limit // CAREFUL_GROWTH_DIVISOR)
        self._is_in_force = self._limit < n_slots
        self._begin_round(RampReason.GOOD, now_ms)

    @property
    def _usual_failed(self) -> float:
        return min(MAX_USUAL_FAILED_SHARE, self._failed_share)

    def _learn(self, route: str, is_failed: bool, took_ms: float) -> None:
        """Record an end that the concurrency of the upstream did not cause."""
        self._failed_share += FAILED_WEIGHT * (is_failed - self._failed_share)
        if not is_failed:
            self._usual.add(route, took_ms)

    def _begin_round(self, reason: RampReason, now_ms: float) -> None:
        self.n_changes += 1
        self.reason = reason
        self._round_ms = now_ms
        self._n_good = self._n_bad = 0

    def _start_limit(self, n_slots: int) -> int:
        return max(MIN_START, math.ceil(START_SHARE * n_slots))

    def _is_slow(self, request: Running, now_ms: float) -> bool:
        if not self._usual.is_known(request.route):
            return False
        usual_ms = self._usual.expected_ms(request.route)
        took_ms = now_ms - request.started_ms
        return took_ms > SLOW_FACTOR * usual_ms + SLOW_MARGIN_MS
