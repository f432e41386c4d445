"""Shed level: the share of the offered load that callers should refuse.

The level is one number. Attempts whose importance is below its integer part are all
shed. Of the attempts of that importance, its fractional part is the share to shed.
"""

import math

from .catalogue import Importance

MAX_SHED = float(len(Importance))
MIN_ADMITTED_SHARE = 0.05
DEMAND_TIME_CONSTANT_MS = 400.0
ONSET_TIME_CONSTANT_MS = 60.0  # while the queue is full at the start of shedding
ONSET_MIN_ATTEMPTS = 3.0  # executed within the time constant, at the onset
STEADY_MIN_ATTEMPTS = 12.0  # and otherwise
ONSET_DURATION_MS = 300.0
SHED_CLASS_TIME_CONSTANT_MS = 3_000.0  # while an importance is shed completely
EXCESS_DRAIN_MS = 400.0  # over which the level removes excess queueing delay
MIN_CORRECTION = 0.6
MAX_CORRECTION = 1.2
STOP_SHEDDING_SHARE = 0.9  # of the capacity; demand below it ends shedding
RETRY_AFTER_BASE_MS = 100
RETRY_AFTER_SHED_MS = 900


class ShedLevel:
    """Set the level at which the demand that remains fits the capacity.

    Demand includes what callers shed: an attempt admitted under a level that admits a
    tenth of its importance counts as ten. The level can therefore be computed from the
    arrivals of one window, regardless of when callers receive it.
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
        """The level: importance plus share."""
        return self._level

    @property
    def retry_after_ms(self) -> int:
        """Delay after which a refused attempt may succeed."""
        return RETRY_AFTER_BASE_MS + int(RETRY_AFTER_SHED_MS * self._level / MAX_SHED)

    def offered(self, importance: Importance, admitted_level: float) -> None:
        """Count an attempt that reached the controller.

        :param admitted_level: the highest shed level under which callers admitted it.
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
        """Adapt the level to the arrivals since the last call.

        :param capacity_per_ms: attempts that can be executed per millisecond.
        :param delay_ms: time that the queue takes to drain.
        :param target_ms: the queueing delay to aim for while shedding.
        :param elapsed_ms: time since the last call.
        :param is_queue_full: whether the queue is nearly full.
        """
        self._shedding_ms = self._shedding_ms + elapsed_ms if self._level else 0.0
        is_onset = self._shedding_ms < ONSET_DURATION_MS and is_queue_full
        n_min_attempts = ONSET_MIN_ATTEMPTS if is_onset else STEADY_MIN_ATTEMPTS
        min_time_constant_ms = (
            ONSET_TIME_CONSTANT_MS if is_onset else DEMAND_TIME_CONSTANT_MS
        )
        time_constant_ms = max(min_time_constant_ms, n_min_attempts / capacity_per_ms)
        self._update_demand(elapsed_ms, time_constant_ms)
        correction = 1.0 - (delay_ms - target_ms) / EXCESS_DRAIN_MS
        correction = min(MAX_CORRECTION, max(MIN_CORRECTION, correction))
        demand = sum(self._demand_by_class.values())
        if demand < STOP_SHEDDING_SHARE * capacity_per_ms:
            self._is_shedding = False
        elif demand > capacity_per_ms and delay_ms > target_ms:
            self._is_shedding = True
        self._level = self._level_that_fits(capacity_per_ms * correction)

    def _level_that_fits(self, remaining: float) -> float:
        if not self._is_shedding:
            return 0.0
        for importance in sorted(Importance, reverse=True):
            demand = self._demand_by_class[importance]
            if demand > remaining:
                admitted = max(MIN_ADMITTED_SHARE, remaining / demand)
                return importance + 1.0 - admitted
            remaining -= demand
        return 0.0

    def _update_demand(self, elapsed_ms: float, time_constant_ms: float) -> None:
        """Update the demand of each class; it decays slower if the class is shed."""
        for importance, arrived in self._arrived_by_class.items():
            demand = self._demand_by_class[importance]
            is_shed = not arrived and self._level >= importance + 1
            constant_ms = SHED_CLASS_TIME_CONSTANT_MS if is_shed else time_constant_ms
            gain = 1.0 - math.exp(-elapsed_ms / constant_ms)
            demand += gain * (arrived / elapsed_ms - demand)
            self._demand_by_class[importance] = demand
            self._arrived_by_class[importance] = 0.0
