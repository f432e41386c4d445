"""Rows and objects that store the configuration on the platform.

One row holds the current version. Each version has an audit row, and a row keyed by
the id of the operation that created it. Immutable objects hold the changes since the
previous version and since the latest full snapshot, and the full snapshots of some
versions.
"""

from typing import NamedTuple, TypeVar

import msgspec
from result import Err, Ok, Result

from ibisspoke_policy.catalogue_delta import CatalogueDelta
from ibisspoke_policy.difference import Change

from .store import StoreError, StoreErrorKind

CURRENT_KEY = "config/current"
AUDIT_PREFIX = "config/audit/"
OPERATION_PREFIX = "config/operation/"
SNAPSHOT_PREFIX = "config/snapshot/"
CHANGE_PREFIX = "config/change/"
IN_FORCE_PREFIX = "config/in_force/"
N_VERSION_DIGITS = 12
N_PAGE_DIGITS = 2
AUDIT_PAGE_ROWS = 10**N_PAGE_DIGITS
MAX_RECORDED_CHANGES = 100
SNAPSHOT_INTERVAL_VERSIONS = 64
MAX_CHANGE_TO_SNAPSHOT_RATIO = 0.25

T = TypeVar("T")


class CurrentVersion(NamedTuple):
    """The current version of the catalogue.

    :param version: 0 if no catalogue was ever applied.
    :param digest: hexadecimal BLAKE2b digest of its snapshot.
    :param operation_id: id of the operation that created it.
    :param base_version: the latest version with a full snapshot.
    :param base_digest: digest of that snapshot.
    """

    version: int
    digest: str
    operation_id: str
    base_version: int
    base_digest: str

    @property
    def is_base(self) -> bool:
        """Whether this version has a full snapshot."""
        return self.base_version == self.version


NO_VERSION = CurrentVersion(0, "", "", 0, "")


class StoredChange(NamedTuple):
    """Object of a version whose changes are small compared to its snapshot.

    :param step: delta from the previous version.
    :param since_base: delta from the version of the latest full snapshot.
    """

    step: CatalogueDelta
    since_base: CatalogueDelta


class AuditRecord(NamedTuple):
    """Who created a version, when, why, and what changed.

    :param made: the version as it was written to the row of the current version.
    :param changes: at most ``MAX_RECORDED_CHANGES``; the objects hold all changes.
    :param n_changes: the number of all changes.
    """

    made: CurrentVersion
    who: str
    wall_ms: int
    why: str
    changes: list[Change]
    n_changes: int

    @property
    def version(self) -> int:
        """The number of the version."""
        return self.made.version


class OperationRecord(NamedTuple):
    """The version that an operation created."""

    version: int


class InForceRecord(NamedTuple):
    """The version in force in one data centre, as reported by one of its nodes.

    :param version: every node that was asked had this version or a later one.
    :param n_asked: nodes asked, including the reporter; a sample in large fleets.
    :param n_present: nodes of the data centre known to the reporter.
    :param wall_ms: when the record was written.
    """

    data_centre: str
    version: int
    n_asked: int
    n_present: int
    wall_ms: int


def in_force_key(data_centre: str) -> str:
    """Return the key of the in-force record of a data centre."""
    return f"{IN_FORCE_PREFIX}{data_centre}"


def audit_key(version: int) -> str:
    """Return the key of the audit row of ``version``."""
    return f"{AUDIT_PREFIX}{version:0{N_VERSION_DIGITS}d}"


def audit_page_prefix(version: int) -> str:
    """Return the key prefix of the page of audit rows that holds ``version``."""
    return audit_key(version)[:-N_PAGE_DIGITS]


def operation_key(operation_id: str) -> str:
    """Return the key of the record of an operation."""
    return f"{OPERATION_PREFIX}{operation_id}"


def snapshot_name(version: int, digest: str) -> str:
    """Return the name of a snapshot object.

    The digest keeps the names of competing changes to the same version apart.
    """
    return f"{SNAPSHOT_PREFIX}{version:0{N_VERSION_DIGITS}d}-{digest}"


def change_name(version: int, digest: str) -> str:
    """Return the name of the object with the changes of a version."""
    return f"{CHANGE_PREFIX}{version:0{N_VERSION_DIGITS}d}-{digest}"


def decode_record(data: bytes, record_type: type[T], key: str) -> Result[T, StoreError]:
    """Decode the record in a row or object.

    :param key: key or name of it, for the error message.
    """
    try:
        return Ok(msgspec.json.decode(data, type=record_type))
    except msgspec.DecodeError as error:
        return Err(unreadable_record_error(key, str(error)))


def unreadable_record_error(key: str, reason: str) -> StoreError:
    """Return the error for a row or object that this release cannot read."""
    return StoreError(
        StoreErrorKind.INVALID,
        f"{key} cannot be read: {reason}",
        "check that no other program writes below config/, or use the newest release",
    )
