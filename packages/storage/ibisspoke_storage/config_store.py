"""Versions of the catalogue on the platform: the writing side."""

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

from .config_reader import ConfigReader, decode_current
from .config_records import (
    CURRENT_KEY,
    MAX_CHANGE_SHARE,
    MAX_RECORDED_CHANGES,
    SNAPSHOT_INTERVAL,
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

MAX_TRIES = 6
FIRST_RETRY_MS = 100.0
MAX_RETRY_MS = 2_000.0

_RETRIABLE = (StoreErrorKind.UNAVAILABLE, StoreErrorKind.UNKNOWN)

Sleep = Callable[[float], Awaitable[None]]


class ChangeNote(NamedTuple):
    """Who changes the catalogue and why, kept in the audit record.

    :param operation_id: names this change; repeating it never applies it twice.
    """

    operation_id: str
    who: str
    why: str


class Published(NamedTuple):
    """A change that is accepted.

    :param already: whether an earlier attempt of the operation had applied it.
    """

    version: int
    already: bool


class PublishConflict(NamedTuple):
    """Somebody else changed the catalogue first.

    :param current: the catalogue that won.
    :param changes: what it changed since the base of this change.
    """

    current: Catalogue
    changes: list[Change]
    detail: str
    remedy: str


PublishError = StoreError | PublishConflict


class ConfigStore(ConfigReader):
    """Read and publish versions of the catalogue.

    :param clock: dates the audit records.
    :param sleep: waits a number of seconds between tries.
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
        self, base: Catalogue, proposed: Catalogue, note: ChangeNote
    ) -> Result[Published, PublishError]:
        """Make ``proposed`` the version after ``base``.

        Lost answers are resolved by the row of the operation, which the same
        transaction writes: it is absent before and can be written only once.

        :param base: the catalogue that the operator saw; it must be the current one.
        :param proposed: the new catalogue; its version follows from ``base``.
        """
        seen = await self.read_version()
        if isinstance(seen, Err):
            return Err(_not_applied(seen.err_value))
        settled = await self._settled(base, seen.ok_value, note.operation_id)
        if isinstance(settled, Err):
            return settled
        if settled.ok_value is not None:
            return Ok(settled.ok_value)
        catalogue = proposed._replace(version=base.version + 1)
        stored = await self._store(base, seen.ok_value, catalogue, note)
        if isinstance(stored, Err):
            return Err(_not_applied(stored.err_value))
        audit = self._audit_record(stored.ok_value, difference(base, catalogue), note)
        return await self._try_commit(base, audit)

    async def _store(
        self,
        base: Catalogue,
        seen: CurrentVersion,
        catalogue: Catalogue,
        note: ChangeNote,
    ) -> Result[CurrentVersion, StoreError]:
        """Store the objects of ``catalogue``: the change, and the whole when due."""
        snapshot = encode_catalogue(catalogue)
        digest = digest_snapshot(snapshot)
        version = catalogue.version
        made = CurrentVersion(version, digest, note.operation_id, version, digest)
        change = await self._encode_change(base, seen, catalogue, digest)
        if isinstance(change, Err):
            return change
        is_small = 0 < len(change.ok_value) <= len(snapshot) * MAX_CHANGE_SHARE
        if is_small:
            stored = await self._try_put(change_name(version, digest), change.ok_value)
            if isinstance(stored, Err):
                return stored
        if is_small and version - seen.base_version < SNAPSHOT_INTERVAL:
            return Ok(
                made._replace(
                    base_version=seen.base_version, base_digest=seen.base_digest
                )
            )
        stored = await self._try_put(snapshot_name(version, digest), snapshot)
        return stored.map(lambda _: made)

    async def _encode_change(
        self, base: Catalogue, seen: CurrentVersion, catalogue: Catalogue, digest: str
    ) -> Result[bytes, StoreError]:
        """Return the object of the change; empty for the first version."""
        if seen.version == 0:
            return Ok(b"")
        whole: Result[Catalogue, StoreError] = Ok(base)
        if not seen.is_base:
            whole = await self._read_base(seen)
        if isinstance(whole, Err):
            return whole
        step = delta_between(base, catalogue, digest)
        since_base = delta_between(whole.ok_value, catalogue, digest)
        return Ok(msgspec.json.encode(StoredChange(step, since_base)))

    async def _try_put(self, name: str, data: bytes) -> Result[None, StoreError]:
        answer = await self._objects.put(name, data)
        for n_tries in range(1, MAX_TRIES):
            if isinstance(answer, Ok) or answer.err_value.kind not in _RETRIABLE:
                break
            await self._sleep(_retry_delay_s(n_tries))
            answer = await self._objects.put(name, data)
        return answer

    async def _try_commit(
        self, base: Catalogue, audit: AuditRecord
    ) -> Result[Published, PublishError]:
        may_be_applied = False
        error = StoreError(StoreErrorKind.UNAVAILABLE, "not tried", "retry")
        for n_tries in range(1, MAX_TRIES + 1):
            answer = await self._commit_once(base, audit)
            if isinstance(answer, Ok):
                return answer
            if not isinstance(answer.err_value, StoreError):
                return answer
            error = answer.err_value
            if error.kind not in _RETRIABLE:
                return Err(error)
            may_be_applied |= error.kind is StoreErrorKind.UNKNOWN
            if n_tries < MAX_TRIES:
                await self._sleep(_retry_delay_s(n_tries))
        if may_be_applied:
            error = _unresolved(error, audit.made.operation_id)
        return Err(error)

    async def _commit_once(
        self, base: Catalogue, audit: AuditRecord
    ) -> Result[Published, PublishError]:
        """Commit unless the operation is applied or the version has moved on."""
        row = await self._table.read(CURRENT_KEY)
        if isinstance(row, Err):
            return row
        seen = decode_current(row.ok_value)
        if isinstance(seen, Err):
            return seen
        settled = await self._settled(base, seen.ok_value, audit.made.operation_id)
        if isinstance(settled, Err):
            return settled
        if settled.ok_value is not None:
            return Ok(settled.ok_value)
        answer = await self._commit(row.ok_value, audit)
        if isinstance(answer, Ok):
            return Ok(Published(audit.version, already=False))
        if answer.err_value.kind is StoreErrorKind.CONFLICT:
            return Err(answer.err_value._replace(kind=StoreErrorKind.UNKNOWN))
        return answer

    async def _settled(
        self, base: Catalogue, seen: CurrentVersion, operation_id: str
    ) -> Result[Published | None, PublishError]:
        """Return the version that the operation made, or None where it may be tried.

        The operation is looked up after the current version: where the version
        moved on without the operation, it can no longer be applied.
        """
        done = await self.find_operation(operation_id)
        if isinstance(done, Err):
            return done
        if done.ok_value is not None:
            return Ok(Published(done.ok_value.version, already=True))
        if seen.version != base.version:
            return await self._conflict(base, seen)
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
        self, base: Catalogue, seen: CurrentVersion
    ) -> Err[PublishError]:
        winner = await self.read_snapshot(seen)
        if isinstance(winner, Err):
            return winner
        detail = (
            f"the catalogue is at version {seen.version}, "
            f"but this change was made on version {base.version}"
        )
        remedy = (
            "look at the difference, put your change on top of it "
            "(`ibisspoke show` prints the catalogue in force) and apply again"
        )
        changes = difference(base, winner.ok_value)
        return Err(PublishConflict(winner.ok_value, changes, detail, remedy))

    def _audit_record(
        self, made: CurrentVersion, changes: list[Change], note: ChangeNote
    ) -> AuditRecord:
        return AuditRecord(
            made=made,
            who=note.who,
            wall_ms=int(self._clock.wall_ms()),
            why=note.why,
            changes=changes[:MAX_RECORDED_CHANGES],
            n_changes=len(changes),
        )


def _retry_delay_s(n_tries: int) -> float:
    """Return the exponential backoff with full jitter after ``n_tries``."""
    bound_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS * 2**n_tries)
    return random.uniform(FIRST_RETRY_MS, bound_ms) / 1000.0


def _unresolved(error: StoreError, operation_id: str) -> StoreError:
    return StoreError(
        StoreErrorKind.UNKNOWN,
        f"it is not known whether the change was accepted: {error.detail}",
        f"repeat the command with --operation-id {operation_id} when the platform "
        "answers; it is never applied twice",
    )


def _not_applied(error: StoreError) -> StoreError:
    """Return the error of a change whose snapshot could not be stored."""
    if error.kind not in _RETRIABLE:
        return error
    return StoreError(
        StoreErrorKind.UNAVAILABLE,
        f"the change was not applied: {error.detail}",
        "repeat the command when the platform answers",
    )
