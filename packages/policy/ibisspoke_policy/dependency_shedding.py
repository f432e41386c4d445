"""Early refusal of requests whose service waits for an overloaded one.

A request that needs a service deeper down costs work at each hop before it fails there.
Refusing it at its entry costs nothing, and the requests that remain can succeed.
"""

import random

STEP_MS = 200.0  # between two adjustments; some round trips of load reports
DECREASE = 0.3  # of the admitted share, at full excess
GROWTH = 1.12  # of the admitted share, a step
INCREASE = 0.02  # of all requests, a step; recovery takes about three seconds
FLOOR = 0.1  # admitted at least, so that the end of the overload is seen
TOLERANCE_BY_PRIORITY = (0.35, 0.2)  # pressure that the most urgent requests bear
TOLERANCE = 0.08  # of all less urgent ones, which are refused first
FULL_EXCESS = 0.4  # of pressure above the tolerance


class DependencyShedder:
    """Admit a share of the requests of each route and priority.

    The share shrinks while upstreams report that the route's requests fail for want of
    room deeper down, and grows slowly otherwise.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._share_by_class: dict[tuple[str, int], float] = {}
        self._stepped_ms_by_class: dict[tuple[str, int], float] = {}

    def __repr__(self) -> str:
        return f"DependencyShedder({self._share_by_class})"

    def admits(self, route: str, priority: int, pressure: float, now_ms: float) -> bool:
        """Return whether to go on with a request.

        :param pressure: share of the route's requests that fail for want of room.
        """
        key = (route, priority)
        share = self._share_by_class.get(key)
        if share is None:
            if pressure <= _tolerance(priority):
                return True
            share = 1.0
            self._stepped_ms_by_class[key] = now_ms - STEP_MS
        n_steps = int((now_ms - self._stepped_ms_by_class[key]) / STEP_MS)
        if n_steps:
            self._stepped_ms_by_class[key] = now_ms
            share = _stepped(share, pressure - _tolerance(priority), n_steps)
            self._share_by_class[key] = share
            if share >= 1.0:
                del self._share_by_class[key]
        return self._rng.random() < share


def _stepped(share: float, excess: float, n_steps: int) -> float:
    """Return the share after some steps; it shrinks by one of them only.

    Where requests are rare, a step may have passed long ago, and the overload, too.
    """
    if excess > 0.0:
        return max(FLOOR, share * (1.0 - DECREASE * min(1.0, excess / FULL_EXCESS)))
    for _ in range(n_steps):
        share = share * GROWTH + INCREASE
        if share >= 1.0:
            return 1.0
    return share


def _tolerance(priority: int) -> float:
    if 0 <= priority < len(TOLERANCE_BY_PRIORITY):
        return TOLERANCE_BY_PRIORITY[priority]
    return TOLERANCE
