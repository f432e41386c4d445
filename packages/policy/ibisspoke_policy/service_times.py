"""Average times that requests of each route take at one upstream."""

WEIGHT = 0.08  # of one answer in the average; about the last dozen
INITIAL_MS = 100.0
MAX_ROUTES = 1_000  # least recently added routes are forgotten beyond it


class _Average:
    """A mean at first, then a decaying one; the start counts as one sample."""

    __slots__ = ("n", "value_ms")

    def __init__(self, value_ms: float) -> None:
        self.value_ms = value_ms
        self.n = 1

    def add(self, took_ms: float) -> None:
        self.n += 1
        self.value_ms += max(WEIGHT, 1.0 / self.n) * (took_ms - self.value_ms)


class ServiceTimes:
    """Keep an average for each route and one over all."""

    def __init__(self) -> None:
        self.overall_ms = INITIAL_MS
        self.is_known = False
        self._average_by_route: dict[str, _Average] = {}

    def __repr__(self) -> str:
        return f"ServiceTimes({self.overall_ms:.0f} ms)"

    def expected_ms(self, route: str) -> float:
        """Return how long a request of ``route`` will probably take."""
        average = self._average_by_route.get(route)
        return average.value_ms if average is not None else self.overall_ms

    def add(self, route: str, took_ms: float) -> None:
        """Take in one answered request."""
        average = self._average_by_route.get(route)
        if average is None:
            if len(self._average_by_route) >= MAX_ROUTES:
                del self._average_by_route[next(iter(self._average_by_route))]
            average = self._average_by_route[route] = _Average(self.overall_ms)
        average.add(took_ms)
        self.is_known = True
        self.overall_ms += WEIGHT * (took_ms - self.overall_ms)
