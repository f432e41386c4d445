"""Frames whose bodies are sent without a copy."""

import pytest

from ibisspoke_mesh.frames import (
    MIN_APART_BYTES,
    Attempt,
    Call,
    Frame,
    FrameReader,
    Outcome,
    OutcomeKind,
    Ping,
    Reply,
    encode_frame,
    encode_parts,
)
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
    return Reply(7, outcome, Load(1, 2, 3, 4.0, 0.5, (("r", 0.25),)))


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
