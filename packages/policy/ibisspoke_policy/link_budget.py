"""Budget and count of the bytes that cross the link between regions."""

from enum import StrEnum

from .quota import TokenBucket

LINK_BYTES_PER_S = 30_000_000 / 8
CALL_SHARE = 0.9
BURST_MS = 10_000
MIN_BURST_BYTES = 65_536
LARGE_BODY_BYTES = 4_096
LARGE_BODY_FILL = 0.5


class LinkTraffic(StrEnum):
    """What bytes on the link were for."""

    CALLS = "calls"
    CONTROL = "control"


class LinkBudget:
    """Allow calls to the other region within this node's share of the link.

    The bucket may go below zero by one body, so that the long-run rate holds for
    bodies of any size. Large bodies go only while the bucket is well filled.

    :param n_nodes: nodes of the own region that share the link.
    :param now_ms: time of creation; the bucket starts full.
    :param link_bytes_per_s: capacity of the link in one direction.
    """

    def __init__(
        self, n_nodes: int, now_ms: float, link_bytes_per_s: float = LINK_BYTES_PER_S
    ) -> None:
        self._link_bytes_per_s = link_bytes_per_s
        self._bucket = TokenBucket(0.0, 0.0, now_ms, 0.0)
        self.n_bytes_by_traffic = dict.fromkeys(LinkTraffic, 0)
        self.resize(n_nodes, now_ms)
        self._bucket.tokens = self._bucket.burst

    def __repr__(self) -> str:
        return f"LinkBudget({self._bucket!r})"

    def resize(self, n_nodes: int, now_ms: float) -> None:
        """Share the link among ``n_nodes``."""
        self._bucket.fill(now_ms)
        rate = self._link_bytes_per_s * CALL_SHARE / max(1, n_nodes)
        burst = rate * BURST_MS / 1000.0
        self._bucket.rate_per_s = rate
        self._bucket.burst = min(
            self._link_bytes_per_s, max(burst, float(MIN_BURST_BYTES))
        )
        self._bucket.tokens = min(self._bucket.tokens, self._bucket.burst)

    def allows(self, n_bytes: int, now_ms: float) -> bool:
        """Return whether a body of ``n_bytes`` may cross the link now."""
        self._bucket.fill(now_ms)
        if n_bytes > LARGE_BODY_BYTES:
            return self._bucket.tokens >= self._bucket.burst * LARGE_BODY_FILL
        return self._bucket.tokens > 0

    def wait_ms(self, n_bytes: int, now_ms: float) -> float:
        """Return the time until a body of ``n_bytes`` may cross the link."""
        if self.allows(n_bytes, now_ms):
            return 0.0
        is_large = n_bytes > LARGE_BODY_BYTES
        needed = self._bucket.burst * LARGE_BODY_FILL if is_large else 1.0
        return self._bucket.wait_ms(needed, now_ms)

    def spend(self, traffic: LinkTraffic, n_bytes: int, now_ms: float) -> None:
        """Count ``n_bytes`` on the link; calls are taken from the budget."""
        self.n_bytes_by_traffic[traffic] += n_bytes
        if traffic is LinkTraffic.CALLS:
            self._bucket.fill(now_ms)
            self._bucket.tokens -= n_bytes
