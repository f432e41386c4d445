"""Distribution of a route's requests over services by weight."""

import random

from .route_table import Route


class WeightedSplitter:
    """Choose services by smooth weighted round robin.

    Each route starts at a random phase, so that nodes with few requests do not all
    start with the same service.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits_by_route: dict[tuple[str, tuple[object, ...]], list[float]] = {}

    def __repr__(self) -> str:
        return f"WeightedSplitter(n_routes={len(self._credits_by_route)})"

    def pick(self, route: Route) -> str:
        """Return the service for the next request of ``route``."""
        if len(route.splits) == 1:
            return route.splits[0].service
        total = sum(split.weight for split in route.splits)
        key = (route.name, route.splits)
        credits = self._credits_by_route.get(key)
        if credits is None:
            credits = [self._rng.uniform(0.0, total) for _ in route.splits]
            self._credits_by_route[key] = credits
        best = 0
        for index, split in enumerate(route.splits):
            credits[index] += split.weight
            if credits[index] > credits[best]:
                best = index
        credits[best] -= total
        return route.splits[best].service

    def keep_only(self, routes: list[Route]) -> None:
        """Remove the state of routes that are not among ``routes``."""
        kept = {(route.name, route.splits) for route in routes}
        for key in [key for key in self._credits_by_route if key not in kept]:
            del self._credits_by_route[key]
