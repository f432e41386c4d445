"""Choice of the node that gets an attempt."""

from collections.abc import Collection
from typing import NamedTuple, Protocol

from .admission import AdmissionLevel
from .catalogue import Importance
from .member import Member


class RouteQuery(NamedTuple):
    """What is to be sent.

    :param n_bytes: size of the request body.
    :param excluded: ids of nodes already tried.
    :param is_shed: whether it is refused where its importance is shed in part.
    :param far_rank: rank from 0 up to 1 among the attempts that go to the other
        region for this; a node there sheds the lowest first.
    """

    service: str
    importance: Importance
    n_bytes: int
    excluded: Collection[str] = ()
    is_shed: bool = False
    far_rank: float = 1.0


class Router(Protocol):
    """Choose nodes by distance and by last known load."""

    def choose(self, query: RouteQuery, now_ms: float) -> Member | None:
        """Return the node for the attempt, or None when none takes calls."""

    def link_wait_ms(self, query: RouteQuery, now_ms: float) -> float | None:
        """Return when the link between regions has room for the attempt.

        :returns: None where the link is not what keeps the attempt from a node.
        """

    def lacks_room(self, query: RouteQuery, now_ms: float) -> bool:
        """Return whether a node in the other region would take the attempt now.

        :returns: False where the link has room for it.
        """

    def shed_early(self, query: RouteQuery, now_ms: float) -> AdmissionLevel | None:
        """Return the level by which every node in reach would refuse, or None."""

    def sent(self, member_id: str, now_ms: float) -> None:
        """Count an attempt as outstanding."""

    def done(self, member_id: str, level: AdmissionLevel | None, now_ms: float) -> None:
        """Count an attempt as ended and keep the level on its answer."""

    def is_far(self, member: Member) -> bool:
        """Return whether calls to ``member`` cross the link between regions."""

    def count_bytes(self, member_id: str, n_bytes: int, now_ms: float) -> None:
        """Count the bytes of a body sent to or received from a member."""


class CallObserver(Protocol):
    """Learn from calls which members answer."""

    def answered(self, member_id: str) -> None:
        """Note that a member answered a call."""

    def unanswered(self, member_id: str) -> None:
        """Note that a member left several calls in a row without an answer."""


class LinkRoom(Protocol):
    """Draw bytes on the link between regions."""

    async def make_room(self, n_bytes: int, deadline_ms: float) -> bool:
        """Return whether a body of ``n_bytes`` may cross before the deadline."""
