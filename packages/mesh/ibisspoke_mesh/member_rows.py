"""The rows of the store by which nodes find each other."""

import asyncio
import random

import msgspec
from result import Err

from ibisspoke_storage.store import TableRow, TableService, Write

from .decision_log import DecisionLog
from .fleet import Fleet, MemberRecord
from .store import Changes

MEMBER_TABLE = "members"
MIN_PAUSE_MS = 200.0  # after a failed write; all nodes may write at the same moment
MAX_PAUSE_MS = 1_500.0

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(MemberRecord)


class MemberRows:
    """Keep this node's row true, and learn of the others."""

    def __init__(self, store: TableService, fleet: Fleet, log: DecisionLog) -> None:
        self._store = store
        self._fleet = fleet
        self._log = log
        self._wanted = asyncio.Event()
        self._written: tuple[int, int] | None = None

    def __repr__(self) -> str:
        return f"MemberRows(written={self._written})"

    def publish(self) -> None:
        """Write this node's row soon."""
        self._wanted.set()

    def take_changes(
        self, changes: Changes, is_snapshot: bool, started_ms: float
    ) -> None:
        """Take in what a watch of the table has brought."""
        for row in changes.rows:
            self._learn(row)
        own = self._fleet.own
        if own is None:
            return
        keys = {row.key for row in changes.rows}
        is_missing = is_snapshot and own.node not in keys
        if self._written is not None and (is_missing or own.node in changes.removed):
            self.publish()
        for key in changes.removed:
            self._fleet.forget(key)

    async def run(self) -> None:
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
                self._log.write(
                    "member row not written", detail=result.err_value.detail
                )
                pause_ms = min(MAX_PAUSE_MS, MIN_PAUSE_MS * 2 ** min(n_failed, 4))
                await asyncio.sleep(random.uniform(0.5, 1.0) * pause_ms / 1000.0)
                self._wanted.set()
                continue
            n_failed = 0
            self._written = own.order

    async def remove(self) -> None:
        """Remove the row at a planned stop; others keep what they know."""
        own = self._fleet.own
        if own is None or self._written is None:
            return
        result = await self._store.commit([], [Write(_key(own.node), None)])
        if isinstance(result, Err):
            detail = result.err_value.detail
            self._log.write("member row not removed", detail=detail)

    def _learn(self, row: TableRow) -> None:
        try:
            record = _decoder.decode(row.value)
        except msgspec.MsgspecError as error:
            self._log.write("member row unreadable", key=row.key, detail=str(error))
            return
        self._fleet.learn(record)


def _key(node: str) -> str:
    return f"{MEMBER_TABLE}/{node}"
