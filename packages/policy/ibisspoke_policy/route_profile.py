"""Latency and size of the answers of each route, and the pace of each upstream."""

import math

ANSWER_WEIGHT = 0.05  # of one answer in the averages; about the last 20
PACE_WEIGHT = 0.1  # higher, as the pace may change at any moment
PACE_VALIDITY_MS = 5_000.0  # after the last answer
MIN_PACE_ANSWERS = 3
INITIAL_MEDIAN_MS = 100.0
INITIAL_LOG_STDDEV = 0.7  # 1 in 6 takes at least twice the median
MIN_LOG_STDDEV = 0.2
MAX_LOG_PACE = math.log(30.0)
MAX_ROUTES = 1_000  # the oldest routes are dropped above it


class RouteProfile:
    """Latency and size of the answers of one route.

    The latency is kept as the mean and variance of its logarithm, normalised to an
    upstream of usual pace. The logarithm is roughly normally distributed, so that the
    probability of a late answer follows from both.
    """

    __slots__ = ("_log_mean", "_n", "_log_variance", "n_bytes")

    def __init__(self) -> None:
        self._n = 0
        self._log_mean = math.log(INITIAL_MEDIAN_MS)
        self._log_variance = INITIAL_LOG_STDDEV**2
        self.n_bytes = 0.0

    def __repr__(self) -> str:
        return f"RouteProfile({self.median_ms:.0f} ms, {self.n_bytes:.0f} bytes)"

    @property
    def n_answers(self) -> int:
        """Number of answers recorded so far."""
        return self._n

    @property
    def log_stddev(self) -> float:
        """Standard deviation of the logarithm of the latency."""
        return math.sqrt(self._log_variance)

    @property
    def median_ms(self) -> float:
        """The median latency at an upstream of usual pace."""
        return math.exp(self._log_mean)

    def add(self, took_ms: float, pace: float, n_bytes: int) -> None:
        """Record an answer of an upstream that takes ``pace`` times the usual."""
        self._n += 1
        weight = max(ANSWER_WEIGHT, 1.0 / self._n)
        error = math.log(max(1.0, took_ms) / pace) - self._log_mean
        self._log_mean += weight * error
        if self._n > 1:
            self._log_variance += weight * (error * error - self._log_variance)
        self.n_bytes += weight * (n_bytes - self.n_bytes)

    def late_share(self, pace: float, within_ms: float) -> float:
        """Return the share of answers that take longer than ``within_ms``."""
        if within_ms <= 0.0:
            return 1.0
        log_stddev = max(MIN_LOG_STDDEV, self.log_stddev)
        log_distance = math.log(within_ms / pace) - self._log_mean
        return 0.5 * math.erfc(log_distance / (log_stddev * math.sqrt(2.0)))


class RouteProfiles:
    """The profiles of all routes."""

    def __init__(self) -> None:
        self._by_route: dict[str, RouteProfile] = {}

    def __repr__(self) -> str:
        return f"RouteProfiles(n_routes={len(self._by_route)})"

    def of(self, route: str) -> RouteProfile:
        """Return the profile of a route."""
        profile = self._by_route.get(route)
        if profile is None:
            if len(self._by_route) >= MAX_ROUTES:
                del self._by_route[next(iter(self._by_route))]
            profile = self._by_route[route] = RouteProfile()
        return profile


class Pace:
    """Latency of an upstream relative to the usual, for this node's requests."""

    __slots__ = ("_answered_ms", "_log", "_n")

    def __init__(self) -> None:
        self._n = 0
        self._log = 0.0
        self._answered_ms = float("-inf")

    def __repr__(self) -> str:
        return f"Pace({math.exp(self._log):.2f}, n={self._n})"

    def add(self, took_ms: float, usual_ms: float, now_ms: float) -> None:
        """Record an answer to a request that usually takes ``usual_ms``."""
        if now_ms - self._answered_ms > PACE_VALIDITY_MS:
            self._n = 0
        self._answered_ms = now_ms
        self._n += 1
        weight = max(PACE_WEIGHT, 1.0 / self._n)
        observed = math.log(max(1.0, took_ms) / usual_ms)
        bounded = max(-MAX_LOG_PACE, min(MAX_LOG_PACE, observed))
        self._log += weight * (bounded - self._log)

    def at(self, now_ms: float) -> float | None:
        """Return the latency as a multiple of the usual, or None if unknown."""
        if self._n < MIN_PACE_ANSWERS or now_ms - self._answered_ms > PACE_VALIDITY_MS:
            return None
        return math.exp(self._log)
