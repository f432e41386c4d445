"""Bytes on the link between regions: ask the granting node, and grant if it is us."""

import asyncio
from typing import Protocol

from result import Err, Result

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.granting_node import GrantingNode
from ibisspoke_policy.link_budget import LARGE_BODY_BYTES, LinkBudget
from ibisspoke_policy.link_grants import (
    LinkAsk,
    LinkGrant,
    LinkGranter,
    refused_grant,
)
from ibisspoke_policy.member import MemberTable
from ibisspoke_policy.member_index import Place

from .control import ControlError, ControlService, Method

LINK_GRANT = Method("LinkGrant", LinkAsk, LinkGrant)
BATCH_BYTES = 32_768
TIMEOUT_MS = 250.0
UNREACHABLE_MS = 1_000.0
AHEAD_MS = 1_000.0


class LinkCaller(Protocol):
    """Send control messages to other nodes."""

    async def call(
        self,
        host: str,
        port: int,
        method: Method[LinkAsk, LinkGrant],
        request: LinkAsk,
        timeout_ms: float,
    ) -> Result[LinkGrant, ControlError]:
        """Send ``request`` and wait for its reply."""


class LinkGrantService:
    """Draw bytes for the calls of this node, and grant them to others.

    :param members: rows of the fleet, from which the granting node is chosen.
    :param budget: takes in what is granted.
    """

    def __init__(
        self,
        members: MemberTable,
        place: Place,
        budget: LinkBudget,
        control: LinkCaller,
        clock: Clock,
    ) -> None:
        self._place = place
        self._budget = budget
        self._control = control
        self._clock = clock
        self._chosen = GrantingNode(members, place.region)
        self._granter = LinkGranter(clock.now_ms())
        self._n_changes_seen = self._chosen.n_changes
        self._lock_by_size = {False: asyncio.Lock(), True: asyncio.Lock()}
        self._retry_at_by_size = {False: 0.0, True: 0.0}
        self._ahead: asyncio.Task[bool] | None = None
        self.n_messages = 0
        budget.use_grants(self._draw_ahead, clock.now_ms())

    def __repr__(self) -> str:
        return f"LinkGrantService({self._chosen!r}, {self._budget!r})"

    def register(self, service: ControlService) -> None:
        """Serve asks of the nodes of this region."""

        async def grant(request: LinkAsk) -> LinkGrant:
            return self.grant(request)

        service.register(LINK_GRANT, grant)

    def grant(self, ask: LinkAsk) -> LinkGrant:
        """Answer an ask, when this is the granting node."""
        now_ms = self._clock.now_ms()
        if self._n_changes_seen != self._chosen.n_changes:
            self._n_changes_seen = self._chosen.n_changes
            self._granter.restart(now_ms)
        if self._chosen.member_id != self._place.member_id:
            return refused_grant()
        return self._granter.ask(ask, now_ms)

    async def make_room(self, n_bytes: int, deadline_ms: float) -> bool:
        """Draw until a body may cross the link, or it cannot before the deadline."""
        is_large = n_bytes > LARGE_BODY_BYTES
        try:
            async with asyncio.timeout(self._remaining_s(deadline_ms)):
                async with self._lock_by_size[is_large]:
                    return await self._draw_until(n_bytes, is_large, deadline_ms)
        except TimeoutError:
            return False

    def close(self) -> None:
        """Stop drawing."""
        if self._ahead is not None:
            self._ahead.cancel()

    async def _draw_until(
        self, n_bytes: int, is_large: bool, deadline_ms: float
    ) -> bool:
        while True:
            now_ms = self._clock.now_ms()
            if self._budget.allows(n_bytes, now_ms):
                return True
            retry_at_ms = self._retry_at_by_size[is_large]
            if retry_at_ms >= deadline_ms:
                self._budget.postpone(retry_at_ms)
                return False
            if retry_at_ms > now_ms:
                await asyncio.sleep((retry_at_ms - now_ms) / 1000.0)
                continue
            await self._ask(n_bytes, is_large)

    async def _ask(self, n_bytes: int, is_large: bool) -> None:
        asked_ms = self._clock.now_ms()
        missing = self._budget.missing(n_bytes, asked_ms)
        ahead = 0 if is_large else BATCH_BYTES
        ask = LinkAsk(self._place.member_id, missing + ahead, is_large)
        reply = await self._send(ask)
        now_ms = self._clock.now_ms()
        self._budget.is_cut_from_grants = reply is None
        if reply is None:
            self._retry_at_by_size[is_large] = now_ms + UNREACHABLE_MS
            return
        self._retry_at_by_size[is_large] = now_ms + reply.retry_after_ms
        until_ms = asked_ms + reply.lifetime_ms
        self._budget.add_grant(reply.n_bytes, until_ms, now_ms)

    async def _send(self, ask: LinkAsk) -> LinkGrant | None:
        member = self._chosen.member
        if member is None:
            return None
        if member.id == self._place.member_id:
            return self.grant(ask)
        self.n_messages += 1
        result = await self._control.call(
            member.host, member.control_port, LINK_GRANT, ask, TIMEOUT_MS
        )
        if isinstance(result, Err) or not result.ok_value.accepted:
            return None
        return result.ok_value

    def _draw_ahead(self) -> None:
        if self._ahead is not None and not self._ahead.done():
            return
        now_ms = self._clock.now_ms()
        if self._retry_at_by_size[False] > now_ms:
            return
        self._ahead = asyncio.ensure_future(self._draw_batch())

    async def _draw_batch(self) -> bool:
        async with self._lock_by_size[False]:
            await self._ask(0, False)
        return True

    def _remaining_s(self, deadline_ms: float) -> float:
        return max(0.0, deadline_ms - self._clock.now_ms()) / 1000.0
