"""The catalogue in force at this node."""

from collections.abc import Callable

from ibisspoke_policy.catalogue import EMPTY_CATALOGUE, Catalogue, RouteTable
from ibisspoke_policy.quota_messages import Limit
from ibisspoke_policy.slot_lease import limits_of


class CatalogueInForce:
    """Hold the highest catalogue version that this node has seen."""

    def __init__(self) -> None:
        self.catalogue = EMPTY_CATALOGUE
        self.routes = RouteTable({})
        self.limits: dict[str, Limit] = {}
        self._listeners: list[Callable[[Catalogue], None]] = []

    def __repr__(self) -> str:
        return f"CatalogueInForce(version={self.catalogue.version})"

    @property
    def version(self) -> int:
        """Version in force; 0 before the first one is adopted."""
        return self.catalogue.version

    def adopt(self, catalogue: Catalogue) -> bool:
        """Put ``catalogue`` in force if it is newer; return whether it is."""
        if catalogue.version <= self.catalogue.version:
            return False
        self.routes = RouteTable(catalogue.calls_by_id)
        self.limits = limits_of(catalogue)
        self.catalogue = catalogue
        for listener in self._listeners:
            listener(catalogue)
        return True

    def subscribe(self, listener: Callable[[Catalogue], None]) -> None:
        """Call ``listener`` with each catalogue that is put in force."""
        self._listeners.append(listener)
