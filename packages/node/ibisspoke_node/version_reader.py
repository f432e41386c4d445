"""Interface through which a node reads the configuration from the platform."""

from typing import Protocol

from result import Result

from ibisspoke_policy.catalogue import Catalogue
from ibisspoke_storage.config_records import CurrentVersion
from ibisspoke_storage.store import StoreError


class VersionReader(Protocol):
    """Read versions of the catalogue from the platform."""

    async def read_current_version(self) -> Result[CurrentVersion, StoreError]:
        """Return the current version."""

    async def read_catalogue(
        self, current: CurrentVersion, known: Catalogue
    ) -> Result[Catalogue, StoreError]:
        """Return the catalogue of a version, by deltas from ``known`` if possible."""
