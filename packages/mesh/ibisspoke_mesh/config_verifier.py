"""Periodic check with the store that the configuration in force is current."""

import asyncio
import random

from result import Err, Result

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.store_position import StoreEra
from ibisspoke_storage.store import Check, StoreError, StoreErrorKind

from .config_state import ConfigState
from .node_ranks import NodeRanks
from .store import WatchedTables

CHECK_AGE_MS = 1_600.0  # of the proof, at which the first node of a region checks
RANK_DELAY_MS = 300.0  # per rank; the proof of an earlier node may arrive
MAX_RANK = 5  # higher ranks wait alike, within the age at which keys are valid
JITTER_MS = 100.0
POLL_INTERVAL_MS = 100.0
MAX_PAUSE_MS = 500.0  # a new version needs a proof of its own
CALL_TIMEOUT_MS = 700  # a slow store takes 240 ms, and a round trip of regions 40 ms
MAX_BACKOFF_MS = 800.0


class ConfigVerifier:
    """Renews the proof that the configuration is current before it expires.

    A long poll for changes proves that the configuration was current when the poll
    started; a call that returns at once proves it for now. A transaction that only
    checks the row version does this without transferring the document.

    :param table: holds the row of the configuration.
    :param era: of the store.
    """

    def __init__(
        self,
        store: WatchedTables,
        table: str,
        config: ConfigState,
        ranks: NodeRanks,
        clock: Clock,
        rng: random.Random,
        era: StoreEra | None = None,
    ) -> None:
        self._era = era or StoreEra()
        self._store = store
        self._table = table
        self._config = config
        self._ranks = ranks
        self._clock = clock
        self._rng = rng

    def __repr__(self) -> str:
        return f"ConfigVerifier({self._config!r})"

    async def run(self) -> None:
        """Renew the proof when it is due, until cancelled."""
        n_failed = 0
        while True:
            await asyncio.sleep(self._pause_ms() / 1000.0)
            if self._config.table is None or not self._is_due():
                continue
            error = await self._verify()
            if error is None:
                n_failed = 0
                continue
            n_failed += 1
            backoff_ms = min(MAX_BACKOFF_MS, POLL_INTERVAL_MS * 2**n_failed)
            await asyncio.sleep(self._rng.random() * backoff_ms / 1000.0)

    def _pause_ms(self) -> float:
        """Return how long no check is due, whatever this node's rank."""
        if self._config.table is None:
            return POLL_INTERVAL_MS
        left_ms = CHECK_AGE_MS - self._config.proof_age_ms()
        return min(MAX_PAUSE_MS, max(POLL_INTERVAL_MS, left_ms))

    def _is_due(self) -> bool:
        if not self._config.can_be_proven:
            return False
        rank = min(self._ranks.verify_rank, MAX_RANK)
        delay_ms = rank * RANK_DELAY_MS + self._rng.random() * JITTER_MS
        if self._config.proof_age_ms() < CHECK_AGE_MS + delay_ms:
            return False
        # Without any proof, the nodes that verify first are asked for theirs before.
        return rank == 0 or self._config.in_force_ms() >= delay_ms

    async def _verify(self) -> StoreError | None:
        """Check that the version in force is current, or else read the newest.

        A row version of an earlier era may be that of another write by now.
        """
        version, position = self._config.version, self._config.row_position
        started_ms = self._clock.boot_ms()
        if position.version and position.era == self._era.value:
            checked = await self._check(position.version)
            if not isinstance(checked, Err) and position.era == self._era.value:
                self._config.record_proof(version, started_ms)
                return None
            unavailable = StoreErrorKind.UNAVAILABLE
            if isinstance(checked, Err) and checked.err_value.kind is unavailable:
                return checked.err_value
            started_ms = self._clock.boot_ms()
        read = await self._store.snapshot(self._table)
        if isinstance(read, Err):
            return read.err_value
        self._config.apply_changes(read.ok_value, True, started_ms)
        if self._config.row_position.era != read.ok_value.era:
            detail = "the store was restored and lacks the configuration in force"
            remedy = "write the configuration again"
            return StoreError(StoreErrorKind.CONFLICT, detail, remedy)
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
