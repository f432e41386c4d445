"""Selection of the node that an attempt is sent to."""

from collections.abc import Collection
from typing import NamedTuple, Protocol

from .admission import AdmissionLevel
from .catalogue import Importance
from .member import Member


class RouteQuery(NamedTuple):
    """An attempt to be sent.

    :param n_bytes: size of the request body.
    :param excluded: ids of nodes already tried.
    :param is_shed: whether nodes that shed part of its importance refuse it.
    :param far_rank: rank from 0 up to 1 among the attempts sent to the other region
        for this reason; a node there sheds the lowest first.
    """

    service: str
    importance: Importance
    n_bytes: int
    excluded: Collection[str] = ()
    is_shed: bool = False
    far_rank: float = 1.0


class Router(Protocol):
    """Choose nodes by distance and by their last known load."""

    def choose(self, query: RouteQuery, now_ms: float) -> Member | None:
        """Return the node for the attempt, or None if none accepts calls."""

    def link_wait_ms(self, query: RouteQuery, now_ms: float) -> float | None:
        """Return the time until the link between regions has capacity for the attempt.

        :returns: None if the attempt is not limited by the link.
        """

    def is_limited_by_link(self, query: RouteQuery, now_ms: float) -> bool:
        """Return whether only the link keeps the attempt from the other region.

        :returns: False if the link has capacity for it, or no node would accept it.
        """

    def early_refusal_level(
        self, query: RouteQuery, now_ms: float
    ) -> AdmissionLevel | None:
        """Return a level if all reachable nodes would refuse the attempt, else None."""

    def sent(self, member_id: str, now_ms: float) -> None:
        """Count an attempt as outstanding."""

    def done(self, member_id: str, level: AdmissionLevel | None, now_ms: float) -> None:
        """Count an attempt as ended, and store the level on its answer."""

    def is_in_other_region(self, member: Member) -> bool:
        """Return whether calls to ``member`` cross the link between regions."""

    def count_bytes(self, member_id: str, n_bytes: int, now_ms: float) -> None:
        """Count the bytes of a body sent to or received from a member."""


class CallObserver(Protocol):
    """Observe which members answer calls."""

    def call_answered(self, member_id: str) -> None:
        """Record that a member answered a call."""

    def call_unanswered(self, member_id: str) -> None:
        """Record that a member did not answer several calls in a row."""


class LinkCapacity(Protocol):
    """Reserve capacity on the link between regions."""

    async def obtain_capacity(self, n_bytes: int, deadline_ms: float) -> bool:
        """Return whether a body of ``n_bytes`` may be sent before the deadline."""
