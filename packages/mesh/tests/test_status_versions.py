"""Statuses that nodes of the version before send and read.

Guards against datagrams that half of a fleet cannot read while it is updated.
"""

from typing import Annotated, Any, get_args, get_origin

import msgspec

from ibisspoke_mesh.status_messages import (
    NodeLoad,
    NodeStatus,
    PackedLoad,
    pack_load,
    pack_pace,
    unpack_load,
    unpack_pace,
)
from ibisspoke_policy.upstream_queue import Load

LOAD = Load(9, 2, 36, 200.0, 0.125, (("lookup", 0.25),))
EarlierLoad = tuple[int, int, int, int, int, tuple[tuple[str, int], ...]]


class EarlierStatus(msgspec.Struct, array_like=True, frozen=True):
    """A status as nodes of the version before know it."""

    node: str
    incarnation: int
    revision: int
    record: Any
    load: EarlierLoad
    cold_ms: int
    totals: list[tuple[int, int, int]]
    version: int
    has_lost_store: bool
    usages: Any = None


class EarlierNodeLoad(msgspec.Struct, array_like=True, frozen=True):
    """What a relay of the version before knows of a node's load."""

    node: str
    incarnation: int
    age_ms: int
    load: EarlierLoad
    cold_ms: int
    has_lost_store: bool


def recoded(message: object, as_type: type) -> Any:
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=as_type)


def without_bounds(annotation: Any) -> Any:
    """Return a type without the bounds of its numbers, which are not encoded."""
    if get_origin(annotation) is Annotated:
        return without_bounds(get_args(annotation)[0])
    if get_origin(annotation) is tuple:
        return tuple[tuple(map(without_bounds, get_args(annotation)))]
    return annotation


def test_the_form_of_a_load_is_unchanged():
    assert without_bounds(PackedLoad) == EarlierLoad
    assert recoded(pack_load(LOAD), EarlierLoad) == pack_load(LOAD)


def test_statuses_are_read_by_both_versions():
    status = NodeStatus(
        "n", 1, 2, None, pack_load(LOAD), 0, [], 3, False, [], vm_pace=pack_pace(2.5)
    )
    assert unpack_pace(recoded(status, NodeStatus).vm_pace) == 2.5
    earlier = recoded(status, EarlierStatus)
    assert unpack_load(earlier.load) == LOAD
    assert recoded(earlier, NodeStatus).vm_pace == 0


def test_loads_of_relays_are_read_by_both_versions():
    load = NodeLoad("n", 1, 5, pack_load(LOAD), 0, False, vm_pace=pack_pace(2.5))
    assert unpack_pace(recoded(load, NodeLoad).vm_pace) == 2.5
    earlier = recoded(load, EarlierNodeLoad)
    assert unpack_load(earlier.load) == LOAD
    assert recoded(earlier, NodeLoad).vm_pace == 0
