"""Reading of frames from a link, within the memory of the node."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from ibisspoke_policy.decoding import decode_untrusted

from .body_parts import as_bytes
from .frames import LENGTH, Attempt, Call, Frame, Outcome, Reply
from .memory_budget import SMALL_BYTES, MemoryBudget, Need, Part

# A frame over this size is received into a buffer of its own, in which its body stays.
LARGE_FRAME_BYTES = SMALL_BYTES + 32 * 1024
STREAM_BYTES = 16  # of a frame's start, which contain its kind and stream
MAX_FRAME_BYTES = 96 * 1024 * 1024  # fits the largest body that callers may send
_CALL_TAG, _REPLY_TAG = 2, 3


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


_decoder = msgspec.msgpack.Decoder(Frame)
_large_decoder = msgspec.msgpack.Decoder(_LargeCall | _LargeReply)


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
