"""Messages of membership between nodes; each one fits in a datagram."""

from enum import IntEnum
from typing import NamedTuple

from .member import Member

MAX_ROWS_PER_MESSAGE = 10


class MessageKind(IntEnum):
    """What a message asks or tells."""

    HEARTBEAT = 0
    PING = 1
    ACK = 2
    ACCUSE = 3
    VOUCH = 4
    UPDATE = 5
    INTRODUCE = 6


class Evidence(IntEnum):
    """What a direct check of a node found.

    ``REFUSED``: its VM answers and no process listens. ``SILENT``: no connection
    can be made. ``HUNG``: a connection can be made and the process answers nothing.
    """

    ANSWERED = 0
    REFUSED = 1
    SILENT = 2
    HUNG = 3


class Reach(NamedTuple):
    """Whether a relay has round trips with another data centre.

    :param stamp: grows with each report of this relay.
    """

    relay: str
    data_centre: str
    is_reachable: bool
    stamp: int


class MembershipMessage(NamedTuple):
    """Anything that one node tells another about members.

    :param sender: id of the sending node.
    :param incarnation: incarnation of the sender.
    :param sequence: grows with each message of this incarnation.
    :param digest: digest of the sender's view.
    :param is_deaf: whether the sender hears nobody in its data centre.
    :param subject: id of the member that an accusation or a voucher is about.
    :param evidence: what the accuser's check found.
    :param rows: new rows of members.
    :param reaches: new reports of relays.
    """

    kind: MessageKind
    sender: str
    incarnation: int
    sequence: int
    digest: int
    is_deaf: bool = False
    subject: str = ""
    subject_incarnation: int = 0
    evidence: Evidence = Evidence.ANSWERED
    rows: tuple[Member, ...] = ()
    reaches: tuple[Reach, ...] = ()


class Send(NamedTuple):
    """Send a message to a member."""

    member_id: str
    message: MembershipMessage


class Reply(NamedTuple):
    """Send a message to where the present one came from."""

    message: MembershipMessage


class Check(NamedTuple):
    """Check a member over a new TCP connection and report the result."""

    member_id: str


class Synchronise(NamedTuple):
    """Compare views with a member and exchange what differs."""

    member_id: str


class Changed(NamedTuple):
    """The row of a member has changed."""

    member_id: str


class ReachChanged(NamedTuple):
    """Other data centres became unreachable or reachable."""

    unreachable: frozenset[str]


Action = Send | Reply | Check | Synchronise | Changed | ReachChanged
