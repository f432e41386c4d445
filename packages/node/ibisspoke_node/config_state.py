"""The catalogue in force and its recent deltas, kept to update other nodes."""

import logging

import msgspec
from result import Err

from ibisspoke_policy.catalogue import Catalogue, decode_catalogue, encode_catalogue
from ibisspoke_policy.catalogue_delta import (
    CatalogueDelta,
    DeltaLog,
    apply_delta,
    delta_between,
    snapshot_digest,
)
from ibisspoke_policy.config_messages import ConfigQuery, ConfigReply

from .in_force import CatalogueInForce

logger = logging.getLogger(__name__)


class ConfigState:
    """Adopt only higher versions, after checking the digest of each.

    :param catalogue_in_force: gives the rest of the node access to the catalogue.
    """

    def __init__(self, catalogue_in_force: CatalogueInForce) -> None:
        self._catalogue_in_force = catalogue_in_force
        self._log = DeltaLog()
        self._last_delta: CatalogueDelta | None = None

    def __repr__(self) -> str:
        return f"ConfigState({self.version})"

    @property
    def version(self) -> int:
        """Version in force."""
        return self._catalogue_in_force.version

    @property
    def catalogue(self) -> Catalogue:
        """Catalogue in force."""
        return self._catalogue_in_force.catalogue

    @property
    def latest_deltas(self) -> list[CatalogueDelta]:
        """The delta to the version in force; empty before the first one."""
        return [] if self._last_delta is None else [self._last_delta]

    def adopt(self, catalogue: Catalogue) -> bool:
        """Put a validated catalogue in force; return False if it is not newer."""
        old = self._catalogue_in_force.catalogue
        if catalogue.version <= old.version:
            return False
        delta = delta_between(old, catalogue, snapshot_digest(catalogue))
        return self._adopt(catalogue, delta)

    def adopt_deltas(self, deltas: list[CatalogueDelta]) -> bool:
        """Apply deltas that follow the version in force; return whether any did."""
        changed = False
        for delta in deltas:
            if delta.from_version != self.version:
                continue
            applied = apply_delta(self._catalogue_in_force.catalogue, delta)
            if isinstance(applied, Err):
                logger.warning("delta rejected", extra={"reason": applied.err_value})
                return changed
            changed |= self._adopt(applied.ok_value, delta)
        return changed

    def adopt_snapshot(self, data: bytes, digest: str) -> bool:
        """Put a peer's snapshot in force if it is intact and newer."""
        try:
            catalogue = decode_catalogue(data)
        except msgspec.DecodeError as error:
            logger.warning("snapshot rejected", extra={"reason": str(error)})
            return False
        if snapshot_digest(catalogue) != digest:
            logger.warning("snapshot rejected", extra={"reason": "digest differs"})
            return False
        return self.adopt(catalogue)

    def adopt_reply(self, reply: ConfigReply) -> bool:
        """Apply a peer's reply; return whether the version changed."""
        if reply.snapshot:
            return self.adopt_snapshot(reply.snapshot, reply.digest)
        return self.adopt_deltas(reply.deltas)

    def reply(
        self, query: ConfigQuery, data_centre: str, isolated_ms: float
    ) -> ConfigReply:
        """Return the deltas or the snapshot that the sender of ``query`` is missing."""
        empty = ConfigReply(data_centre, self.version, isolated_ms, [], b"", "", [])
        if query.version >= self.version:
            return empty
        deltas = self._log.since(query.version, self.version)
        if deltas is not None:
            return empty._replace(deltas=deltas)
        catalogue = self._catalogue_in_force.catalogue
        return empty._replace(
            snapshot=encode_catalogue(catalogue), digest=snapshot_digest(catalogue)
        )

    def _adopt(self, catalogue: Catalogue, delta: CatalogueDelta) -> bool:
        self._log.add(delta)
        self._last_delta = delta
        return self._catalogue_in_force.adopt(catalogue)
