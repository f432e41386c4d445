"""Short reads that prove that the configuration is current."""

import asyncio
import random

from result import Err

from ibisspoke_policy.clock import Clock

from .config_state import ConfigState
from .store import WatchedTables

READ_AGE_MS = 2_300.0  # own reads start at this age: other nodes' proofs come first
READ_SPREAD_MS = 500.0  # so that few nodes read, and the others ask these
CHECK_MS = 100.0
MAX_BACKOFF_MS = 800.0


class ConfigProver:
    """Read the newest version when no proof is young enough.

    A call that waits for changes proves only as much as its start; a read that is
    answered at once proves this moment.
    """

    def __init__(
        self,
        store: WatchedTables,
        table: str,
        config: ConfigState,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._table = table
        self._config = config
        self._clock = clock
        self._rng = rng

    def __repr__(self) -> str:
        return f"ConfigProver({self._config!r})"

    async def run(self) -> None:
        """Keep the proof young, until cancelled."""
        threshold_ms = READ_AGE_MS
        n_failed = 0
        while True:
            await asyncio.sleep(CHECK_MS / 1000.0)
            if self._config.table is None or self._config.proof_age_ms() < threshold_ms:
                continue
            started_ms = self._clock.boot_ms()
            result = await self._store.snapshot(self._table)
            if isinstance(result, Err):
                n_failed += 1
                backoff_ms = min(MAX_BACKOFF_MS, CHECK_MS * 2**n_failed)
                await asyncio.sleep(self._rng.random() * backoff_ms / 1000.0)
                continue
            n_failed = 0
            threshold_ms = READ_AGE_MS + self._rng.random() * READ_SPREAD_MS
            self._config.take_changes(result.ok_value, True, started_ms)
