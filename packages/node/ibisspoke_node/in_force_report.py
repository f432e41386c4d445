"""Reports to the platform which version is in force in this data centre.

Once a version is in force at the reporting node of a data centre, that node queries a
sample of the others and writes one row when all of them have it.
"""

import asyncio
import logging
import random
from collections.abc import Sequence
from typing import Generic, Protocol, TypeVar

import msgspec
from result import Err

from ibisspoke_policy.backoff import Backoff
from ibisspoke_policy.clock import Clock
from ibisspoke_storage.config_records import (
    InForceRecord,
    decode_record,
    in_force_key,
)
from ibisspoke_storage.store import Check, TableRow, TableService, Write

MAX_QUERIED_PEERS = 20
REPORT_INTERVAL_MS = 500.0

P = TypeVar("P")

logger = logging.getLogger(__name__)


class VersionSource(Protocol[P]):
    """Source of the versions in force at this node and others of its data centre."""

    @property
    def version(self) -> int:
        """The version in force at this node."""

    @property
    def is_reporter(self) -> bool:
        """Whether this node reports the version in force in its data centre."""

    def local_peers(self) -> Sequence[P]:
        """Return the other nodes of the data centre."""

    async def query_version(self, peer: P) -> int | None:
        """Return the version in force at ``peer``, or None without an answer."""


class InForceReporter(Generic[P]):
    """Write the row of a data centre when a version is in force there.

    :param source: the versions in force at this node and its peers.
    :param table: table that holds the row.
    """

    def __init__(
        self,
        data_centre: str,
        source: VersionSource[P],
        table: TableService,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._data_centre = data_centre
        self._source = source
        self._table = table
        self._clock = clock
        self._rng = rng
        self._backoff = Backoff(rng)
        self._reported_version = 0
        self._queried_version = 0
        self._n_queried = 0
        self._pending_peers: list[P] = []

    def __repr__(self) -> str:
        return (
            f"InForceReporter({self._data_centre!r}, version={self._reported_version})"
        )

    async def step(self) -> bool:
        """Query peers or write the row, as needed; return False if the table failed."""
        source = self._source
        version = source.version
        if not source.is_reporter or version <= self._reported_version:
            return True
        if version != self._queried_version:
            self._sample_peers(version)
        answers = await asyncio.gather(
            *(source.query_version(peer) for peer in self._pending_peers)
        )
        self._pending_peers = [
            peer
            for peer, answer in zip(self._pending_peers, answers, strict=True)
            if answer is None or answer < version
        ]
        if self._pending_peers:
            self._drop_absent_peers()
            return True
        return await self._write(version)

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            wait_ms = self._backoff.jittered_ms(REPORT_INTERVAL_MS)
            if await self.step():
                self._backoff.succeeded()
            else:
                wait_ms = self._backoff.next_delay_ms()
            await asyncio.sleep(wait_ms / 1000.0)

    def _sample_peers(self, version: int) -> None:
        peers = list(self._source.local_peers())
        self._pending_peers = self._rng.sample(
            peers, min(MAX_QUERIED_PEERS, len(peers))
        )
        self._queried_version = version
        self._n_queried = len(self._pending_peers) + 1

    def _drop_absent_peers(self) -> None:
        """Stop waiting for peers that have left or failed since they were sampled."""
        present = self._source.local_peers()
        kept = [peer for peer in self._pending_peers if peer in present]
        self._n_queried -= len(self._pending_peers) - len(kept)
        self._pending_peers = kept

    async def _write(self, version: int) -> bool:
        """Write the row unless it holds this version or a later one."""
        key = in_force_key(self._data_centre)
        row = await self._table.read(key)
        if isinstance(row, Err):
            return False
        if self._recorded_version(row.ok_value) < version:
            record = InForceRecord(
                self._data_centre,
                version,
                self._n_queried,
                len(self._source.local_peers()) + 1,
                int(self._clock.wall_ms()),
            )
            written = await self._table.commit(
                [Check(key, row.ok_value.version)],
                [Write(key, msgspec.json.encode(record))],
            )
            if isinstance(written, Err):
                return False
        self._reported_version = version
        return True

    def _recorded_version(self, row: TableRow) -> int:
        """Return the version in the row; 0 if the row is absent or unreadable."""
        if row.version == 0:
            return 0
        record = decode_record(row.value, InForceRecord, row.key)
        if isinstance(record, Err):
            logger.warning(
                "unreadable in-force row is replaced",
                extra={"detail": record.err_value.detail},
            )
            return 0
        return record.ok_value.version
