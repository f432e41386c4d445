"""Deltas between versions of the catalogue, as nodes send them to each other."""

import hashlib
from collections.abc import Mapping
from typing import NamedTuple, TypeVar

from result import Err, Ok, Result

from .catalogue import Call, Catalogue, Key, Organisation, encode_catalogue

DIGEST_BYTES = 32
MAX_DELTAS = 64

T = TypeVar("T")


class CatalogueDelta(NamedTuple):
    """Changes that turn one version of the catalogue into a later one.

    :param digest: digest of the snapshot of ``to_version``.
    """

    from_version: int
    to_version: int
    digest: str
    calls: list[Call]
    removed_calls: list[str]
    organisations: list[Organisation]
    removed_organisations: list[str]
    keys: list[Key]
    removed_keys: list[str]
    n_slots_by_data_centre: dict[str, int]


def snapshot_digest(catalogue: Catalogue) -> str:
    """Return the digest of the snapshot of ``catalogue``."""
    return digest_snapshot(encode_catalogue(catalogue))


def digest_snapshot(data: bytes) -> str:
    """Return the digest of an encoded snapshot."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def delta_between(old: Catalogue, new: Catalogue, digest: str) -> CatalogueDelta:
    """Return the delta from ``old`` to ``new``, whose snapshot has ``digest``."""
    return CatalogueDelta(
        old.version,
        new.version,
        digest,
        _changed(old.calls_by_id, new.calls_by_id),
        _removed(old.calls_by_id, new.calls_by_id),
        _changed(old.organisations_by_id, new.organisations_by_id),
        _removed(old.organisations_by_id, new.organisations_by_id),
        _changed(old.keys_by_digest, new.keys_by_digest),
        _removed(old.keys_by_digest, new.keys_by_digest),
        new.n_slots_by_data_centre,
    )


def apply_delta(old: Catalogue, delta: CatalogueDelta) -> Result[Catalogue, str]:
    """Return the later version, or why ``delta`` cannot be applied to ``old``."""
    if delta.from_version != old.version or delta.to_version <= old.version:
        span = f"{delta.from_version} to {delta.to_version}"
        return Err(f"delta from {span} does not apply to version {old.version}")
    new = Catalogue(
        delta.to_version,
        _patched(
            old.calls_by_id,
            {call.id: call for call in delta.calls},
            delta.removed_calls,
        ),
        _patched(
            old.organisations_by_id,
            {organisation.id: organisation for organisation in delta.organisations},
            delta.removed_organisations,
        ),
        _patched(
            old.keys_by_digest,
            {key.digest: key for key in delta.keys},
            delta.removed_keys,
        ),
        delta.n_slots_by_data_centre,
    )
    if snapshot_digest(new) != delta.digest:
        return Err(f"version {new.version} does not match the digest in the delta")
    return Ok(new)


class DeltaLog:
    """Keep the latest deltas for peers that are a few versions behind."""

    def __init__(self, max_deltas: int = MAX_DELTAS) -> None:
        self._max_deltas = max_deltas
        self._deltas_by_from_version: dict[int, CatalogueDelta] = {}

    def __repr__(self) -> str:
        return f"DeltaLog({len(self._deltas_by_from_version)} deltas)"

    def add(self, delta: CatalogueDelta) -> None:
        """Store ``delta`` and drop the oldest ones beyond the limit."""
        self._deltas_by_from_version[delta.from_version] = delta
        while len(self._deltas_by_from_version) > self._max_deltas:
            oldest = min(self._deltas_by_from_version)
            del self._deltas_by_from_version[oldest]

    def since(self, version: int, to_version: int) -> list[CatalogueDelta] | None:
        """Return the deltas from ``version`` on, or None if one was dropped."""
        deltas: list[CatalogueDelta] = []
        while version < to_version:
            delta = self._deltas_by_from_version.get(version)
            if delta is None:
                return None
            deltas.append(delta)
            version = delta.to_version
        return deltas


def _changed(old: Mapping[str, T], new: Mapping[str, T]) -> list[T]:
    return [row for key, row in new.items() if old.get(key) != row]


def _removed(old: Mapping[str, T], new: Mapping[str, T]) -> list[str]:
    return [key for key in old if key not in new]


def _patched(
    old: Mapping[str, T], changed: Mapping[str, T], removed: list[str]
) -> dict[str, T]:
    rows = {**old, **changed}
    for key in removed:
        rows.pop(key, None)
    return rows
