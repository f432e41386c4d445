"""Watch on a table of the store that continues after outages."""

import asyncio
import random
from collections.abc import Callable

from result import Err

from ibisspoke_policy.clock import Clock
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
    ) -> None:
        self._store = store
        self._table = table
        self._wait_ms = wait_ms
        self._is_wanted = is_wanted
        self._clock = clock
        self._log = log
        self._on_changes = on_changes
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
                result = await self._store.changes(self._table, self._after, wait_ms)
            if isinstance(result, Err):
                await self._handle_failure(result.err_value)
                continue
            self._handle_success()
            self.has_read = True
            changes = result.ok_value
            if self._after is not None and changes.version < self._after:
                self._after = None  # the store has another history; read a snapshot
                continue
            self._after = changes.version
            self._on_changes(changes, is_snapshot, started_ms)

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
