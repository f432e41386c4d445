"""How much of each route's requests starve at services deeper down."""

from .decaying_share import DecayingShare

WEIGHT = 0.08  # of one request in a route's share; about the last dozen
HALF_LIFE_MS = 700.0  # an overload deeper down may end at any moment
LEAST_TOLD = 0.01  # smaller shares are left out of what is told
MAX_ROUTES = 200  # least recently added routes are forgotten beyond it


class RoutePressures:
    """Keep a recent share for each route."""

    def __init__(self) -> None:
        self._share_by_route: dict[str, DecayingShare] = {}

    def __repr__(self) -> str:
        return f"RoutePressures(n_routes={len(self._share_by_route)})"

    def add(self, route: str, has_starved: bool, now_ms: float) -> None:
        """Take in how a request has ended."""
        share = self._share_by_route.get(route)
        if share is None:
            if not has_starved:
                return
            if len(self._share_by_route) >= MAX_ROUTES:
                del self._share_by_route[next(iter(self._share_by_route))]
            share = self._share_by_route[route] = DecayingShare(WEIGHT, HALF_LIFE_MS)
        share.add(has_starved, now_ms)

    def told(self, now_ms: float) -> tuple[tuple[str, float], ...]:
        """Return the shares that are worth telling, by route."""
        if not self._share_by_route:
            return ()
        shares = [(r, share.at(now_ms)) for r, share in self._share_by_route.items()]
        return tuple((route, share) for route, share in shares if share >= LEAST_TOLD)
