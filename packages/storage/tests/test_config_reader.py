"""Reading versions that are stored as changes since a whole snapshot."""

import pytest

from ibisspoke_policy.catalogue import (
    EMPTY_CATALOGUE,
    Catalogue,
    Organisation,
    encode_catalogue,
)
from ibisspoke_policy.clock import ManualClock
from ibisspoke_standins.memory_store import MemoryStore
from ibisspoke_storage.config_records import (
    CHANGE_PREFIX,
    SNAPSHOT_INTERVAL,
    SNAPSHOT_PREFIX,
)
from ibisspoke_storage.config_store import ChangeNote, ConfigStore
from ibisspoke_storage.store import StoreErrorKind

N_ORGANISATIONS = 500


async def no_sleep(delay_s):
    pass


def large_catalogue():
    names = [f"organisation-{n}" for n in range(N_ORGANISATIONS)]
    return Catalogue(
        0, {}, {name: Organisation(name, 10.0, 5.0) for name in names}, {}, {"svea": 2}
    )


class Fleet:
    """A store with a large catalogue in which one rate changes at a time."""

    def __init__(self):
        self.memory = MemoryStore()
        self.store = ConfigStore(self.memory, self.memory, ManualClock(), no_sleep)
        self.catalogue = EMPTY_CATALOGUE

    async def publish(self, wanted):
        note = ChangeNote(f"op{self.catalogue.version}", "karin", "why")
        answer = await self.store.publish(self.catalogue, wanted, note)
        self.catalogue = wanted._replace(version=answer.unwrap().version)

    async def change_rates(self, n_changes):
        for _ in range(n_changes):
            version = self.catalogue.version
            name = f"organisation-{version % N_ORGANISATIONS}"
            entry = Organisation(name, 10.0 + version, 5.0)
            organisations = self.catalogue.organisations_by_id | {name: entry}
            await self.publish(
                self.catalogue._replace(organisations_by_id=organisations)
            )

    def names(self, prefix):
        return [name for name in self.memory.object_names if name.startswith(prefix)]

    def n_bytes(self, prefix):
        objects = self.memory._objects_by_name
        return sum(len(objects[name]) for name in self.names(prefix))

    async def read(self, known=EMPTY_CATALOGUE):
        current = (await self.store.read_version()).unwrap()
        n_before = self.memory.stats.n_reads
        read = await self.store.read_snapshot(current, known)
        return read, self.memory.stats.n_reads - n_before


@pytest.fixture
async def fleet():
    fleet = Fleet()
    await fleet.publish(large_catalogue())
    return fleet


async def test_small_changes_are_stored_small(fleet):
    await fleet.change_rates(40)
    assert len(fleet.names(SNAPSHOT_PREFIX)) == 1
    assert len(fleet.names(CHANGE_PREFIX)) == 40
    n_snapshot_bytes = len(encode_catalogue(fleet.catalogue))
    assert fleet.n_bytes(CHANGE_PREFIX) < 40 * n_snapshot_bytes / 10


async def test_one_object_leads_on_from_the_version_before(fleet):
    await fleet.change_rates(5)
    known = fleet.catalogue
    await fleet.change_rates(1)
    read, n_reads = await fleet.read(known)
    assert read.unwrap() == fleet.catalogue
    assert n_reads == 1


async def test_two_objects_lead_to_any_version_from_nothing(fleet):
    await fleet.change_rates(5)
    read, n_reads = await fleet.read()
    assert read.unwrap() == fleet.catalogue
    assert n_reads == 2
    for version in range(1, 7):
        found = (await fleet.store.read_version_at(version)).unwrap()
        assert found.version == version


async def test_outdated_catalogue_at_hand_does_no_harm(fleet):
    await fleet.change_rates(1)
    outdated = fleet.catalogue
    await fleet.change_rates(5)
    read, _ = await fleet.read(outdated)
    assert read.unwrap() == fleet.catalogue
    foreign = EMPTY_CATALOGUE._replace(version=fleet.catalogue.version - 1)
    read, _ = await fleet.read(foreign)
    assert read.unwrap() == fleet.catalogue


async def test_whole_snapshots_come_at_intervals(fleet):
    await fleet.change_rates(SNAPSHOT_INTERVAL * 2 + 1)
    snapshots = [name.split("/")[-1][:12] for name in fleet.names(SNAPSHOT_PREFIX)]
    wanted = [1, 1 + SNAPSHOT_INTERVAL, 1 + 2 * SNAPSHOT_INTERVAL]
    assert [int(version) for version in snapshots] == wanted
    read, _ = await fleet.read()
    assert read.unwrap() == fleet.catalogue


async def test_one_small_object_leads_on_to_a_version_with_a_whole_snapshot(fleet):
    await fleet.change_rates(SNAPSHOT_INTERVAL - 1)
    known = fleet.catalogue
    await fleet.change_rates(1)
    assert (await fleet.store.read_version()).unwrap().is_base
    objects = fleet.memory._objects_by_name
    for name in fleet.names(SNAPSHOT_PREFIX):
        del objects[name]
    read, n_reads = await fleet.read(known)
    assert read.unwrap() == fleet.catalogue
    assert n_reads == 1


async def test_large_change_is_stored_whole(fleet):
    slower = {
        name: entry._replace(rate_per_s=1.0)
        for name, entry in fleet.catalogue.organisations_by_id.items()
    }
    await fleet.publish(fleet.catalogue._replace(organisations_by_id=slower))
    assert len(fleet.names(SNAPSHOT_PREFIX)) == 2
    assert fleet.names(CHANGE_PREFIX) == []
    read, _ = await fleet.read(large_catalogue()._replace(version=1))
    assert read.unwrap() == fleet.catalogue


@pytest.mark.parametrize("old_rate", [b"11.0", b"14.0"])
async def test_altered_change_is_not_taken_into_force(fleet, old_rate):
    await fleet.change_rates(5)
    (name,) = [n for n in fleet.names(CHANGE_PREFIX) if "0000000006-" in n]
    objects = fleet.memory._objects_by_name
    assert old_rate in objects[name]
    objects[name] = objects[name].replace(old_rate, b"99.0")
    read, _ = await fleet.read()
    assert read.unwrap_err().kind is StoreErrorKind.INVALID
    assert "digest" in read.unwrap_err().detail
