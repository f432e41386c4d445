"""Short calls that prove that the configuration is current."""

import asyncio
import random

from result import Err, Result

from ibisspoke_policy.clock import Clock
from ibisspoke_storage.store import Check, StoreError, StoreErrorKind

from .config_state import ConfigState
from .node_ranks import NodeRanks
from .store import WatchedTables

CALL_AGE_MS = 1_600.0  # of the proof, at which the first node of a region calls
RANK_STEP_MS = 300.0  # each further one waits longer: it may hear of the call meanwhile
MAX_RANK = 5  # beyond it all wait alike, still within what keys are taken for
SPREAD_MS = 100.0
CHECK_MS = 100.0
CALL_TIMEOUT_MS = 700  # a slow store takes 240 ms, and a round trip of regions 40 ms
MAX_BACKOFF_MS = 800.0


class ConfigProver:
    """Ask the store for proof when no node's proof is young enough.

    A call that waits for changes proves only as much as its start; one that is
    answered at once proves this moment. A transaction that only requires the version
    of the row does so without moving the document.

    :param table: holds the row of the configuration.
    """

    def __init__(
        self,
        store: WatchedTables,
        table: str,
        config: ConfigState,
        ranks: NodeRanks,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._table = table
        self._config = config
        self._ranks = ranks
        self._clock = clock
        self._rng = rng

    def __repr__(self) -> str:
        return f"ConfigProver({self._config!r})"

    async def run(self) -> None:
        """Keep the proof young, until cancelled."""
        n_failed = 0
        while True:
            await asyncio.sleep(CHECK_MS / 1000.0)
            if self._config.table is None or not self._is_due():
                continue
            error = await self._prove()
            if error is None:
                n_failed = 0
                continue
            n_failed += 1
            backoff_ms = min(MAX_BACKOFF_MS, CHECK_MS * 2**n_failed)
            await asyncio.sleep(self._rng.random() * backoff_ms / 1000.0)

    def _is_due(self) -> bool:
        rank = min(self._ranks.prove_rank, MAX_RANK)
        age_ms = CALL_AGE_MS + rank * RANK_STEP_MS + self._rng.random() * SPREAD_MS
        return self._config.proof_age_ms() >= age_ms

    async def _prove(self) -> StoreError | None:
        """Prove the version in force, or read the newest."""
        version, row_version = self._config.version, self._config.row_version
        started_ms = self._clock.boot_ms()
        if row_version:
            checked = await self._check(row_version)
            if not isinstance(checked, Err):
                self._config.confirm(version, started_ms)
                return None
            if checked.err_value.kind is StoreErrorKind.UNAVAILABLE:
                return checked.err_value
            started_ms = self._clock.boot_ms()
        read = await self._store.snapshot(self._table)
        if isinstance(read, Err):
            return read.err_value
        self._config.take_changes(read.ok_value, True, started_ms)
        return None

    async def _check(self, row_version: int) -> Result[object, StoreError]:
        check = Check(f"{self._table}/{self._config.key}", row_version)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / 1000.0):
                return await self._store.commit([check], [])
        except TimeoutError:
            detail = f"no answer within {CALL_TIMEOUT_MS} ms"
            return Err(
                StoreError(StoreErrorKind.UNKNOWN, detail, "the row is read instead")
            )
