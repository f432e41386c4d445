"""Membership messages between nodes; each one fits in a datagram."""

from enum import IntEnum
from typing import NamedTuple

from .member import Member

MAX_ROWS_PER_MESSAGE = 10  # keeps a message within one datagram


class MessageKind(IntEnum):
    """Kind of a membership message.

    ``ACCUSE``: a direct check of the subject by the sender failed. ``VOUCH``: the
    sender has heard from the subject. ``INTRODUCE``: asks the receiver for its row.
    """

    HEARTBEAT = 0
    PING = 1
    ACK = 2
    ACCUSE = 3
    VOUCH = 4
    UPDATE = 5
    INTRODUCE = 6


class Evidence(IntEnum):
    """Result of a direct check of a node.

    ``REFUSED``: the VM refuses the connection, as no process listens. ``SILENT``: no
    connection is established. ``HUNG``: a connection is established, but the process
    does not respond.
    """

    ANSWERED = 0
    REFUSED = 1
    SILENT = 2
    HUNG = 3


class ReachabilityReport(NamedTuple):
    """A relay's report on whether it can reach another data centre.

    :param stamp: increases with each report of this relay.
    """

    relay: str
    data_centre: str
    is_reachable: bool
    stamp: int


class MembershipMessage(NamedTuple):
    """A message about members from one node to another.

    :param sender: id of the sending node.
    :param incarnation: incarnation of the sender.
    :param sequence: increases with each message of this incarnation.
    :param digest: digest of the sender's view.
    :param is_deaf: whether the sender receives nothing from its data centre.
    :param subject: id of the member that an accusation or a vouch is about.
    :param evidence: result of the check by the accuser.
    :param rows: new rows of members.
    :param reaches: new reports from relays.
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
    reaches: tuple[ReachabilityReport, ...] = ()


class Send(NamedTuple):
    """Send a message to a member."""

    member_id: str
    message: MembershipMessage


class Reply(NamedTuple):
    """Send a message to the sender of the one being processed."""

    message: MembershipMessage


class Check(NamedTuple):
    """Check a member over a new TCP connection and report the result."""

    member_id: str


class Synchronise(NamedTuple):
    """Compare views with a member and exchange the rows that differ."""

    member_id: str


class Changed(NamedTuple):
    """The row of a member has changed."""

    member_id: str


class ReachChanged(NamedTuple):
    """The set of unreachable data centres has changed."""

    unreachable: frozenset[str]


Action = Send | Reply | Check | Synchronise | Changed | ReachChanged
