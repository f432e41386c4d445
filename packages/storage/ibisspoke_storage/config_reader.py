"""Read versions of the catalogue from the platform."""

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
    unreadable_record_error,
)
from .store import ObjectStore, StoreError, StoreErrorKind, TableRow, TableService


class ConfigReader:
    """Read versions of the catalogue.

    :param table: holds the current version and the audit rows.
    :param objects: holds the snapshots and the change objects.
    """

    def __init__(self, table: TableService, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    async def read_current_version(self) -> Result[CurrentVersion, StoreError]:
        """Return the current version; reads one small row."""
        row = await self._table.read(CURRENT_KEY)
        return row.and_then(decode_current_version)

    async def read_catalogue(
        self, current: CurrentVersion, known: Catalogue = EMPTY_CATALOGUE
    ) -> Result[Catalogue, StoreError]:
        """Return the catalogue of a version after verifying its digest.

        :param known: a catalogue that the caller has. If it is the previous version or
            that of the latest full snapshot, only a small change object is read.
        """
        if current.version == 0:
            return Ok(EMPTY_CATALOGUE)
        is_next_version = known.version == current.version - 1
        if current.is_base and not is_next_version:
            return await self._read_base(current)
        stored_change = await self._read_change(current)
        if isinstance(stored_change, Ok) and is_next_version:
            updated = _apply_change(known, stored_change.ok_value.step, current)
            if isinstance(updated, Ok):
                return updated
        if current.is_base:
            return await self._read_base(current)
        if isinstance(stored_change, Err):
            return stored_change
        base: Result[Catalogue, StoreError] = Ok(known)
        if known.version != current.base_version:
            base = await self._read_base(current)
        return base.and_then(
            lambda catalogue: _apply_change(
                catalogue, stored_change.ok_value.since_base, current
            )
        )

    async def read_current_catalogue(self) -> Result[Catalogue, StoreError]:
        """Return the catalogue in force."""
        current = await self.read_current_version()
        if isinstance(current, Err):
            return current
        return await self.read_catalogue(current.ok_value)

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

    async def read_catalogue_at(self, version: int) -> Result[Catalogue, StoreError]:
        """Return the catalogue of a version; version 0 is the empty catalogue."""
        if version == 0:
            return Ok(EMPTY_CATALOGUE)
        audit = await self.read_audit(version)
        if isinstance(audit, Err):
            return audit
        return await self.read_catalogue(audit.ok_value.made)

    async def find_operation(
        self, operation_id: str
    ) -> Result[OperationRecord | None, StoreError]:
        """Return the record of an operation, or None if it created no version."""
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

    async def read_history(
        self, n_records: int, before_version: int | None = None
    ) -> Result[list[AuditRecord], StoreError]:
        """Return audit records, newest first.

        Reads pages of at most ``AUDIT_PAGE_ROWS`` rows, and only the pages needed.

        :param n_records: maximum number of records.
        :param before_version: return only versions below this one.
        """
        current = await self.read_current_version()
        if isinstance(current, Err):
            return current
        last_version = current.ok_value.version
        if before_version is not None:
            last_version = min(last_version, before_version - 1)
        records: list[AuditRecord] = []
        while last_version > 0 and len(records) < n_records:
            page = await self._read_audit_page(last_version)
            if isinstance(page, Err):
                return page
            records.extend(
                record for record in page.ok_value if record.version <= last_version
            )
            last_version = last_version // AUDIT_PAGE_ROWS * AUDIT_PAGE_ROWS - 1
        return Ok(records[:n_records])

    async def _read_change(
        self, current: CurrentVersion
    ) -> Result[StoredChange, StoreError]:
        name = change_name(current.version, current.digest)
        data = await self._objects.get(name)
        return data.and_then(lambda content: decode_record(content, StoredChange, name))

    async def _read_base(
        self, current: CurrentVersion
    ) -> Result[Catalogue, StoreError]:
        """Return the catalogue of the latest full snapshot."""
        name = snapshot_name(current.base_version, current.base_digest)
        data = await self._objects.get(name)
        return data.and_then(
            lambda content: _decode_snapshot(
                content, current.base_version, current.base_digest
            )
        )

    async def _read_audit_page(
        self, version: int
    ) -> Result[list[AuditRecord], StoreError]:
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


def decode_current_version(row: TableRow) -> Result[CurrentVersion, StoreError]:
    """Decode the row of the current version; version 0 if there is no row."""
    if row.version == 0:
        return Ok(NO_VERSION)
    return decode_record(row.value, CurrentVersion, row.key)


def _decode_snapshot(
    data: bytes, version: int, digest: str
) -> Result[Catalogue, StoreError]:
    name = snapshot_name(version, digest)
    if digest_snapshot(data) != digest:
        return Err(
            unreadable_record_error(name, "its digest differs from that of its version")
        )
    try:
        catalogue = decode_catalogue(data)
    except msgspec.DecodeError as error:
        return Err(unreadable_record_error(name, str(error)))
    if catalogue.version != version:
        return Err(
            unreadable_record_error(name, f"it holds version {catalogue.version}")
        )
    return Ok(catalogue)


def _apply_change(
    old: Catalogue, delta: CatalogueDelta, current: CurrentVersion
) -> Result[Catalogue, StoreError]:
    name = change_name(current.version, current.digest)
    if (delta.to_version, delta.digest) != (current.version, current.digest):
        return Err(unreadable_record_error(name, "it is for another version"))
    return apply_delta(old, delta).map_err(
        lambda reason: unreadable_record_error(name, reason)
    )
