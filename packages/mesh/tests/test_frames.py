"""Frames whose bodies are sent without a copy."""

import msgspec
import pytest

from ibisspoke_mesh.frame_reader import DroppedCall, DroppedReply, FrameReader
from ibisspoke_mesh.frames import (
    MIN_APART_BYTES,
    Attempt,
    Call,
    ConfigReply,
    Frame,
    Outcome,
    OutcomeKind,
    Ping,
    Reply,
    encode_frame,
    encode_parts,
)
from ibisspoke_mesh.memory_budget import MemoryBudget, Part
from ibisspoke_policy.call_trees import UNKNOWN_CALLS
from ibisspoke_policy.upstream_queue import Load

SIZES = [0, 1, MIN_APART_BYTES - 1, MIN_APART_BYTES, MIN_APART_BYTES + 1, 1 << 20]


def call(body: bytes) -> Call:
    head = b"PUT /x HTTP/1.1\r\n"
    return Call(
        7,
        Attempt("s", "i-1", "r", b"id", head, body, False, True, (1, 2), 5.0, 6.0),
    )


def reply(body: bytes) -> Reply:
    outcome = Outcome(OutcomeKind.ANSWERED, 200, b"a: b\r\n", body, running_ms=3.0)
    return Reply(7, outcome, Load(1, 2, 3, 4.0, 0.5, (("r", 0.25),)), 2.5)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("frame_of", [call, reply])
def test_the_parts_of_a_frame_are_the_frame(frame_of, size):
    body = bytes(range(256)) * (size // 256) + b"x" * (size % 256)
    frame = frame_of(body)
    parts = encode_parts(frame)
    assert b"".join(parts) == encode_frame(frame)
    assert any(part is body for part in parts) == (size >= MIN_APART_BYTES)
    frames: list[Frame] = []
    FrameReader(frames.append).feed(b"".join(parts))
    assert frames == [frame]


def test_a_frame_without_a_body_is_one_part():
    assert encode_parts(Ping()) == [encode_frame(Ping())]


class EarlierOutcome(msgspec.Struct, array_like=True, frozen=True):
    """An outcome as nodes of the version before know it."""

    kind: OutcomeKind
    status: int = 0
    headers: bytes = b""
    body: bytes = b""
    reason: str = ""
    retry_after_ms: float = 0.0
    has_starved: bool = False
    running_ms: float = 0.0


def test_nodes_of_the_version_before_read_and_send_outcomes_without_calls():
    # Guards against links that break while a fleet is updated node by node.
    outcome = Outcome(
        OutcomeKind.ANSWERED, 500, running_ms=3.0, n_calls=4, has_retried_call=True
    )
    encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode
    earlier = decode(encode(outcome), type=EarlierOutcome)
    assert earlier == EarlierOutcome(OutcomeKind.ANSWERED, 500, running_ms=3.0)
    read = decode(encode(earlier), type=Outcome)
    assert read.n_calls == UNKNOWN_CALLS
    assert not read.has_retried_call


class EarlierReply(msgspec.Struct, array_like=True, tag=3):
    """A reply as nodes of the version before know it."""

    stream: int
    outcome: EarlierOutcome
    load: Load


def test_nodes_of_the_version_before_read_and_send_replies_without_a_pace():
    # Guards against a longer load, which these nodes refuse with the whole link.
    encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode
    slowed = reply(b"x")
    assert decode(encode(slowed), type=Reply).vm_pace == 2.5
    earlier = decode(encode(slowed), type=EarlierReply)
    assert earlier.load == Load(1, 2, 3, 4.0, 0.5, (("r", 0.25),))
    assert decode(encode(earlier), type=Reply).vm_pace == 0.0
    assert len(Load._fields) == 6


def _feed(reader: FrameReader, data: bytes, n_bytes: int) -> None:
    for start in range(0, len(data), n_bytes):
        reader.feed(data[start : start + n_bytes])


@pytest.mark.parametrize("n_bytes", [1_000, 65_536, 200_000])
@pytest.mark.parametrize("frame_of", [call, reply])
def test_large_frames_in_pieces_are_the_frames(frame_of, n_bytes):
    memory = MemoryBudget()
    frames: list[Frame] = []
    sent = [Ping(), frame_of(bytes(range(250)) * 2_000), Ping(), frame_of(b"small")]
    data = b"".join(map(encode_frame, sent))
    _feed(FrameReader(frames.append, memory=memory), data, n_bytes)
    assert frames == sent
    assert memory.n_held_bytes == 0


def test_a_large_frame_counts_as_soon_as_its_size_is_known():
    memory = MemoryBudget()
    reader = FrameReader(lambda _: None, memory=memory)
    data = encode_frame(call(bytes(1_000_000)))
    reader.feed(data[:100])
    assert memory.n_bytes_by_part[Part.PEER_FRAMES] == len(data)
    reader.close()
    assert memory.n_held_bytes == 0


@pytest.mark.parametrize("stream", [7, 127, 128, 70_000, 2**33])
@pytest.mark.parametrize(
    "frame_of, dropped_of", [(call, DroppedCall), (reply, DroppedReply)]
)
def test_a_large_frame_without_room_is_dropped(frame_of, dropped_of, stream):
    # Guards against frames of other nodes that together take the memory of a node.
    memory = MemoryBudget()
    memory.set_max_bytes(1_000_000)
    frames: list[Frame] = []
    dropped: list[DroppedCall | DroppedReply] = []
    reader = FrameReader(frames.append, dropped.append, memory)
    large = msgspec.structs.replace(frame_of(bytes(2_000_000)), stream=stream)
    _feed(reader, encode_frame(large) + encode_frame(Ping()), 65_536)
    assert dropped == [dropped_of(stream)]
    assert frames == [Ping()]
    assert memory.n_held_bytes == 0


def test_a_large_configuration_is_kept_whatever_is_held():
    memory = MemoryBudget()
    memory.set_max_bytes(0)
    frames: list[Frame] = []
    config = ConfigReply(3, 4, bytes(500_000))
    _feed(FrameReader(frames.append, memory=memory), encode_frame(config), 65_536)
    assert frames == [config]
