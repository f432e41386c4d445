"""Member rows in the platform's table, from which a new node finds the others."""

import logging

import msgspec
from result import Err

from ibisspoke_policy.member import Member
from ibisspoke_storage.member_records import MEMBER_PREFIX, member_key, read_members
from ibisspoke_storage.store import Check, TableService, Write

logger = logging.getLogger(__name__)


class MemberRows:
    """Write the row of this node to the table and read the rows of others.

    :param table: the platform's table service.
    """

    def __init__(self, table: TableService) -> None:
        self._table = table
        self._encoder = msgspec.json.Encoder()
        self._decoder = msgspec.json.Decoder(Member)

    def __repr__(self) -> str:
        return f"MemberRows({MEMBER_PREFIX!r})"

    async def read(self) -> list[Member]:
        """Return all readable rows; none if the table does not answer."""
        read = await read_members(self._table)
        if isinstance(read, Err):
            logger.info(
                "member rows cannot be read", extra={"reason": read.err_value.detail}
            )
            return []
        members, faults = read.ok_value
        for fault in faults:
            logger.warning("member row is unreadable", extra={"reason": fault.detail})
        return members

    async def write(self, member: Member) -> bool:
        """Write the row of a member.

        :returns: whether it is known to be written.
        """
        value = self._encoder.encode(member)
        written = await self._table.commit([], [Write(member_key(member.id), value)])
        return not isinstance(written, Err)

    async def remove(self, member: Member) -> None:
        """Remove the row of a member unless a later incarnation has written it."""
        key = member_key(member.id)
        found = await self._table.read(key)
        if isinstance(found, Err) or found.ok_value.version == 0:
            return
        row = found.ok_value
        if self._decoder.decode(row.value).incarnation > member.incarnation:
            return
        await self._table.commit([Check(key, row.version)], [Write(key, None)])

    async def remove_unchanged(self, member: Member) -> bool:
        """Remove the row of a member if it still equals ``member``.

        :returns: whether it is known to be removed.
        """
        key = member_key(member.id)
        found = await self._table.read(key)
        if isinstance(found, Err) or found.ok_value.version == 0:
            return False
        row = found.ok_value
        if self._decoder.decode(row.value) != member:
            return False
        checks = [Check(key, row.version)]
        return not isinstance(await self._table.commit(checks, [Write(key, None)]), Err)
