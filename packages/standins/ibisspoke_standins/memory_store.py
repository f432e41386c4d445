"""In-memory table service and object store of the platform, with faults."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from enum import StrEnum
from typing import NamedTuple, TypeVar

from result import Err, Ok, Result

from ibisspoke_policy.clock import Clock
from ibisspoke_storage.store import (
    Check,
    StoreError,
    StoreErrorKind,
    TableRow,
    Write,
)

Sleep = Callable[[float], Awaitable[None]]
T = TypeVar("T")


class FaultKind(StrEnum):
    """How a fault affects requests.

    ``DOWN`` refuses a request without effect, ``SLOW`` delays its effect, and with
    ``ANSWER_LOST`` a write takes effect but its answer is lost.
    """

    DOWN = "down"
    SLOW = "slow"
    ANSWER_LOST = "answer_lost"


class FaultScope(StrEnum):
    """Which requests a fault applies to."""

    ALL = "all"
    READS = "reads"
    WRITES = "writes"


class Fault(NamedTuple):
    """A fault that ends after ``n_requests`` or ``for_ms``, whichever is set.

    :param delay_ms: delay before a slow request takes effect.
    """

    kind: FaultKind
    scope: FaultScope = FaultScope.ALL
    n_requests: int | None = None
    for_ms: float | None = None
    delay_ms: float = 0.0

    def applies_to(self, is_write: bool) -> bool:
        """Return whether the fault applies to a read or a write."""
        if self.kind is FaultKind.ANSWER_LOST and not is_write:
            return False
        if self.scope is FaultScope.ALL:
            return True
        return (self.scope is FaultScope.WRITES) == is_write


class StoreStats(NamedTuple):
    """Numbers of requests served or refused since the start."""

    n_reads: int
    n_writes: int
    n_commits_applied: int


class _ActiveFault:
    """An injected fault and its remaining requests or time."""

    def __init__(self, fault: Fault, now_ms: float) -> None:
        self.fault = fault
        self.n_left = fault.n_requests
        self.until_ms = None if fault.for_ms is None else now_ms + fault.for_ms

    def is_over(self, now_ms: float) -> bool:
        """Return whether the fault applies to no further request."""
        if self.n_left is not None and self.n_left <= 0:
            return True
        return self.until_ms is not None and now_ms >= self.until_ms

    def count_request(self) -> Fault:
        """Count one affected request and return the fault."""
        if self.n_left is not None:
            self.n_left -= 1
        return self.fault


class MemoryStore:
    """Implement ``TableService`` and ``ObjectStore`` in memory.

    :param clock: ends faults that have a duration.
    :param sleep: waits for a number of seconds; replaced in tests.
    """

    def __init__(
        self, clock: Clock | None = None, sleep: Sleep = asyncio.sleep
    ) -> None:
        self._clock = clock or Clock()
        self._sleep = sleep
        self._rows_by_key: dict[str, TableRow] = {}
        self._objects_by_name: dict[str, bytes] = {}
        self._faults: list[_ActiveFault] = []
        self._revision = 0
        self._n_reads = 0
        self._n_writes = 0
        self._n_commits_applied = 0

    def __repr__(self) -> str:
        n_rows, n_objects = len(self._rows_by_key), len(self._objects_by_name)
        return f"MemoryStore({n_rows} rows, {n_objects} objects)"

    @property
    def stats(self) -> StoreStats:
        """Numbers of requests so far."""
        return StoreStats(self._n_reads, self._n_writes, self._n_commits_applied)

    @property
    def object_names(self) -> list[str]:
        """Names of all objects, sorted."""
        return sorted(self._objects_by_name)

    @property
    def object_sizes(self) -> dict[str, int]:
        """Size in bytes of each object, by name."""
        return {name: len(data) for name, data in self._objects_by_name.items()}

    def inject(self, fault: Fault) -> None:
        """Start a fault."""
        self._faults.append(_ActiveFault(fault, self._clock.now_ms()))

    def clear_faults(self) -> None:
        """End all faults."""
        self._faults.clear()

    async def read(self, key: str) -> Result[TableRow, StoreError]:
        """Return the row of ``key``; an absent row has version 0."""
        refused = await self._begin_request(is_write=False)
        if isinstance(refused, Err):
            return refused
        return Ok(self._row(key))

    async def scan(self, prefix: str) -> Result[list[TableRow], StoreError]:
        """Return the rows whose keys start with ``prefix``, by key."""
        refused = await self._begin_request(is_write=False)
        if isinstance(refused, Err):
            return refused
        keys = sorted(key for key in self._rows_by_key if key.startswith(prefix))
        return Ok([self._rows_by_key[key] for key in keys])

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[list[TableRow], StoreError]:
        """Apply all writes if every check holds, otherwise none."""
        fault = await self._begin_request(is_write=True)
        if isinstance(fault, Err):
            return fault
        for check in checks:
            if self._row(check.key).version != check.version:
                return _result_after_fault(
                    fault.ok_value, Err(_conflict_error(check.key))
                )
        rows = [self._apply(write) for write in writes]
        self._n_commits_applied += 1
        return _result_after_fault(fault.ok_value, Ok(rows))

    async def get(self, name: str) -> Result[bytes, StoreError]:
        """Return an object, or ``NOT_FOUND``."""
        refused = await self._begin_request(is_write=False)
        if isinstance(refused, Err):
            return refused
        data = self._objects_by_name.get(name)
        if data is None:
            return Err(_not_found_error(name))
        return Ok(data)

    async def put(self, name: str, data: bytes) -> Result[None, StoreError]:
        """Store an object; storing the same bytes again is allowed."""
        fault = await self._begin_request(is_write=True)
        if isinstance(fault, Err):
            return fault
        stored = self._objects_by_name.setdefault(name, data)
        if stored != data:
            return _result_after_fault(fault.ok_value, Err(_immutable_error(name)))
        return _result_after_fault(fault.ok_value, Ok(None))

    async def _begin_request(self, is_write: bool) -> Result[Fault | None, StoreError]:
        """Count a request and apply the first fault that matches it.

        :returns: the fault; its caller must drop the answer if that is lost.
        """
        self._n_writes += is_write
        self._n_reads += not is_write
        fault = self._next_fault(is_write)
        if fault is not None and fault.kind is FaultKind.DOWN:
            return Err(_unavailable_error())
        if fault is not None and fault.kind is FaultKind.SLOW:
            await self._sleep(fault.delay_ms / 1000.0)
        return Ok(fault)

    def _next_fault(self, is_write: bool) -> Fault | None:
        now_ms = self._clock.now_ms()
        self._faults = [fault for fault in self._faults if not fault.is_over(now_ms)]
        for active in self._faults:
            if active.fault.applies_to(is_write):
                return active.count_request()
        return None

    def _row(self, key: str) -> TableRow:
        return self._rows_by_key.get(key) or TableRow(key, 0, b"")

    def _apply(self, write: Write) -> TableRow:
        self._revision += 1
        if write.value is None:
            self._rows_by_key.pop(write.key, None)
            return TableRow(write.key, 0, b"")
        row = TableRow(write.key, self._revision, write.value)
        self._rows_by_key[write.key] = row
        return row


def _result_after_fault(
    fault: Fault | None, answer: Result[T, StoreError]
) -> Result[T, StoreError]:
    if fault is not None and fault.kind is FaultKind.ANSWER_LOST:
        return Err(_answer_lost_error())
    return answer


def _unavailable_error() -> StoreError:
    return StoreError(
        StoreErrorKind.UNAVAILABLE, "the platform is down", "retry when it is up"
    )


def _answer_lost_error() -> StoreError:
    return StoreError(
        StoreErrorKind.UNKNOWN,
        "the answer to a write was lost",
        "read back what was written before you write again",
    )


def _conflict_error(key: str) -> StoreError:
    return StoreError(
        StoreErrorKind.CONFLICT,
        f"row {key} was changed by somebody else",
        "read the row again and repeat the change on top of it",
    )


def _not_found_error(name: str) -> StoreError:
    return StoreError(
        StoreErrorKind.NOT_FOUND, f"no object {name}", "check the name of the object"
    )


def _immutable_error(name: str) -> StoreError:
    return StoreError(
        StoreErrorKind.INVALID,
        f"object {name} exists with other content",
        "choose another name; objects never change",
    )
