"""Writes the messages of one node and repeats new rows on them."""

from .member import Member
from .member_view import MemberView
from .membership_messages import (
    MAX_ROWS_PER_MESSAGE,
    Evidence,
    MembershipMessage,
    MessageKind,
    Reach,
)


class MessageWriter:
    """Stamp messages with the sender, its incarnation and its digest.

    :param own: row of this node.
    :param n_repeats: messages to watchers on which a new row is repeated.
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
        reaches: tuple[Reach, ...] = (),
    ) -> MembershipMessage:
        """Return a message of this node."""
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

    def about(
        self, kind: MessageKind, subject: Member, evidence: Evidence
    ) -> MembershipMessage:
        """Return an accusation of or a voucher for ``subject``."""
        return self.write(kind)._replace(
            subject=subject.id,
            subject_incarnation=subject.incarnation,
            evidence=evidence,
        )

    def repeat(self, member_id: str) -> None:
        """Put the row of a member on the next heartbeats."""
        self._n_left_by_id[member_id] = self._n_repeats

    def repeated_rows(self) -> tuple[Member, ...]:
        """Return the rows for one round of heartbeats."""
        chosen = list(self._n_left_by_id)[:MAX_ROWS_PER_MESSAGE]
        for member_id in chosen:
            n_left = self._n_left_by_id.pop(member_id) - 1
            if n_left > 0:
                self._n_left_by_id[member_id] = n_left
        rows = (self._view.members.get(member_id) for member_id in chosen)
        return tuple(row for row in rows if row is not None)
