"""Frames of the call protocol between nodes.

A frame is a header (payload length, kind, stream id, CRC-32 of the payload) and a
payload. ``CALL`` and ``ANSWER`` payloads hold the length of a head, the head in
MessagePack, and the first part of the body; ``BODY`` frames carry the rest.
"""

import struct
import zlib
from enum import IntEnum
from typing import Generic, NamedTuple, TypeVar

import msgspec

from ibisspoke_policy.admission import AdmissionLevel
from ibisspoke_policy.refusal import Refusal

from .messages import Attempt, Header

HEADER = struct.Struct("!IBQI")
LENGTH = struct.Struct("!I")
CHUNK_BYTES = 65_536
MAX_PAYLOAD_BYTES = 262_144


class FrameKind(IntEnum):
    """Kinds of frames."""

    CHALLENGE = 1
    PROOF = 2
    WELCOME = 3
    CALL = 4
    ANSWER = 5
    REFUSAL = 6
    BODY = 7
    CANCEL = 8
    PING = 9
    PONG = 10


_KIND_BY_VALUE = {kind.value: kind for kind in FrameKind}


class Frame(NamedTuple):
    """One received frame."""

    kind: FrameKind
    stream_id: int
    payload: bytes


class Proof(NamedTuple):
    """Proof that a peer knows the fleet secret."""

    node_id: str
    nonce: bytes
    mac: bytes


class CallHead(NamedTuple):
    """Head of a ``CALL`` payload."""

    attempt: Attempt
    n_body_bytes: int


class AnswerHead(NamedTuple):
    """Head of an ``ANSWER`` payload."""

    status: int
    reason: str
    headers: list[Header]
    level: AdmissionLevel | None
    n_body_bytes: int
    n_retries_unused: int = 0


class RefusalHead(NamedTuple):
    """Payload of a ``REFUSAL`` frame."""

    refusal: Refusal
    level: AdmissionLevel | None
    n_retries_unused: int = 0


class FrameError(Exception):
    """Received bytes are not a valid frame; the connection is closed."""


H = TypeVar("H")


class HeadCodec(Generic[H]):
    """Encode and decode one type of head.

    :param head_type: a ``NamedTuple`` class.
    """

    def __init__(self, head_type: type[H]) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(head_type)

    def encode(self, head: H, body: bytes = b"") -> bytes:
        """Return a payload of ``head`` and the first part of a body."""
        encoded = self._encoder.encode(head)
        return LENGTH.pack(len(encoded)) + encoded + body

    def decode(self, payload: bytes) -> tuple[H, bytes]:
        """Return the head and the first part of the body.

        :raises FrameError: when the payload does not start with a valid head.
        """
        try:
            (n_bytes,) = LENGTH.unpack_from(payload)
            end = LENGTH.size + n_bytes
            head = self._decoder.decode(memoryview(payload)[LENGTH.size : end])
        except (struct.error, msgspec.DecodeError) as error:
            raise FrameError(f"malformed head: {error}") from None
        return head, payload[end:]


CALL_HEAD = HeadCodec(CallHead)
ANSWER_HEAD = HeadCodec(AnswerHead)
REFUSAL_HEAD = HeadCodec(RefusalHead)
PROOF_HEAD = HeadCodec(Proof)


def encode_frame(kind: FrameKind, stream_id: int, payload: bytes = b"") -> bytes:
    """Return the bytes of one frame."""
    return HEADER.pack(len(payload), kind, stream_id, zlib.crc32(payload)) + payload


class FrameReader:
    """Split received bytes into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def __repr__(self) -> str:
        return f"FrameReader({len(self._buffer)} bytes pending)"

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that are complete with ``data``.

        :raises FrameError: when the bytes are not valid frames.
        """
        if self._buffer:
            self._buffer += data
            data = bytes(self._buffer)
        frames, end = _split(data)
        self._buffer = bytearray(memoryview(data)[end:])
        return frames


def _split(data: bytes) -> tuple[list[Frame], int]:
    frames = []
    start = 0
    n_data = len(data)
    while n_data - start >= HEADER.size:
        n_bytes, kind, stream_id, crc = HEADER.unpack_from(data, start)
        if n_bytes > MAX_PAYLOAD_BYTES:
            raise FrameError(f"payload of {n_bytes} bytes is too long")
        end = start + HEADER.size + n_bytes
        if n_data < end:
            break
        payload = data[start + HEADER.size : end]
        if zlib.crc32(payload) != crc:
            raise FrameError("checksum does not match")
        frames.append(Frame(_kind(kind), stream_id, payload))
        start = end
    return frames, start


def _kind(value: int) -> FrameKind:
    kind = _KIND_BY_VALUE.get(value)
    if kind is None:
        raise FrameError(f"unknown frame kind {value}")
    return kind
