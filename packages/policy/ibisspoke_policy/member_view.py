"""The member table, with hash rings and a digest that follow its changes."""

import sys

from .member import Member, MemberState, MemberTable
from .member_digest import MemberDigest, bucket_of
from .member_ring import MemberRing

TOMBSTONE_TTL_MS = 3_600_000.0  # for which the rows of departed members are kept


class MemberView:
    """Apply rows to a member table and keep its rings and digest up to date.

    :param members: the table that routing reads.
    """

    def __init__(self, members: MemberTable) -> None:
        self.members = members
        self.digest = MemberDigest()
        self.rings_by_data_centre: dict[str, MemberRing] = {}
        self.region_by_data_centre: dict[str, str] = {}
        self._gone_ms_by_id: dict[str, float] = {}
        for row in members.rows():
            self._update_indexes(None, row)

    def __repr__(self) -> str:
        return f"MemberView({len(self.members)} rows)"

    def ring(self, data_centre: str) -> MemberRing:
        """Return the ring of the present members of a data centre."""
        ring = self.rings_by_data_centre.get(data_centre)
        if ring is None:
            ring = self.rings_by_data_centre[data_centre] = MemberRing()
        return ring

    def present(self, member_id: str) -> Member | None:
        """Return the row of a member, or None if it is unknown or has departed."""
        row = self.members.get(member_id)
        return row if row is not None and row.is_present else None

    def apply(self, row: Member, now_ms: float) -> bool:
        """Store ``row`` if it is newer than the stored one.

        :returns: whether it was newer.
        """
        old = self.members.get(row.id)
        if old is not None and not row.supersedes(old):
            return False
        row = _with_shared_strings(row)
        self.members.put(row.id, row)
        self._update_indexes(old, row)
        if row.is_present:
            self._gone_ms_by_id.pop(row.id, None)
        else:
            self._gone_ms_by_id[row.id] = now_ms
        return True

    def dead_in(self, data_centre: str) -> list[Member]:
        """Return the members of a data centre whose state is dead."""
        gone = (self.members.get(member_id) for member_id in self._gone_ms_by_id)
        return [
            row
            for row in gone
            if row is not None
            and row.state is MemberState.DEAD
            and row.data_centre == data_centre
        ]

    def drop_tombstones(self, now_ms: float) -> None:
        """Drop the rows of members that departed ``TOMBSTONE_TTL_MS`` ago."""
        for member_id, gone_ms in list(self._gone_ms_by_id.items()):
            if now_ms - gone_ms >= TOMBSTONE_TTL_MS:
                del self._gone_ms_by_id[member_id]
                self.members.pop(member_id)

    def rows_in(self, buckets: set[int]) -> list[Member]:
        """Return the rows in ``buckets``, including those of departed members."""
        return self.members.where(lambda row: bucket_of(row.id) in buckets)

    def count_by_state(self) -> dict[MemberState, int]:
        """Return the number of rows by state."""
        counts = dict.fromkeys(MemberState, 0)
        for row in self.members.rows():
            counts[row.state] += 1
        return counts

    def _update_indexes(self, old: Member | None, row: Member) -> None:
        self.digest.replace(old, row)
        ring = self.ring(row.data_centre)
        self.region_by_data_centre[row.data_centre] = row.region
        if row.is_present:
            ring.add(row.id)
        else:
            ring.discard(row.id)


def _with_shared_strings(row: Member) -> Member:
    """Return ``row`` with interned strings, as many rows repeat the same names."""
    return row._replace(
        region=sys.intern(row.region),
        data_centre=sys.intern(row.data_centre),
        service=sys.intern(row.service),
    )
