"""Routing to the nearest node with the fewest outstanding attempts, a baseline."""

from collections import defaultdict

from .admission import AdmissionLevel
from .member import Member, MemberTable
from .routing import RouteQuery

SAME_NODE, SAME_DATA_CENTRE, SAME_REGION, OTHER_REGION = range(4)


class NearestRouter:
    """Prefer near nodes, then those with few attempts outstanding.

    :param own: this node.
    :param members_by_id: all nodes that this node knows.
    """

    def __init__(self, own: Member, members_by_id: MemberTable) -> None:
        self._own = own
        self._members_by_id = members_by_id
        self._n_outstanding_by_id: defaultdict[str, int] = defaultdict(int)

    def __repr__(self) -> str:
        return f"NearestRouter({self._own.id}, {len(self._members_by_id)} members)"

    def choose(self, query: RouteQuery, now_ms: float) -> Member | None:
        """Return the node for the attempt, or None when none takes calls."""
        usable = self._members_by_id.where(
            lambda member: (
                member.service == query.service
                and member.takes_calls
                and member.id not in query.excluded
            )
        )
        return min(usable, key=self._cost, default=None)

    def shed_early(self, query: RouteQuery, now_ms: float) -> AdmissionLevel | None:
        """Return None; this router keeps no levels."""
        return None

    def sent(self, member_id: str, now_ms: float) -> None:
        """Count an attempt as outstanding."""
        self._n_outstanding_by_id[member_id] += 1

    def done(self, member_id: str, level: AdmissionLevel | None, now_ms: float) -> None:
        """Count an attempt as ended."""
        self._n_outstanding_by_id[member_id] -= 1

    def _cost(self, member: Member) -> tuple[int, float]:
        outstanding = self._n_outstanding_by_id[member.id]
        return (self._distance(member), outstanding / max(1, member.n_slots))

    def _distance(self, member: Member) -> int:
        if member.id == self._own.id:
            return SAME_NODE
        if member.data_centre == self._own.data_centre:
            return SAME_DATA_CENTRE
        return SAME_REGION if member.region == self._own.region else OTHER_REGION
