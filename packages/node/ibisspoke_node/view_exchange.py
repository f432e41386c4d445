"""Comparison of member views between two nodes over the control protocol."""

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

from result import Err

from ibisspoke_policy.member import Member
from ibisspoke_policy.member_view import MemberView

from .control import ControlClient, ControlService, Method

logger = logging.getLogger(__name__)

COMPARE_TIMEOUT_MS = 5_000.0
ROWS_PER_STEP = 128

Merge = Callable[[list[Member]], None]


class CompareRequest(NamedTuple):
    """The digests of the asker's view by bucket."""

    buckets: tuple[int, ...]


class CompareReply(NamedTuple):
    """The rows of the buckets that differ."""

    differing: list[int]
    rows: list[Member]


class PushRequest(NamedTuple):
    """The asker's rows of the buckets that differ."""

    rows: list[Member]


class PushReply(NamedTuple):
    """How many rows arrived."""

    n_rows: int


COMPARE: Method[CompareRequest, CompareReply] = Method(
    "membership.compare", CompareRequest, CompareReply
)
PUSH: Method[PushRequest, PushReply] = Method("membership.push", PushRequest, PushReply)


class ViewExchange:
    """Compare the view of this node with others, and answer theirs.

    :param view: the view of this node.
    :param merge: takes in rows of another view.
    """

    def __init__(self, view: MemberView, merge: Merge, control: ControlClient) -> None:
        self._view = view
        self._merge = merge
        self._control = control

    def __repr__(self) -> str:
        return f"ViewExchange({self._view!r})"

    def serve(self, service: ControlService) -> None:
        """Answer the comparisons of other nodes."""
        service.register(COMPARE, self._answer)
        service.register(PUSH, self._take)

    async def exchange(self, host: str, port: int) -> bool:
        """Fetch the rows that differ at another node, and give it those of here.

        :returns: whether it answered.
        """
        request = CompareRequest(self._view.digest.buckets())
        compared = await self._control.call(
            host, port, COMPARE, request, COMPARE_TIMEOUT_MS
        )
        if isinstance(compared, Err):
            logger.info(
                "views were not compared",
                extra={"reason": compared.err_value.detail},
            )
            return False
        reply = compared.ok_value
        newer = self._newer_rows(reply)
        await self._merge_in_steps(reply.rows)
        if newer:
            push = PushRequest(newer)
            await self._control.call(host, port, PUSH, push, COMPARE_TIMEOUT_MS)
        return True

    def _newer_rows(self, reply: CompareReply) -> list[Member]:
        """Return the rows of which the other node has none or an older one."""
        theirs_by_id = {row.id: row for row in reply.rows}
        newer: list[Member] = []
        for row in self._view.rows_in(set(reply.differing)):
            their_row = theirs_by_id.get(row.id)
            if their_row is None or row.supersedes(their_row):
                newer.append(row)
        return newer

    async def _answer(self, request: CompareRequest) -> CompareReply:
        differing = self._view.digest.differing(request.buckets)
        return CompareReply(sorted(differing), self._view.rows_in(differing))

    async def _take(self, request: PushRequest) -> PushReply:
        await self._merge_in_steps(request.rows)
        return PushReply(len(request.rows))

    async def _merge_in_steps(self, rows: list[Member]) -> None:
        for start in range(0, len(rows), ROWS_PER_STEP):
            self._merge(rows[start : start + ROWS_PER_STEP])
            await asyncio.sleep(0)
