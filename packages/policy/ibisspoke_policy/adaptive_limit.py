"""Concurrency limits for the attempts in flight at an upstream."""

import math
from typing import NamedTuple, Protocol

from .admission import Ending

MIN_LIMIT = 1
RAMP_START_SHARE = 1 / 16  # of the ceiling
RAMP_FACTOR_MAX = 2.0
MIN_WINDOW_SAMPLES = 4
FAILURE_DECREASE_FACTOR = 0.8
MAX_FAILED_SHARE = 0.5
LATENCY_TOLERANCE_FACTOR = 1.6  # of the base latency, before the limit shrinks
MIN_GRADIENT = 0.7  # the smallest factor of one latency decrease
BASE_LATENCY_GROWTH = 1.01  # an interval of normal latency, to follow changes
REDUCTION_CHECK_SHARE = 0.7  # of the limit at the latency peak
INEFFECTIVE_LATENCY_SHARE = 0.85  # of the peak latency
MIN_USED_SHARE_TO_GROW = 0.7  # of the limit


class Sample(NamedTuple):
    """One ended attempt.

    :param own_ms: time at the upstream without its nested calls.
    :param n_in_flight: attempts in flight at the upstream when it ended.
    """

    own_ms: float
    n_in_flight: int
    ending: Ending


class ConcurrencyLimit(Protocol):
    """Limit the attempts in flight at an upstream."""

    @property
    def value(self) -> int:
        """The current limit."""

    def set_ceiling(self, ceiling: int) -> None:
        """Set the upper bound of the limit."""

    def restart(self) -> None:
        """Ramp up from a low limit, as after a cold start."""

    def record(self, sample: Sample) -> None:
        """Record an ended attempt."""

    def adapt(self) -> None:
        """Adapt the limit to the samples since the last call."""


class FixedLimit:
    """Always use the ceiling as the limit."""

    def __init__(self) -> None:
        self._ceiling = 0

    def __repr__(self) -> str:
        return f"FixedLimit({self._ceiling})"

    @property
    def value(self) -> int:
        """The ceiling."""
        return self._ceiling

    def set_ceiling(self, ceiling: int) -> None:
        """Use ``ceiling`` as the limit."""
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
        self.n_shed_or_timed_out = 0
        self.own_ms = 0.0
        self.max_in_flight = 0

    def record(self, sample: Sample) -> None:
        if sample.ending.is_nested_failure:
            return
        self.n_ended += 1
        self.max_in_flight = max(self.max_in_flight, sample.n_in_flight)
        if sample.ending.succeeded:
            self.n_succeeded += 1
            self.own_ms += sample.own_ms
        elif sample.ending.shed or sample.ending.timed_out:
            self.n_shed_or_timed_out += 1

    @property
    def mean_ms(self) -> float:
        return self.own_ms / self.n_succeeded if self.n_succeeded else 0.0

    @property
    def should_shrink(self) -> bool:
        """Whether attempts were shed or timed out, or most of them failed."""
        n_failed = self.n_ended - self.n_succeeded
        return (
            self.n_shed_or_timed_out > 0 or n_failed > MAX_FAILED_SHARE * self.n_ended
        )


