"""How much of the offered work callers should refuse before sending it.

The level is one number: every attempt of an importance below its integer part is
shed, and the fractional share of the attempts of that importance.
"""

import math

from .catalogue import Importance

MAX_SHED = float(len(Importance))
MIN_ADMITTED_SHARE = 0.05
TIME_CONSTANT_MS = 400.0
RISE_MS = 60.0
N_RISE = 3.0
N_STEADY = 12.0
ONSET_MS = 300.0
FORGET_MS = 3_000.0
DRAIN_MS = 400.0
CORRECTION_MIN = 0.6
CORRECTION_MAX = 1.2
BUSY_SHARE = 0.9
RETRY_BASE_MS = 100
RETRY_SHED_MS = 900


class ShedLevel:
    """Set the level at which the demand that remains fits the capacity.

    Demand includes what callers shed: an attempt that passed a level which admits a
    tenth of its importance stands for ten. So the level follows from a window's
    arrivals at once, and does not depend on when callers learn of it.
    """

    def __init__(self) -> None:
        self._level = 0.0
        self._is_shedding = False
        self._shedding_ms = 0.0
        self._arrived_by_class = dict.fromkeys(Importance, 0.0)
        self._demand_by_class = dict.fromkeys(Importance, 0.0)

    def __repr__(self) -> str:
        return f"ShedLevel({self._level:.2f})"

    @property
    def value(self) -> float:
        """Importance plus share."""
        return self._level

    @property
    def retry_after_ms(self) -> int:
        """When a refused attempt may succeed."""
        return RETRY_BASE_MS + int(RETRY_SHED_MS * self._level / MAX_SHED)

    def offered(self, importance: Importance, admitted_level: float) -> None:
        """Count an attempt that reached the controller.

        :param admitted_level: the highest shed level that it passed on its way.
        """
        share = 1.0 - (admitted_level - importance)
        if share <= 0.0:
            return
        weight = 1.0 / min(1.0, max(MIN_ADMITTED_SHARE, share))
        self._arrived_by_class[importance] += weight

    def adapt(
        self,
        capacity_per_ms: float,
        delay_ms: float,
        target_ms: float,
        elapsed_ms: float,
        is_queue_full: bool,
    ) -> None:
        """Adapt to the arrivals since the last call.

        :param capacity_per_ms: attempts that can be executed.
        :param delay_ms: time that the queue takes to drain.
        :param target_ms: the delay to keep while shedding.
        :param is_queue_full: whether hardly another attempt can wait.
        """
        self._shedding_ms = self._shedding_ms + elapsed_ms if self._level else 0.0
        is_onset = self._shedding_ms < ONSET_MS and is_queue_full
        n_needed = N_RISE if is_onset else N_STEADY
        shortest_ms = RISE_MS if is_onset else TIME_CONSTANT_MS
        time_constant_ms = max(shortest_ms, n_needed / capacity_per_ms)
        self._estimate(elapsed_ms, time_constant_ms)
        correction = 1.0 - (delay_ms - target_ms) / DRAIN_MS
        correction = min(CORRECTION_MAX, max(CORRECTION_MIN, correction))
        demand = sum(self._demand_by_class.values())
        if demand < BUSY_SHARE * capacity_per_ms:
            self._is_shedding = False
        elif demand > capacity_per_ms and delay_ms > target_ms:
            self._is_shedding = True
        self._level = self._fit(capacity_per_ms * correction)

    def _fit(self, left: float) -> float:
        if not self._is_shedding:
            return 0.0
        for importance in sorted(Importance, reverse=True):
            demand = self._demand_by_class[importance]
            if demand > left:
                admitted = max(MIN_ADMITTED_SHARE, left / demand)
                return importance + 1.0 - admitted
            left -= demand
        return 0.0

    def _estimate(self, elapsed_ms: float, time_constant_ms: float) -> None:
        """Update the demand of each class; one that is shed whole is kept longer."""
        for importance, arrived in self._arrived_by_class.items():
            demand = self._demand_by_class[importance]
            is_shed = not arrived and self._level >= importance + 1
            constant_ms = FORGET_MS if is_shed else time_constant_ms
            gain = 1.0 - math.exp(-elapsed_ms / constant_ms)
            demand += gain * (arrived / elapsed_ms - demand)
            self._demand_by_class[importance] = demand
            self._arrived_by_class[importance] = 0.0
