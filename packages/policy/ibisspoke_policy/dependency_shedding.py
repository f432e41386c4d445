"""Early refusal of requests whose service depends on an overloaded one.

A request that fails at an overloaded dependency has already cost work at every hop.
Refusing it at its entry saves that work, so that the other requests can succeed.
"""

import random

STEP_MS = 200.0  # between two increases; load reports arrive more often
FEEDBACK_MS = 1_000.0  # until a change of the share shows in load reports
MAX_DECREASE = 0.7  # of the admitted share, at once
MIN_ADMITTED_SHARE = 0.1  # enough to detect the end of the overload
# A share that shed too much is followed by one halfway back to the share before.
TARGET_POSITION = 0.5
APPROACH_SHARE = 0.2  # of the distance to the target, per step
TARGET_REACHED_SHARE = 0.98
INITIAL_PROBE = 0.02  # of all requests, in the first step beyond the target
PROBE_GROWTH_FACTOR = 1.6  # of the increase, per further step
CALM_PRESSURE_SHARE = 0.5  # of the tolerance; below it the overload counts as over
CALM_GROWTH_FACTOR = 1.25  # of the admitted share, per step; from a tenth in 2 s
PRESSURE_TOLERANCE_BY_PRIORITY = (0.35, 0.2)  # for the most urgent requests
DEFAULT_PRESSURE_TOLERANCE = 0.08  # for less urgent ones, refused first


class DependencyShedder:
    """Admit a share of the requests of each route and priority.

    The share shrinks while upstreams report that requests of the route fail because a
    service further down the call chain is overloaded. It grows otherwise.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._share_by_class: dict[tuple[str, int], _AdmittedShare] = {}

    def __repr__(self) -> str:
        return f"DependencyShedder({self._share_by_class})"

    def admits(self, route: str, priority: int, pressure: float, now_ms: float) -> bool:
        """Return whether to admit a request.

        :param pressure: share of the route's requests that fail because a service
            further down the call chain is overloaded.
        """
        key = (route, priority)
        tolerance = _tolerance(priority)
        share = self._share_by_class.get(key)
        if share is None:
            if pressure <= tolerance:
                return True
            share = self._share_by_class[key] = _AdmittedShare(now_ms)
        share.adjust(pressure, tolerance, now_ms)
        if share.value >= 1.0:
            del self._share_by_class[key]
            return True
        return self._rng.random() < share.value


class _AdmittedShare:
    """Search for the largest share of requests that an overloaded service can serve.

    The effect of a decrease shows only after the requests admitted before have ended.
    So the next decrease waits for it, and the share then returns slowly to a target
    between both shares and probes larger ones in growing steps.
    """

    __slots__ = ("_decreased_ms", "_increase", "_stepped_ms", "_target", "value")

    def __init__(self, now_ms: float) -> None:
        self.value = 1.0
        self._target = 1.0
        self._increase = INITIAL_PROBE
        self._decreased_ms = float("-inf")
        self._stepped_ms = now_ms

    def __repr__(self) -> str:
        return f"{self.value:.2f}"

    def adjust(self, pressure: float, tolerance: float, now_ms: float) -> None:
        """Adjust the share to the pressure since the last call.

        A decrease is applied once, as the overload may have ended since: a route may
        have few requests.
        """
        n_steps = int((now_ms - self._stepped_ms) / STEP_MS)
        if n_steps:
            self._stepped_ms = now_ms
        if pressure > tolerance:
            self._increase = INITIAL_PROBE
            if now_ms - self._decreased_ms >= FEEDBACK_MS:
                self._decrease(pressure - tolerance, now_ms)
            return
        is_calm = pressure < CALM_PRESSURE_SHARE * tolerance
        for _ in range(n_steps):
            if self.value >= 1.0:
                return
            self._grow(is_calm)

    def _decrease(self, excess: float, now_ms: float) -> None:
        before = self.value
        self.value = max(MIN_ADMITTED_SHARE, before * (1.0 - min(MAX_DECREASE, excess)))
        self._target = self.value + TARGET_POSITION * (before - self.value)
        self._decreased_ms = now_ms

    def _grow(self, is_calm: bool) -> None:
        if is_calm:
            self.value = self.value * CALM_GROWTH_FACTOR + INITIAL_PROBE
        elif self.value < TARGET_REACHED_SHARE * self._target:
            self.value += APPROACH_SHARE * (self._target - self.value)
        else:
            self.value += self._increase
            self._increase *= PROBE_GROWTH_FACTOR


def _tolerance(priority: int) -> float:
    if 0 <= priority < len(PRESSURE_TOLERANCE_BY_PRIORITY):
        return PRESSURE_TOLERANCE_BY_PRIORITY[priority]
    return DEFAULT_PRESSURE_TOLERANCE
