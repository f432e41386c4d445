"""Creates the membership messages of a node and repeats new rows on heartbeats."""

from .member import Member
from .member_view import MemberView
from .membership_messages import (
    MAX_ROWS_PER_MESSAGE,
    Evidence,
    MembershipMessage,
    MessageKind,
    ReachabilityReport,
)


class MessageWriter:
    """Create messages with the sender, its incarnation, a sequence number and a digest.

    :param own: row of this node.
    :param n_repeats: heartbeats on which a new row is repeated.
    """

    def __init__(self, own: Member, view: MemberView, n_repeats: int) -> None:
        self.own = own
        self.is_deaf = False
        self._view = view
        self._n_repeats = n_repeats
        self._sequence = 0
        self._n_left_by_id: dict[str, int] = {}

    def __repr__(self) -> str:
        return f"MessageWriter({self.own.id!r}, {len(self._n_left_by_id)} to repeat)"

    def write(
        self,
        kind: MessageKind,
        rows: tuple[Member, ...] = (),
        reaches: tuple[ReachabilityReport, ...] = (),
    ) -> MembershipMessage:
        """Return a new message from this node."""
        self._sequence += 1
        return MembershipMessage(
            kind,
            self.own.id,
            self.own.incarnation,
            self._sequence,
            self._view.digest.total,
            self.is_deaf,
            rows=rows,
            reaches=reaches,
        )

    def write_about(
        self, kind: MessageKind, subject: Member, evidence: Evidence
    ) -> MembershipMessage:
        """Return a message about ``subject``, such as an accusation."""
        return self.write(kind)._replace(
            subject=subject.id,
            subject_incarnation=subject.incarnation,
            evidence=evidence,
        )

    def repeat_row(self, member_id: str) -> None:
        """Add the row of a member to the next heartbeats."""
        self._n_left_by_id[member_id] = self._n_repeats

    def repeated_rows(self) -> tuple[Member, ...]:
        """Return the rows for the next round of heartbeats, and count them as sent."""
        member_ids = list(self._n_left_by_id)[:MAX_ROWS_PER_MESSAGE]
        for member_id in member_ids:
            n_left = self._n_left_by_id.pop(member_id) - 1
            if n_left > 0:
                self._n_left_by_id[member_id] = n_left
        rows = (self._view.members.get(member_id) for member_id in member_ids)
        return tuple(row for row in rows if row is not None)
