"""Datagrams with node statuses, encoded as MessagePack."""

import zlib

import msgspec

from ibisspoke_policy.shared_rate import Usage
from ibisspoke_policy.upstream_queue import Load

from .fleet import MemberRecord

CHECKSUM_MASK = 0xFFFFFF  # short, yet collisions of organisations are unlikely


PackedLoad = tuple[int, int, int, int, int, tuple[tuple[str, int], ...]]


class NodeStatus(msgspec.Struct, array_like=True, frozen=True):
    """Status of a node.

    :param record: left out if it has not changed recently.
    :param load: service time in milliseconds, shares in thousandths.
    :param usages: totals of organisations, each with a checksum of its name.
    :param version: version of the configuration in force.
    :param has_lost_store: whether the node cannot reach the store to wait for changes.
    """

    node: str
    incarnation: int
    revision: int
    record: MemberRecord | None
    load: PackedLoad
    cold_ms: int
    usages: list[tuple[int, int, int]]
    version: int
    has_lost_store: bool


class Status(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A node's status, sent by the node itself.

    :param nonce: time of sending, to be echoed with the age of the receiver's proof; 0
        if no proof is requested.
    :param echo: nonce of the request that this replies to; 0 if there is none.
    :param proof_age_ms: age of the proof for the version, in reply to ``nonce``.
    """

    status: NodeStatus
    nonce: int
    echo: int
    proof_age_ms: int


class Digest(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Statuses of a data centre, each with its age in milliseconds.

    :param passes_on: whether the receiver must forward them in its data centre.
    """

    node: str
    passes_on: bool
    statuses: list[tuple[int, NodeStatus]]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Status | Digest)


def encode(message: Status | Digest) -> bytes:
    """Encode a datagram."""
    return _encoder.encode(message)


def decode(data: bytes) -> Status | Digest:
    """Decode a datagram.

    :raises msgspec.MsgspecError: if it is not valid.
    """
    return _decoder.decode(data)


def pack_load(load: Load) -> PackedLoad:
    """Convert a load to integers, which take fewer bytes."""
    return (
        load.n_running,
        load.n_queued,
        load.limit,
        int(load.service_ms),
        int(load.failure_share * 1000.0),
        tuple((route, int(share * 1000.0)) for route, share in load.pressures),
    )


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


def pack_usage(usage: Usage) -> tuple[int, int, int]:
    """Return a usage with a checksum instead of the organisation's name."""
    return (name_checksum(usage.organisation), usage.n_asked, usage.n_admitted)


def name_checksum(organisation: str) -> int:
    """Return the checksum of an organisation's name."""
    return zlib.crc32(organisation.encode()) & CHECKSUM_MASK
