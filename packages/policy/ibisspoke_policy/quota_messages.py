"""Messages by which nodes draw tokens from the holders of quota slots."""

from typing import NamedTuple

MAX_LIFETIME_MS = 2_000.0


class SlotId(NamedTuple):
    """One of the equal shares into which every rate is split."""

    data_centre: str
    number: int

    def __str__(self) -> str:
        return f"{self.data_centre}/{self.number}"


class Limit(NamedTuple):
    """Rate and burst of one organisation or open call over the whole fleet."""

    rate_per_s: float
    burst: float


class TokenRequest(NamedTuple):
    """A node's request to one slot for tokens of one organisation.

    :param held: tokens of the slot that the node keeps; it can spend no others.
    :param returned: tokens that the node returns and no longer spends.
    :param needed: tokens that requests are waiting for.
    :param ahead: further tokens for the demand expected soon.
    :param lifetime_ms: how long the node intends to spend them, counted from before
        it sent the request.
    """

    organisation: str
    held: float
    returned: float
    needed: float
    ahead: float
    lifetime_ms: float


class DrawRequest(NamedTuple):
    """A message from a node to the holder of a slot.

    :param requester: identity of the asking process, unique for each start.
    :param sequence: increases with each message to this slot; once a message is sent,
        the requester ignores the replies to all earlier ones.
    """

    slot: SlotId
    requester: str
    sequence: int
    items: list[TokenRequest]


class TokenGrant(NamedTuple):
    """Tokens of one organisation granted to a requester.

    :param renewed: whether the slot still counts the tokens that the requester holds;
        if not, the requester must discard them.
    :param lifetime_ms: how long the requester may spend the tokens it held and the new
        ones, counted from before it sent the request.
    :param level: tokens left in the slot.
    :param retry_after_ms: time until the slot expects to hold a token again.
    """

    organisation: str
    tokens: float
    renewed: bool
    lifetime_ms: float
    level: float
    retry_after_ms: float


class DrawReply(NamedTuple):
    """The reply of a slot holder.

    :param sequence: sequence number of the request.
    :param accepted: False if this node does not hold the slot or has seen a later
        request; no tokens are granted then.
    """

    sequence: int
    accepted: bool
    grants: list[TokenGrant]


def refused_draw(request: DrawRequest) -> DrawReply:
    """Return a reply that grants no tokens."""
    return DrawReply(request.sequence, False, [])
