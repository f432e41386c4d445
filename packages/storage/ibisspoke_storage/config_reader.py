"""Versions of the catalogue on the platform: the reading side."""

import msgspec
from result import Err, Ok, Result

from ibisspoke_policy.catalogue import EMPTY_CATALOGUE, Catalogue, decode_catalogue
from ibisspoke_policy.catalogue_delta import (
    CatalogueDelta,
    apply_delta,
    digest_snapshot,
)

from .config_records import (
    AUDIT_PAGE_ROWS,
    CURRENT_KEY,
    IN_FORCE_PREFIX,
    NO_VERSION,
    AuditRecord,
    CurrentVersion,
    InForceRecord,
    OperationRecord,
    StoredChange,
    audit_key,
    audit_page_prefix,
    change_name,
    decode_record,
    operation_key,
    snapshot_name,
    unreadable,
)
from .store import ObjectStore, StoreError, StoreErrorKind, TableRow, TableService


class ConfigReader:
    """Read versions of the catalogue.

    :param table: holds the current version and the audit rows.
    :param objects: holds the snapshots.
    """

    def __init__(self, table: TableService, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    async def read_version(self) -> Result[CurrentVersion, StoreError]:
        """Return the current version; one read of one small row."""
        row = await self._table.read(CURRENT_KEY)
        return row.and_then(decode_current)

    async def read_snapshot(
        self, current: CurrentVersion, known: Catalogue = EMPTY_CATALOGUE
    ) -> Result[Catalogue, StoreError]:
        """Return the catalogue of a version after checking its digest.

        :param known: a catalogue at hand; from the version before, or from that of
            the latest whole snapshot, one small object leads on.
        """
        if current.version == 0:
            return Ok(EMPTY_CATALOGUE)
        is_next = known.version == current.version - 1
        if current.is_base and not is_next:
            return await self._read_base(current)
        change = await self._read_change(current)
        if isinstance(change, Ok) and is_next:
            stepped = _apply(known, change.ok_value.step, current)
            if isinstance(stepped, Ok):
                return stepped
        if current.is_base:
            return await self._read_base(current)
        if isinstance(change, Err):
            return change
        base: Result[Catalogue, StoreError] = Ok(known)
        if known.version != current.base_version:
            base = await self._read_base(current)
        return base.and_then(
            lambda found: _apply(found, change.ok_value.since_base, current)
        )

    async def read_current(self) -> Result[Catalogue, StoreError]:
        """Return the catalogue in force."""
        current = await self.read_version()
        if isinstance(current, Err):
            return current
        return await self.read_snapshot(current.ok_value)

    async def read_audit(self, version: int) -> Result[AuditRecord, StoreError]:
        """Return the audit record of one version."""
        row = await self._table.read(audit_key(version))
        if isinstance(row, Err):
            return row
        if row.ok_value.version == 0:
            return Err(
                StoreError(
                    StoreErrorKind.NOT_FOUND,
                    f"there is no version {version}",
                    "list the versions with `ibisspoke history`",
                )
            )
        return decode_record(row.ok_value.value, AuditRecord, row.ok_value.key)

    async def read_version_at(self, version: int) -> Result[Catalogue, StoreError]:
        """Return the catalogue of any version, 0 being the empty one."""
        if version == 0:
            return Ok(EMPTY_CATALOGUE)
        audit = await self.read_audit(version)
        if isinstance(audit, Err):
            return audit
        return await self.read_snapshot(audit.ok_value.made)

    async def find_operation(
        self, operation_id: str
    ) -> Result[OperationRecord | None, StoreError]:
        """Return the version that an operation made, or None if it made none."""
        key = operation_key(operation_id)
        row = await self._table.read(key)
        if isinstance(row, Err):
            return row
        if row.ok_value.version == 0:
            return Ok(None)
        return decode_record(row.ok_value.value, OperationRecord, key)

    async def read_in_force(self) -> Result[dict[str, InForceRecord], StoreError]:
        """Return the version in force in each data centre that has reported one."""
        rows = await self._table.scan(IN_FORCE_PREFIX)
        if isinstance(rows, Err):
            return rows
        record_by_data_centre: dict[str, InForceRecord] = {}
        for row in rows.ok_value:
            record = decode_record(row.value, InForceRecord, row.key)
            if isinstance(record, Err):
                return record
            record_by_data_centre[record.ok_value.data_centre] = record.ok_value
        return Ok(record_by_data_centre)

    async def history(
        self, n_records: int, before_version: int | None = None
    ) -> Result[list[AuditRecord], StoreError]:
        """Return audit records, newest first.

        Reads pages of at most ``AUDIT_PAGE_ROWS`` rows, and no page more than needed.

        :param n_records: how many at most.
        :param before_version: only versions below it.
        """
        current = await self.read_version()
        if isinstance(current, Err):
            return current
        last = current.ok_value.version
        if before_version is not None:
            last = min(last, before_version - 1)
        records: list[AuditRecord] = []
        while last > 0 and len(records) < n_records:
            page = await self._audit_page(last)
            if isinstance(page, Err):
                return page
            records.extend(record for record in page.ok_value if record.version <= last)
            last = last // AUDIT_PAGE_ROWS * AUDIT_PAGE_ROWS - 1
        return Ok(records[:n_records])

    async def _read_change(
        self, current: CurrentVersion
    ) -> Result[StoredChange, StoreError]:
        name = change_name(current.version, current.digest)
        data = await self._objects.get(name)
        return data.and_then(lambda found: decode_record(found, StoredChange, name))

    async def _read_base(
        self, current: CurrentVersion
    ) -> Result[Catalogue, StoreError]:
        """Return the catalogue of the latest whole snapshot."""
        name = snapshot_name(current.base_version, current.base_digest)
        data = await self._objects.get(name)
        return data.and_then(
            lambda found: _decode_snapshot(
                found, current.base_version, current.base_digest
            )
        )

    async def _audit_page(self, version: int) -> Result[list[AuditRecord], StoreError]:
        rows = await self._table.scan(audit_page_prefix(version))
        if isinstance(rows, Err):
            return rows
        records = []
        for row in reversed(rows.ok_value):
            record = decode_record(row.value, AuditRecord, row.key)
            if isinstance(record, Err):
                return record
            records.append(record.ok_value)
        return Ok(records)


def decode_current(row: TableRow) -> Result[CurrentVersion, StoreError]:
    """Return the current version in its row; an absent row is version 0."""
    if row.version == 0:
        return Ok(NO_VERSION)
    return decode_record(row.value, CurrentVersion, row.key)


def _decode_snapshot(
    data: bytes, version: int, digest: str
) -> Result[Catalogue, StoreError]:
    name = snapshot_name(version, digest)
    if digest_snapshot(data) != digest:
        return Err(unreadable(name, "its digest differs from that of its version"))
    try:
        catalogue = decode_catalogue(data)
    except msgspec.DecodeError as error:
        return Err(unreadable(name, str(error)))
    if catalogue.version != version:
        return Err(unreadable(name, f"it holds version {catalogue.version}"))
    return Ok(catalogue)


def _apply(
    old: Catalogue, delta: CatalogueDelta, current: CurrentVersion
) -> Result[Catalogue, StoreError]:
    name = change_name(current.version, current.digest)
    if (delta.to_version, delta.digest) != (current.version, current.digest):
        return Err(unreadable(name, "it leads to another version"))
    return apply_delta(old, delta).map_err(lambda reason: unreadable(name, reason))
