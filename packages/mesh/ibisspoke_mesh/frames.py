"""Frames between nodes: a length prefix and a MessagePack array by ``msgspec``."""

import secrets
import struct
from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple

import msgspec

from ibisspoke_policy.call_trees import UNKNOWN_CALLS
from ibisspoke_policy.decoding import decode_untrusted
from ibisspoke_policy.evacuations import EvacuationPosition, EvacuationReport
from ibisspoke_policy.upstream_queue import Load

from .body_parts import as_bytes
from .memory_budget import SMALL_BYTES, MemoryBudget, Need, Part

LENGTH = struct.Struct("!I")
MIN_APART_BYTES = 64 * 1024  # bodies that are not copied into their frame
# A frame over this size is received into a buffer of its own, in which its body stays.
LARGE_FRAME_BYTES = SMALL_BYTES + 32 * 1024
STREAM_BYTES = 16  # of a frame's start, which contain its kind and stream
MAX_FRAME_BYTES = 96 * 1024 * 1024  # fits the largest body that callers may send
FINAL_STATUSES = range(200, 600)  # of answers that callers may get


class OutcomeKind(IntEnum):
    """Result of an attempt."""

    ANSWERED = 1  # complete response of the upstream
    REFUSED = 2  # not run: a node refused it
    SHED = 3  # not run: the upstream rejected it
    FAILED = 4  # may have run, but there is no complete response
    TIMED_OUT = 5  # may have run, but its deadline has passed


class Outcome(msgspec.Struct, array_like=True, frozen=True):
    """Outcome of an attempt, with the response if there is one.

    :param headers: encoded header lines of the response.
    :param reason: why there is no response.
    :param retry_after_ms: when the upstream may have capacity.
    :param has_starved: whether it failed for lack of capacity here or at a downstream
        service.
    :param running_ms: how long it ran at the upstream, without the wait for a slot.
    :param n_calls: calls that the upstream made for it; negative if not known, as from
        an earlier version.
    :param has_retried_call: whether it failed because of a call that was sent again in
        vain, or was not sent again only for want of budget.
    """

    kind: OutcomeKind
    status: int = 0
    headers: bytes = b""
    body: bytes = b""
    reason: str = ""
    retry_after_ms: float = 0.0
    has_starved: bool = False
    running_ms: float = 0.0
    n_calls: int = UNKNOWN_CALLS
    has_retried_call: bool = False


class Attempt(msgspec.Struct, array_like=True, frozen=True):
    """An attempt to run a request at one upstream.

    :param head: encoded request line and headers, without those that depend on the
        time or the upstream.
    :param rank: order in the queue; the lowest runs first.
    :param deadline_ms: time left until the deadline.
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
    """First frame that each end of a link sends.

    :param incarnation: start of the node's process; a restarted node knows nothing of
        calls that were sent to an earlier incarnation.
    """

    node: str
    incarnation: int


class Call(msgspec.Struct, array_like=True, tag=2):
    """Request an attempt; ``stream`` is unique in one incarnation of the caller."""

    stream: int
    attempt: Attempt


class Reply(msgspec.Struct, array_like=True, tag=3):
    """Outcome of a call, with the current load of the upstream.

    :param vm_pace: how long work takes on its VM, as a multiple of the usual; 0.0 if it
        is not known. Not in the load, which earlier versions read in one length only.
    """

    stream: int
    outcome: Outcome
    load: Load
    vm_pace: float = 0.0


class Cancel(msgspec.Struct, array_like=True, tag=4):
    """Cancel a call."""

    stream: int


class Recover(msgspec.Struct, array_like=True, tag=5):
    """Request the outcome of a call whose connection was lost."""

    stream: int


class Ping(msgspec.Struct, array_like=True, tag=6):
    """Request a :class:`Pong`, to check that the connection works."""


class Pong(msgspec.Struct, array_like=True, tag=7):
    """Reply to :class:`Ping`."""


class ConfigRequest(msgspec.Struct, array_like=True, tag=8):
    """Request the configuration in force, now or as soon as it is newer than a version.

    :param nonce: time of sending, to be echoed with the age of the receiver's proof; 0
        from an earlier version.
    :param evacuations: position up to which evacuations are known; a later one is a
        reason to reply as well. None from an earlier version.
    """

    version: int
    nonce: int = 0
    evacuations: EvacuationPosition | None = None


class ConfigReply(msgspec.Struct, array_like=True, tag=9):
    """The configuration in force, as stored, and the evacuations.

    :param row_version: store version of the row that holds the document.
    :param compressed: the document, compressed by zlib; empty if the receiver has it.
    :param echo: nonce of the request; 0 from an earlier version.
    :param proof_age_ms: age of the sender's proof for the version; None without one.
    :param evacuations: None from an earlier version, or if they are not known.
    :param row_era: era of the store that ``row_version`` belongs to.
    """

    version: int
    row_version: int
    compressed: bytes
    echo: int = 0
    proof_age_ms: int | None = None
    evacuations: EvacuationReport | None = None
    row_era: int = 0


class RateRequest(msgspec.Struct, array_like=True, tag=10):
    """Ask an organisation's home node whether its rate allows one more request."""

    stream: int
    organisation: str


