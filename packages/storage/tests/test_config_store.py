import random

import pytest
from result import Ok

from ibisspoke_policy.catalogue import EMPTY_CATALOGUE, Organisation
from ibisspoke_policy.clock import ManualClock
from ibisspoke_standins.memory_store import Fault, FaultKind, FaultScope, MemoryStore
from ibisspoke_storage.config_records import (
    AUDIT_PAGE_ROWS,
    CURRENT_KEY,
    CurrentVersion,
    snapshot_name,
)
from ibisspoke_storage.config_store import ChangeMetadata, ConfigStore, PublishConflict
from ibisspoke_storage.store import StoreError, StoreErrorKind, Write


async def no_sleep(delay_s):
    assert delay_s > 0


def make_store(memory):
    return ConfigStore(memory, memory, ManualClock(1_000.0), no_sleep)


def with_rate(catalogue, rate_per_s, organisation="svea"):
    entry = Organisation(organisation, rate_per_s, 10.0)
    organisations = catalogue.organisations_by_id | {organisation: entry}
    return catalogue._replace(organisations_by_id=organisations)


def metadata(operation_id):
    return ChangeMetadata(operation_id, "karin", "more shops")


async def publish(store, base, rate_per_s, operation_id):
    return await store.publish(
        base, with_rate(base, rate_per_s), metadata(operation_id)
    )


async def test_versions_grow_by_one_with_their_audit_records():
    store = make_store(MemoryStore())
    for n in range(1, 4):
        base = (await store.read_current_catalogue()).unwrap()
        result = await publish(store, base, float(n), f"op{n}")
        assert result.unwrap().version == n
    records = (await store.read_history(2)).unwrap()
    assert [record.version for record in records] == [3, 2]
    newest = records[0]
    assert (newest.who, newest.why, newest.wall_ms) == ("karin", "more shops", 1_000)
    assert str(newest.changes[0]) == "~ organisation svea rate_per_s: 2 -> 3"
    assert (await store.read_catalogue_at(1)).unwrap().organisations_by_id[
        "svea"
    ].rate_per_s == 1.0


async def test_of_racing_operators_one_wins_and_the_other_sees_the_difference():
    memory = MemoryStore()
    first, second = make_store(memory), make_store(memory)
    base = (await first.read_current_catalogue()).unwrap()
    assert isinstance(await publish(first, base, 1.0, "a"), Ok)
    conflict = (await publish(second, base, 2.0, "b")).unwrap_err()
    assert isinstance(conflict, PublishConflict)
    assert [change.id for change in conflict.changes] == ["svea"]
    assert conflict.current.version == 1
    assert "on top of it" in conflict.remedy
    assert (await first.read_current_catalogue()).unwrap().organisations_by_id[
        "svea"
    ].rate_per_s == 1.0


@pytest.mark.parametrize("n_lost", [1, 2, 3])
async def test_lost_answers_of_writes_never_apply_a_change_twice(n_lost):
    memory = MemoryStore()
    store = make_store(memory)
    memory.inject(Fault(FaultKind.ANSWER_LOST, FaultScope.WRITES, n_requests=n_lost))
    result = await publish(store, EMPTY_CATALOGUE, 1.0, "op")
    assert result.unwrap().version == 1
    assert memory.stats.n_commits_applied == 1
    assert len((await store.read_history(10)).unwrap()) == 1


class DelayedCommitStore(MemoryStore):
    """Loses the first commit's response and applies that commit before the next."""

    def __init__(self):
        super().__init__()
        self.delayed_commit = None

    async def commit(self, checks, writes):
        if self.delayed_commit is None:
            self.delayed_commit = (checks, writes)
            return (await self._lose_response()).map(lambda row: [row])
        await super().commit(*self.delayed_commit)
        return await super().commit(checks, writes)

    async def _lose_response(self):
        self.inject(Fault(FaultKind.ANSWER_LOST, n_requests=1))
        result = await super().commit([], [Write("elsewhere", b"")])
        assert result.unwrap_err().kind is StoreErrorKind.UNKNOWN
        return result


async def test_commit_that_takes_effect_after_its_answer_was_given_up():
    memory = DelayedCommitStore()
    store = make_store(memory)
    result = await publish(store, EMPTY_CATALOGUE, 1.0, "op")
    assert result.unwrap() == (1, True)
    assert (await store.read_current_version()).unwrap().version == 1
    assert len((await store.read_history(10)).unwrap()) == 1


async def test_operation_is_found_after_later_versions():
    memory = MemoryStore()
    store = make_store(memory)
    await publish(store, EMPTY_CATALOGUE, 1.0, "op")
    second = (await store.read_current_catalogue()).unwrap()
    await publish(store, second, 2.0, "other")
    third = (await store.read_current_catalogue()).unwrap()
    repeated = await publish(store, third, 1.0, "op")
    assert repeated.unwrap() == (1, True)
    assert (await store.read_current_version()).unwrap().version == 2


