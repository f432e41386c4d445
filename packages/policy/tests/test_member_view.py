"""Memory use of the rows in a member view."""

import msgspec

from ibisspoke_policy.member import Member, MemberState, MemberTable
from ibisspoke_policy.member_view import MemberView


def _received(number: int) -> Member:
    row = Member(
        f"n{number}",
        1,
        "svealand",
        "svea-1",
        "127.0.0.1",
        1,
        2,
        3,
        "ordering",
        4,
        False,
        MemberState.ALIVE,
        1,
    )
    return msgspec.msgpack.decode(msgspec.msgpack.encode(row), type=Member)


def test_rows_share_the_names_that_they_repeat():
    view = MemberView(MemberTable("members"))
    rows = [_received(number) for number in range(2)]
    assert rows[0].service is not rows[1].service
    for row in rows:
        view.apply(row, 0.0)
    first, second = (view.members[row.id] for row in rows)
    assert first == rows[0]
    assert first.service is second.service
    assert first.data_centre is second.data_centre
    assert first.region is second.region
