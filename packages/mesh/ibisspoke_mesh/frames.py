"""Frames between nodes: a length, then a MessagePack array by ``msgspec``."""

import struct
from collections.abc import Callable
from enum import IntEnum

import msgspec

from ibisspoke_policy.upstream_queue import Load

LENGTH = struct.Struct("!I")
MAX_FRAME_BYTES = 96 * 1024 * 1024  # a body of the largest size that callers may send


class OutcomeKind(IntEnum):
    """What became of an attempt."""

    ANSWERED = 1  # a whole answer of the upstream
    REFUSED = 2  # not run: it never left the nodes
    SHED = 3  # not run: the upstream turned it away
    FAILED = 4  # it may have run, but there is no whole answer
    TIMED_OUT = 5  # it may have run, and the time is up


class Outcome(msgspec.Struct, array_like=True, frozen=True):
    """The end of one attempt.

    :param headers: of the answer, as lines on the wire.
    :param reason: why there is no answer.
    :param retry_after_ms: when there may be room.
    :param has_starved: whether it failed for want of room at a service deeper down.
    """

    kind: OutcomeKind
    status: int = 0
    headers: bytes = b""
    body: bytes = b""
    reason: str = ""
    retry_after_ms: float = 0.0
    has_starved: bool = False


class Attempt(msgspec.Struct, array_like=True, frozen=True):
    """One attempt of a request at one upstream.

    :param head: request line and headers as lines on the wire, without those that
        depend on the time or the upstream.
    :param rank: order in the queue, the most urgent first.
    :param deadline_ms: time left until nobody waits any more.
    :param patience_ms: the latency objective of the route.
    """

    service: str
    instance: str
    route: str
    request_id: bytes
    head: bytes
    body: bytes
    is_head_request: bool
    idempotent: bool
    rank: tuple[int, int]
    deadline_ms: float
    patience_ms: float


class Hello(msgspec.Struct, array_like=True, tag=1):
    """First frame of each end of a link.

    :param incarnation: tells the lives of a node apart; what one life was asked,
        another does not know.
    """

    node: str
    incarnation: int


class Call(msgspec.Struct, array_like=True, tag=2):
    """Ask for an attempt; ``stream`` is unique in one life of the calling node."""

    stream: int
    attempt: Attempt


class Reply(msgspec.Struct, array_like=True, tag=3):
    """The outcome of a call, with the upstream's load."""

    stream: int
    outcome: Outcome
    load: Load


class Cancel(msgspec.Struct, array_like=True, tag=4):
    """Nobody waits for a call any more."""

    stream: int


class Recover(msgspec.Struct, array_like=True, tag=5):
    """Ask what became of a call whose link broke."""

    stream: int


class Ping(msgspec.Struct, array_like=True, tag=6):
    """Ask for a sign of life."""


class Pong(msgspec.Struct, array_like=True, tag=7):
    """A sign of life."""


class ConfigRequest(msgspec.Struct, array_like=True, tag=8):
    """Ask for the configuration in force, if newer than ``version``."""

    version: int


class ConfigReply(msgspec.Struct, array_like=True, tag=9):
    """The configuration in force, as the store holds it.

    :param row_version: of the row that holds the document.
    :param compressed: the document, by zlib.
    """

    version: int
    row_version: int
    compressed: bytes


class RateRequest(msgspec.Struct, array_like=True, tag=10):
    """Ask the home of an organisation whether one more request is within its rate."""

    stream: int
    organisation: str


class RateReply(msgspec.Struct, array_like=True, tag=11):
    """The answer of the home."""

    stream: int
    is_granted: bool


Frame = (
    Hello
    | Call
    | Reply
    | Cancel
    | Recover
    | Ping
    | Pong
    | ConfigRequest
    | ConfigReply
    | RateRequest
    | RateReply
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame."""
    payload = _encoder.encode(frame)
    return LENGTH.pack(len(payload)) + payload


class FrameReader:
    """Cut received bytes into frames.

    :param on_frame: called with each whole frame.
    """

    def __init__(self, on_frame: Callable[[Frame], None]) -> None:
        self._on_frame = on_frame
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Take in received bytes.

        :raises ValueError: if they are no frames; ``msgspec`` errors are such, too.
        """
        buffer = self._buffer
        buffer += data
        start = 0
        while len(buffer) - start >= LENGTH.size:
            (n_bytes,) = LENGTH.unpack_from(buffer, start)
            if n_bytes > MAX_FRAME_BYTES:
                raise ValueError(f"frame of {n_bytes} bytes; close the link")
            end = start + LENGTH.size + n_bytes
            if len(buffer) < end:
                break
            frame = _decoder.decode(bytes(buffer[start + LENGTH.size : end]))
            start = end
            self._on_frame(frame)
        if start:
            del buffer[:start]
