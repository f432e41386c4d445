"""Limits on the attempts that an upstream holds at once."""

import math
from typing import NamedTuple, Protocol

from .admission import Ending

MIN_LIMIT = 1
RAMP_SHARE = 1 / 16
RAMP_FACTOR_MAX = 2.0
WINDOW_MIN_SAMPLES = 4
SHED_BACKOFF = 0.8
FAILED_SHARE_MAX = 0.5
LATENCY_TOLERANCE = 1.6
GRADIENT_MIN = 0.7
BASE_DRIFT = 1.01
CONTROL_CUT = 0.7
CONTROL_GAIN = 0.85
USED_SHARE_TO_GROW = 0.7


class Sample(NamedTuple):
    """One ended attempt.

    :param own_ms: time in the upstream without its nested calls.
    :param n_in_flight: attempts that the upstream held when it ended.
    """

    own_ms: float
    n_in_flight: int
    ending: Ending


class ConcurrencyLimit(Protocol):
    """Bound the attempts that an upstream holds at once."""

    @property
    def value(self) -> int:
        """The present bound."""

    def set_ceiling(self, ceiling: int) -> None:
        """Never exceed ``ceiling``."""

    def restart(self) -> None:
        """Ramp up from few attempts, as after a cold start."""

    def record(self, sample: Sample) -> None:
        """Take in one ended attempt."""

    def adapt(self) -> None:
        """Adapt to the samples since the last call."""


class FixedLimit:
    """Keep to the ceiling, whatever happens."""

    def __init__(self) -> None:
        self._ceiling = 0

    def __repr__(self) -> str:
        return f"FixedLimit({self._ceiling})"

    @property
    def value(self) -> int:
        """The ceiling."""
        return self._ceiling

    def set_ceiling(self, ceiling: int) -> None:
        """Use ``ceiling`` as the bound."""
        self._ceiling = ceiling

    def restart(self) -> None:
        """Do nothing."""

    def record(self, sample: Sample) -> None:
        """Do nothing."""

    def adapt(self) -> None:
        """Do nothing."""


class _Window:
    """Sum the samples of one adaptation interval."""

    def __init__(self) -> None:
        self.n_ended = 0
        self.n_succeeded = 0
        self.n_pushed_back = 0
        self.own_ms = 0.0
        self.n_in_flight_max = 0

    def record(self, sample: Sample) -> None:
        if sample.ending.blameless:
            return
        self.n_ended += 1
        self.n_in_flight_max = max(self.n_in_flight_max, sample.n_in_flight)
        if sample.ending.succeeded:
            self.n_succeeded += 1
            self.own_ms += sample.own_ms
        elif sample.ending.shed or sample.ending.timed_out:
            self.n_pushed_back += 1

    @property
    def mean_ms(self) -> float:
        return self.own_ms / self.n_succeeded if self.n_succeeded else 0.0

    @property
    def fails(self) -> bool:
        """Whether the upstream pushes back or mostly fails."""
        n_failed = self.n_ended - self.n_succeeded
        return self.n_pushed_back > 0 or n_failed > FAILED_SHARE_MAX * self.n_ended


class AimdLimit:
    """Grow by one an interval, shrink by a factor when the upstream pushes back.

    After a restart it doubles with each full round of successes until the first
    sign of trouble.
    """

    def __init__(self) -> None:
        self._ceiling = 0
        self._limit = 0.0
        self._ramping = True
        self._window = _Window()
        self._n_stale = 0

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.value} of {self._ceiling})"

    @property
    def value(self) -> int:
        """The present bound; 0 only when the ceiling is 0."""
        if self._ceiling <= 0:
            return 0
        return max(MIN_LIMIT, min(self._ceiling, int(self._limit)))

    @property
    def is_ramping(self) -> bool:
        """Whether the bound still doubles."""
        return self._ramping

    def set_ceiling(self, ceiling: int) -> None:
        """Never exceed ``ceiling``; a first ceiling is taken as the bound."""
        if self._ceiling == 0:
            self._limit = float(ceiling)
            self._ramping = False
        self._ceiling = ceiling
        self._limit = min(self._limit, float(ceiling))

    def restart(self) -> None:
        """Ramp up from a sixteenth of the ceiling."""
        self._limit = max(float(MIN_LIMIT), self._ceiling * RAMP_SHARE)
        self._ramping = True
        self._window = _Window()

    def record(self, sample: Sample) -> None:
        """Take in one ended attempt.

        Attempts that started before the last change tell nothing of it.
        """
        if self._n_stale > 0 and sample.ending.succeeded:
            self._n_stale -= 1
        else:
            self._window.record(sample)
        if self._ramping and sample.ending.succeeded:
            self._limit = min(float(self._ceiling), self._limit + 1.0)
            self._ramping = self._limit < self._ceiling

    def adapt(self) -> None:
        """Adapt to the samples since the last call."""
        window = self._window
        if window.n_ended < WINDOW_MIN_SAMPLES and not window.n_pushed_back:
            return
        self._window = _Window()
        if window.fails:
            self._shrink(SHED_BACKOFF, window)
            return
        self._adapt_to_latency(window)

    def _adapt_to_latency(self, window: _Window) -> None:
        self._grow(window)

    def _grow(self, window: _Window) -> None:
        if window.n_in_flight_max >= USED_SHARE_TO_GROW * self.value:
            self._set(self._limit + max(1.0, math.sqrt(self._limit)))

    def _shrink(self, factor: float, window: _Window) -> None:
        self._ramping = False
        self._n_stale = window.n_in_flight_max
        self._set(self._limit * factor)

    def _set(self, limit: float) -> None:
        self._limit = max(float(MIN_LIMIT), min(float(self._ceiling), limit))


class _Control(NamedTuple):
    """The worst latency seen and its limit, to check whether a reduction helps."""

    limit: float
    own_ms: float


class GradientLimit(AimdLimit):
    """Also shrink while the upstream's own latency grows with its load.

    A reduction that does not bring latency down is taken back: the upstream is
    slow for another reason, and fewer attempts at once would only cost goodput.
    """

    def __init__(self) -> None:
        super().__init__()
        self._base_ms = 0.0
        self._control: _Control | None = None

    def restart(self) -> None:
        """Ramp up, and learn the latency anew."""
        super().restart()
        self._control = None

    def _adapt_to_latency(self, window: _Window) -> None:
        mean_ms = window.mean_ms
        if self._base_ms == 0.0 or mean_ms < self._base_ms:
            self._base_ms = mean_ms
        if self._control is not None and self._reduction_is_vain(mean_ms):
            self._base_ms = mean_ms
            self._limit = self._control.limit
            self._control = None
            return
        gradient = self._base_ms * LATENCY_TOLERANCE / max(mean_ms, 1e-3)
        if gradient >= 1.0:
            self._base_ms *= BASE_DRIFT
            self._control = None
            self._grow(window)
            return
        if self._control is None or mean_ms > self._control.own_ms:
            self._control = _Control(self._limit, mean_ms)
            self._shrink(1.0, window)
            return
        self._shrink(max(GRADIENT_MIN, gradient), window)

    def _reduction_is_vain(self, mean_ms: float) -> bool:
        assert self._control is not None
        if self._limit > CONTROL_CUT * self._control.limit:
            return False
        return mean_ms > CONTROL_GAIN * self._control.own_ms
