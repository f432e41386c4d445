"""Routes and organisations of one version of the configuration."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

Regions = frozenset[str]


class Split(NamedTuple):
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Configuration of one kind of request.

    :param idempotent: whether a request may run more than once.
    :param timeout_ms: the longest time that a caller waits for an answer.
    :param objective_ms: the latency objective.
    :param priority: 0 is the most urgent.
    :param max_attempts: the largest number of upstreams that a request is sent to.
    :param is_public: whether requests need no key.
    :param regions: where requests may be served; None for all regions.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_ms: float
    objective_ms: float
    priority: int
    splits: tuple[Split, ...]
    max_attempts: int
    is_public: bool
    regions: Regions | None = None


class KeyOwner(NamedTuple):
    """The organisation that owns a key, and its rate limit over all nodes.

    :param priority: 0 is the most urgent.
    :param rate_per_s: requests per second; 0 means no limit.
    :param burst: requests allowed at once in excess of the rate.
    :param regions: where its requests may be served; None for all regions.
    """

    organisation: str
    priority: int
    rate_per_s: float
    burst: float
    regions: Regions | None = None


def common_regions(route: Route, owner: KeyOwner | None) -> Regions | None:
    """Return the regions that both allow, or None for all."""
    of_owner = owner.regions if owner is not None else None
    if route.regions is None or of_owner is None:
        return of_owner if route.regions is None else route.regions
    return route.regions & of_owner


class CallerLimits(NamedTuple):
    """Limits on the size and duration of what a caller sends."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class ColdStart(NamedTuple):
    """How a service's upstreams are after a start.

    :param duration_ms: how long they are cold.
    :param per_s: requests per second that one tolerates while cold; 0 for no bound.
    """

    duration_ms: float
    per_s: float


class RouteTable:
    """One immutable version of the configuration.

    :param version: increases with each change.
    :param owners_by_key: organisations by key; empty if no key is valid.
    :param has_organisations: whether requests need a key, unless their route is public.
        This holds also when no organisation or key is left.
    :ivar has_restricted_owners: whether any organisation is restricted to regions.
    :param cold_starts_by_service: only services that have one.
    :param services: names of services; those of the routes are added.
    """

    def __init__(
        self,
        version: int,
        routes: list[Route],
        owners_by_key: dict[str, KeyOwner],
        limits: CallerLimits,
        has_organisations: bool,
        cold_starts_by_service: Mapping[str, ColdStart] | None = None,
        services: Iterable[str] = (),
    ) -> None:
        self.version = version
        self.routes = routes
        self.owners_by_key = owners_by_key
        self.limits = limits
        self.has_organisations = has_organisations
        owners = owners_by_key.values()
        self.has_restricted_owners = any(owner.regions is not None for owner in owners)
        self.cold_starts_by_service = dict(cold_starts_by_service or {})
        routed = (split.service for route in routes for split in route.splits)
        self.services = frozenset((*services, *routed))
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)

    def __repr__(self) -> str:
        return f"RouteTable(version={self.version}, n_routes={len(self.routes)})"

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``."""
        name = host.lower()
        routes = self._routes_by_host.get(name)
        if routes is None and ":" in name:
            routes = self._routes_by_host.get(name.rsplit(":", 1)[0])
        for route in routes or ():
            if path.startswith(route.prefix):
                return route
        return None