class RateReply(msgspec.Struct, array_like=True, tag=11):
    """Reply to :class:`RateRequest`."""

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


class DroppedCall(NamedTuple):
    """A :class:`Call` that was received and not kept, for lack of memory."""

    stream: int


class DroppedReply(NamedTuple):
    """A :class:`Reply` that was received and not kept, for lack of memory."""

    stream: int


class _LargeAttempt(Attempt, frozen=True):
    body: memoryview  # type: ignore[assignment]


class _LargeCall(Call, tag=2):
    attempt: _LargeAttempt


class _LargeOutcome(Outcome, frozen=True):
    body: memoryview = memoryview(b"")  # type: ignore[assignment]


class _LargeReply(Reply, tag=3):
    outcome: _LargeOutcome


_encoder = msgspec.msgpack.Encoder()
_BODY_MARK = secrets.token_bytes(16)  # random, so that no other field contains it
_ENCODED_MARK = _encoder.encode(_BODY_MARK)
_LARGE_BINARY_TAG = 0xC6  # of MessagePack, for 64 KiB and more
_LARGE_BINARY = struct.Struct("!BI")
_decoder = msgspec.msgpack.Decoder(Frame)
_large_decoder = msgspec.msgpack.Decoder(_LargeCall | _LargeReply)
_CALL_TAG, _REPLY_TAG = 2, 3


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame with its length prefix."""
    payload = _encoder.encode(frame)
    return LENGTH.pack(len(payload)) + payload


def encode_parts(frame: Frame) -> list[bytes]:
    """Encode a frame in parts, of which one is its body if that is large.

    The body is then not copied. Joined, the parts are what :func:`encode_frame`
    returns.
    """
    if isinstance(frame, Call) and len(frame.attempt.body) >= MIN_APART_BYTES:
        attempt = msgspec.structs.replace(frame.attempt, body=_BODY_MARK)
        return _encode_apart(Call(frame.stream, attempt), frame.attempt.body)
    if isinstance(frame, Reply) and len(frame.outcome.body) >= MIN_APART_BYTES:
        outcome = msgspec.structs.replace(frame.outcome, body=_BODY_MARK)
        return _encode_apart(
            msgspec.structs.replace(frame, outcome=outcome), frame.outcome.body
        )
    return [encode_frame(frame)]


def _encode_apart(frame: Frame, body: bytes) -> list[bytes]:
    """Encode a frame with a body in place of the mark."""
    before, _, after = _encoder.encode(frame).partition(_ENCODED_MARK)
    before += _LARGE_BINARY.pack(_LARGE_BINARY_TAG, len(body))
    n_bytes = len(before) + len(body) + len(after)
    return [LENGTH.pack(n_bytes) + before, body, after]


class FrameReader:
    """Splits received bytes into frames.

    Large frames are counted as soon as their size is known. Their bodies are not copied
    out of the buffer that they are received into. A large call or reply for which there
    is no memory is read to its end without being kept.

    :param on_frame: called with each complete frame.
    :param on_dropped: called with each one that was not kept.
    :param on_wait: called when reading is to pause until memory that is being freed is
        free.
    """

    def __init__(
        self,
        on_frame: Callable[[Frame], None],
        on_dropped: Callable[[DroppedCall | DroppedReply], None] = lambda _: None,
        memory: MemoryBudget | None = None,
        on_wait: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_frame = on_frame
        self._on_dropped = on_dropped
        self._on_wait = on_wait
        self._memory = MemoryBudget() if memory is None else memory
        self._buffer = bytearray()
        self._n_counted = 0
        self._n_missing = 0  # of a large frame
        self._dropped: DroppedCall | DroppedReply | None = None

    def __repr__(self) -> str:
        return f"FrameReader({len(self._buffer)} bytes, {self._n_missing} missing)"

    def feed(self, data: bytes) -> None:
        """Process received bytes.

        :raises ValueError: if they are not valid frames, which includes ``msgspec``
            errors.
        """
        if not self._buffer and not self._n_missing:  # mostly, data holds whole frames
            n_read = self._read_frames(data)
            if n_read < len(data):
                self._buffer += memoryview(data)[n_read:]
                self._begin_frame()
            return
        while data:
            if not self._n_missing:
                self._buffer += data
                n_read = self._read_frames(self._buffer)
                del self._buffer[:n_read]
                self._begin_frame()
                return
            n_taken = min(len(data), self._n_missing)
            if self._dropped is None:
                self._buffer += memoryview(data)[:n_taken]
            self._n_missing -= n_taken
            data = data[n_taken:]
            if not self._n_missing:
                self._end_large()

    def close(self) -> None:
        """Forget an unfinished frame."""
        self._buffer = bytearray()
        self._n_missing = 0
        self._count(0)

    def _begin_frame(self) -> None:
        """Count an unfinished frame; make room for it if it is large, or drop it."""
        if len(self._buffer) >= LENGTH.size + STREAM_BYTES:
            (n_payload,) = LENGTH.unpack_from(self._buffer)
            if n_payload > LARGE_FRAME_BYTES:
                self._begin_large(LENGTH.size + n_payload)
                return
        self._count(len(self._buffer))

    def _begin_large(self, n_bytes: int) -> None:
        self._n_missing = n_bytes - len(self._buffer)
        dropped = _stream_of(self._buffer)
        is_answer = isinstance(dropped, DroppedReply)
        need = Need(n_bytes - self._n_counted, n_bytes, is_answer=is_answer)
        has_room = self._memory.make_room(need)
        if dropped is None or has_room or self._memory.will_fit(need):
            self._count(n_bytes)
            if not has_room:
                self._on_wait()
            return
        self._dropped = dropped
        self._buffer = bytearray()
        self._count(0)

    def _end_large(self) -> None:
        buffer, self._buffer = self._buffer, bytearray()
        dropped, self._dropped = self._dropped, None
        self._count(0)
        if dropped is not None:
            self._on_dropped(dropped)
            return
        payload = memoryview(buffer)[LENGTH.size :]
        if payload[1] in (_CALL_TAG, _REPLY_TAG):
            frame = _usual(decode_untrusted(_large_decoder.decode, payload))
        else:
            frame = decode_untrusted(_decoder.decode, payload)
        self._on_frame(frame)

    def _count(self, n_bytes: int) -> None:
        if n_bytes != self._n_counted:
            self._memory.add(Part.PEER_FRAMES, n_bytes - self._n_counted)
            self._n_counted = n_bytes

    def _read_frames(self, data: bytes | bytearray) -> int:
        """Process whole frames, and return how many bytes they take."""
        start = 0
        while len(data) - start >= LENGTH.size:
            (n_bytes,) = LENGTH.unpack_from(data, start)
            if n_bytes > MAX_FRAME_BYTES:
                raise ValueError(f"frame of {n_bytes} bytes exceeds the maximum size")
            end = start + LENGTH.size + n_bytes
            if len(data) < end:
                break
            with memoryview(data) as view, view[start + LENGTH.size : end] as payload:
                frame = decode_untrusted(_decoder.decode, payload)
            start = end
            self._on_frame(frame)
        return start


def _stream_of(buffer: bytearray) -> DroppedCall | DroppedReply | None:
    """Return what dropping a frame is reported as, or None if it must be kept.

    :param buffer: the start of the frame: its length, an array of few fields, the tag
        and the stream, as MessagePack.
    """
    start = LENGTH.size
    tag, size_tag = buffer[start + 1], buffer[start + 2]
    if tag not in (_CALL_TAG, _REPLY_TAG):
        return None
    n_bytes = {0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}.get(size_tag, 0)
    stream = size_tag
    if n_bytes:
        stream = int.from_bytes(buffer[start + 3 : start + 3 + n_bytes])
    return DroppedCall(stream) if tag == _CALL_TAG else DroppedReply(stream)


def _usual(frame: _LargeCall | _LargeReply) -> Frame:
    """Return a large frame in the usual types, with its body as it is."""
    if isinstance(frame, _LargeCall):
        fields = msgspec.structs.asdict(frame.attempt)
        fields["body"] = as_bytes(frame.attempt.body)
        return Call(frame.stream, Attempt(**fields))
    fields = msgspec.structs.asdict(frame.outcome)
    fields["body"] = as_bytes(frame.outcome.body)
    return Reply(frame.stream, Outcome(**fields), frame.load, frame.vm_pace)
