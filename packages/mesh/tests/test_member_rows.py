"""The rows by which nodes find each other."""

import msgspec
import pytest
from model_fleet import record

from ibisspoke_mesh.member_record import decode_record, encode_record
from ibisspoke_policy.upstream_tracker import UpstreamState

OWN = record(258, ("sv-a", "svealand"))
LEAVING = msgspec.structs.replace(
    OWN, state=UpstreamState.DRAINING, born_ms=1_767_322_320_000, is_leaving=True
)


@pytest.mark.parametrize("own", [OWN, LEAVING])
def test_a_record_survives_its_row(own):
    assert decode_record(encode_record(own)) == own


@pytest.mark.parametrize("own", [OWN, LEAVING])
def test_rows_of_the_version_before_are_read(own):
    assert decode_record(msgspec.json.encode(own)) == own


def test_a_row_is_short():
    # Guards against a link between regions that is full of rows when all nodes start.
    assert 2 * len(encode_record(LEAVING)) < len(msgspec.json.encode(LEAVING))


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{}",
        b"\xc1",
        b"\x90",
        msgspec.msgpack.encode([1, 2, 3]),
        msgspec.msgpack.encode({"node": "a"}),
        encode_record(OWN)[:-1],
        msgspec.msgpack.encode([*msgspec.structs.astuple(OWN)][:5]),
        msgspec.msgpack.encode(["x"] * 13),
        # Guards against entries of other writers that end the reading of rows (LOST).
        b"\x9d" + b"\x91" * 100_000 + b"\x90",
        b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        encode_record(msgspec.structs.replace(OWN, link_port=70_000)),
        encode_record(msgspec.structs.replace(OWN, status_port=0)),
        encode_record(msgspec.structs.replace(OWN, n_slots=10**12)),
        encode_record(msgspec.structs.replace(OWN, born_ms=2**63)),
        encode_record(msgspec.structs.replace(OWN, incarnation=-1)),
        msgspec.msgpack.encode(["not-an-address", *msgspec.structs.astuple(OWN)[1:]]),
    ],
)
def test_bad_rows_are_refused(value):
    with pytest.raises(msgspec.MsgspecError):
        decode_record(value)
