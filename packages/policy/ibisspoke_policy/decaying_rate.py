"""Request rates as decaying averages."""

import math

DEMAND_HALF_LIFE_MS = 600.0
# Requests count as spread over at least this time.
MIN_SPREAD_MS = 50.0


class DecayingRate:
    """Request rate as an exponentially decaying average.

    Counting is cheap, since many more requests are counted than rates are read. Those
    between two readings count as spread evenly from the first of them on.
    """

    __slots__ = ("_at_ms", "_counted_since_ms", "_n_counted", "_per_s")

    def __init__(self, now_ms: float) -> None:
        self._per_s = 0.0
        self._at_ms = now_ms
        self._n_counted = 0
        self._counted_since_ms = now_ms

    def add(self, n: int, now_ms: float) -> None:
        """Count ``n`` requests."""
        if not self._n_counted:
            self._counted_since_ms = now_ms
        self._n_counted += n

    def rate_at(self, now_ms: float) -> float:
        """Return the requests per second at ``now_ms``."""
        elapsed_ms = max(0.0, now_ms - self._at_ms)
        per_s = self._per_s * _kept(elapsed_ms)
        if not self._n_counted:
            return per_s
        spread_ms = max(MIN_SPREAD_MS, now_ms - self._counted_since_ms)
        per_s += (1.0 - _kept(spread_ms)) * self._n_counted * 1000.0 / spread_ms
        if elapsed_ms >= MIN_SPREAD_MS:
            self._per_s, self._at_ms, self._n_counted = per_s, now_ms, 0
        return per_s


def _kept(elapsed_ms: float) -> float:
    """Return the fraction of a rate that is left after a time."""
    return math.exp2(-elapsed_ms / DEMAND_HALF_LIFE_MS)