class AimdLimit:
    """Increase the limit additively, and decrease it by a factor on failures.

    After a restart the limit grows by one with each success, until it reaches the
    ceiling or first has to shrink.
    """

    def __init__(self) -> None:
        self._ceiling = 0
        self._limit = 0.0
        self._ramping = True
        self._window = _Window()
        self._n_stale_samples = 0

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.value} of {self._ceiling})"

    @property
    def value(self) -> int:
        """The current limit; 0 only when the ceiling is 0."""
        if self._ceiling <= 0:
            return 0
        return max(MIN_LIMIT, min(self._ceiling, int(self._limit)))

    @property
    def is_ramping(self) -> bool:
        """Whether the limit grows with each success after a restart."""
        return self._ramping

    def set_ceiling(self, ceiling: int) -> None:
        """Set the upper bound of the limit; the first one also becomes the limit."""
        if self._ceiling == 0:
            self._limit = float(ceiling)
            self._ramping = False
        self._ceiling = ceiling
        self._limit = min(self._limit, float(ceiling))

    def restart(self) -> None:
        """Ramp up from a sixteenth of the ceiling."""
        self._limit = max(float(MIN_LIMIT), self._ceiling * RAMP_START_SHARE)
        self._ramping = True
        self._window = _Window()

    def record(self, sample: Sample) -> None:
        """Record an ended attempt.

        Attempts that started before the last decrease do not show its effect, so as
        many successes as were in flight then are left out.
        """
        if self._n_stale_samples > 0 and sample.ending.succeeded:
            self._n_stale_samples -= 1
        else:
            self._window.record(sample)
        if self._ramping and sample.ending.succeeded:
            self._limit = min(float(self._ceiling), self._limit + 1.0)
            self._ramping = self._limit < self._ceiling

    def adapt(self) -> None:
        """Adapt the limit to the samples since the last call."""
        window = self._window
        if window.n_ended < MIN_WINDOW_SAMPLES and not window.n_shed_or_timed_out:
            return
        self._window = _Window()
        if window.should_shrink:
            self._shrink(FAILURE_DECREASE_FACTOR, window)
            return
        self._adapt_to_latency(window)

    def _adapt_to_latency(self, window: _Window) -> None:
        self._grow(window)

    def _grow(self, window: _Window) -> None:
        if window.max_in_flight >= MIN_USED_SHARE_TO_GROW * self.value:
            self._set_limit(self._limit + max(1.0, math.sqrt(self._limit)))

    def _shrink(self, factor: float, window: _Window) -> None:
        self._ramping = False
        self._n_stale_samples = window.max_in_flight
        self._set_limit(self._limit * factor)

    def _set_limit(self, limit: float) -> None:
        self._limit = max(float(MIN_LIMIT), min(float(self._ceiling), limit))


class _LatencyPeak(NamedTuple):
    """The highest latency seen while reducing, and the limit at that time."""

    limit: float
    own_ms: float


class GradientLimit(AimdLimit):
    """Also decrease the limit while the upstream's own latency grows with its load.

    A reduction that does not lower the latency is reverted: the upstream is slow for
    another reason, and less concurrency would only reduce goodput.
    """

    def __init__(self) -> None:
        super().__init__()
        self._base_latency_ms = 0.0
        self._latency_peak: _LatencyPeak | None = None

    def restart(self) -> None:
        """Ramp up, and discard a reduction in progress."""
        super().restart()
        self._latency_peak = None

    def _adapt_to_latency(self, window: _Window) -> None:
        mean_ms = window.mean_ms
        if self._base_latency_ms == 0.0 or mean_ms < self._base_latency_ms:
            self._base_latency_ms = mean_ms
        if self._latency_peak is not None and self._reduction_is_ineffective(mean_ms):
            self._base_latency_ms = mean_ms
            self._limit = self._latency_peak.limit
            self._latency_peak = None
            return
        gradient = self._base_latency_ms * LATENCY_TOLERANCE_FACTOR / max(mean_ms, 1e-3)
        if gradient >= 1.0:
            self._base_latency_ms *= BASE_LATENCY_GROWTH
            self._latency_peak = None
            self._grow(window)
            return
        if self._latency_peak is None or mean_ms > self._latency_peak.own_ms:
            self._latency_peak = _LatencyPeak(self._limit, mean_ms)
            self._shrink(1.0, window)
            return
        self._shrink(max(MIN_GRADIENT, gradient), window)

    def _reduction_is_ineffective(self, mean_ms: float) -> bool:
        assert self._latency_peak is not None
        if self._limit > REDUCTION_CHECK_SHARE * self._latency_peak.limit:
            return False
        return mean_ms > INEFFECTIVE_LATENCY_SHARE * self._latency_peak.own_ms
