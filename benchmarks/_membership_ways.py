"""Alternative failure detectors, measured for comparison with the ring."""

import asyncio
import random
from typing import Any, NamedTuple

from ibisspoke_policy.member_ring import MemberRing
from ibisspoke_policy.watch_plan import IsSilent, RingWatch, WatchPlan

ROW_PERIOD_S = 0.5
ROW_LEASE_S = 2.0
SCAN_PERIOD_S = 0.5
STORE_WRITES_PER_S = 300
N_PROBED = 1
PROBE_TICKS = 5


class AllWatch:
    """Every node sends heartbeats to every other and watches all of them."""

    pings_at_once = False

    def heartbeat_targets(self, own_id: str, ring: MemberRing) -> list[str]:
        return ring.successors(own_id, len(ring))

    def watched(self, own_id: str, ring: MemberRing, is_silent: IsSilent) -> list[str]:
        return ring.successors(own_id, len(ring))


class RandomWatch:
    """Every node pings a random peer per period, and silent peers until they reply."""

    pings_at_once = True

    def __init__(self) -> None:
        self._rng = random.Random()
        self._watched: list[str] = []
        self._n_ticks = 0

    def heartbeat_targets(self, own_id: str, ring: MemberRing) -> list[str]:
        if own_id in ring:
            return []
        return ring.predecessors(own_id, 3)

    def watched(self, own_id: str, ring: MemberRing, is_silent: IsSilent) -> list[str]:
        self._n_ticks += 1
        if self._n_ticks % PROBE_TICKS == 1 and len(ring) > 1:
            silent = [id for id in self._watched if is_silent(id)]
            probed = [ring[self._rng.randrange(len(ring))] for _ in range(N_PROBED)]
            self._watched = [*silent, *(id for id in probed if id != own_id)]
        return self._watched


class SingleWatcherRing(RingWatch):
    """The ring with a single watcher per node, as in the paper."""

    def __init__(self) -> None:
        super().__init__(1, 16)


def make_watch_plan(name: str) -> WatchPlan | None:
    """Return the watch plan of this name, or None for the ring that nodes use."""
    plans: dict[str, type[Any]] = {
        "all": AllWatch,
        "random": RandomWatch,
        "ring_of_one": SingleWatcherRing,
    }
    return plans[name]() if name in plans else None


class TableDetectionResult(NamedTuple):
    """Detection times and request rates of detection by rows in a table."""

    detect_ms: list[float]
    n_writes_per_s: float
    n_reads_per_s: float


class _RateLimitedTable:
    """Times of the last write by row; writes above the rate limit are delayed."""

    def __init__(self) -> None:
        self.written_s_by_id: dict[str, float] = {}
        self.n_writes = 0
        self.n_scans = 0
        self._next_write_s = 0.0

    async def write(self, member_id: str) -> None:
        loop = asyncio.get_running_loop()
        self._next_write_s = (
            max(self._next_write_s, loop.time()) + 1.0 / STORE_WRITES_PER_S
        )
        await asyncio.sleep(self._next_write_s - loop.time())
        self.written_s_by_id[member_id] = loop.time()
        self.n_writes += 1


async def run_table_detection(
    n_nodes: int, n_victims: int, duration_s: float
) -> TableDetectionResult:
    """Let nodes refresh rows in a rate-limited table, and stop some of them."""
    table = _RateLimitedTable()
    loop = asyncio.get_running_loop()
    killed_s_by_id: dict[str, float] = {}
    detect_ms: list[float] = []

    async def write_row(member_id: str) -> None:
        while member_id not in killed_s_by_id:
            await table.write(member_id)
            await asyncio.sleep(ROW_PERIOD_S)

    async def scan_rows() -> None:
        await asyncio.sleep(random.uniform(0, SCAN_PERIOD_S))
        known_dead: set[str] = set()
        while True:
            table.n_scans += 1
            for member_id, written_s in table.written_s_by_id.items():
                expired = loop.time() - written_s > ROW_LEASE_S
                if expired and member_id not in known_dead:
                    known_dead.add(member_id)
                    if member_id in killed_s_by_id:
                        took_s = loop.time() - killed_s_by_id[member_id]
                        detect_ms.append(took_s * 1000.0)
            await asyncio.sleep(SCAN_PERIOD_S)

    ids = [f"n{i}" for i in range(n_nodes)]
    tasks = [asyncio.ensure_future(write_row(id)) for id in ids]
    tasks += [asyncio.ensure_future(scan_rows()) for _ in ids]
    await asyncio.sleep(1.0)
    for member_id in ids[:n_victims]:
        killed_s_by_id[member_id] = loop.time()
    await asyncio.sleep(duration_s)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    total_s = duration_s + 1.0
    return TableDetectionResult(
        detect_ms, table.n_writes / total_s, table.n_scans / total_s
    )
