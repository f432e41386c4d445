"""Table service and object store in memory, with the faults of the real ones."""

import asyncio
from collections.abc import Sequence

from result import Err, Ok, Result

from ibisspoke_platform.store import (
    Check,
    StoreError,
    StoreErrorKind,
    TableRow,
    Write,
)


class MemoryStore:
    """Hold rows and objects; tests set the faults.

    :param delay_ms: time that each request takes.
    """

    def __init__(self, delay_ms: float = 0.0) -> None:
        self.delay_ms = delay_ms
        self.down = False
        self.n_lost_answers = 0
        self.n_reads = 0
        self.n_writes = 0
        self._rows_by_key: dict[str, TableRow] = {}
        self._objects_by_name: dict[str, bytes] = {}
        self._version = 0

    def __repr__(self) -> str:
        return f"MemoryStore({len(self._rows_by_key)} rows)"

    async def read(self, key: str) -> Result[TableRow, StoreError]:
        """Return the row of ``key``; an absent row has version 0."""
        self.n_reads += 1
        await self._pause()
        if self.down:
            return Err(_unavailable())
        return Ok(self._row(key))

    async def scan(self, prefix: str) -> Result[list[TableRow], StoreError]:
        """Return the rows whose keys start with ``prefix``, by key."""
        self.n_reads += 1
        await self._pause()
        if self.down:
            return Err(_unavailable())
        keys = sorted(key for key in self._rows_by_key if key.startswith(prefix))
        return Ok([self._rows_by_key[key] for key in keys])

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[list[TableRow], StoreError]:
        """Apply all writes if every check holds, else none."""
        self.n_writes += 1
        await self._pause()
        if self.down:
            return Err(_unavailable())
        if any(self._row(check.key).version != check.version for check in checks):
            return Err(_conflict())
        written = [self._write(write) for write in writes]
        if self.n_lost_answers > 0:
            self.n_lost_answers -= 1
            return Err(_lost())
        return Ok(written)

    async def get(self, name: str) -> Result[bytes, StoreError]:
        """Return an object, or ``NOT_FOUND``."""
        self.n_reads += 1
        await self._pause()
        if self.down:
            return Err(_unavailable())
        data = self._objects_by_name.get(name)
        return Err(_not_found(name)) if data is None else Ok(data)

    async def put(self, name: str, data: bytes) -> Result[None, StoreError]:
        """Store an object."""
        self.n_writes += 1
        await self._pause()
        if self.down:
            return Err(_unavailable())
        self._objects_by_name[name] = data
        return Ok(None)

    def _row(self, key: str) -> TableRow:
        return self._rows_by_key.get(key, TableRow(key, 0, b""))

    def _write(self, write: Write) -> TableRow:
        self._version += 1
        row = TableRow(write.key, self._version, write.value or b"")
        if write.value is None:
            self._rows_by_key.pop(write.key, None)
        else:
            self._rows_by_key[write.key] = row
        return row

    async def _pause(self) -> None:
        await asyncio.sleep(self.delay_ms / 1000.0)


def _unavailable() -> StoreError:
    return StoreError(StoreErrorKind.UNAVAILABLE, "the store is down", "retry later")


def _conflict() -> StoreError:
    return StoreError(StoreErrorKind.CONFLICT, "a check failed", "read and retry")


def _lost() -> StoreError:
    return StoreError(StoreErrorKind.UNKNOWN, "the answer was lost", "read it back")


def _not_found(name: str) -> StoreError:
    return StoreError(StoreErrorKind.NOT_FOUND, f"no object {name}", "store it first")
