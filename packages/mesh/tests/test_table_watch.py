"""The watch on a table of a store that is restored from a copy.

The pattern is a long poll that is still open when the store comes back with versions of
an earlier moment, so that its changes would never be seen or belong to other writes.
"""

import asyncio
from contextlib import asynccontextmanager

from result import Ok

from ibisspoke_mesh.decision_log import DecisionLog
from ibisspoke_mesh.store import Changes
from ibisspoke_mesh.table_watch import TableWatch
from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.store_position import StoreEra


class Store:
    """A store whose long polls last until they are answered by hand."""

    def __init__(self) -> None:
        self.era = StoreEra()
        self.version = 5
        self.n_snapshots = 0
        self.waits_ms: list[int] = []
        self.answers: asyncio.Queue[Changes] = asyncio.Queue()

    async def snapshot(self, table):
        self.n_snapshots += 1
        return Ok(Changes([], [], self.version, self.era.value))

    async def changes(self, table, after, wait_ms):
        self.waits_ms.append(wait_ms)
        return Ok(await self.answers.get())


@asynccontextmanager
async def watching(store: Store, limit_ms: float = float("inf")):
    """Run a watch, and yield the results that it passes on."""
    clock, results = ManualClock(), []
    watch = TableWatch(
        *(store, "op", 28_000, lambda: True, clock, DecisionLog(clock)),
        lambda changes, is_snapshot, _: results.append((changes, is_snapshot)),
        lambda: limit_ms,
        store.era,
    )
    task = asyncio.ensure_future(watch.run())
    await asyncio.sleep(0.01)
    try:
        yield results
    finally:
        task.cancel()
        await asyncio.wait([task])
    assert task.cancelled()


async def test_an_open_poll_ends_when_the_era_rises():
    store = Store()
    async with watching(store) as results:
        assert store.n_snapshots == 1
        store.era.learn(1)
        await asyncio.sleep(0.01)
        assert store.n_snapshots == 2
        assert [is_snapshot for _, is_snapshot in results] == [True, True]
        assert len(store.waits_ms) == 2


async def test_changes_of_another_era_are_not_passed_on():
    store = Store()
    async with watching(store) as results:
        store.answers.put_nowait(Changes([], ["x"], 9, 1))
        await asyncio.sleep(0.01)
        assert all(not changes.removed for changes, _ in results)
        assert store.n_snapshots == 2


async def test_a_poll_ends_in_time_for_a_read_that_is_wanted():
    store = Store()
    async with watching(store, 250.0):
        assert store.waits_ms == [251]


async def test_a_calm_store_is_polled_for_as_long_as_before():
    store = Store()
    async with watching(store):
        assert store.waits_ms == [28_000]
