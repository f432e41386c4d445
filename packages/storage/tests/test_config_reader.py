"""Tests reading versions that are stored as changes since a full snapshot."""

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
    SNAPSHOT_INTERVAL_VERSIONS,
    SNAPSHOT_PREFIX,
)
from ibisspoke_storage.config_store import ChangeMetadata, ConfigStore
from ibisspoke_storage.store import StoreErrorKind

N_ORGANISATIONS = 500


async def no_sleep(delay_s):
    pass


def large_catalogue():
    names = [f"organisation-{n}" for n in range(N_ORGANISATIONS)]
    return Catalogue(
        0, {}, {name: Organisation(name, 10.0, 5.0) for name in names}, {}, {"svea": 2}
    )


class PublishedCatalogue:
    """Publishes a large catalogue and then versions that each change one rate."""

    def __init__(self):
        self.memory = MemoryStore()
        self.store = ConfigStore(self.memory, self.memory, ManualClock(), no_sleep)
        self.catalogue = EMPTY_CATALOGUE

    async def publish(self, proposed):
        metadata = ChangeMetadata(f"op{self.catalogue.version}", "karin", "why")
        result = await self.store.publish(self.catalogue, proposed, metadata)
        self.catalogue = proposed._replace(version=result.unwrap().version)

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
        current = (await self.store.read_current_version()).unwrap()
        n_reads_before = self.memory.stats.n_reads
        read = await self.store.read_catalogue(current, known)
        return read, self.memory.stats.n_reads - n_reads_before


@pytest.fixture
async def published():
    published = PublishedCatalogue()
    await published.publish(large_catalogue())
    return published


async def test_small_changes_are_stored_small(published):
    await published.change_rates(40)
    assert len(published.names(SNAPSHOT_PREFIX)) == 1
    assert len(published.names(CHANGE_PREFIX)) == 40
    n_snapshot_bytes = len(encode_catalogue(published.catalogue))
    assert published.n_bytes(CHANGE_PREFIX) < 40 * n_snapshot_bytes / 10


async def test_next_version_is_read_from_one_object(published):
    await published.change_rates(5)
    known = published.catalogue
    await published.change_rates(1)
    read, n_reads = await published.read(known)
    assert read.unwrap() == published.catalogue
    assert n_reads == 1


async def test_any_version_is_read_from_two_objects(published):
    await published.change_rates(5)
    read, n_reads = await published.read()
    assert read.unwrap() == published.catalogue
    assert n_reads == 2
    for version in range(1, 7):
        found = (await published.store.read_catalogue_at(version)).unwrap()
        assert found.version == version


async def test_outdated_known_catalogue_is_not_used(published):
    await published.change_rates(1)
    outdated = published.catalogue
    await published.change_rates(5)
    read, _ = await published.read(outdated)
    assert read.unwrap() == published.catalogue
    unrelated = EMPTY_CATALOGUE._replace(version=published.catalogue.version - 1)
    read, _ = await published.read(unrelated)
    assert read.unwrap() == published.catalogue


async def test_whole_snapshots_come_at_intervals(published):
    await published.change_rates(SNAPSHOT_INTERVAL_VERSIONS * 2 + 1)
    snapshots = [name.split("/")[-1][:12] for name in published.names(SNAPSHOT_PREFIX)]
    expected = [1, 1 + SNAPSHOT_INTERVAL_VERSIONS, 1 + 2 * SNAPSHOT_INTERVAL_VERSIONS]
    assert [int(version) for version in snapshots] == expected
    read, _ = await published.read()
    assert read.unwrap() == published.catalogue


async def test_next_version_with_a_whole_snapshot_is_read_from_one_object(
    published,
):
    await published.change_rates(SNAPSHOT_INTERVAL_VERSIONS - 1)
    known = published.catalogue
    await published.change_rates(1)
    assert (await published.store.read_current_version()).unwrap().is_base
    objects = published.memory._objects_by_name
    for name in published.names(SNAPSHOT_PREFIX):
        del objects[name]
    read, n_reads = await published.read(known)
    assert read.unwrap() == published.catalogue
    assert n_reads == 1


async def test_large_change_is_stored_whole(published):
    slower = {
        name: entry._replace(rate_per_s=1.0)
        for name, entry in published.catalogue.organisations_by_id.items()
    }
    await published.publish(published.catalogue._replace(organisations_by_id=slower))
    assert len(published.names(SNAPSHOT_PREFIX)) == 2
    assert published.names(CHANGE_PREFIX) == []
    read, _ = await published.read(large_catalogue()._replace(version=1))
    assert read.unwrap() == published.catalogue


@pytest.mark.parametrize("old_rate", [b"11.0", b"14.0"])
async def test_altered_change_is_not_taken_into_force(published, old_rate):
    await published.change_rates(5)
    (name,) = [n for n in published.names(CHANGE_PREFIX) if "0000000006-" in n]
    objects = published.memory._objects_by_name
    assert old_rate in objects[name]
    objects[name] = objects[name].replace(old_rate, b"99.0")
    read, _ = await published.read()
    assert read.unwrap_err().kind is StoreErrorKind.INVALID
    assert "digest" in read.unwrap_err().detail
