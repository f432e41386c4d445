"""Quota split equally among nodes, a baseline for comparison."""

from collections.abc import Callable, Mapping

from .quota import QuotaDecision, TokenBucket
from .quota_messages import Limit

MAX_RETRY_AFTER_MS = 60_000


class StaticSplit:
    """Give every node the same share of each rate and burst.

    :param limits: returns the current limits by organisation.
    :param n_nodes: returns the number of nodes that share the quota.
    """

    def __init__(
        self,
        limits: Callable[[], Mapping[str, Limit]],
        n_nodes: Callable[[], int],
    ) -> None:
        self._limits = limits
        self._n_nodes = n_nodes
        self._bucket_by_organisation: dict[str, TokenBucket] = {}

    def __repr__(self) -> str:
        return f"StaticSplit({len(self._bucket_by_organisation)} buckets)"

    def take(self, organisation: str, now_ms: float) -> QuotaDecision:
        """Use one token of ``organisation``."""
        limit = self._limits().get(organisation)
        if limit is None:
            return QuotaDecision(False, False, MAX_RETRY_AFTER_MS)
        bucket = self._bucket(organisation, limit, now_ms)
        if bucket.take(1.0, now_ms):
            return QuotaDecision(True, False, 0)
        wait_ms = min(MAX_RETRY_AFTER_MS, bucket.wait_ms(1.0, now_ms))
        return QuotaDecision(False, False, int(wait_ms) + 1)

    async def acquire(self, organisation: str, deadline_ms: float) -> QuotaDecision:
        """Refuse, as no other node has tokens for this one."""
        return QuotaDecision(False, False, MAX_RETRY_AFTER_MS)

    def _bucket(self, organisation: str, limit: Limit, now_ms: float) -> TokenBucket:
        share = 1.0 / max(1, self._n_nodes())
        rate, burst = limit.rate_per_s * share, max(1.0, limit.burst * share)
        bucket = self._bucket_by_organisation.get(organisation)
        if bucket is None or (bucket.rate_per_s, bucket.burst) != (rate, burst):
            tokens = burst if bucket is None else bucket.tokens
            bucket = TokenBucket(rate, burst, now_ms, tokens)
            self._bucket_by_organisation[organisation] = bucket
        return bucket
