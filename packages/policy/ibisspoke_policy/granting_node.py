"""Choice of the node that grants bytes on the link for its region."""

from .member import Member, MemberTable
from .rendezvous import score

KEY_PREFIX = "link/"


class GrantingNode:
    """Follow which present member of a region comes first by rendezvous.

    :param members: the rows; their changes are followed.
    """

    def __init__(self, members: MemberTable, region: str) -> None:
        self._members = members
        self._region = region
        self._best: tuple[bytes, str] | None = None
        self.n_changes = 0
        self._scan()
        members.subscribe(self._refresh)

    def __repr__(self) -> str:
        return f"GrantingNode({self._region!r}, {self.member_id!r})"

    @property
    def member_id(self) -> str | None:
        """Identity of the granting node; None where no member is present."""
        return self._best[1] if self._best else None

    @property
    def member(self) -> Member | None:
        """Row of the granting node."""
        return self._members.get(self._best[1]) if self._best else None

    def _refresh(self, member_id: str) -> None:
        member = self._members.get(member_id)
        if member is not None and self._counts(member):
            candidate = self._scored(member_id)
            if self._best is None or candidate > self._best:
                self._change(candidate)
        elif member_id == self.member_id:
            self._scan()

    def _scan(self) -> None:
        rows = self._members.rows()
        scored = [self._scored(row.id) for row in rows if self._counts(row)]
        self._change(max(scored, default=None))

    def _change(self, best: tuple[bytes, str] | None) -> None:
        self._best = best
        self.n_changes += 1

    def _counts(self, member: Member) -> bool:
        return member.region == self._region and member.is_present

    def _scored(self, member_id: str) -> tuple[bytes, str]:
        return score(KEY_PREFIX + self._region, member_id), member_id
