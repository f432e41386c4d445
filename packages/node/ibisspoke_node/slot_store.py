"""Access to the slot rows in the platform's table, within a request budget."""

import logging
import os
import random
from collections.abc import Sequence
from typing import NamedTuple

import msgspec
from result import Err, Ok, Result

from ibisspoke_policy.backoff import Backoff, RequestBudget
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.slot_lease import ROW_PREFIX, SlotRow, decode_row, encode_row
from ibisspoke_storage.store import (
    Check,
    StoreErrorKind,
    TableRow,
    TableService,
    Write,
)

STORE_REQUESTS_PER_S = 1.0
STORE_BURST_REQUESTS = 20.0

logger = logging.getLogger(__name__)


class StoredRow(NamedTuple):
    """A slot row and its version in the table."""

    row: SlotRow
    version: int


class SlotStore:
    """Read and write slot rows; back off while the platform fails."""

    def __init__(self, table: TableService, clock: Clock, rng: random.Random) -> None:
        self._table = table
        self._clock = clock
        self._backoff = Backoff(rng)
        self._retry_at_ms = clock.now_ms()
        self._budget = RequestBudget(
            STORE_REQUESTS_PER_S, STORE_BURST_REQUESTS, clock.now_ms()
        )

    def __repr__(self) -> str:
        return f"SlotStore({self._backoff!r})"

    @property
    def ready(self) -> bool:
        """Whether the backoff allows a request now."""
        return self._clock.now_ms() >= self._retry_at_ms

    def jittered_ms(self, interval_ms: float) -> float:
        """Return ``interval_ms`` with jitter, so that nodes do not synchronise."""
        return self._backoff.jittered_ms(interval_ms)

    async def scan(self) -> list[StoredRow] | None:
        """Return all rows, or None if the budget is used up or the platform failed."""
        if not self._budget.take(self._clock.now_ms()):
            return None
        scanned = await self._table.scan(ROW_PREFIX)
        if isinstance(scanned, Err):
            self._back_off()
            return None
        self._backoff.succeeded()
        stored = [_decode(table_row) for table_row in scanned.ok_value]
        return [row for row in stored if row is not None]

    async def create(self, rows: Sequence[SlotRow]) -> None:
        """Write ``rows`` if none of them exists; the next scan shows the outcome."""
        if self._budget.take(self._clock.now_ms()):
            checks = [Check(row.key, 0) for row in rows]
            writes = [Write(row.key, encode_row(row)) for row in rows]
            await self._table.commit(checks, writes)

    async def write(
        self, row: SlotRow, checks: Sequence[Check]
    ) -> Result[int, StoredRow | None]:
        """Write ``row`` if every check holds; read it back if the outcome is unknown.

        :returns: its version, or as the error the row found instead, or None if that
            row is unknown.
        """
        if not self._budget.take(self._clock.now_ms()):
            return Err(None)
        result = await self._table.commit(checks, [Write(row.key, encode_row(row))])
        if isinstance(result, Ok):
            self._backoff.succeeded()
            return Ok(result.ok_value[0].version)
        if result.err_value.kind is StoreErrorKind.UNAVAILABLE:
            self._back_off()
            return Err(None)
        return await self._read_back(row)

    async def _read_back(self, row: SlotRow) -> Result[int, StoredRow | None]:
        result = await self._table.read(row.key)
        if isinstance(result, Err):
            self._back_off()
            return Err(None)
        found = _decode(result.ok_value)
        if found is not None and found.row.nonce == row.nonce:
            return Ok(found.version)
        return Err(found)

    def _back_off(self) -> None:
        self._retry_at_ms = self._clock.now_ms() + self._backoff.next_delay_ms()


def new_nonce() -> str:
    """Return a nonce for one write."""
    return os.urandom(8).hex()


def _decode(table_row: TableRow) -> StoredRow | None:
    if table_row.version == 0:
        return None
    try:
        return StoredRow(decode_row(table_row.value), table_row.version)
    except msgspec.DecodeError as error:
        logger.error(
            "quota row cannot be read",
            extra={"key": table_row.key, "reason": str(error)},
        )
        return None
