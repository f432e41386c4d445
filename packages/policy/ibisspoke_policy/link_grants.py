"""Grants of bytes on the link between regions to the nodes that ask for them."""

from typing import NamedTuple

from .link_budget import CALL_SHARE, FIXED_SHARE, LINK_BYTES_PER_S
from .quota import TokenBucket

GRANT_BURST_MS = 4_000.0
GRANT_LIFETIME_MS = 4_000.0
MIN_RETRY_MS = 20.0
MAX_RETRY_MS = 10_000.0
REMEMBER_MS = 1_000.0
MAX_ASKS_PER_S = 100.0


class LinkAsk(NamedTuple):
    """What a node wants to send to the other region.

    :param is_large: whether it is for one large body; those come last.
    """

    node_id: str
    n_bytes: int
    is_large: bool


class LinkGrant(NamedTuple):
    """What a node may send.

    :param accepted: False when this node does not take itself for the granting one.
    :param n_bytes: all that was asked, or nothing.
    :param lifetime_ms: how long they may be sent, counted from before the ask.
    :param retry_after_ms: when to ask again for what was not granted.
    """

    accepted: bool
    n_bytes: int
    lifetime_ms: float
    retry_after_ms: float


class _Waiting(NamedTuple):
    n_bytes: int
    is_large: bool
    start: float
    arrival: int
    expires_ms: float

    @property
    def order(self) -> tuple[bool, float, int]:
        return self.is_large, self.start, self.arrival


class LinkGranter:
    """Share the link among the nodes that ask, by start-time fair queueing.

    An ask is granted whole once the token bucket covers it and every waiting ask
    that comes before it: small ones before large, then the node that got least.

    :param now_ms: time of creation; the bucket starts empty.
    :param link_bytes_per_s: capacity of the link in one direction.
    """

    def __init__(
        self, now_ms: float, link_bytes_per_s: float = LINK_BYTES_PER_S
    ) -> None:
        rate = link_bytes_per_s * CALL_SHARE * (1.0 - FIXED_SHARE)
        self._bucket = TokenBucket(rate, rate * GRANT_BURST_MS / 1000.0, now_ms, 0.0)
        self._waiting_by_asker: dict[tuple[str, bool], _Waiting] = {}
        self._finish_by_node: dict[str, float] = {}
        self._virtual = 0.0
        self._n_arrived = 0

    def __repr__(self) -> str:
        return f"LinkGranter({self._bucket!r}, {len(self._waiting_by_asker)} waiting)"

    @property
    def rate_per_s(self) -> float:
        """Bytes that are granted each second at most."""
        return self._bucket.rate_per_s

    @property
    def burst(self) -> float:
        """Bytes that may be granted at once after idle time."""
        return self._bucket.burst

    def restart(self, now_ms: float) -> None:
        """Start empty, as after a change of the granting node."""
        self._bucket.fill(now_ms)
        self._bucket.tokens = min(0.0, self._bucket.tokens)
        self._waiting_by_asker.clear()
        self._finish_by_node.clear()
        self._virtual = 0.0

    def ask(self, ask: LinkAsk, now_ms: float) -> LinkGrant:
        """Grant all of ``ask`` or tell when to come again."""
        self._bucket.fill(now_ms)
        self._forget(now_ms)
        waiting = self._queue(ask)
        needed = ask.n_bytes + self._bytes_before(waiting)
        if self._bucket.tokens >= min(needed, self._bucket.burst):
            self._bucket.tokens -= ask.n_bytes
            self._virtual = max(self._virtual, waiting.start)
            self._finish_by_node[ask.node_id] = waiting.start + ask.n_bytes
            return LinkGrant(True, ask.n_bytes, GRANT_LIFETIME_MS, 0.0)
        retry_ms = self._retry_ms(needed, now_ms)
        expires_ms = now_ms + retry_ms + REMEMBER_MS
        asker = (ask.node_id, ask.is_large)
        self._waiting_by_asker[asker] = waiting._replace(expires_ms=expires_ms)
        return LinkGrant(True, 0, GRANT_LIFETIME_MS, retry_ms)

    def _queue(self, ask: LinkAsk) -> _Waiting:
        """Return the place of an ask, the one it had if it waits already."""
        known = self._waiting_by_asker.pop((ask.node_id, ask.is_large), None)
        if known is not None:
            return known._replace(n_bytes=ask.n_bytes)
        self._n_arrived += 1
        start = max(self._virtual, self._finish_by_node.get(ask.node_id, 0.0))
        return _Waiting(ask.n_bytes, ask.is_large, start, self._n_arrived, 0.0)

    def _bytes_before(self, place: _Waiting) -> int:
        waiting = self._waiting_by_asker.values()
        return sum(other.n_bytes for other in waiting if other.order < place.order)

    def _retry_ms(self, needed: float, now_ms: float) -> float:
        by_rate = self._bucket.wait_ms(needed, now_ms)
        by_cost = len(self._waiting_by_asker) * 1000.0 / MAX_ASKS_PER_S
        return max(MIN_RETRY_MS, by_cost, min(by_rate + 1.0, MAX_RETRY_MS))

    def _forget(self, now_ms: float) -> None:
        gone = [
            asker
            for asker, waiting in self._waiting_by_asker.items()
            if waiting.expires_ms < now_ms
        ]
        for asker in gone:
            del self._waiting_by_asker[asker]
        if len(self._finish_by_node) > 2 * len(self._waiting_by_asker) + 16:
            self._finish_by_node = {
                node_id: finish
                for node_id, finish in self._finish_by_node.items()
                if finish > self._virtual
            }


def refused_grant() -> LinkGrant:
    """Return the reply of a node that is not the granting one."""
    return LinkGrant(False, 0, 0.0, 0.0)
