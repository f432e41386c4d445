"""Slowdown of a VM by other programs, from reports that age within half a second.

Addresses load in which other programs slow some VMs by a factor of up to 2.5 for about
half a second at a time, so that a report says less the older it is.
"""

import math

from .upstream_report import MAX_PACE

VALIDITY_MS = 500.0  # after that, the slowdown has mostly ended
# Mean time that a slowdown of 500 ms still lasts when it is reported.
MEAN_LEFT_MS = 250.0
# Below it, a report tells nothing. One of 2.5 falls below it within 500 ms, also where
# it ages at several nodes one after the other, each for less than that.
MIN_SLOWDOWN = 1.21
MAX_BELIEVED_PACE = 4.0  # a higher one than users state must not exclude an upstream


def aged_pace(pace: float, age_ms: float) -> float:
    """Return the expected pace after a time, or 0.0 if the report is too old.

    The excess over the usual pace decays exponentially, so that ageing by two times one
    after the other is the same as by their sum.
    """
    if pace <= 0.0 or age_ms >= VALIDITY_MS:
        return 0.0
    return 1.0 + (pace - 1.0) * math.exp(-max(0.0, age_ms) / MEAN_LEFT_MS)


def slowdown(pace: float) -> float:
    """Return the factor by which a reported pace is taken to slow requests.

    A pace below the usual counts as usual: a false one would otherwise make all nodes
    choose the same upstream.
    """
    return min(MAX_BELIEVED_PACE, pace) if pace >= MIN_SLOWDOWN else 1.0


class VmPace:
    """The latest reported pace of one VM."""

    __slots__ = ("_at_ms", "_pace")

    def __init__(self) -> None:
        self._pace = 0.0
        self._at_ms = float("-inf")

    def __repr__(self) -> str:
        return f"VmPace({self._pace:.2f} at {self._at_ms:.0f} ms)"

    def report(self, pace: float, at_ms: float) -> None:
        """Store a reported pace, unless a later one is known.

        One out of range counts as unknown, since it would be passed on to other nodes.
        """
        if at_ms >= self._at_ms:
            self._pace = pace if 0.0 <= pace <= MAX_PACE else 0.0
            self._at_ms = at_ms

    def at(self, now_ms: float) -> float:
        """Return the expected pace at a time, or 0.0 if none is known."""
        return aged_pace(self._pace, now_ms - self._at_ms)
