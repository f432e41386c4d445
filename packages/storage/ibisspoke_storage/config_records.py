"""Rows and objects in which the configuration is kept on the platform.

The current version is one row. Each version has an audit row and a row by the id of
the operation that made it. Immutable objects hold what has changed since the version
before and since the latest whole snapshot, and the whole snapshots of some versions.
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
SNAPSHOT_INTERVAL = 64
MAX_CHANGE_SHARE = 0.25

T = TypeVar("T")


class CurrentVersion(NamedTuple):
    """The version in force.

    :param version: 0 when nothing was ever applied.
    :param digest: hexadecimal BLAKE2b digest of its snapshot.
    :param operation_id: the operation that made it.
    :param base_version: the latest version with a whole snapshot.
    :param base_digest: digest of that snapshot.
    """

    version: int
    digest: str
    operation_id: str
    base_version: int
    base_digest: str

    @property
    def is_base(self) -> bool:
        """Whether this version has a whole snapshot."""
        return self.base_version == self.version


NO_VERSION = CurrentVersion(0, "", "", 0, "")


class StoredChange(NamedTuple):
    """Object of a version that is not far from the one before.

    :param step: leads from the version before.
    :param since_base: leads from the version of the latest whole snapshot.
    """

    step: CatalogueDelta
    since_base: CatalogueDelta


class AuditRecord(NamedTuple):
    """Who made a version, when, why, and what differed.

    :param made: the version as it was made current.
    :param changes: the first of the changes; the objects hold all of them.
    :param n_changes: how many changes there were.
    """

    made: CurrentVersion
    who: str
    wall_ms: int
    why: str
    changes: list[Change]
    n_changes: int

    @property
    def version(self) -> int:
        """The version that was made."""
        return self.made.version


class OperationRecord(NamedTuple):
    """The version that an operation made."""

    version: int


class InForceRecord(NamedTuple):
    """The version in force in one data centre, written by one of its nodes.

    :param version: every node that was asked had this version or a later one.
    :param n_asked: nodes asked, the writer included; a sample in large fleets.
    :param n_present: nodes of the data centre that the writer knew.
    :param wall_ms: when it was written.
    """

    data_centre: str
    version: int
    n_asked: int
    n_present: int
    wall_ms: int


def in_force_key(data_centre: str) -> str:
    """Return the key of the row of a data centre."""
    return f"{IN_FORCE_PREFIX}{data_centre}"


def audit_key(version: int) -> str:
    """Return the key of the audit row of ``version``."""
    return f"{AUDIT_PREFIX}{version:0{N_VERSION_DIGITS}d}"


def audit_page_prefix(version: int) -> str:
    """Return the prefix that selects the page of audit rows around ``version``."""
    return audit_key(version)[:-N_PAGE_DIGITS]


def operation_key(operation_id: str) -> str:
    """Return the key of the row of an operation."""
    return f"{OPERATION_PREFIX}{operation_id}"


def snapshot_name(version: int, digest: str) -> str:
    """Return the name of a snapshot; two proposals never share one."""
    return f"{SNAPSHOT_PREFIX}{version:0{N_VERSION_DIGITS}d}-{digest}"


def change_name(version: int, digest: str) -> str:
    """Return the name of the change that leads to a version."""
    return f"{CHANGE_PREFIX}{version:0{N_VERSION_DIGITS}d}-{digest}"


def decode_record(data: bytes, kind: type[T], key: str) -> Result[T, StoreError]:
    """Return the record in a row or object."""
    try:
        return Ok(msgspec.json.decode(data, type=kind))
    except msgspec.DecodeError as error:
        return Err(unreadable(key, str(error)))


def unreadable(key: str, reason: str) -> StoreError:
    """Return the error for a row or object that this release cannot use."""
    return StoreError(
        StoreErrorKind.INVALID,
        f"{key} cannot be read: {reason}",
        "check that no other program writes below config/, or use the newest release",
    )
