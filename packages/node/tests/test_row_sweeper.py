"""Tests of the removal of rows of long absent members from the platform's table."""

import random
from types import SimpleNamespace

import pytest

from ibisspoke_node import row_sweeper
from ibisspoke_node.member_rows import MemberRows
from ibisspoke_node.membership_service import (
    ROW_WRITE_PERIOD_MS,
    FleetAccess,
    MembershipService,
)
from ibisspoke_node.row_sweeper import MIN_ABSENCE_MS, RowSweeper
from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.member import Member, MemberState, MemberTable
from ibisspoke_policy.member_index import NodeLocation
from ibisspoke_policy.nearest_router import NearestRouter
from ibisspoke_standins.memory_store import MemoryStore


def make_member(id: str, incarnation: int = 1, data_centre: str = "svea-1") -> Member:
    location = ("svea", data_centre, "10.0.0.1")
    return Member(
        id, incarnation, *location, 1, 2, 3, "", 0, False, MemberState.ALIVE, 1
    )


class Site:
    """Table rows of nodes a to d, and the member view of node a, which sweeps."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryStore()
        self.rows = MemberRows(self.store)
        self.members: MemberTable = MemberTable("members")
        self.members.put("a", make_member("a"))
        view = SimpleNamespace(members=self.members)
        self.membership = SimpleNamespace(is_cut_off=False, view=view)
        location = NodeLocation("a", "svea", "svea-1")
        self.sweeper = RowSweeper(self.rows, self.membership, location, self.clock)

    async def fill(self) -> None:
        for id in "abc":
            await self.rows.write(make_member(id))
        await self.rows.write(make_member("d", data_centre="svea-2"))

    async def sweep_late(self) -> set[str]:
        self.clock.advance(MIN_ABSENCE_MS)
        await self.sweeper.sweep()
        return {row.id for row in await self.rows.read()}


@pytest.fixture
async def site(monkeypatch) -> Site:
    monkeypatch.setattr(row_sweeper, "REMOVAL_GAP_MS", 0.0)
    site = Site()
    await site.fill()
    return site


async def test_rows_of_long_absent_members_are_removed(site: Site):
    site.members.put("b", make_member("b")._replace(state=MemberState.DEAD))
    assert await site.sweep_late() == set("abcd")
    site.clock.advance(-1.0)
    assert await site.sweep_late() == set("abcd")
    assert await site.sweep_late() == set("ad")


async def test_a_rewritten_row_is_kept(site: Site):
    await site.sweeper.sweep()
    await site.rows.write(make_member("b", 2))
    assert await site.sweep_late() == set("abd")
    assert not await site.rows.remove_unchanged(make_member("b", 1))
    assert not await site.rows.remove_unchanged(make_member("b", 3))
    assert "b" in {row.id for row in await site.rows.read()}


async def test_a_member_that_returned_keeps_its_row(site: Site):
    await site.sweeper.sweep()
    site.members.put("b", make_member("b"))
    assert await site.sweep_late() == set("abd")


async def test_a_node_that_is_cut_off_or_not_the_sweeper_removes_nothing(site: Site):
    await site.sweeper.sweep()
    site.membership.is_cut_off = True
    assert await site.sweep_late() == set("abcd")
    site.membership.is_cut_off = False
    site.members.pop("a")
    assert await site.sweep_late() == set("abcd")


async def test_a_node_rewrites_its_row_after_it_was_removed(site: Site):
    access = FleetAccess((b"fleet secret",), (), site.store)
    location = NodeLocation("a", "svea", "svea-1")
    members = MemberTable("members")
    router = NearestRouter(members, location, random.Random(1), 0.0)
    service = MembershipService(
        make_member("a"), members, router, None, access, site.clock
    )
    await service.write_row()
    await site.rows.remove(make_member("a"))
    await service.write_row()
    assert "a" not in {row.id for row in await site.rows.read()}
    site.clock.advance(ROW_WRITE_PERIOD_MS)
    await service.write_row()
    assert "a" in {row.id for row in await site.rows.read()}
