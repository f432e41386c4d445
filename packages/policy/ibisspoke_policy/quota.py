"""Token buckets, and decisions under an organisation's rate limit."""

from typing import NamedTuple, Protocol


class QuotaDecision(NamedTuple):
    """Whether a root request is within its organisation's rate.

    :param granted: whether a token was spent.
    :param may_ask_other_nodes: whether another node may still hold tokens.
    :param retry_after_ms: time until a token is expected.
    """

    granted: bool
    may_ask_other_nodes: bool
    retry_after_ms: int


class TokenSource(Protocol):
    """Tokens that this node may spend."""

    def take(self, organisation: str, now_ms: float) -> QuotaDecision:
        """Spend one token of ``organisation``."""

    async def acquire(self, organisation: str, deadline_ms: float) -> QuotaDecision:
        """Request a token from other nodes if ``take`` set ``may_ask_other_nodes``."""


class TokenBucket:
    """A bucket that earns ``rate_per_s`` tokens per second, up to ``burst``.

    :param now_ms: time of creation; the bucket starts with ``tokens``.
    """

    def __init__(
        self, rate_per_s: float, burst: float, now_ms: float, tokens: float
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = min(tokens, burst)
        self._filled_ms = now_ms

    def __repr__(self) -> str:
        return f"TokenBucket({self.tokens:.2f} of {self.burst}, {self.rate_per_s}/s)"

    def fill(self, now_ms: float) -> None:
        """Add the tokens earned since the last call."""
        elapsed_ms = max(0.0, now_ms - self._filled_ms)
        self._filled_ms = max(self._filled_ms, now_ms)
        earned = self.rate_per_s * elapsed_ms / 1000.0
        self.tokens = min(self.burst, self.tokens + earned)

    def skip(self, until_ms: float) -> None:
        """Earn no tokens for the time before ``until_ms``."""
        self._filled_ms = max(self._filled_ms, until_ms)

    def take(self, amount: float, now_ms: float) -> bool:
        """Spend ``amount`` tokens if available; return whether they were spent."""
        self.fill(now_ms)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def wait_ms(self, amount: float, now_ms: float) -> float:
        """Return the time until the bucket holds ``amount`` tokens."""
        self.fill(now_ms)
        missing = amount - self.tokens
        if missing <= 0:
            return 0.0
        if self.rate_per_s <= 0:
            return float("inf")
        return missing / self.rate_per_s * 1000.0
