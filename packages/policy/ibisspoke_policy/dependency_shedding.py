"""Early refusal of requests whose service depends on an overloaded one.

A request that fails at an overloaded dependency has already cost work at every hop.
Refusing it at its entry saves that work, so that the other requests can succeed.
"""

import random

STEP_MS = 200.0  # between two adjustments; several round trips of load reports
MAX_STEP_DECREASE = 0.3  # of the admitted share, at the full excess pressure
STEP_GROWTH_FACTOR = 1.12  # of the admitted share, per step
STEP_INCREASE = 0.02  # of all requests, per step; recovery takes about 3 s
MIN_ADMITTED_SHARE = 0.1  # enough to detect the end of the overload
PRESSURE_TOLERANCE_BY_PRIORITY = (0.35, 0.2)  # for the most urgent requests
DEFAULT_PRESSURE_TOLERANCE = 0.08  # for less urgent ones, refused first
FULL_EXCESS_PRESSURE = 0.4  # above the tolerance


class DependencyShedder:
    """Admit a share of the requests of each route and priority.

    The share shrinks while upstreams report that requests of the route fail because a
    service further down the call chain is overloaded. It grows slowly otherwise.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._share_by_class: dict[tuple[str, int], float] = {}
        self._adjusted_ms_by_class: dict[tuple[str, int], float] = {}

    def __repr__(self) -> str:
        return f"DependencyShedder({self._share_by_class})"

    def admits(self, route: str, priority: int, pressure: float, now_ms: float) -> bool:
        """Return whether to admit a request.

        :param pressure: share of the route's requests that fail because a service
            further down the call chain is overloaded.
        """
        key = (route, priority)
        share = self._share_by_class.get(key)
        if share is None:
            if pressure <= _tolerance(priority):
                return True
            share = 1.0
            self._adjusted_ms_by_class[key] = now_ms - STEP_MS
        n_steps = int((now_ms - self._adjusted_ms_by_class[key]) / STEP_MS)
        if n_steps:
            self._adjusted_ms_by_class[key] = now_ms
            share = _adjusted_share(share, pressure - _tolerance(priority), n_steps)
            self._share_by_class[key] = share
            if share >= 1.0:
                del self._share_by_class[key]
        return self._rng.random() < share


def _adjusted_share(share: float, excess: float, n_steps: int) -> float:
    """Return the share after some steps; a decrease is applied for one step only.

    Where requests are rare, the overload may have ended many steps ago.
    """
    if excess > 0.0:
        return max(
            MIN_ADMITTED_SHARE,
            share * (1.0 - MAX_STEP_DECREASE * min(1.0, excess / FULL_EXCESS_PRESSURE)),
        )
    for _ in range(n_steps):
        share = share * STEP_GROWTH_FACTOR + STEP_INCREASE
        if share >= 1.0:
            return 1.0
    return share


def _tolerance(priority: int) -> float:
    if 0 <= priority < len(PRESSURE_TOLERANCE_BY_PRIORITY):
        return PRESSURE_TOLERANCE_BY_PRIORITY[priority]
    return DEFAULT_PRESSURE_TOLERANCE
