"""The rows of the store by which nodes find each other."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

import msgspec
from result import Err, Ok

from ibisspoke_storage.store import (
    Check,
    StoreError,
    StoreErrorKind,
    TableRow,
    Write,
)

from .decision_log import DecisionLog
from .fleet import Fleet, MemberRecord
from .store import WatchedTables

MEMBER_TABLE = "members"
MIN_PAUSE_MS = 200.0  # after a failed write; all nodes may write at the same moment
MAX_PAUSE_MS = 1_500.0
FOLLOW_MS = 30_000.0  # a safety net: nodes tell each other of themselves
SMALL_FLEET = 100  # nodes; beyond it each reads less often, so that calls stay few
MIN_READ_PAUSE_MS = 700.0  # a node that starts reads twice, and hears of others then
SAVE_WAIT_MS = 400.0  # upstreams wait a second for an acknowledgement

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(MemberRecord)


class MemberRows:
    """Keep this node's row true, and learn of the others.

    Each node reads the table after it has written its row, and tells all that it
    finds of itself. Of two nodes, the one that reads later finds the other.

    :param on_learned: called after each reading, to tell of this node.
    :param on_past: called with the row that an earlier process of this VM has left, or
        None, once that is known.
    """

    def __init__(
        self,
        store: WatchedTables,
        fleet: Fleet,
        log: DecisionLog,
        on_learned: Callable[[], None],
        on_past: Callable[[MemberRecord | None], None],
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._log = log
        self._on_learned = on_learned
        self._on_past = on_past
        self.past_known = asyncio.Event()
        self._row_version = 0
        self._saved = asyncio.Event()
        self._wanted = asyncio.Event()
        self._read_wanted = asyncio.Event()
        self._written: tuple[int, int] | None = None
        self._is_leaving = False

    def __repr__(self) -> str:
        return f"MemberRows(written={self._written})"

    def publish(self) -> None:
        """Write this node's row soon."""
        if not self._is_leaving:
            self._saved.clear()
            self._wanted.set()

    def look(self) -> None:
        """Read the rows soon: a node was named that nothing is known of."""
        self._read_wanted.set()

    async def saved(self) -> None:
        """Wait a little until the row is written, so that a restart knows of it."""
        with suppress(TimeoutError):
            async with asyncio.timeout(SAVE_WAIT_MS / 1000.0):
                await self._saved.wait()
                return
        self._log.write("member row late", wait_ms=int(SAVE_WAIT_MS))

    async def publish_changes(self) -> None:
        """Write the row whenever it has changed, until cancelled."""
        await self.past_known.wait()
        n_failed = 0
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            own = self._fleet.own
            if own is None:
                continue
            error = await self._write(own.node, _encoder.encode(own))
            if error is not None:
                n_failed += 1
                self._log.write("member row not written", detail=error.detail)
                await asyncio.sleep(_pause_s(n_failed))
                self._wanted.set()
                continue
            n_failed = 0
            if self._written is None:
                self._read_wanted.set()
            self._written = own.order
            if not self._wanted.is_set():
                self._saved.set()

    async def _write(self, node: str, value: bytes | None) -> StoreError | None:
        """Replace the row as it was last seen.

        A write without an answer may still be done later. It is bound to the version
        that it replaces, so it cannot undo a later one.
        """
        key = _key(node)
        result = await self._store.commit(
            [Check(key, self._row_version)], [Write(key, value)]
        )
        if isinstance(result, Ok):
            self._row_version = result.ok_value[0].version
            return None
        error = result.err_value
        if error.kind is StoreErrorKind.CONFLICT:
            latest = await self._store.read(key)
            if isinstance(latest, Err):
                return latest.err_value
            self._row_version = latest.ok_value.version
        return error

    async def follow(self) -> None:
        """Read the table at the start and from time to time, until cancelled."""
        n_failed = 0
        while True:
            result = await self._store.snapshot(MEMBER_TABLE)
            if isinstance(result, Err):
                n_failed += 1
                await asyncio.sleep(_pause_s(n_failed))
                continue
            n_failed = 0
            self._take(result.ok_value.rows)
            n_known = len(self._fleet.peers_by_id)
            pause_ms = FOLLOW_MS * max(1.0, n_known / SMALL_FLEET)
            await asyncio.sleep(MIN_READ_PAUSE_MS / 1000.0)
            with suppress(TimeoutError):
                async with asyncio.timeout(random.uniform(0.8, 1.2) * pause_ms / 1e3):
                    await self._read_wanted.wait()
            self._read_wanted.clear()

    async def remove(self) -> None:
        """Remove the row at a planned stop; others keep what they know.

        The row stays where the upstream is leaving: a later process must know that.
        """
        self._is_leaving = True
        own = self._fleet.own
        if own is None or self._written is None:
            return
        value = _encoder.encode(own) if own.is_leaving else None
        error = await self._write(own.node, value)
        if error is not None:
            self._log.write("member row not removed", detail=error.detail)

    def _take(self, rows: list[TableRow]) -> None:
        known = set(self._fleet.peers_by_id)
        own = self._fleet.own
        own_row = None
        for row in rows:
            record = self._decode(row)
            if own is not None and row.key == own.node:
                own_row = row
            elif record is not None:
                self._fleet.learn(record)
        keys = {row.key for row in rows}
        for node in known - keys:
            self._fleet.forget(node)
        if not self.past_known.is_set():
            self._recall(own_row)
        elif own is not None and self._written is not None and own_row is None:
            self.publish()
        if set(self._fleet.peers_by_id) - known:
            self._on_learned()

    def _recall(self, row: TableRow | None) -> None:
        """Take in the row that an earlier process of this VM has left."""
        self._row_version = row.version if row is not None else 0
        self._on_past(self._decode(row) if row is not None else None)
        self.past_known.set()

    def _decode(self, row: TableRow) -> MemberRecord | None:
        try:
            return _decoder.decode(row.value)
        except msgspec.MsgspecError as error:
            self._log.write("member row unreadable", key=row.key, detail=str(error))
            return None


def _pause_s(n_failed: int) -> float:
    pause_ms: float = min(MAX_PAUSE_MS, MIN_PAUSE_MS * 2 ** min(n_failed, 4))
    return random.uniform(0.5, 1.0) * pause_ms / 1000.0


def _key(node: str) -> str:
    return f"{MEMBER_TABLE}/{node}"
