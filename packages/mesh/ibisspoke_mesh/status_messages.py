"""Datagrams in which nodes tell each other of themselves, as MessagePack."""

import zlib

import msgspec

from ibisspoke_policy.shared_rate import Usage
from ibisspoke_policy.upstream_queue import Load

from .fleet import MemberRecord

MARK_MASK = 0xFFFFFF  # few bytes, and hardly ever the same for two organisations


PackedLoad = tuple[int, int, int, int, int, tuple[tuple[str, int], ...]]


class NodeStatus(msgspec.Struct, array_like=True, frozen=True):
    """What a node tells of itself.

    :param record: left out where it has not changed lately.
    :param load: the time in milliseconds, the shares in thousandths.
    :param usages: organisations by a checksum of their names, and their totals.
    :param version: of the configuration in force.
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
    """A node's status, from itself.

    :param nonce: when this was sent, to be echoed if the receiver's proof is wanted;
        0 if not.
    :param echo: the nonce that this answers; 0 if it answers none.
    :param proof_age_ms: of the proof for the version, answering ``echo``.
    """

    status: NodeStatus
    nonce: int
    echo: int
    proof_age_ms: int


class Digest(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Statuses of a data centre, and how old each is in milliseconds.

    :param passes_on: whether the receiver passes them on in its data centre.
    """

    node: str
    passes_on: bool
    statuses: list[tuple[int, NodeStatus]]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Status | Digest)


def encode(message: Status | Digest) -> bytes:
    """Return the bytes of a datagram."""
    return _encoder.encode(message)


def decode(data: bytes) -> Status | Digest:
    """Return the message of a datagram.

    :raises msgspec.MsgspecError: if it is none.
    """
    return _decoder.decode(data)


def packed_load(load: Load) -> PackedLoad:
    """Return a load in whole numbers, which take few bytes."""
    return (
        load.n_running,
        load.n_queued,
        load.limit,
        int(load.service_ms),
        int(load.failure_share * 1000.0),
        tuple((route, int(share * 1000.0)) for route, share in load.pressures),
    )


def unpacked_load(packed: PackedLoad) -> Load:
    """Return the load that :func:`packed_load` has packed."""
    n_running, n_queued, limit, service_ms, failures, pressures = packed
    return Load(
        n_running,
        n_queued,
        limit,
        float(service_ms),
        failures / 1000.0,
        tuple((route, share / 1000.0) for route, share in pressures),
    )


def packed_usage(usage: Usage) -> tuple[int, int, int]:
    """Return a usage with a checksum in place of the organisation's name."""
    return (mark_of(usage.organisation), usage.n_asked, usage.n_admitted)


def mark_of(organisation: str) -> int:
    """Return the number that stands for an organisation."""
    return zlib.crc32(organisation.encode()) & MARK_MASK
