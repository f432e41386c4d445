"""Discovery of nodes through rows of the store."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

import msgspec
from result import Err, Ok

from ibisspoke_policy.store_position import StoreEra, StorePosition
from ibisspoke_policy.upstream_tracker import UpstreamProcess
from ibisspoke_storage.store import (
    Check,
    StoreError,
    StoreErrorKind,
    TableRow,
    Write,
)

from .decision_log import DecisionLog
from .fleet import Fleet
from .member_record import MemberRecord, decode_record, encode_record
from .metrics import NodeMetrics
from .store import UNKNOWN_VERSION, Changes, WatchedTables

MEMBER_TABLE = "members"
MIN_PAUSE_MS = 200.0  # after a failed call; random, since all nodes may retry at once
MAX_PAUSE_MS = 1_500.0
READ_INTERVAL_MS = 60_000.0  # a fallback; nodes send each other their records
FULL_RATE_NODES = 100  # larger fleets read less often, to limit calls
MIN_SECOND_READ_MS = 700.0  # after the first; others may contact a starting node sooner
MAX_SECOND_READ_MS = 1_500.0
# After the store was restored from a copy, in which all nodes write their rows again.
REWRITE_SPREAD_MS = 1_000.0
DEPARTURE_SPREAD_MS = 200.0  # the same for rows with departures
LATE_READ_MS = 500.0  # of the first read; a store under load at a start takes less
SAVE_WAIT_MS = 300.0  # upstreams wait 1 s; a slow store takes 240 ms


class MemberRows:
    """Keeps this node's row up to date, and reads the rows of other nodes.

    Each node reads the table after it has written its row, and sends its record to the
    nodes that it finds. Of two nodes, the one that reads later finds the other. A node
    that is already known to a relay by then need not read a second time.

    :param is_introduced: returns whether a relay of the data centre knows this node.
    :param on_new_nodes: called after a read that found new nodes.
    :param on_previous_record: called once, with the record that an earlier process of
        this VM has written, or None if there is none.
    :param era: of the store; after it rose, the row is written again.
    :ivar was_late: whether the store did not answer the first read at once, so that it
        may have been away while an earlier process ran.
    """

    def __init__(
        self,
        store: WatchedTables,
        fleet: Fleet,
        log: DecisionLog,
        is_introduced: Callable[[], bool],
        on_new_nodes: Callable[[], None],
        on_previous_record: Callable[[MemberRecord | None], None],
        metrics: NodeMetrics,
        era: StoreEra,
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._log = log
        self._is_introduced = is_introduced
        self._on_new_nodes = on_new_nodes
        self._on_previous_record = on_previous_record
        self._metrics = metrics
        self.previous_record_known = asyncio.Event()
        self.was_late = False
        self._era = era
        era.on_rise.append(self._handle_new_era)
        self._era_risen_s = float("-inf")
        self._row = StorePosition()
        self._saved = asyncio.Event()
        self._saved_departures: set[UpstreamProcess] = set()
        self._write_wanted = asyncio.Event()
        self._first_written = asyncio.Event()
        self._written_order: tuple[int, int] | None = None
        self._is_stopping = False

    def __repr__(self) -> str:
        return f"MemberRows(written={self._written_order})"

    def publish(self) -> None:
        """Write this node's row soon."""
        self._write_wanted.set()

    def remove(self) -> None:
        """Remove the row soon, in a planned stop; other nodes know the record.

        If the upstream is leaving, also if it says so later in the stop, the row is
        written instead, so that a node that restarts on this VM knows it.
        """
        self._is_stopping = True
        self.publish()

    @property
    def has_departures(self) -> bool:
        """Whether the row in the store has all departures that this node knows."""
        own = self._fleet.own
        return own is None or set(own.departures) <= self._saved_departures

    async def wait_until_saved(self) -> bool:
        """Wait for a short time until the row has all departures.

        :returns: whether it has them, so that a restart does not undo them.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(SAVE_WAIT_MS / 1000.0):
                while not self.has_departures:
                    await self._saved.wait()
                    self._saved.clear()
                return True
        self._log.write("member row late", wait_ms=int(SAVE_WAIT_MS))
        return False

    async def publish_changes(self) -> None:
        """Write the row whenever it has changed, until cancelled."""
        await self.previous_record_known.wait()
        n_failed = 0
        while True:
            await self._write_wanted.wait()
            self._write_wanted.clear()
            own = self._fleet.own
            if own is None:
                continue
            is_removal = self._is_stopping and not own.is_leaving
            if is_removal and self._written_order is None:
                continue
            value = None if is_removal else encode_record(own)
            era = self._era.value
            error = await self._write(own.node, value)
            if error is None and era != self._era.value:
                self._write_wanted.set()  # the copy may lack what was written
                continue
            if error is not None:
                n_failed += 1
                self._log.write("member row not written", detail=error.detail)
                if n_failed > 1 or error.kind is not StoreErrorKind.CONFLICT:
                    await asyncio.sleep(_pause_s(n_failed))
                self._write_wanted.set()
                continue
            n_failed = 0
            self._first_written.set()
            self._written_order = None if is_removal else own.order
            self._saved_departures = set() if is_removal else set(own.departures)
            self._saved.set()

    async def _write(self, node: str, value: bytes | None) -> StoreError | None:
        """Replace or remove the row, on condition that it has the last known version.

        A write that got no response may still be applied later. The condition prevents
        it from overwriting a newer one. There is no such condition for a row of which
        no version can be read, since nothing else would ever replace it.
        """
        key = _key(node)
        if self._row.era != self._era.value:
            latest = await self._store.read(key)
            if isinstance(latest, Err):
                return latest.err_value
            self._row = StorePosition(self._era.value, latest.ok_value.version)
        checks = [Check(key, self._row.version)]
        if self._row.version == UNKNOWN_VERSION:
            checks = []
        result = await self._store.commit(checks, [Write(key, value)])
        if isinstance(result, Ok):
            is_removed = value is None
            version = 0 if is_removed else result.ok_value[0].version
            self._row = StorePosition(self._era.value, version)
            return None
        error = result.err_value
        if error.kind is StoreErrorKind.CONFLICT:
            latest = await self._store.read(key)
            if isinstance(latest, Err):
                return latest.err_value
            version = latest.ok_value.version
            # A row that conflicts with the version that it shows is malformed, and so
            # is one that conflicts but does not show at all.
            is_malformed = StorePosition(self._era.value, version) == self._row
            version = UNKNOWN_VERSION if is_malformed else version
            self._row = StorePosition(self._era.value, version)
        return error

    def _handle_new_era(self, era: int) -> None:
        """Write the row again, as the copy may lack it."""
        self._saved_departures = set()
        loop = asyncio.get_running_loop()
        self._era_risen_s = loop.time()
        own = self._fleet.own
        if own is None or self._written_order is None:
            return
        spread_ms = DEPARTURE_SPREAD_MS if own.departures else REWRITE_SPREAD_MS
        loop.call_later(random.random() * spread_ms / 1000.0, self.publish)

    async def poll(self) -> None:
        """Read the table at the start and periodically, until cancelled."""
        await self._read()
        with suppress(TimeoutError):
            async with asyncio.timeout(READ_INTERVAL_MS / 1000.0):
                await self._first_written.wait()
        pause_ms = random.uniform(MIN_SECOND_READ_MS, MAX_SECOND_READ_MS)
        await asyncio.sleep(pause_ms / 1000.0)
        if not self._is_introduced():
            await self._read()
        while True:
            n_known = len(self._fleet.peers_by_id)
            pause_ms = READ_INTERVAL_MS * max(1.0, n_known / FULL_RATE_NODES)
            await asyncio.sleep(random.uniform(0.8, 1.2) * pause_ms / 1000.0)
            await self._read()

    async def _read(self) -> None:
        """Read the table; repeat it until it succeeds."""
        n_failed = 0
        started_s = asyncio.get_running_loop().time()
        while isinstance(result := await self._store.snapshot(MEMBER_TABLE), Err):
            n_failed += 1
            await asyncio.sleep(_pause_s(n_failed))
        if not self.previous_record_known.is_set():
            taken_s = asyncio.get_running_loop().time() - started_s
            self.was_late = n_failed > 0 or taken_s > LATE_READ_MS / 1000.0
        self._apply_changes(result.ok_value)

    def _apply_changes(self, changes: Changes) -> None:
        rows = changes.rows
        known = set(self._fleet.peers_by_id)
        own = self._fleet.own
        own_row = None
        for row in rows:
            record = self._decode(row)
            if own is not None and row.key == own.node:
                own_row = row
            if record is not None:
                self._fleet.update_record(record)
        keys = {row.key for row in rows}
        # A copy may lack rows of nodes that will write them again.
        now_s = asyncio.get_running_loop().time()
        if now_s - self._era_risen_s > READ_INTERVAL_MS / 1000.0:
            for node in known - keys:
                self._fleet.remove_node(node)
        if not self.previous_record_known.is_set():
            self._restore_previous(own_row, changes.era)
        elif self._written_order is not None and self._is_replaced(
            own_row, changes.era
        ):
            self.publish()
        if set(self._fleet.peers_by_id) - known:
            self._on_new_nodes()

    def _is_replaced(self, row: TableRow | None, era: int) -> bool:
        """Return whether another writer has removed or replaced this node's row."""
        if row is None or row.version == UNKNOWN_VERSION:
            return True
        return StorePosition(era, row.version) > self._row

    def _restore_previous(self, row: TableRow | None, era: int) -> None:
        """Pass on the row that an earlier process of this VM has written."""
        self._row = StorePosition(era, row.version if row is not None else 0)
        record = self._decode(row) if row is not None else None
        is_of_era = era == self._era.value
        saved = record.all_departures if record is not None and is_of_era else ()
        self._saved_departures = set(saved)
        self._on_previous_record(record)
        self.previous_record_known.set()

    def _decode(self, row: TableRow) -> MemberRecord | None:
        """Return the record of a row, or None if it is malformed and skipped."""
        try:
            record = decode_record(row.value)
            fault = self._fault_of(row.key, record)
            if fault is None:
                return record
        except msgspec.MsgspecError as error:
            fault = str(error)
        self._metrics.count_bad_row(MEMBER_TABLE, "record")
        self._log.write("member row unreadable", key=row.key, detail=fault)
        return None

    def _fault_of(self, key: str, record: MemberRecord) -> str | None:
        if record.node != key:
            return f"it names another node: {record.node}"
        if record.contradicts_itself:
            return "its upstream is ready and has departed"
        return self._fleet.fault_of(record)


def _pause_s(n_failed: int) -> float:
    pause_ms: float = min(MAX_PAUSE_MS, MIN_PAUSE_MS * 2 ** min(n_failed, 4))
    return random.uniform(0.5, 1.0) * pause_ms / 1000.0


def _key(node: str) -> str:
    return f"{MEMBER_TABLE}/{node}"
