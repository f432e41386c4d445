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
    """The digest of each bucket of the sender's view."""

    buckets: tuple[int, ...]


class CompareReply(NamedTuple):
    """The buckets that differ and their rows."""

    differing: list[int]
    rows: list[Member]


class PushRequest(NamedTuple):
    """Rows of the sender that the receiver lacks or has in an older version."""

    rows: list[Member]


class PushReply(NamedTuple):
    """The number of rows received."""

    n_rows: int


COMPARE: Method[CompareRequest, CompareReply] = Method(
    "membership.compare", CompareRequest, CompareReply
)
PUSH: Method[PushRequest, PushReply] = Method("membership.push", PushRequest, PushReply)


class ViewExchange:
    """Compare the view of this node with those of others, and serve comparisons.

    :param view: the view of this node.
    :param merge: merges rows of another view into the view of this node.
    """

    def __init__(self, view: MemberView, merge: Merge, control: ControlClient) -> None:
        self._view = view
        self._merge = merge
        self._control = control

    def __repr__(self) -> str:
        return f"ViewExchange({self._view!r})"

    def serve(self, service: ControlService) -> None:
        """Register the handlers for comparisons by other nodes."""
        service.register(COMPARE, self._answer)
        service.register(PUSH, self._receive_push)

    async def exchange(self, host: str, port: int) -> bool:
        """Fetch the rows that differ at another node, and send it the newer ones.

        :returns: whether it answered.
        """
        request = CompareRequest(self._view.digest.buckets())
        compared = await self._control.call(
            host, port, COMPARE, request, COMPARE_TIMEOUT_MS
        )
        if isinstance(compared, Err):
            logger.info(
                "member views cannot be compared",
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
        """Return the rows that the other node lacks or has in an older version."""
        their_rows_by_id = {row.id: row for row in reply.rows}
        newer: list[Member] = []
        for row in self._view.rows_in(set(reply.differing)):
            their_row = their_rows_by_id.get(row.id)
            if their_row is None or row.supersedes(their_row):
                newer.append(row)
        return newer

    async def _answer(self, request: CompareRequest) -> CompareReply:
        differing = self._view.digest.differing(request.buckets)
        return CompareReply(sorted(differing), self._view.rows_in(differing))

    async def _receive_push(self, request: PushRequest) -> PushReply:
        await self._merge_in_steps(request.rows)
        return PushReply(len(request.rows))

    async def _merge_in_steps(self, rows: list[Member]) -> None:
        for start in range(0, len(rows), ROWS_PER_STEP):
            self._merge(rows[start : start + ROWS_PER_STEP])
            await asyncio.sleep(0)
