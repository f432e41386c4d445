"""Rows in which nodes register themselves.

Nodes update their rows rarely. They let new nodes and the command line find the fleet.
"""

import msgspec
from result import Err, Ok, Result

from ibisspoke_policy.member import Member

from .store import StoreError, StoreErrorKind, TableRow, TableService

MEMBER_PREFIX = "members/"


def member_key(member_id: str) -> str:
    """Return the key of the row of a member."""
    return MEMBER_PREFIX + member_id


def decode_member(row: TableRow) -> Result[Member, StoreError]:
    """Decode the member in a row."""
    try:
        return Ok(msgspec.json.decode(row.value, type=Member))
    except msgspec.DecodeError as error:
        detail = f"{row.key} cannot be read: {error}"
        remedy = "check that no other program writes below members/"
        return Err(StoreError(StoreErrorKind.INVALID, detail, remedy))


async def read_members(
    table: TableService,
) -> Result[tuple[list[Member], list[StoreError]], StoreError]:
    """Return the members sorted by id, and an error for each unreadable row.

    A row describes its node at the time the row was written. The row of a failed node
    remains until a node with the same id starts, or for one to two hours.
    """
    rows = await table.scan(MEMBER_PREFIX)
    if isinstance(rows, Err):
        return rows
    members: list[Member] = []
    errors: list[StoreError] = []
    for row in rows.ok_value:
        member = decode_member(row)
        if isinstance(member, Ok):
            members.append(member.ok_value)
        else:
            errors.append(member.err_value)
    return Ok((members, errors))
