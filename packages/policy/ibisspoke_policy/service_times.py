"""Average service times of each route at one upstream."""

ANSWER_WEIGHT = 0.08  # of one answer in the average; about the last 12
INITIAL_SERVICE_MS = 100.0
MAX_ROUTES = 1_000  # the oldest routes are dropped above it


class _Average:
    """An arithmetic mean at first, later an exponentially weighted moving average.

    The initial value counts as one sample.
    """

    __slots__ = ("n", "value_ms")

    def __init__(self, value_ms: float) -> None:
        self.value_ms = value_ms
        self.n = 1

    def add(self, took_ms: float) -> None:
        self.n += 1
        self.value_ms += max(ANSWER_WEIGHT, 1.0 / self.n) * (took_ms - self.value_ms)


class ServiceTimes:
    """Track the average service time of each route and of all requests."""

    def __init__(self) -> None:
        self.overall_ms = INITIAL_SERVICE_MS
        self.has_answers = False
        self._average_by_route: dict[str, _Average] = {}

    def __repr__(self) -> str:
        return f"ServiceTimes({self.overall_ms:.0f} ms)"

    def expected_ms(self, route: str) -> float:
        """Return the expected service time of a request of ``route``."""
        average = self._average_by_route.get(route)
        return average.value_ms if average is not None else self.overall_ms

    def is_known(self, route: str) -> bool:
        """Return whether a request of ``route`` was answered before."""
        return route in self._average_by_route

    def add(self, route: str, took_ms: float) -> None:
        """Record an answered request."""
        average = self._average_by_route.get(route)
        if average is None:
            if len(self._average_by_route) >= MAX_ROUTES:
                del self._average_by_route[next(iter(self._average_by_route))]
            average = self._average_by_route[route] = _Average(self.overall_ms)
        average.add(took_ms)
        self.has_answers = True
        self.overall_ms += ANSWER_WEIGHT * (took_ms - self.overall_ms)
