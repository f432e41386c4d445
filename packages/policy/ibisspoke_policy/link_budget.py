"""Budget and counters of the bytes that cross the link between regions."""

from collections.abc import Callable
from enum import StrEnum

from .quota import TokenBucket

LINK_BYTES_PER_S = 30_000_000 / 8
# Fraction of the link's capacity that calls may use.
CALL_SHARE = 0.9
# Fraction of a node's equal share that it keeps without grants.
FIXED_SHARE = 0.25
BURST_MS = 10_000
MIN_BURST_BYTES = 65_536
MIN_FIXED_BURST_BYTES = 8_192
LARGE_BODY_BYTES = 4_096
LARGE_BODY_FILL_FRACTION = 0.5
LOW_FILL_FRACTION = 0.5
DEFAULT_RETRY_MS = 1_000.0

LowCallback = Callable[[], None]


class LinkTraffic(StrEnum):
    """Kind of traffic on the link."""

    CALLS = "calls"
    CONTROL = "control"


class LinkBudget:
    """Allow calls to the other region within this node's share of the link.

    Without grants, a node has a fixed share. With grants it keeps a part of that and
    draws the rest from the granting node of its region. The bucket of the fixed share
    may become negative, so that the long-run rate holds for bodies and answers of any
    size; grants offset such a debt first.

    :param n_nodes: number of nodes in the own region that share the link.
    :param now_ms: time of creation; the bucket starts full.
    :param link_bytes_per_s: capacity of the link in one direction.
    """

    def __init__(
        self, n_nodes: int, now_ms: float, link_bytes_per_s: float = LINK_BYTES_PER_S
    ) -> None:
        self._link_bytes_per_s = link_bytes_per_s
        self._bucket = TokenBucket(0.0, 0.0, now_ms, 0.0)
        self._granted = 0.0
        self._granted_until_ms = 0.0
        self._retry_at_ms = 0.0
        self._on_low: LowCallback | None = None
        self._n_nodes = n_nodes
        self.is_granting_node_unreachable = False
        self.n_bytes_by_traffic = dict.fromkeys(LinkTraffic, 0)
        self.set_node_count(n_nodes, now_ms)
        self._bucket.tokens = self._bucket.burst

    def __repr__(self) -> str:
        return f"LinkBudget({self._bucket!r}, {self._granted:.0f} granted)"

    def use_grants(self, on_low: LowCallback, now_ms: float) -> None:
        """Draw on grants in addition to the fixed share.

        :param on_low: called when the budget may soon not allow small bodies.
        """
        self._on_low = on_low
        self.set_node_count(self._n_nodes, now_ms)

    def set_node_count(self, n_nodes: int, now_ms: float) -> None:
        """Set the share for a link that ``n_nodes`` use."""
        self._n_nodes = n_nodes
        self._bucket.fill(now_ms)
        rate = self._link_bytes_per_s * CALL_SHARE / max(1, n_nodes)
        min_burst = MIN_BURST_BYTES
        if self._on_low is not None:
            rate *= FIXED_SHARE
            min_burst = MIN_FIXED_BURST_BYTES
        burst = rate * BURST_MS / 1000.0
        self._bucket.rate_per_s = rate
        self._bucket.burst = min(self._link_bytes_per_s, max(burst, float(min_burst)))
        self._bucket.tokens = min(self._bucket.tokens, self._bucket.burst)

    def add_grant(self, n_bytes: int, until_ms: float, now_ms: float) -> None:
        """Add granted bytes that may be sent until ``until_ms``."""
        self._refresh(now_ms)
        debt_paid = min(float(n_bytes), max(0.0, -self._bucket.tokens))
        self._bucket.tokens += debt_paid
        self._granted += n_bytes - debt_paid
        self._granted_until_ms = until_ms

    def set_retry_time(self, until_ms: float) -> None:
        """Set the time when grants may be requested again."""
        self._retry_at_ms = until_ms

    def shortfall(self, n_bytes: int, now_ms: float) -> int:
        """Return how many bytes the budget lacks for ``n_bytes``, including debt."""
        return max(0, int(n_bytes - self._available(now_ms)) + 1)

    def allows(self, n_bytes: int, now_ms: float) -> bool:
        """Return whether a body of ``n_bytes`` may cross the link now."""
        available = self._available(now_ms)
        if n_bytes <= LARGE_BODY_BYTES:
            if available <= 0:
                self._notify_low()
            return available > 0
        if self._on_low is not None and not self.is_granting_node_unreachable:
            return available >= n_bytes
        return available >= self._bucket.burst * LARGE_BODY_FILL_FRACTION

    def wait_ms(self, n_bytes: int, now_ms: float) -> float:
        """Return the time until a body of ``n_bytes`` may cross the link."""
        if self.allows(n_bytes, now_ms):
            return 0.0
        is_large = n_bytes > LARGE_BODY_BYTES
        needed = self._bucket.burst * LARGE_BODY_FILL_FRACTION if is_large else 1.0
        fixed_ms = self._bucket.wait_ms(needed, now_ms)
        if self._on_low is None:
            return fixed_ms
        retry_ms = self._retry_at_ms - now_ms
        if retry_ms <= 0.0:
            retry_ms = DEFAULT_RETRY_MS
        return retry_ms if is_large else min(fixed_ms, retry_ms)

    def spend(self, traffic: LinkTraffic, n_bytes: int, now_ms: float) -> None:
        """Count ``n_bytes`` on the link; those of calls are charged to the budget."""
        self.n_bytes_by_traffic[traffic] += n_bytes
        if traffic is not LinkTraffic.CALLS:
            return
        self._refresh(now_ms)
        from_grants = min(self._granted, float(n_bytes))
        self._granted -= from_grants
        self._bucket.tokens -= n_bytes - from_grants
        if self._available(now_ms) < self._bucket.burst * LOW_FILL_FRACTION:
            self._notify_low()

    def _notify_low(self) -> None:
        if self._on_low is not None:
            self._on_low()

    def _available(self, now_ms: float) -> float:
        self._refresh(now_ms)
        return self._granted + self._bucket.tokens

    def _refresh(self, now_ms: float) -> None:
        self._bucket.fill(now_ms)
        if now_ms >= self._granted_until_ms:
            self._granted = 0.0
