"""Rows of members in the platform's table, from which a new node learns of others."""

import logging

import msgspec
from result import Err

from ibisspoke_platform.store import Check, TableService, Write
from ibisspoke_policy.member import Member

PREFIX = "members/"

logger = logging.getLogger(__name__)


class MemberRows:
    """Keep the row of this node in the table and read those of others.

    :param table: the platform's table service.
    """

    def __init__(self, table: TableService) -> None:
        self._table = table
        self._encoder = msgspec.json.Encoder()
        self._decoder = msgspec.json.Decoder(Member)

    def __repr__(self) -> str:
        return f"MemberRows({PREFIX!r})"

    async def read(self) -> list[Member]:
        """Return all rows; none when the table does not answer."""
        scanned = await self._table.scan(PREFIX)
        if isinstance(scanned, Err):
            logger.info(
                "member rows were not read", extra={"reason": scanned.err_value.detail}
            )
            return []
        members: list[Member] = []
        for row in scanned.ok_value:
            try:
                members.append(self._decoder.decode(row.value))
            except msgspec.DecodeError:
                logger.warning("member row is not readable", extra={"key": row.key})
        return members

    async def write(self, member: Member) -> bool:
        """Write the row of a member.

        :returns: whether it is known to be written.
        """
        value = self._encoder.encode(member)
        written = await self._table.commit([], [Write(PREFIX + member.id, value)])
        return not isinstance(written, Err)

    async def remove(self, member: Member) -> None:
        """Remove the row of a member unless a later process has written it."""
        key = PREFIX + member.id
        found = await self._table.read(key)
        if isinstance(found, Err) or found.ok_value.version == 0:
            return
        row = found.ok_value
        if self._decoder.decode(row.value).incarnation > member.incarnation:
            return
        await self._table.commit([Check(key, row.version)], [Write(key, None)])
