"""The rows of the store by which nodes find each other."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

import msgspec
from result import Err

from ibisspoke_storage.store import TableRow, Write

from .decision_log import DecisionLog
from .fleet import Fleet, MemberRecord
from .store import WatchedTables

MEMBER_TABLE = "members"
MIN_PAUSE_MS = 200.0  # after a failed write; all nodes may write at the same moment
MAX_PAUSE_MS = 1_500.0
FOLLOW_MS = 8_000.0  # a safety net: nodes tell each other of themselves
SMALL_FLEET = 100  # nodes; beyond it each reads less often, so that calls stay few
STARTUP_READS = 2  # after each write, since rows of others may come a little later
STARTUP_PAUSE_MS = 1_200.0

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(MemberRecord)


class MemberRows:
    """Keep this node's row true, and learn of the others.

    Each node reads the table after it has written its row, and tells all that it
    finds of itself. Of two nodes, the one that reads later finds the other.

    :param on_learned: called after each reading, to tell of this node.
    """

    def __init__(
        self,
        store: WatchedTables,
        fleet: Fleet,
        log: DecisionLog,
        on_learned: Callable[[], None],
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._log = log
        self._on_learned = on_learned
        self._wanted = asyncio.Event()
        self._read_wanted = asyncio.Event()
        self._written: tuple[int, int] | None = None
        self._is_leaving = False

    def __repr__(self) -> str:
        return f"MemberRows(written={self._written})"

    def publish(self) -> None:
        """Write this node's row soon."""
        if not self._is_leaving:
            self._wanted.set()

    async def publish_changes(self) -> None:
        """Write the row whenever it has changed, until cancelled."""
        n_failed = 0
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            own = self._fleet.own
            if own is None:
                continue
            write = Write(_key(own.node), _encoder.encode(own))
            result = await self._store.commit([], [write])
            if isinstance(result, Err):
                n_failed += 1
                detail = result.err_value.detail
                self._log.write("member row not written", detail=detail)
                await asyncio.sleep(_pause_s(n_failed))
                self._wanted.set()
                continue
            n_failed = 0
            if self._written is None:
                self._read_wanted.set()
            self._written = own.order

    async def follow(self) -> None:
        """Read the table at the start and from time to time, until cancelled."""
        n_failed = 0
        n_early = STARTUP_READS
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
            if n_early > 0:
                n_early -= 1
                pause_ms = STARTUP_PAUSE_MS
            with suppress(TimeoutError):
                async with asyncio.timeout(random.uniform(0.8, 1.2) * pause_ms / 1e3):
                    await self._read_wanted.wait()
            self._read_wanted.clear()

    async def remove(self) -> None:
        """Remove the row at a planned stop; others keep what they know."""
        self._is_leaving = True
        own = self._fleet.own
        if own is None or self._written is None:
            return
        result = await self._store.commit([], [Write(_key(own.node), None)])
        if isinstance(result, Err):
            detail = result.err_value.detail
            self._log.write("member row not removed", detail=detail)

    def _take(self, rows: list[TableRow]) -> None:
        known = set(self._fleet.peers_by_id)
        for row in rows:
            self._learn(row)
        keys = {row.key for row in rows}
        for node in known - keys:
            self._fleet.forget(node)
        own = self._fleet.own
        if own is not None and self._written is not None and own.node not in keys:
            self.publish()
        if set(self._fleet.peers_by_id) - known:
            self._on_learned()

    def _learn(self, row: TableRow) -> None:
        try:
            record = _decoder.decode(row.value)
        except msgspec.MsgspecError as error:
            self._log.write("member row unreadable", key=row.key, detail=str(error))
            return
        self._fleet.learn(record)


def _pause_s(n_failed: int) -> float:
    pause_ms: float = min(MAX_PAUSE_MS, MIN_PAUSE_MS * 2 ** min(n_failed, 4))
    return random.uniform(0.5, 1.0) * pause_ms / 1000.0


def _key(node: str) -> str:
    return f"{MEMBER_TABLE}/{node}"
