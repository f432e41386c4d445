"""Publish versions of the catalogue to the platform."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec
from result import Err, Ok, Result

from ibisspoke_policy.catalogue import Catalogue, encode_catalogue
from ibisspoke_policy.catalogue_delta import delta_between, digest_snapshot
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.difference import Change, difference

from .config_reader import ConfigReader, decode_current_version
from .config_records import (
    CURRENT_KEY,
    MAX_CHANGE_TO_SNAPSHOT_RATIO,
    MAX_RECORDED_CHANGES,
    SNAPSHOT_INTERVAL_VERSIONS,
    AuditRecord,
    CurrentVersion,
    OperationRecord,
    StoredChange,
    audit_key,
    change_name,
    operation_key,
    snapshot_name,
)
from .store import (
    Check,
    ObjectStore,
    StoreError,
    StoreErrorKind,
    TableRow,
    TableService,
    Write,
)

MAX_ATTEMPTS = 6
MIN_RETRY_DELAY_MS = 100.0
MAX_RETRY_DELAY_MS = 2_000.0

_RETRIABLE_KINDS = (StoreErrorKind.UNAVAILABLE, StoreErrorKind.UNKNOWN)

Sleep = Callable[[float], Awaitable[None]]


class ChangeMetadata(NamedTuple):
    """Who changes the catalogue and why, stored in the audit record.

    :param operation_id: id of the change; a change is applied at most once per id.
    """

    operation_id: str
    who: str
    why: str


class Published(NamedTuple):
    """An accepted change.

    :param already_applied: whether an earlier attempt of the operation applied it.
    """

    version: int
    already_applied: bool


class PublishConflict(NamedTuple):
    """The catalogue was changed by someone else in the meantime.

    :param current: the current catalogue.
    :param changes: changes from the base of the rejected change to ``current``.
    """

    current: Catalogue
    changes: list[Change]
    detail: str
    remedy: str


PublishError = StoreError | PublishConflict


class ConfigStore(ConfigReader):
    """Read and publish versions of the catalogue.

    :param clock: provides the time of the audit records.
    :param sleep: coroutine that waits a number of seconds between attempts.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        clock: Clock,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        super().__init__(table, objects)
        self._clock = clock
        self._sleep = sleep

    async def publish(
        self, base: Catalogue, proposed: Catalogue, metadata: ChangeMetadata
    ) -> Result[Published, PublishError]:
        """Make ``proposed`` the version after ``base``.

        The transaction also writes a record of the operation, which must not exist
        yet. After a lost response, this record shows whether the change was applied.

        :param base: the catalogue that the change was made on; must be the current one.
        :param proposed: the new catalogue; its version follows that of ``base``.
        """
        current = await self.read_current_version()
        if isinstance(current, Err):
            return Err(_not_applied_error(current.err_value))
        outcome = await self._find_outcome(
            base, current.ok_value, metadata.operation_id
        )
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value is not None:
            return Ok(outcome.ok_value)
        catalogue = proposed._replace(version=base.version + 1)
        stored = await self._put_objects(base, current.ok_value, catalogue, metadata)
        if isinstance(stored, Err):
            return Err(_not_applied_error(stored.err_value))
        audit = self._audit_record(
            stored.ok_value, difference(base, catalogue), metadata
        )
        return await self._commit_with_retries(base, audit)

    async def _put_objects(
        self,
        base: Catalogue,
        current: CurrentVersion,
        catalogue: Catalogue,
        metadata: ChangeMetadata,
    ) -> Result[CurrentVersion, StoreError]:
        """Store the change object and, if one is due, the full snapshot."""
        snapshot = encode_catalogue(catalogue)
        digest = digest_snapshot(snapshot)
        version = catalogue.version
        new_version = CurrentVersion(
            version, digest, metadata.operation_id, version, digest
        )
        change = await self._encode_change(base, current, catalogue, digest)
        if isinstance(change, Err):
            return change
        is_small_change = (
            0 < len(change.ok_value) <= len(snapshot) * MAX_CHANGE_TO_SNAPSHOT_RATIO
        )
        if is_small_change:
            stored = await self._put_with_retries(
                change_name(version, digest), change.ok_value
            )
            if isinstance(stored, Err):
                return stored
        if (
            is_small_change
            and version - current.base_version < SNAPSHOT_INTERVAL_VERSIONS
        ):
            return Ok(
                new_version._replace(
                    base_version=current.base_version, base_digest=current.base_digest
                )
            )
        stored = await self._put_with_retries(snapshot_name(version, digest), snapshot)
        return stored.map(lambda _: new_version)

    async def _encode_change(
        self,
        base: Catalogue,
        current: CurrentVersion,
        catalogue: Catalogue,
        digest: str,
    ) -> Result[bytes, StoreError]:
        """Return the encoded change object; empty for the first version."""
        if current.version == 0:
            return Ok(b"")
        snapshot_base: Result[Catalogue, StoreError] = Ok(base)
        if not current.is_base:
            snapshot_base = await self._read_base(current)
        if isinstance(snapshot_base, Err):
            return snapshot_base
        step = delta_between(base, catalogue, digest)
        since_base = delta_between(snapshot_base.ok_value, catalogue, digest)
        return Ok(msgspec.json.encode(StoredChange(step, since_base)))

    async def _put_with_retries(
        self, name: str, data: bytes
    ) -> Result[None, StoreError]:
        result = await self._objects.put(name, data)
        for n_attempts in range(1, MAX_ATTEMPTS):
            if isinstance(result, Ok) or result.err_value.kind not in _RETRIABLE_KINDS:
                break
            await self._sleep(_retry_delay_s(n_attempts))
            result = await self._objects.put(name, data)
        return result

    async def _commit_with_retries(
        self, base: Catalogue, audit: AuditRecord
    ) -> Result[Published, PublishError]:
        may_have_been_applied = False
        error = StoreError(StoreErrorKind.UNAVAILABLE, "not tried", "retry")
        for n_attempts in range(1, MAX_ATTEMPTS + 1):
            result = await self._commit_once(base, audit)
            if isinstance(result, Ok):
                return result
            if not isinstance(result.err_value, StoreError):
                return result
            error = result.err_value
            if error.kind not in _RETRIABLE_KINDS:
                return Err(error)
            may_have_been_applied |= error.kind is StoreErrorKind.UNKNOWN
            if n_attempts < MAX_ATTEMPTS:
                await self._sleep(_retry_delay_s(n_attempts))
        if may_have_been_applied:
            error = _unknown_outcome_error(error, audit.made.operation_id)
        return Err(error)

    async def _commit_once(
        self, base: Catalogue, audit: AuditRecord
    ) -> Result[Published, PublishError]:
        """Commit unless the operation was applied before or the version has changed."""
        row = await self._table.read(CURRENT_KEY)
        if isinstance(row, Err):
            return row
        current = decode_current_version(row.ok_value)
        if isinstance(current, Err):
            return current
        outcome = await self._find_outcome(
            base, current.ok_value, audit.made.operation_id
        )
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value is not None:
            return Ok(outcome.ok_value)
        result = await self._commit(row.ok_value, audit)
        if isinstance(result, Ok):
            return Ok(Published(audit.version, already_applied=False))
        if result.err_value.kind is StoreErrorKind.CONFLICT:
            return Err(result.err_value._replace(kind=StoreErrorKind.UNKNOWN))
        return result

    async def _find_outcome(
        self, base: Catalogue, current: CurrentVersion, operation_id: str
    ) -> Result[Published | None, PublishError]:
        """Return the version that the operation created, or None if it can be tried.

        ``current`` must have been read before this call. If it differs from ``base``
        and there is no record of the operation, the operation can no longer be applied.
        """
        operation = await self.find_operation(operation_id)
        if isinstance(operation, Err):
            return operation
        if operation.ok_value is not None:
            return Ok(Published(operation.ok_value.version, already_applied=True))
        if current.version != base.version:
            return await self._conflict(base, current)
        return Ok(None)

    async def _commit(
        self, row: TableRow, audit: AuditRecord
    ) -> Result[list[TableRow], StoreError]:
        operation = operation_key(audit.made.operation_id)
        encode = msgspec.json.encode
        return await self._table.commit(
            [
                Check(CURRENT_KEY, row.version),
                Check(audit_key(audit.version), 0),
                Check(operation, 0),
            ],
            [
                Write(CURRENT_KEY, encode(audit.made)),
                Write(audit_key(audit.version), encode(audit)),
                Write(operation, encode(OperationRecord(audit.version))),
            ],
        )

    async def _conflict(
        self, base: Catalogue, current: CurrentVersion
    ) -> Err[PublishError]:
        current_catalogue = await self.read_catalogue(current)
        if isinstance(current_catalogue, Err):
            return current_catalogue
        detail = (
            f"the catalogue is at version {current.version}, "
            f"but this change was made on version {base.version}"
        )
        remedy = (
            "look at the difference, put your change on top of it "
            "(`ibisspoke show` prints the catalogue in force) and apply again"
        )
        changes = difference(base, current_catalogue.ok_value)
        return Err(PublishConflict(current_catalogue.ok_value, changes, detail, remedy))

    def _audit_record(
        self,
        new_version: CurrentVersion,
        changes: list[Change],
        metadata: ChangeMetadata,
    ) -> AuditRecord:
        return AuditRecord(
            made=new_version,
            who=metadata.who,
            wall_ms=int(self._clock.wall_ms()),
            why=metadata.why,
            changes=changes[:MAX_RECORDED_CHANGES],
            n_changes=len(changes),
        )


def _retry_delay_s(n_attempts: int) -> float:
    """Return an exponential backoff with jitter after ``n_attempts``."""
    bound_ms = min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2**n_attempts)
    return random.uniform(MIN_RETRY_DELAY_MS, bound_ms) / 1000.0


def _unknown_outcome_error(error: StoreError, operation_id: str) -> StoreError:
    return StoreError(
        StoreErrorKind.UNKNOWN,
        f"it is not known whether the change was accepted: {error.detail}",
        f"repeat the command with --operation-id {operation_id} when the platform "
        "answers; it is never applied twice",
    )


def _not_applied_error(error: StoreError) -> StoreError:
    """Return the error of a change that failed before its commit."""
    if error.kind not in _RETRIABLE_KINDS:
        return error
    return StoreError(
        StoreErrorKind.UNAVAILABLE,
        f"the change was not applied: {error.detail}",
        "repeat the command when the platform answers",
    )
