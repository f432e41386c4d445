"""Selection of the node that grants link bytes for its region."""

from .member import Member, MemberTable
from .rendezvous import score

RENDEZVOUS_KEY_PREFIX = "link/"


class GrantingNode:
    """Track the granting node: the first present member of a region by rendezvous hash.

    :param members: member rows; the choice is updated with their changes.
    """

    def __init__(self, members: MemberTable, region: str) -> None:
        self._members = members
        self._region = region
        self._best: tuple[bytes, str] | None = None
        self.n_changes = 0
        self._scan()
        members.subscribe(self._on_member_changed)

    def __repr__(self) -> str:
        return f"GrantingNode({self._region!r}, {self.member_id!r})"

    @property
    def member_id(self) -> str | None:
        """Identity of the granting node, or None if no member is present."""
        return self._best[1] if self._best else None

    @property
    def member(self) -> Member | None:
        """Row of the granting node."""
        return self._members.get(self._best[1]) if self._best else None

    def _on_member_changed(self, member_id: str) -> None:
        member = self._members.get(member_id)
        if member is not None and self._is_eligible(member):
            candidate = self._with_score(member_id)
            if self._best is None or candidate > self._best:
                self._set_best(candidate)
        elif member_id == self.member_id:
            self._scan()

    def _scan(self) -> None:
        rows = self._members.rows()
        scored = [self._with_score(row.id) for row in rows if self._is_eligible(row)]
        self._set_best(max(scored, default=None))

    def _set_best(self, best: tuple[bytes, str] | None) -> None:
        self._best = best
        self.n_changes += 1

    def _is_eligible(self, member: Member) -> bool:
        return member.region == self._region and member.is_present

    def _with_score(self, member_id: str) -> tuple[bytes, str]:
        return score(RENDEZVOUS_KEY_PREFIX + self._region, member_id), member_id
