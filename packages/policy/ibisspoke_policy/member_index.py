"""Index of the members by service and by distance from this node."""

from enum import IntEnum
from typing import NamedTuple

from .member import Member, MemberTable


class Distance(IntEnum):
    """Distance of a member from this node; the nearest is preferred."""

    VM = 0
    DATA_CENTRE = 1
    REGION = 2
    OTHER_REGION = 3


class NodeLocation(NamedTuple):
    """Location of this node."""

    member_id: str
    region: str
    data_centre: str

    def distance(self, member: Member) -> Distance:
        """Return the distance of ``member`` from this node."""
        if member.id == self.member_id:
            return Distance.VM
        if member.region != self.region:
            return Distance.OTHER_REGION
        if member.data_centre != self.data_centre:
            return Distance.REGION
        return Distance.DATA_CENTRE


Tiers = tuple[list[Member], list[Member], list[Member], list[Member]]


class MemberIndex:
    """Index the members that accept calls by service and distance.

    :param members: the member table; the index follows its changes.
    :param location: location of this node.
    """

    def __init__(self, members: MemberTable, location: NodeLocation) -> None:
        self._members = members
        self._location = location
        self._tiers_by_service: dict[str, Tiers] = {}
        self._service_by_id: dict[str, str] = {}
        self._region_by_id: dict[str, str] = {}
        self._n_present_by_region: dict[str, int] = {}
        for member in members.rows():
            self._add(member)
        members.subscribe(self._refresh)

    def __repr__(self) -> str:
        return f"MemberIndex({len(self._service_by_id)} members)"

    @property
    def n_in_region(self) -> int:
        """Number of present members in the region of this node, at least 1."""
        return max(1, self._n_present_by_region.get(self._location.region, 0))

    def tiers(self, service: str) -> Tiers | None:
        """Return the members of ``service`` by distance, nearest first."""
        return self._tiers_by_service.get(service)

    def _refresh(self, member_id: str) -> None:
        self._remove(member_id)
        member = self._members.get(member_id)
        if member is not None:
            self._add(member)

    def _add(self, member: Member) -> None:
        if member.is_present:
            self._region_by_id[member.id] = member.region
            count = self._n_present_by_region.get(member.region, 0)
            self._n_present_by_region[member.region] = count + 1
        if not member.accepts_calls:
            return
        self._service_by_id[member.id] = member.service
        tiers = self._tiers_by_service.setdefault(member.service, ([], [], [], []))
        tiers[self._location.distance(member)].append(member)

    def _remove(self, member_id: str) -> None:
        region = self._region_by_id.pop(member_id, None)
        if region is not None:
            self._n_present_by_region[region] -= 1
        service = self._service_by_id.pop(member_id, None)
        if service is None:
            return
        tiers = self._tiers_by_service[service]
        for tier in tiers:
            tier[:] = [member for member in tier if member.id != member_id]
        if not any(tiers):
            del self._tiers_by_service[service]
