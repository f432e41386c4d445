"""Share of the requests of each route that fail due to an overloaded dependency."""

from .decaying_share import DecayingShare

REQUEST_WEIGHT = 0.08  # of one request in the share; averages about the last 12
SHARE_HALF_LIFE_MS = 700.0  # short, as an overload may end at any moment
MIN_REPORTED_SHARE = 0.01  # smaller shares are left out of reports
MAX_ROUTES = 200  # the oldest routes are dropped above it


class RoutePressures:
    """Track the recent share of starved requests by route."""

    def __init__(self) -> None:
        self._share_by_route: dict[str, DecayingShare] = {}

    def __repr__(self) -> str:
        return f"RoutePressures(n_routes={len(self._share_by_route)})"

    def add(self, route: str, has_starved: bool, now_ms: float) -> None:
        """Record whether a request starved."""
        share = self._share_by_route.get(route)
        if share is None:
            if not has_starved:
                return
            if len(self._share_by_route) >= MAX_ROUTES:
                del self._share_by_route[next(iter(self._share_by_route))]
            share = self._share_by_route[route] = DecayingShare(
                REQUEST_WEIGHT, SHARE_HALF_LIFE_MS
            )
        share.add(has_starved, now_ms)

    def reported(self, now_ms: float) -> tuple[tuple[str, float], ...]:
        """Return the routes and shares to report, without the smallest shares."""
        if not self._share_by_route:
            return ()
        shares = [(r, share.at(now_ms)) for r, share in self._share_by_route.items()]
        return tuple(
            (route, share) for route, share in shares if share >= MIN_REPORTED_SHARE
        )
