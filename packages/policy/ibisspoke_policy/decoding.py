"""Decoding of what other programs have written."""

from collections.abc import Callable
from typing import Annotated, Any, TypeVar

import msgspec

T = TypeVar("T")

# Integers that every message between nodes can carry.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
# Records of nodes with several names must fit a datagram.
Name = Annotated[str, msgspec.Meta(max_length=1_000)]
Slots = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]


def decode_untrusted(decode: Callable[[Any], T], data: bytes | memoryview) -> T:
    """Decode data by a ``msgspec`` decoder.

    :raises msgspec.MsgspecError: if it is not valid, also if it is nested too deeply,
        for which ``msgspec`` raises ``RecursionError``.
    """
    try:
        return decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError("the data is nested too deeply") from error
