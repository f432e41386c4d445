"""Removal of the rows of failed nodes from the platform's table."""

import asyncio
import logging
import random

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.member import Member
from ibisspoke_policy.member_index import NodeLocation
from ibisspoke_policy.membership import Membership
from ibisspoke_policy.rendezvous import ranked

from .member_rows import MemberRows

SWEEP_PERIOD_MS = 3_600_000.0
MIN_ABSENCE_MS = 3_600_000.0
MAX_REMOVALS = 100
REMOVAL_GAP_MS = 100.0
RANK_KEY_PREFIX = "rows/"

logger = logging.getLogger(__name__)


class RowSweeper:
    """Remove rows of the own data centre whose members have been absent for long.

    One node of each data centre sweeps: the present one that rendezvous hashing
    ranks first. Concurrent sweeps are safe, because a row is removed only if it is
    unchanged since it was read.

    :param rows: the rows in the table.
    :param membership: tells which members are present and whether this node is cut
        off.
    """

    def __init__(
        self,
        rows: MemberRows,
        membership: Membership,
        location: NodeLocation,
        clock: Clock,
    ) -> None:
        self._rows = rows
        self._membership = membership
        self._location = location
        self._clock = clock
        self._rng = random.Random()
        self._absent_since_by_row: dict[Member, float] = {}
        self.n_removed = 0

    def __repr__(self) -> str:
        return f"RowSweeper({self._location!r}, {self.n_removed} removed)"

    async def run(self) -> None:
        """Sweep periodically, until cancelled."""
        while True:
            period_ms = SWEEP_PERIOD_MS * self._rng.uniform(0.75, 1.25)
            await asyncio.sleep(period_ms / 1000.0)
            await self.sweep()

    async def sweep(self) -> None:
        """Record rows whose members are absent; remove those recorded long ago."""
        if self._membership.is_cut_off or not self._is_sweeper():
            self._absent_since_by_row.clear()
            return
        absent = [row for row in await self._rows.read() if self._is_absent(row)]
        now_ms = self._clock.now_ms()
        since_by_row = self._absent_since_by_row
        self._absent_since_by_row = {
            row: since_by_row.get(row, now_ms) for row in absent
        }
        due = [row for row in absent if self._is_due(row, now_ms)]
        for row in due[:MAX_REMOVALS]:
            if not self._is_absent(row):
                continue
            if await self._rows.remove_unchanged(row):
                self.n_removed += 1
                logger.info("row of an absent member removed", extra={"member": row.id})
            await asyncio.sleep(REMOVAL_GAP_MS / 1000.0)

    def _is_due(self, row: Member, now_ms: float) -> bool:
        return now_ms - self._absent_since_by_row[row] >= MIN_ABSENCE_MS

    def _is_absent(self, row: Member) -> bool:
        if row.data_centre != self._location.data_centre:
            return False
        member = self._membership.view.members.get(row.id)
        return member is None or not member.is_present

    def _is_sweeper(self) -> bool:
        own = self._location.data_centre
        present = [
            member.id
            for member in self._membership.view.members.rows()
            if member.is_present and member.data_centre == own
        ]
        return ranked(RANK_KEY_PREFIX + own, present)[:1] == [self._location.member_id]
