"""How much of the offered work callers should refuse before sending it.

The level is one number: every attempt of an importance below its integer part is
shed, and the fractional share of the attempts of that importance.
"""

from .catalogue import Importance

MAX_SHED = float(len(Importance))
LEVEL_MAX = MAX_SHED - 0.05
PROPORTIONAL_GAIN = 0.10
DERIVATIVE_GAIN = 0.30
ERROR_MAX = 4.0
STEP_MAX = 0.30
CLASS_SHARE_MIN = 0.10
RETRY_BASE_MS = 100
RETRY_SHED_MS = 900


class ShedLevel:
    """Steer the delay of the queue to a target by shedding at the callers.

    A proportional-integral controller, as in the PIE queue discipline, whose
    output is a level of importance in place of a drop probability.

    :param target_ms: the queueing delay to keep while shedding.
    """

    def __init__(self, target_ms: float) -> None:
        self._target_ms = target_ms
        self._level = 0.0
        self._last_error = -1.0
        self._n_offered_by_class: dict[Importance, int] = {}

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

    def offered(self, importance: Importance) -> None:
        """Count an attempt that reached the controller."""
        n_offered = self._n_offered_by_class.get(importance, 0)
        self._n_offered_by_class[importance] = n_offered + 1

    def adapt(self, delay_ms: float) -> None:
        """Adapt to the present queueing delay."""
        error = (delay_ms - self._target_ms) / self._target_ms
        error = max(-1.0, min(ERROR_MAX, error))
        change = PROPORTIONAL_GAIN * error
        change += DERIVATIVE_GAIN * (error - self._last_error)
        self._last_error = error
        step = change / self._class_share()
        step = max(-STEP_MAX, min(STEP_MAX, step))
        self._level = max(0.0, min(LEVEL_MAX, self._level + step))
        self._n_offered_by_class.clear()

    def _class_share(self) -> float:
        """Return the share of the offered attempts whose class is shed in part."""
        n_offered = sum(self._n_offered_by_class.values())
        if not n_offered:
            return 1.0
        boundary = Importance(int(self._level))
        n_boundary = self._n_offered_by_class.get(boundary, 0)
        return max(CLASS_SHARE_MIN, n_boundary / n_offered)
