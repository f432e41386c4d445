"""Watch on a table of the store that continues after outages."""

import asyncio
import random
from collections.abc import Callable

from result import Err, Result

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.store_position import StoreEra
from ibisspoke_storage.store import StoreError, StoreErrorKind

from .decision_log import DecisionLog
from .store import Changes, WatchedTables

MIN_PAUSE_MS = 150.0  # after a failed call; random, since all nodes may fail at once
MAX_PAUSE_MS = 900.0
IDLE_POLL_MS = 250.0  # between checks whether this node should watch


class TableWatch:
    """Watches a table while that is wanted: a snapshot first, then its changes.

    :param wait_ms: maximum wait of a long poll for changes.
    :param is_wanted: returns whether this node should watch the table now.
    :param wait_limit_ms: returns in how long a read is wanted even without changes.
    :param era: of the store; after it rose, the table is read again.
    :ivar has_read: whether the table has been read since the start.
    :param on_changes: called with rows, whether they are the whole table, and when the
        call that returned them started, on the suspension-aware clock.
    """

    def __init__(
        self,
        store: WatchedTables,
        table: str,
        wait_ms: int,
        is_wanted: Callable[[], bool],
        clock: Clock,
        log: DecisionLog,
        on_changes: Callable[[Changes, bool, float], None],
        wait_limit_ms: Callable[[], float],
        era: StoreEra,
    ) -> None:
        self._store = store
        self._table = table
        self._wait_ms = wait_ms
        self._is_wanted = is_wanted
        self._clock = clock
        self._log = log
        self._on_changes = on_changes
        self._wait_limit_ms = wait_limit_ms
        self._era = era
        self._read_era = 0
        self._poll: asyncio.Task[Result[Changes, StoreError]] | None = None
        era.on_rise.append(self._handle_new_era)
        self._after: int | None = None
        self._lost_since_ms: float | None = None
        self._n_failed = 0
        self.has_read = False

    def __repr__(self) -> str:
        return f"TableWatch({self._table!r}, after={self._after})"

    @property
    def is_lost(self) -> bool:
        """Whether the last call failed."""
        return self._lost_since_ms is not None

    async def run(self) -> None:
        """Watch the table, until cancelled."""
        while True:
            if not self._is_wanted():
                self._after = None
                await asyncio.sleep(IDLE_POLL_MS / 1000.0)
                continue
            started_ms = self._clock.boot_ms()
            is_snapshot = self._after is None
            if self._after is None:
                result = await self._store.snapshot(self._table)
            else:
                # after a failure, a long poll would delay the notice of recovery
                wait_ms = self._wait_ms if self._lost_since_ms is None else 0
                wait_ms = int(min(wait_ms, self._wait_limit_ms() + 1.0))
                polled = await self._changes(self._after, wait_ms)
                if polled is None:
                    self._after = None
                    continue
                result = polled
            if isinstance(result, Err):
                await self._handle_failure(result.err_value)
                continue
            self._handle_success()
            self.has_read = True
            changes = result.ok_value
            if self._after is not None and (
                changes.version < self._after or changes.era != self._read_era
            ):
                self._after = None  # the store has another history; read a snapshot
                continue
            self._after = changes.version
            self._read_era = changes.era
            self._on_changes(changes, is_snapshot, started_ms)

    async def _changes(
        self, after: int, wait_ms: int
    ) -> Result[Changes, StoreError] | None:
        """Wait for changes; return None if the era rises meanwhile."""
        if self._read_era != self._era.value:
            return None
        changes = self._store.changes(self._table, after, wait_ms)
        self._poll = asyncio.ensure_future(changes)
        try:
            await asyncio.wait([self._poll])
            return None if self._poll.cancelled() else self._poll.result()
        finally:
            self._poll.cancel()
            self._poll = None

    def _handle_new_era(self, era: int) -> None:
        """End a long poll that continues from a version of an earlier era."""
        if self._poll is not None:
            self._poll.cancel()

    async def _handle_failure(self, error: StoreError) -> None:
        if error.kind is StoreErrorKind.NOT_FOUND:
            self._after = None
            self._log.write("store history lost", table=self._table)
            return
        now_ms = self._clock.now_ms()
        if self._lost_since_ms is None:
            self._lost_since_ms = now_ms
            self._log.write(
                "store lost", table=self._table, kind=error.kind, detail=error.detail
            )
        self._n_failed += 1
        pause_ms = min(MAX_PAUSE_MS, MIN_PAUSE_MS * 2 ** min(self._n_failed, 4))
        await asyncio.sleep(random.uniform(0.5, 1.0) * pause_ms / 1000.0)

    def _handle_success(self) -> None:
        self._n_failed = 0
        if self._lost_since_ms is None:
            return
        lost_ms = self._clock.now_ms() - self._lost_since_ms
        self._lost_since_ms = None
        self._log.write("store regained", table=self._table, after_ms=int(lost_ms))
