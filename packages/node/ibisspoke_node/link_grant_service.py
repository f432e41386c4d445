"""Grants of bytes on the link between regions.

Each node requests them from the granting node of its region; the granting node serves
them.
"""

import asyncio
from typing import Protocol

from result import Err, Result

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.granting_node import GrantingNode
from ibisspoke_policy.link_budget import LARGE_BODY_BYTES, LinkBudget
from ibisspoke_policy.link_grants import (
    LinkGrant,
    LinkGranter,
    LinkGrantRequest,
    refused_grant,
)
from ibisspoke_policy.member import MemberTable
from ibisspoke_policy.member_index import NodeLocation

from .control import ControlError, ControlService, Method

LINK_GRANT = Method("LinkGrant", LinkGrantRequest, LinkGrant)
PREFETCH_BYTES = 32_768
GRANT_TIMEOUT_MS = 250.0
UNREACHABLE_RETRY_MS = 1_000.0
AHEAD_MS = 1_000.0


class LinkCaller(Protocol):
    """Send control messages to other nodes."""

    async def call(
        self,
        host: str,
        port: int,
        method: Method[LinkGrantRequest, LinkGrant],
        request: LinkGrantRequest,
        timeout_ms: float,
    ) -> Result[LinkGrant, ControlError]:
        """Send ``request`` and wait for its reply."""


class LinkGrantService:
    """Draw bytes for the calls of this node, and grant bytes to other nodes.

    :param members: members of the fleet, from which the granting node is chosen.
    :param budget: receives the granted bytes.
    """

    def __init__(
        self,
        members: MemberTable,
        location: NodeLocation,
        budget: LinkBudget,
        control: LinkCaller,
        clock: Clock,
    ) -> None:
        self._location = location
        self._budget = budget
        self._control = control
        self._clock = clock
        self._granting_node = GrantingNode(members, location.region)
        self._granter = LinkGranter(clock.now_ms())
        self._n_changes_seen = self._granting_node.n_changes
        self._lock_by_size = {False: asyncio.Lock(), True: asyncio.Lock()}
        self._retry_at_by_size = {False: 0.0, True: 0.0}
        self._prefetch_task: asyncio.Task[bool] | None = None
        self.n_messages = 0
        budget.use_grants(self._start_prefetch, clock.now_ms())

    def __repr__(self) -> str:
        return f"LinkGrantService({self._granting_node!r}, {self._budget!r})"

    def register(self, service: ControlService) -> None:
        """Serve requests of the nodes of this region."""

        async def grant(request: LinkGrantRequest) -> LinkGrant:
            return self.grant(request)

        service.register(LINK_GRANT, grant)

    def grant(self, request: LinkGrantRequest) -> LinkGrant:
        """Answer a request; refuse it unless this is the granting node."""
        now_ms = self._clock.now_ms()
        if self._n_changes_seen != self._granting_node.n_changes:
            self._n_changes_seen = self._granting_node.n_changes
            self._granter.reset(now_ms)
        if self._granting_node.member_id != self._location.member_id:
            return refused_grant()
        return self._granter.grant(request, now_ms)

    async def obtain_capacity(self, n_bytes: int, deadline_ms: float) -> bool:
        """Draw bytes until a body may cross the link.

        :returns: False if it may not before the deadline.
        """
        is_large = n_bytes > LARGE_BODY_BYTES
        try:
            async with asyncio.timeout(self._remaining_s(deadline_ms)):
                async with self._lock_by_size[is_large]:
                    return await self._draw_until_allowed(
                        n_bytes, is_large, deadline_ms
                    )
        except TimeoutError:
            return False

    def close(self) -> None:
        """Stop drawing."""
        if self._prefetch_task is not None:
            self._prefetch_task.cancel()

    async def _draw_until_allowed(
        self, n_bytes: int, is_large: bool, deadline_ms: float
    ) -> bool:
        while True:
            now_ms = self._clock.now_ms()
            if self._budget.allows(n_bytes, now_ms):
                return True
            retry_at_ms = self._retry_at_by_size[is_large]
            if retry_at_ms >= deadline_ms:
                self._budget.set_retry_time(retry_at_ms)
                return False
            if retry_at_ms > now_ms:
                await asyncio.sleep((retry_at_ms - now_ms) / 1000.0)
                continue
            await self._request_grant(n_bytes, is_large)

    async def _request_grant(self, n_bytes: int, is_large: bool) -> None:
        requested_ms = self._clock.now_ms()
        shortfall = self._budget.shortfall(n_bytes, requested_ms)
        prefetch_bytes = 0 if is_large else PREFETCH_BYTES
        request = LinkGrantRequest(
            self._location.member_id, shortfall + prefetch_bytes, is_large
        )
        reply = await self._send(request)
        now_ms = self._clock.now_ms()
        self._budget.is_granting_node_unreachable = reply is None
        if reply is None:
            self._retry_at_by_size[is_large] = now_ms + UNREACHABLE_RETRY_MS
            return
        self._retry_at_by_size[is_large] = now_ms + reply.retry_after_ms
        expires_ms = requested_ms + reply.lifetime_ms
        self._budget.add_grant(reply.n_bytes, expires_ms, now_ms)

    async def _send(self, request: LinkGrantRequest) -> LinkGrant | None:
        member = self._granting_node.member
        if member is None:
            return None
        if member.id == self._location.member_id:
            return self.grant(request)
        self.n_messages += 1
        result = await self._control.call(
            member.host, member.control_port, LINK_GRANT, request, GRANT_TIMEOUT_MS
        )
        if isinstance(result, Err) or not result.ok_value.accepted:
            return None
        return result.ok_value

    def _start_prefetch(self) -> None:
        if self._prefetch_task is not None and not self._prefetch_task.done():
            return
        now_ms = self._clock.now_ms()
        if self._retry_at_by_size[False] > now_ms:
            return
        self._prefetch_task = asyncio.ensure_future(self._prefetch_batch())

    async def _prefetch_batch(self) -> bool:
        async with self._lock_by_size[False]:
            await self._request_grant(0, False)
        return True

    def _remaining_s(self, deadline_ms: float) -> float:
        return max(0.0, deadline_ms - self._clock.now_ms()) / 1000.0
