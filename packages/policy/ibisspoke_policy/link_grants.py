"""Grants of link bytes to the nodes of a region that request them."""

from typing import NamedTuple

from .link_budget import CALL_SHARE, FIXED_SHARE, LINK_BYTES_PER_S
from .quota import TokenBucket

GRANT_BURST_MS = 4_000.0
GRANT_LIFETIME_MS = 4_000.0
MIN_RETRY_MS = 20.0
MAX_RETRY_MS = 10_000.0
# Time after the retry time for which an unrepeated request stays queued.
RETRY_GRACE_MS = 1_000.0
# Retry times spread repeated requests to at most this rate.
MAX_REQUESTS_PER_S = 100.0


class LinkGrantRequest(NamedTuple):
    """A node's request to send bytes to the other region.

    :param is_large: whether it is for one large body; such requests come last.
    """

    node_id: str
    n_bytes: int
    is_large: bool


class LinkGrant(NamedTuple):
    """The bytes that a node may send.

    :param accepted: False if the replying node is not the granting node in its view.
    :param n_bytes: the whole requested amount, or zero.
    :param lifetime_ms: how long the grant is valid, counted from before the request.
    :param retry_after_ms: delay before the request should be repeated.
    """

    accepted: bool
    n_bytes: int
    lifetime_ms: float
    retry_after_ms: float


class _QueuedRequest(NamedTuple):
    n_bytes: int
    is_large: bool
    start: float
    arrival: int
    expires_ms: float

    @property
    def order(self) -> tuple[bool, float, int]:
        return self.is_large, self.start, self.arrival


class LinkGranter:
    """Share the link among the requesting nodes by start-time fair queueing.

    A request is granted whole once the token bucket covers it and every queued request
    with higher priority: small requests before large ones, then by start tag, which is
    lowest for the node that received least.

    :param now_ms: time of creation; the bucket starts empty.
    :param link_bytes_per_s: capacity of the link in one direction.
    """

    def __init__(
        self, now_ms: float, link_bytes_per_s: float = LINK_BYTES_PER_S
    ) -> None:
        rate = link_bytes_per_s * CALL_SHARE * (1.0 - FIXED_SHARE)
        self._bucket = TokenBucket(rate, rate * GRANT_BURST_MS / 1000.0, now_ms, 0.0)
        self._queued_by_requester: dict[tuple[str, bool], _QueuedRequest] = {}
        self._finish_tag_by_node: dict[str, float] = {}
        self._virtual_time = 0.0
        self._n_arrived = 0

    def __repr__(self) -> str:
        return (
            f"LinkGranter({self._bucket!r}, {len(self._queued_by_requester)} waiting)"
        )

    @property
    def rate_per_s(self) -> float:
        """Highest number of bytes granted per second."""
        return self._bucket.rate_per_s

    @property
    def burst(self) -> float:
        """Highest number of bytes granted at once after idle time."""
        return self._bucket.burst

    def reset(self, now_ms: float) -> None:
        """Clear the queue and drop saved tokens after a change of the granting node."""
        self._bucket.fill(now_ms)
        self._bucket.tokens = min(0.0, self._bucket.tokens)
        self._queued_by_requester.clear()
        self._finish_tag_by_node.clear()
        self._virtual_time = 0.0

    def grant(self, request: LinkGrantRequest, now_ms: float) -> LinkGrant:
        """Grant the whole of ``request``, or return when to retry."""
        self._bucket.fill(now_ms)
        self._drop_expired(now_ms)
        queued = self._enqueue(request)
        needed = request.n_bytes + self._bytes_before(queued)
        if self._bucket.tokens >= min(needed, self._bucket.burst):
            self._bucket.tokens -= request.n_bytes
            self._virtual_time = max(self._virtual_time, queued.start)
            self._finish_tag_by_node[request.node_id] = queued.start + request.n_bytes
            return LinkGrant(True, request.n_bytes, GRANT_LIFETIME_MS, 0.0)
        retry_ms = self._retry_ms(needed, now_ms)
        expires_ms = now_ms + retry_ms + RETRY_GRACE_MS
        requester = (request.node_id, request.is_large)
        self._queued_by_requester[requester] = queued._replace(expires_ms=expires_ms)
        return LinkGrant(True, 0, GRANT_LIFETIME_MS, retry_ms)

    def _enqueue(self, request: LinkGrantRequest) -> _QueuedRequest:
        """Return the queue entry of a request; a repeated one keeps its position."""
        earlier = self._queued_by_requester.pop(
            (request.node_id, request.is_large), None
        )
        if earlier is not None:
            return earlier._replace(n_bytes=request.n_bytes)
        self._n_arrived += 1
        start = max(
            self._virtual_time, self._finish_tag_by_node.get(request.node_id, 0.0)
        )
        return _QueuedRequest(
            request.n_bytes, request.is_large, start, self._n_arrived, 0.0
        )

    def _bytes_before(self, queued: _QueuedRequest) -> int:
        queue = self._queued_by_requester.values()
        return sum(other.n_bytes for other in queue if other.order < queued.order)

    def _retry_ms(self, needed: float, now_ms: float) -> float:
        rate_wait_ms = self._bucket.wait_ms(needed, now_ms)
        load_wait_ms = len(self._queued_by_requester) * 1000.0 / MAX_REQUESTS_PER_S
        return max(MIN_RETRY_MS, load_wait_ms, min(rate_wait_ms + 1.0, MAX_RETRY_MS))

    def _drop_expired(self, now_ms: float) -> None:
        expired = [
            requester
            for requester, queued in self._queued_by_requester.items()
            if queued.expires_ms < now_ms
        ]
        for requester in expired:
            del self._queued_by_requester[requester]
        if len(self._finish_tag_by_node) > 2 * len(self._queued_by_requester) + 16:
            self._finish_tag_by_node = {
                node_id: finish_tag
                for node_id, finish_tag in self._finish_tag_by_node.items()
                if finish_tag > self._virtual_time
            }


def refused_grant() -> LinkGrant:
    """Return the reply of a node that is not the granting node."""
    return LinkGrant(False, 0, 0.0, 0.0)
