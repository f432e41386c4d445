"""Datagrams with node statuses, encoded as MessagePack."""

import zlib
from collections.abc import Iterable
from typing import Annotated

import msgspec

from ibisspoke_policy.decoding import decode_untrusted
from ibisspoke_policy.evacuations import EvacuationPosition
from ibisspoke_policy.shared_rate import Usage
from ibisspoke_policy.upstream_queue import Load

from .member_record import MemberRecord

CHECKSUM_MASK = 0xFFFFFF  # short, yet collisions of organisations are unlikely

MAX_FIGURE = 2**53  # floats hold it, and sums of a few still fit a message
Figure = Annotated[int, msgspec.Meta(ge=-MAX_FIGURE, le=MAX_FIGURE)]

PackedLoad = tuple[
    Figure, Figure, Figure, Figure, Figure, tuple[tuple[str, Figure], ...]
]
# A slot, and for each organisation the checksum of its name and three counts.
PackedUsages = tuple[int, list[tuple[int, int, int, int]]]


class NodeStatus(msgspec.Struct, array_like=True, frozen=True):
    """Status of a node.

    :param record: left out if it has not changed recently.
    :param load: service time in milliseconds, shares in thousandths.
    :param totals: always empty; earlier versions report totals of organisations here.
    :param version: version of the configuration in force.
    :param has_lost_store: whether the node cannot reach the store to wait for changes.
    :param usages: what the node has counted of organisations; None from an earlier
        version, which expects statuses from each node of its data centre.
    :param evacuations: position up to which the node knows the evacuations; None if
        there were never any, and from an earlier version.
    :param vm_pace: pace of the VM in percent of the usual time; 0 if it is not known.
        Not in the load, which earlier versions read in one length only.
    """

    node: str
    incarnation: int
    revision: int
    record: MemberRecord | None
    load: PackedLoad
    cold_ms: Figure
    totals: list[tuple[int, int, int]]
    version: int
    has_lost_store: bool
    usages: list[PackedUsages] | None = None
    evacuations: EvacuationPosition | None = None
    vm_pace: Figure = 0


class Status(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A node's status, sent by the node itself.

    :param nonce: time of sending, to be echoed with the age of the receiver's proof; 0
        if no proof is requested.
    :param echo: nonce of the request that this replies to; 0 if there is none.
    :param proof_age_ms: age of the sender's proof for the version.
    """

    status: NodeStatus
    nonce: int
    echo: int
    proof_age_ms: int


class NodeLoad(msgspec.Struct, array_like=True, frozen=True):
    """What a relay knows of a node's load.

    :param age_ms: time since the node sent it.
    :param vm_pace: as in :class:`NodeStatus`, at the same moment.
    """

    node: str
    incarnation: int
    age_ms: Figure
    load: PackedLoad
    cold_ms: Figure
    has_lost_store: bool
    vm_pace: Figure = 0


class LostNode(msgspec.Struct, array_like=True, frozen=True):
    """A node of which its data centre's relays have heard nothing for a while."""

    node: str
    incarnation: int
    silent_ms: Figure


class Section(msgspec.Struct, array_like=True, frozen=True):
    """What a relay tells of a data centre.

    :param age_ms: time since the relays of the data centre computed the usages.
    :param loads: of some of its nodes.
    :param records: those that have changed recently, and some others.
    :param usages: sums over its nodes.
    """

    data_centre: str
    age_ms: Figure
    loads: list[NodeLoad]
    records: list[MemberRecord]
    lost: list[LostNode]
    usages: list[PackedUsages]


class Digest(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """What a relay tells of data centres.

    :param node: the relay.
    :param version: version of the configuration in force at the relay.
    :param evacuations: position up to which the relay knows the evacuations.
    :param earlier_incarnation: of the node that asked for its own record, the last
        earlier process of which the sender has received a status; 0 if there is none.
    """

    node: str
    version: int
    sections: list[Section]
    evacuations: EvacuationPosition | None = None
    earlier_incarnation: int = 0


class RecordRequest(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Asks a relay for the records of nodes that the sender does not know."""

    node: str
    nodes: list[str]


class ForwardedDigest(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A digest that its receiver passes on within the data centre.

    :param digest: the encoded :class:`Digest`.
    :param nodes: where to pass it on to.
    """

    digest: bytes
    nodes: list[str]


Message = Status | Digest | RecordRequest | ForwardedDigest
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a datagram."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Decode a datagram.

    :raises msgspec.MsgspecError: if it is not valid.
    """
    return decode_untrusted(_decoder.decode, data)


def pack_load(load: Load) -> PackedLoad:
    """Convert a load to integers, which take fewer bytes."""
    return (
        load.n_running,
        load.n_queued,
        load.limit,
        _packed(load.service_ms),
        _packed(load.failure_share * 1000.0),
        tuple((route, _packed(share * 1000.0)) for route, share in load.pressures),
    )


def _packed(value: float) -> int:
    """Return a number as an integer that a message can carry; 0 if it is none."""
    return int(min(MAX_FIGURE, max(0.0, value)))  # max() prefers 0 to NaN


def unpack_load(packed: PackedLoad) -> Load:
    """Return the load from the result of :func:`packed_load`."""
    n_running, n_queued, limit, service_ms, failures, pressures = packed
    return Load(
        n_running,
        n_queued,
        limit,
        float(service_ms),
        failures / 1000.0,
        tuple((route, share / 1000.0) for route, share in pressures),
    )


def pack_pace(pace: float) -> int:
    """Convert a pace of a VM to percent."""
    return round(pace * 100.0)


def unpack_pace(packed: int) -> float:
    """Return the pace from the result of :func:`pack_pace`."""
    return packed / 100.0


def pack_usages(usages: Iterable[Usage]) -> list[PackedUsages]:
    """Group usages by slot, with a checksum instead of the organisation's name."""
    by_slot: dict[int, list[tuple[int, int, int, int]]] = {}
    for usage in usages:
        packed = (name_checksum(usage.organisation), *usage[2:])
        by_slot.setdefault(usage.slot, []).append(packed)
    return list(by_slot.items())


def unpack_usages(
    packed: Iterable[PackedUsages], names_by_checksum: dict[int, str]
) -> list[Usage]:
    """Return the usages of known organisations."""
    return [
        Usage(name, slot, *counts)
        for slot, entries in packed
        for checksum, *counts in entries
        if (name := names_by_checksum.get(checksum)) is not None
    ]


def name_checksum(organisation: str) -> int:
    """Return the checksum of an organisation's name."""
    return zlib.crc32(organisation.encode()) & CHECKSUM_MASK
