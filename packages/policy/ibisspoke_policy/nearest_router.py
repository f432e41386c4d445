"""Router that prefers near nodes, and the less loaded of two random ones."""

import random
from collections.abc import Callable

from .admission import AdmissionLevel
from .link_budget import LinkBudget, LinkTraffic
from .load_estimate import LoadEstimate
from .member import Member, MemberState, MemberTable
from .member_index import Distance, MemberIndex, NodeLocation, Tiers
from .routing import CallObserver, RouteQuery

N_RANDOM_CHOICES = 2

MemberPredicate = Callable[[Member], bool]


class NearestRouter:
    """Choose nodes by distance, then by load.

    A more distant node of the same region is chosen when the nearer ones are full. The
    other region is used only if all nodes of this region would refuse the attempt and
    the budget of the link allows its size.

    :param members: table of the nodes of the fleet; the router subscribes to changes.
    :param location: location of this node.
    :param rng: source of the random choices.
    :param now_ms: time of creation.
    """

    def __init__(
        self,
        members: MemberTable,
        location: NodeLocation,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        self._location = location
        self._rng = rng
        self._index = MemberIndex(members, location)
        self._members = members
        self._load_by_id: dict[str, LoadEstimate] = {}
        self._unreachable_data_centres: frozenset[str] = frozenset()
        self._observer: CallObserver | None = None
        self.budget = LinkBudget(self._index.n_in_region, now_ms)
        members.subscribe(self._forget_absent)

    def __repr__(self) -> str:
        return f"NearestRouter({self._index!r})"

    def observe(self, observer: CallObserver) -> None:
        """Notify ``observer`` of answers, and of nodes that do not answer."""
        self._observer = observer

    def set_unreachable(self, data_centres: frozenset[str]) -> None:
        """Replace the set of data centres that nothing is sent to."""
        self._unreachable_data_centres = data_centres

    def choose(self, query: RouteQuery, now_ms: float) -> Member | None:
        """Return the node for the attempt, or None if none accepts calls."""
        tiers = self._index.tiers(query.service)
        if tiers is None:
            return None
        member = self._choose_near(tiers, query, now_ms)
        if member is None:
            member = self._choose_far(tiers, query, now_ms)
        if member is None:
            member = self._choose_any_candidate(tiers, query, now_ms)
        return member

    def link_wait_ms(self, query: RouteQuery, now_ms: float) -> float | None:
        """Return the time until the link between regions has capacity for the attempt.

        :returns: None if the attempt is not limited by the link.
        """
        tiers = self._index.tiers(query.service)
        if tiers is None:
            return None
        far = tiers[Distance.OTHER_REGION]
        if not any(self._is_candidate(member, query) for member in far):
            return None
        wait_ms = self.budget.wait_ms(query.n_bytes, now_ms)
        return wait_ms if wait_ms > 0 else None

    def is_limited_by_link(self, query: RouteQuery, now_ms: float) -> bool:
        """Return whether only the link keeps the attempt from the other region."""
        tiers = self._index.tiers(query.service)
        if tiers is None or self._may_reach(Distance.OTHER_REGION, query, now_ms):
            return False
        far = tiers[Distance.OTHER_REGION]
        return any(self._accepts(member, query, now_ms) for member in far)

    def early_refusal_level(
        self, query: RouteQuery, now_ms: float
    ) -> AdmissionLevel | None:
        """Return a level if all reachable nodes would refuse the attempt, else None.

        :returns: the level with the shortest time until a retry.
        """
        tiers = self._index.tiers(query.service)
        if tiers is None:
            return None
        soonest: AdmissionLevel | None = None
        for distance in Distance:
            if soonest is not None and not self._may_reach(distance, query, now_ms):
                break
            for member in tiers[distance]:
                if member.data_centre in self._unreachable_data_centres:
                    continue
                if not self._would_refuse(member, query, now_ms):
                    return None
                level = self._load(member.id).level()
                if level is not None and _is_sooner(level, soonest):
                    soonest = level
        return soonest

    def sent(self, member_id: str, now_ms: float) -> None:
        """Count an attempt as outstanding."""
        self._load(member_id).sent()

    def done(self, member_id: str, level: AdmissionLevel | None, now_ms: float) -> None:
        """Count an attempt as ended, and store the level on its answer."""
        load = self._load(member_id)
        load.done(level, now_ms)
        if self._observer is None:
            return
        if level is not None:
            self._observer.call_answered(member_id)
        elif load.is_avoided(now_ms):
            self._observer.call_unanswered(member_id)

    def is_in_other_region(self, member: Member) -> bool:
        """Return whether calls to ``member`` cross the link between regions."""
        return member.region != self._location.region

    def count_bytes(self, member_id: str, n_bytes: int, now_ms: float) -> None:
        """Count the bytes of a body sent to or received from a member."""
        member = self._members.get(member_id)
        if member is not None and self.is_in_other_region(member):
            self.budget.spend(LinkTraffic.CALLS, n_bytes, now_ms)

    def _forget_absent(self, member_id: str) -> None:
        member = self._members.get(member_id)
        if member is None or not member.is_present:
            self._load_by_id.pop(member_id, None)

    def _choose_near(
        self, tiers: Tiers, query: RouteQuery, now_ms: float
    ) -> Member | None:
        for distance in (Distance.VM, Distance.DATA_CENTRE, Distance.REGION):

            def has_headroom(member: Member) -> bool:
                return self._accepts(member, query, now_ms) and not self._is_full(
                    member, now_ms
                )

            member = self._pick(tiers[distance], has_headroom, now_ms)
            if member is not None:
                return member
        return self._choose_from_full(tiers, query, now_ms)

    def _choose_from_full(
        self, tiers: Tiers, query: RouteQuery, now_ms: float
    ) -> Member | None:
        near = [member for tier in tiers[: Distance.OTHER_REGION] for member in tier]
        return self._pick(
            near, lambda member: self._accepts(member, query, now_ms), now_ms
        )

    def _choose_far(
        self, tiers: Tiers, query: RouteQuery, now_ms: float
    ) -> Member | None:
        far = tiers[Distance.OTHER_REGION]
        if not far or not self._may_reach(Distance.OTHER_REGION, query, now_ms):
            return None
        return self._pick(
            far, lambda member: self._accepts(member, query, now_ms), now_ms
        )

    def _choose_any_candidate(
        self, tiers: Tiers, query: RouteQuery, now_ms: float
    ) -> Member | None:
        """Return the nearest candidate, even if it may refuse or not answer."""
        for distance in Distance:
            if not self._may_reach(distance, query, now_ms):
                return None
            member = self._pick(
                tiers[distance],
                lambda member: self._is_candidate(member, query),
                now_ms,
            )
            if member is not None:
                return member
        return None

    def _pick(
        self, tier: list[Member], predicate: MemberPredicate, now_ms: float
    ) -> Member | None:
        if not tier:
            return None
        choices = [self._rng.choice(tier) for _ in range(N_RANDOM_CHOICES)]
        if not all(predicate(member) for member in choices):
            passing = [member for member in tier if predicate(member)]
            if not passing:
                return None
            choices = [self._rng.choice(passing) for _ in range(N_RANDOM_CHOICES)]
        return min(choices, key=lambda member: self._load(member.id).score(now_ms))

    def _may_reach(self, distance: Distance, query: RouteQuery, now_ms: float) -> bool:
        if distance is not Distance.OTHER_REGION:
            return True
        self.budget.set_node_count(self._index.n_in_region, now_ms)
        return self.budget.allows(query.n_bytes, now_ms)

    def _accepts(self, member: Member, query: RouteQuery, now_ms: float) -> bool:
        if member.state is MemberState.SUSPECT:
            return False
        if not self._is_candidate(member, query):
            return False
        load = self._load_by_id.get(member.id)
        if load is None:
            return True
        if load.is_avoided(now_ms):
            return False
        return not self._would_refuse(member, query, now_ms)

    def _would_refuse(self, member: Member, query: RouteQuery, now_ms: float) -> bool:
        load = self._load_by_id.get(member.id)
        if load is None:
            return False
        rank = 1.0
        if query.is_shed:
            rank = query.far_rank if self.is_in_other_region(member) else 0.0
        return load.would_refuse(query.importance, rank, now_ms)

    def _is_candidate(self, member: Member, query: RouteQuery) -> bool:
        if member.id in query.excluded:
            return False
        return member.data_centre not in self._unreachable_data_centres

    def _is_full(self, member: Member, now_ms: float) -> bool:
        load = self._load_by_id.get(member.id)
        return load is not None and load.is_full(now_ms)

    def _load(self, member_id: str) -> LoadEstimate:
        load = self._load_by_id.get(member_id)
        if load is None:
            load = LoadEstimate()
            self._load_by_id[member_id] = load
        return load


def _is_sooner(level: AdmissionLevel, other: AdmissionLevel | None) -> bool:
    return other is None or level.retry_after_ms < other.retry_after_ms
