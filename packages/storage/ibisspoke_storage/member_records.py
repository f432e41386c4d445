"""Rows that nodes write of themselves, rarely, for those who know no node yet."""

import msgspec
from result import Err, Ok, Result

from ibisspoke_policy.member import Member

from .store import StoreError, StoreErrorKind, TableRow, TableService

MEMBER_PREFIX = "members/"


def member_key(member_id: str) -> str:
    """Return the key of the row of a node."""
    return MEMBER_PREFIX + member_id


def decode_member(row: TableRow) -> Result[Member, StoreError]:
    """Return the member in a row."""
    try:
        return Ok(msgspec.json.decode(row.value, type=Member))
    except msgspec.DecodeError as error:
        detail = f"{row.key} cannot be read: {error}"
        remedy = "check that no other program writes below members/"
        return Err(StoreError(StoreErrorKind.INVALID, detail, remedy))


async def read_members(
    table: TableService,
) -> Result[tuple[list[Member], list[StoreError]], StoreError]:
    """Return the members by id, and the rows that cannot be read.

    A row shows its node as it was when the row was written; that of a node which
    failed stays until a node of its id starts again, or for an hour or two.
    """
    rows = await table.scan(MEMBER_PREFIX)
    if isinstance(rows, Err):
        return rows
    members: list[Member] = []
    faults: list[StoreError] = []
    for row in rows.ok_value:
        member = decode_member(row)
        if isinstance(member, Ok):
            members.append(member.ok_value)
        else:
            faults.append(member.err_value)
    return Ok((members, faults))