async def test_change_is_refused_plainly_while_the_store_is_down():
    memory = MemoryStore()
    store = make_store(memory)
    memory.inject(Fault(FaultKind.DOWN))
    error = (await publish(store, EMPTY_CATALOGUE, 1.0, "op")).unwrap_err()
    assert isinstance(error, StoreError)
    assert error.kind is StoreErrorKind.UNAVAILABLE
    assert "not applied" in error.detail
    memory.clear_faults()
    assert (await store.read_current_version()).unwrap().version == 0


async def test_unresolved_change_names_its_operation_id():
    memory = MemoryStore()
    store = make_store(memory)

    async def stop_store(delay_s):
        memory.inject(Fault(FaultKind.DOWN))

    store._sleep = stop_store
    await memory.put("warm-up", b"")
    response_lost = Fault(FaultKind.ANSWER_LOST, FaultScope.WRITES)
    original = memory.commit

    async def lose_response(checks, writes):
        memory.inject(response_lost)
        return await original(checks, writes)

    memory.commit = lose_response
    error = (await publish(store, EMPTY_CATALOGUE, 1.0, "op-17")).unwrap_err()
    assert error.kind is StoreErrorKind.UNKNOWN
    assert "--operation-id op-17" in error.remedy
    memory.clear_faults()
    memory.commit = original
    result = await publish(make_store(memory), EMPTY_CATALOGUE, 1.0, "op-17")
    assert result.unwrap() == (1, True)


async def test_random_faults_and_racing_operators_leave_one_line_of_versions():
    for seed in range(20):
        rng = random.Random(seed)
        memory = MemoryStore()
        stores = [make_store(memory) for _ in range(3)]
        accepted = []
        for n in range(30):
            kind = rng.choice([FaultKind.DOWN, FaultKind.ANSWER_LOST])
            memory.inject(Fault(kind, FaultScope.WRITES, n_requests=rng.randrange(4)))
            store = rng.choice(stores)
            base = (await store.read_current_catalogue()).unwrap()
            if rng.random() < 0.3:
                await publish(stores[0], base, 100.0 + n, f"rival{n}")
            result = await publish(store, base, float(n), f"op{n}")
            if isinstance(result, Ok):
                accepted.append(f"op{n}")
        memory.clear_faults()
        records = (await stores[0].read_history(1_000)).unwrap()
        operations = [record.made.operation_id for record in records]
        versions = [record.version for record in records]
        assert versions == list(range(len(records), 0, -1))
        assert len(set(operations)) == len(operations)
        assert set(accepted) <= set(operations)
        assert (await stores[0].read_current_version()).unwrap().version == versions[0]


async def test_history_reads_only_the_pages_it_needs():
    memory = MemoryStore()
    store = make_store(memory)
    base = EMPTY_CATALOGUE
    for n in range(AUDIT_PAGE_ROWS * 3 + 5):
        await publish(store, base, float(n), f"op{n}")
        base = with_rate(base, float(n))._replace(version=base.version + 1)
    scanned = []
    original = memory.scan

    async def scan(prefix):
        result = await original(prefix)
        scanned.append(len(result.unwrap()))
        return result

    memory.scan = scan
    newest = (await store.read_history(20)).unwrap()
    assert [record.version for record in newest] == list(range(305, 285, -1))
    assert scanned == [6, AUDIT_PAGE_ROWS]
    older = (await store.read_history(250, before_version=290)).unwrap()
    assert [record.version for record in older] == list(range(289, 39, -1))


async def test_altered_snapshot_is_not_taken_into_force():
    memory = MemoryStore()
    store = make_store(memory)
    await publish(store, EMPTY_CATALOGUE, 1.0, "op")
    current = (await store.read_current_version()).unwrap()
    name = snapshot_name(current.version, current.digest)
    memory._objects_by_name[name] = memory._objects_by_name[name][:-1] + b" "
    error = (await store.read_catalogue(current)).unwrap_err()
    assert error.kind is StoreErrorKind.INVALID
    assert "digest" in error.detail


async def test_unreadable_current_row_is_reported():
    memory = MemoryStore()
    await memory.commit([], [Write(CURRENT_KEY, b"{")])
    error = (await make_store(memory).read_current_version()).unwrap_err()
    assert error.kind is StoreErrorKind.INVALID
    assert "config/current" in error.detail


async def test_missing_snapshot_and_version_are_reported():
    store = make_store(MemoryStore())
    missing = CurrentVersion(7, "00", "op", 7, "00")
    assert (
        await store.read_catalogue(missing)
    ).unwrap_err().kind is StoreErrorKind.NOT_FOUND
    error = (await store.read_catalogue_at(7)).unwrap_err()
    assert error.kind is StoreErrorKind.NOT_FOUND
