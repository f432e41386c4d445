"""Request rates as decaying averages."""

import math

DEMAND_HALF_LIFE_MS = 600.0
_PER_S_OF_ONE = 1_000.0 * math.log(2.0) / DEMAND_HALF_LIFE_MS


class DecayingRate:
    """Request rate as an exponentially decaying average.

    Reading changes nothing, so that the rate of a source that fell silent can still be
    read as of its last report.
    """

    __slots__ = ("_at_ms", "_per_s")

    def __init__(self, now_ms: float) -> None:
        self._per_s = 0.0
        self._at_ms = now_ms

    def add(self, n: int, now_ms: float) -> None:
        """Count ``n`` requests."""
        if now_ms > self._at_ms:
            self._per_s *= _kept(now_ms - self._at_ms)
            self._at_ms = now_ms
        self._per_s += n * _PER_S_OF_ONE

    def rate_at(self, now_ms: float) -> float:
        """Return the requests per second at ``now_ms``."""
        return self._per_s * _kept(max(0.0, now_ms - self._at_ms))


def _kept(elapsed_ms: float) -> float:
    """Return the fraction of a rate that is left after a time."""
    return math.exp2(-elapsed_ms / DEMAND_HALF_LIFE_MS)
