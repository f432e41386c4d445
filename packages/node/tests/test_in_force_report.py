import random

import pytest

from ibisspoke_node.in_force_report import MAX_QUERIED_PEERS, InForceReporter
from ibisspoke_policy.clock import ManualClock
from ibisspoke_standins.memory_store import Fault, FaultKind, FaultScope, MemoryStore
from ibisspoke_storage.config_reader import ConfigReader
from ibisspoke_storage.config_records import in_force_key
from ibisspoke_storage.store import Write


class Versions:
    def __init__(self, version, version_by_peer, is_reporter=True):
        self.version = version
        self.version_by_peer = version_by_peer
        self.is_reporter = is_reporter
        self.queried = []

    def local_peers(self):
        return list(self.version_by_peer)

    async def query_version(self, peer):
        self.queried.append(peer)
        return self.version_by_peer.get(peer)


class Reporting:
    def __init__(self, versions, store=None):
        self.versions = versions
        self.store = store or MemoryStore()
        self.reporter = InForceReporter(
            "svealand-1", versions, self.store, ManualClock(5.0), random.Random(1)
        )

    async def record(self):
        reader = ConfigReader(self.store, self.store)
        return (await reader.read_in_force()).unwrap().get("svealand-1")


async def test_row_is_written_when_every_peer_has_the_version():
    versions = Versions(3, {"n2": 3, "n3": 2, "n4": None})
    reporting = Reporting(versions)
    assert await reporting.reporter.step()
    assert await reporting.record() is None
    versions.version_by_peer |= {"n3": 4, "n4": 3}
    versions.queried.clear()
    await reporting.reporter.step()
    assert sorted(versions.queried) == ["n3", "n4"]
    assert await reporting.record() == ("svealand-1", 3, 4, 4, 5)


async def test_nothing_is_queried_or_written_twice():
    versions = Versions(3, {"n2": 3})
    reporting = Reporting(versions)
    await reporting.reporter.step()
    n_writes = reporting.store.stats.n_writes
    await reporting.reporter.step()
    assert versions.queried == ["n2"]
    assert reporting.store.stats.n_writes == n_writes


async def test_absent_peer_is_not_waited_for():
    versions = Versions(3, {"n2": 3, "n3": None})
    reporting = Reporting(versions)
    await reporting.reporter.step()
    del versions.version_by_peer["n3"]
    await reporting.reporter.step()
    await reporting.reporter.step()
    assert (await reporting.record())[:4] == ("svealand-1", 3, 2, 2)


async def test_large_data_centre_is_sampled():
    versions = Versions(3, {f"n{n}": 3 for n in range(1_000)})
    reporting = Reporting(versions)
    await reporting.reporter.step()
    assert len(set(versions.queried)) == len(versions.queried) == MAX_QUERIED_PEERS
    assert (await reporting.record())[1:4] == (3, MAX_QUERIED_PEERS + 1, 1_001)


@pytest.mark.parametrize(("version", "is_reporter"), [(0, True), (3, False)])
async def test_nodes_with_nothing_to_report_send_nothing(version, is_reporter):
    versions = Versions(version, {"n2": 3}, is_reporter)
    reporting = Reporting(versions)
    await reporting.reporter.step()
    assert versions.queried == []
    assert reporting.store.stats.n_reads == 0


async def test_later_version_of_another_reporter_is_kept():
    store = MemoryStore()
    await Reporting(Versions(7, {}), store).reporter.step()
    late = Reporting(Versions(5, {}), store)
    assert await late.reporter.step()
    assert (await late.record()).version == 7


@pytest.mark.parametrize("kind", [FaultKind.DOWN, FaultKind.ANSWER_LOST])
async def test_failed_write_is_retried(kind):
    reporting = Reporting(Versions(3, {}))
    reporting.store.inject(Fault(kind, FaultScope.WRITES, n_requests=1))
    assert not await reporting.reporter.step()
    assert await reporting.reporter.step()
    assert (await reporting.record()).version == 3


async def test_unreadable_row_is_replaced():
    store = MemoryStore()
    await store.commit([], [Write(in_force_key("svealand-1"), b"?")])
    reporting = Reporting(Versions(3, {}), store)
    assert await reporting.reporter.step()
    assert (await reporting.record()).version == 3
