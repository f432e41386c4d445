"""Compares three methods to store versions of the catalogue, by bytes and time.

The catalogue has the target size. Keys are added one at a time, and each version is
stored as a full copy, as a chain of deltas, or as the platform package does it: a
snapshot at intervals and the changes since. The last line printed is JSON.
"""

import argparse
import asyncio
import json
import time
from typing import NamedTuple

import msgspec

from ibisspoke_policy.catalogue import (
    EMPTY_CATALOGUE,
    Call,
    Catalogue,
    Importance,
    Key,
    Organisation,
    digest_key,
    encode_catalogue,
)
from ibisspoke_policy.catalogue_delta import (
    CatalogueDelta,
    delta_between,
    snapshot_digest,
)
from ibisspoke_policy.clock import Clock
from ibisspoke_standins.memory_store import MemoryStore
from ibisspoke_storage.config_records import (
    CHANGE_PREFIX,
    SNAPSHOT_INTERVAL_VERSIONS,
    change_name,
    snapshot_name,
)
from ibisspoke_storage.config_store import ChangeMetadata, ConfigStore

N_SERVICES = 370
N_CALLS_PER_SERVICE = 5
N_ORGANISATIONS = 2_000
N_KEYS = 6_000
CHANGES_PER_DAY = 9_600
SECONDS_PER_DAY = 86_400


class Cost(NamedTuple):
    """Cost of one storage method.

    :param stored_bytes: size of the objects of all versions.
    :param poll_bytes_per_change: bytes read by a node that has the previous version.
    :param boot_objects: most objects read by a node that starts without a catalogue.
    :param boot_bytes: size of these objects.
    """

    stored_bytes: int
    poll_bytes_per_change: float
    boot_objects: int
    boot_bytes: int


def make_catalogue() -> Catalogue:
    """Return version 1 of a catalogue of the target size."""
    calls = {}
    for service in range(N_SERVICES):
        for number in range(N_CALLS_PER_SERVICE):
            id = f"service-{service}.call-{number}"
            calls[id] = Call(
                id,
                f"service-{service}",
                "GET",
                f"/call-{number}/*",
                "team",
                Importance.NORMAL,
                True,
            )
    names = [f"organisation-{n}" for n in range(N_ORGANISATIONS)]
    organisations = {name: Organisation(name, 10.0, 5.0) for name in names}
    keys = [make_key(f"key {n}", names[n % N_ORGANISATIONS]) for n in range(N_KEYS)]
    slots = {f"data-centre-{n}": 2 for n in range(5)}
    return Catalogue(1, calls, organisations, {k.digest: k for k in keys}, slots)


def make_key(text: str, organisation: str) -> Key:
    """Return the record of one key."""
    return Key(digest_key(text), organisation, "label", 0)


def with_key(catalogue: Catalogue, text: str) -> Catalogue:
    """Return the next version, which has one more key."""
    key = make_key(text, "organisation-1")
    keys = {**catalogue.keys_by_digest, key.digest: key}
    return catalogue._replace(version=catalogue.version + 1, keys_by_digest=keys)


def delta_to_next(old: Catalogue, new: Catalogue) -> CatalogueDelta:
    """Return the delta from one version to the next."""
    return delta_between(old, new, snapshot_digest(new))


def cost_of_full_copies(versions: list[Catalogue]) -> Cost:
    """Return the cost if each version is stored as a full copy."""
    sizes = [len(encode_catalogue(version)) for version in versions]
    n_changes = len(versions) - 1
    return Cost(sum(sizes), sum(sizes[1:]) / n_changes, 1, sizes[-1])


def cost_of_deltas(versions: list[Catalogue]) -> Cost:
    """Return the cost if each version after the first is stored as a delta."""
    n_snapshot_bytes = len(encode_catalogue(versions[0]))
    deltas = [
        len(msgspec.json.encode(delta_to_next(old, new)))
        for old, new in zip(versions, versions[1:], strict=False)
    ]
    stored = n_snapshot_bytes + sum(deltas)
    return Cost(stored, sum(deltas) / len(deltas), len(versions), stored)


async def cost_as_published(versions: list[Catalogue]) -> tuple[Cost, float]:
    """Publish each version; return the cost and the time per change in ms."""
    memory = MemoryStore()
    store = ConfigStore(memory, memory, Clock())
    base = EMPTY_CATALOGUE
    started = time.perf_counter()
    for version in versions:
        metadata = ChangeMetadata(f"operation-{version.version}", "benchmark", "size")
        (await store.publish(base, version, metadata)).unwrap()
        base = version
    took_ms = (time.perf_counter() - started) * 1000.0 / len(versions)
    sizes = memory.object_sizes
    current = (await store.read_current_version()).unwrap()
    changes = [size for name, size in sizes.items() if name.startswith(CHANGE_PREFIX)]
    poll_bytes = sum(changes) / len(changes)
    boot_bytes = sizes[snapshot_name(current.base_version, current.base_digest)]
    if not current.is_base:
        boot_bytes += sizes[change_name(current.version, current.digest)]
    n_objects = 1 if current.is_base else 2
    return Cost(sum(sizes.values()), poll_bytes, n_objects, boot_bytes), took_ms


def poll_bytes_per_s(cost: Cost) -> float:
    """Return the bytes per second that a polling node reads at the target size."""
    return cost.poll_bytes_per_change * CHANGES_PER_DAY / SECONDS_PER_DAY


def main() -> None:
    """Compare the three methods."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    arguments = parser.parse_args()
    n_changes = SNAPSHOT_INTERVAL_VERSIONS * (1 if arguments.quick else 4) - 1
    versions = [make_catalogue()]
    for number in range(n_changes):
        versions.append(with_key(versions[-1], f"new key {number}"))
    published, took_ms = asyncio.run(cost_as_published(versions))
    cost_by_method = {
        "whole": cost_of_full_copies(versions),
        "steps": cost_of_deltas(versions),
        "published": published,
    }
    for method, cost in cost_by_method.items():
        print(
            f"{method:>10}: {cost}, {poll_bytes_per_s(cost):.0f} bytes a second to poll"
        )
    full_copies = cost_by_method["whole"]
    result = {
        "n_changes": n_changes,
        "snapshot_bytes": len(encode_catalogue(versions[0])),
        "cost_by_way": {
            method: cost._asdict() for method, cost in cost_by_method.items()
        },
        "poll_bytes_per_s_by_way": {
            method: round(poll_bytes_per_s(cost), 1)
            for method, cost in cost_by_method.items()
        },
        "stored_share_of_whole": published.stored_bytes / full_copies.stored_bytes,
        "publish_ms": round(took_ms, 1),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
