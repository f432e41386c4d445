"""Check that the regions in a configuration have nodes."""

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.route_table import RouteTable

from .decision_log import DecisionLog
from .fleet import Fleet

DELAY_MS = 2_000.0  # until a node that starts knows the others
MAX_NAMES = 20  # of routes or organisations in one line
REMEDY = "correct the list of regions, or start nodes there"


class RegionCheck:
    """Logs the regions of a configuration in which no node is known.

    Such a configuration is adopted all the same: the nodes of a new region may start
    later, and a restriction that is not in force would be worse than a refusal.
    """

    def __init__(self, fleet: Fleet, clock: Clock, log: DecisionLog) -> None:
        self._fleet = fleet
        self._clock = clock
        self._log = log
        self._table: RouteTable | None = None
        self._due_ms = 0.0

    def __repr__(self) -> str:
        return f"RegionCheck({self._table!r})"

    def on_adopted(self, table: RouteTable) -> None:
        """Check a configuration soon."""
        self._table = table
        self._due_ms = self._clock.now_ms() + DELAY_MS

    def tick(self) -> None:
        """Check the latest configuration once, when that is due."""
        if self._table is None or self._clock.now_ms() < self._due_ms:
            return
        table, self._table = self._table, None
        known = self._fleet.regions
        routes_by_region: dict[str, list[str]] = {}
        for route in table.routes:
            for region in (route.regions or frozenset()) - known:
                routes_by_region.setdefault(region, []).append(route.name)
        names_by_region: dict[str, set[str]] = {}
        for owner in table.owners_by_key.values():
            for region in (owner.regions or frozenset()) - known:
                names_by_region.setdefault(region, set()).add(owner.organisation)
        for region in sorted({*routes_by_region, *names_by_region}):
            self._log.write(
                "region unknown",
                region=region,
                routes=_joined(routes_by_region.get(region, [])),
                organisations=_joined(sorted(names_by_region.get(region, ()))),
                version=table.version,
                remedy=REMEDY,
            )


def _joined(names: list[str]) -> str:
    rest = f" and {len(names) - MAX_NAMES} more" if len(names) > MAX_NAMES else ""
    return " ".join(names[:MAX_NAMES]) + rest
