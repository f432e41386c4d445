"""Budget and count of the bytes that cross the link between regions."""

from collections.abc import Callable
from enum import StrEnum

from .quota import TokenBucket

LINK_BYTES_PER_S = 30_000_000 / 8
CALL_SHARE = 0.9
FIXED_SHARE = 0.25
BURST_MS = 10_000
MIN_BURST_BYTES = 65_536
MIN_FIXED_BURST_BYTES = 8_192
LARGE_BODY_BYTES = 4_096
LARGE_BODY_FILL = 0.5
LOW_FILL = 0.5
DEFAULT_RETRY_MS = 1_000.0

Want = Callable[[], None]


class LinkTraffic(StrEnum):
    """What bytes on the link were for."""

    CALLS = "calls"
    CONTROL = "control"


class LinkBudget:
    """Allow calls to the other region within this node's share of the link.

    Alone, a node has a fixed share. With grants it keeps a part of that and draws
    the rest from the granting node of its region. The bucket of the fixed share may
    go below zero, so that the long-run rate holds for bodies and answers of any
    size; grants pay such a debt first.

    :param n_nodes: nodes of the own region that share the link.
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
        self._want: Want | None = None
        self._n_nodes = n_nodes
        self.is_cut_from_grants = False
        self.n_bytes_by_traffic = dict.fromkeys(LinkTraffic, 0)
        self.resize(n_nodes, now_ms)
        self._bucket.tokens = self._bucket.burst

    def __repr__(self) -> str:
        return f"LinkBudget({self._bucket!r}, {self._granted:.0f} granted)"

    def use_grants(self, want: Want, now_ms: float) -> None:
        """Take part in grants.

        :param want: called when small bodies may soon have no room.
        """
        self._want = want
        self.resize(self._n_nodes, now_ms)

    def resize(self, n_nodes: int, now_ms: float) -> None:
        """Share the link among ``n_nodes``."""
        self._n_nodes = n_nodes
        self._bucket.fill(now_ms)
        rate = self._link_bytes_per_s * CALL_SHARE / max(1, n_nodes)
        least = MIN_BURST_BYTES
        if self._want is not None:
            rate *= FIXED_SHARE
            least = MIN_FIXED_BURST_BYTES
        burst = rate * BURST_MS / 1000.0
        self._bucket.rate_per_s = rate
        self._bucket.burst = min(self._link_bytes_per_s, max(burst, float(least)))
        self._bucket.tokens = min(self._bucket.tokens, self._bucket.burst)

    def add_grant(self, n_bytes: int, until_ms: float, now_ms: float) -> None:
        """Take in granted bytes that may be sent until ``until_ms``."""
        self._settle(now_ms)
        paid = min(float(n_bytes), max(0.0, -self._bucket.tokens))
        self._bucket.tokens += paid
        self._granted += n_bytes - paid
        self._granted_until_ms = until_ms

    def postpone(self, until_ms: float) -> None:
        """Keep when grants may be asked for again."""
        self._retry_at_ms = until_ms

    def missing(self, n_bytes: int, now_ms: float) -> int:
        """Return the bytes that a body of ``n_bytes`` lacks, debt included."""
        return max(0, int(n_bytes - self._available(now_ms)) + 1)

    def allows(self, n_bytes: int, now_ms: float) -> bool:
        """Return whether a body of ``n_bytes`` may cross the link now."""
        available = self._available(now_ms)
        if n_bytes <= LARGE_BODY_BYTES:
            if available <= 0:
                self._ask()
            return available > 0
        if self._want is not None and not self.is_cut_from_grants:
            return available >= n_bytes
        return available >= self._bucket.burst * LARGE_BODY_FILL

    def wait_ms(self, n_bytes: int, now_ms: float) -> float:
        """Return the time until a body of ``n_bytes`` may cross the link."""
        if self.allows(n_bytes, now_ms):
            return 0.0
        is_large = n_bytes > LARGE_BODY_BYTES
        needed = self._bucket.burst * LARGE_BODY_FILL if is_large else 1.0
        fixed_ms = self._bucket.wait_ms(needed, now_ms)
        if self._want is None:
            return fixed_ms
        told_ms = self._retry_at_ms - now_ms
        if told_ms <= 0.0:
            told_ms = DEFAULT_RETRY_MS
        return told_ms if is_large else min(fixed_ms, told_ms)

    def spend(self, traffic: LinkTraffic, n_bytes: int, now_ms: float) -> None:
        """Count ``n_bytes`` on the link; calls are taken from the budget."""
        self.n_bytes_by_traffic[traffic] += n_bytes
        if traffic is not LinkTraffic.CALLS:
            return
        self._settle(now_ms)
        from_grants = min(self._granted, float(n_bytes))
        self._granted -= from_grants
        self._bucket.tokens -= n_bytes - from_grants
        if self._available(now_ms) < self._bucket.burst * LOW_FILL:
            self._ask()

    def _ask(self) -> None:
        if self._want is not None:
            self._want()

    def _available(self, now_ms: float) -> float:
        self._settle(now_ms)
        return self._granted + self._bucket.tokens

    def _settle(self, now_ms: float) -> None:
        self._bucket.fill(now_ms)
        if now_ms >= self._granted_until_ms:
            self._granted = 0.0
