"""Calls that upstreams make for the requests of each route.

Addresses load in which answers are lost at most upstreams: a rerun of a request whose
upstream makes no calls costs one arrival, while any other repeats the tree below it.
"""

UNKNOWN_CALLS = -1  # of an attempt whose calls cannot be told from those of others
CALLS_WEIGHT = 0.02  # of one answer in the mean; about the last fifty
MIN_ANSWERS = 20  # with fewer, a route that makes calls seldom may look like a leaf
# One call seen lifts the mean above it for 35 answers. Below it, reruns add at most one
# in 100 of their number to the arrivals of services further down.
MAX_LEAF_CALLS = 0.01
MAX_ROUTES = 1_000  # the oldest routes are dropped above it


class _MeanCalls:
    """An arithmetic mean at first, later an exponentially weighted moving average."""

    __slots__ = ("n", "value")

    def __init__(self) -> None:
        self.n = 0
        self.value = 0.0

    def add(self, n_calls: int) -> None:
        self.n += 1
        self.value += max(CALLS_WEIGHT, 1.0 / self.n) * (n_calls - self.value)


class CallTrees:
    """Track the mean number of calls that a request causes, by service and route."""

    def __init__(self) -> None:
        self._mean_by_key: dict[tuple[str, str], _MeanCalls] = {}

    def __repr__(self) -> str:
        return f"CallTrees(n_routes={len(self._mean_by_key)})"

    def add(
        self, service: str, route: str, n_calls: int, is_complete: bool = True
    ) -> None:
        """Record the calls that were made for one attempt.

        :param n_calls: negative if it is not known, as in outcomes of nodes of an
            earlier version.
        :param is_complete: whether the attempt ended with a success. Others may have
            failed before they made calls, so that only calls made count.
        """
        if n_calls < 0 or (not is_complete and n_calls == 0):
            return
        key = (service, route)
        mean = self._mean_by_key.get(key)
        if mean is None:
            if len(self._mean_by_key) >= MAX_ROUTES:
                del self._mean_by_key[next(iter(self._mean_by_key))]
            mean = self._mean_by_key[key] = _MeanCalls()
        mean.add(n_calls)

    def mean_calls(self, service: str, route: str) -> float | None:
        """Return the mean number of calls, or None before enough answers."""
        mean = self._mean_by_key.get((service, route))
        return mean.value if mean is not None and mean.n >= MIN_ANSWERS else None

    def is_leaf(self, service: str, route: str) -> bool:
        """Return whether requests of a route are known to cause no calls."""
        mean = self.mean_calls(service, route)
        return mean is not None and mean < MAX_LEAF_CALLS
