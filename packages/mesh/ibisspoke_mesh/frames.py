"""Frames between nodes: a length prefix and a MessagePack array by ``msgspec``."""

import secrets
import struct
from enum import IntEnum

import msgspec

from ibisspoke_policy.call_trees import UNKNOWN_CALLS
from ibisspoke_policy.evacuations import EvacuationPosition, EvacuationReport
from ibisspoke_policy.upstream_queue import Load

LENGTH = struct.Struct("!I")
MIN_APART_BYTES = 64 * 1024  # bodies that are not copied into their frame
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


_encoder = msgspec.msgpack.Encoder()
_BODY_MARK = secrets.token_bytes(16)  # random, so that no other field contains it
_ENCODED_MARK = _encoder.encode(_BODY_MARK)
_LARGE_BINARY_TAG = 0xC6  # of MessagePack, for 64 KiB and more
_LARGE_BINARY = struct.Struct("!BI")


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
