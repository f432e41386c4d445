"""Tokens of one organisation at one quota slot: in the bucket and granted."""

import heapq

from .quota import TokenBucket
from .quota_messages import Limit


class _Grant:
    """Tokens that one process may still spend."""

    def __init__(self) -> None:
        self.tokens = 0.0
        self.expires_ms = 0.0


class SlotAccount:
    """Keep the sum of the bucket and the unexpired grants within the burst.

    :param accrue_from_ms: time before which the bucket earns no tokens.
    """

    def __init__(self, bucket: TokenBucket, accrue_from_ms: float) -> None:
        self._bucket = bucket
        self._burst = bucket.burst
        self._accrue_from_ms = accrue_from_ms
        self._grants_by_requester: dict[str, _Grant] = {}
        self._expiries: list[tuple[float, str]] = []
        self.granted = 0.0

    def __repr__(self) -> str:
        return f"SlotAccount({self.tokens:.2f} tokens, {self.granted:.2f} granted)"

    @property
    def tokens(self) -> float:
        """Tokens in the bucket."""
        return self._bucket.tokens

    def set_limit(self, limit: Limit, now_ms: float) -> None:
        """Change the rate and burst."""
        self.advance(now_ms)
        self._bucket.rate_per_s = limit.rate_per_s
        self._burst = limit.burst
        self._fill(now_ms)

    def advance(self, now_ms: float) -> None:
        """Earn tokens and expire grants up to ``now_ms``, in order of time."""
        while self._expiries and self._expiries[0][0] <= now_ms:
            expires_ms, requester = heapq.heappop(self._expiries)
            grant = self._grants_by_requester.get(requester)
            if grant is None:
                continue
            if grant.expires_ms > expires_ms:
                heapq.heappush(self._expiries, (grant.expires_ms, requester))
                continue
            # A grant counts against the burst until it expires.
            self._fill(expires_ms)
            del self._grants_by_requester[requester]
            self.granted = max(0.0, self.granted - grant.tokens)
        self._fill(now_ms)

    def update_held(self, requester: str, held: float, returned: float) -> bool:
        """Record the tokens that a process still holds and those that it returns.

        :returns: whether its grant is still counted.
        """
        grant = self._grants_by_requester.get(requester)
        if grant is None:
            return False
        kept = min(grant.tokens, max(0.0, held))
        credited = min(max(0.0, returned), grant.tokens - kept)
        self.granted = max(0.0, self.granted - (grant.tokens - kept))
        self._bucket.tokens += credited
        grant.tokens = kept
        self._update_bucket_burst()
        return True

    def allocate(self, needed: float, ahead: float) -> float:
        """Return how many tokens to grant.

        Tokens for waiting requests come first. Of the rest, a process gets at most an
        equal part ahead of demand.
        """
        available = self._bucket.tokens
        immediate = min(available, max(0.0, needed))
        n_requesters = max(1, len(self._grants_by_requester))
        prefetched = min(max(0.0, ahead), (available - immediate) / n_requesters)
        return immediate + prefetched

    def grant(self, requester: str, tokens: float, expires_ms: float) -> None:
        """Grant tokens from the bucket to a process until ``expires_ms``.

        An existing later expiry stays in force, because the reply that shortens it may
        be lost.
        """
        grant = self._grants_by_requester.get(requester)
        if grant is None:
            grant = self._grants_by_requester[requester] = _Grant()
            heapq.heappush(self._expiries, (expires_ms, requester))
        grant.expires_ms = max(grant.expires_ms, expires_ms)
        grant.tokens += tokens
        self._bucket.tokens -= tokens
        self.granted += tokens
        self._update_bucket_burst()

    def wait_ms(self, now_ms: float) -> float:
        """Return the time until the bucket holds a token, or is full."""
        return self._bucket.wait_ms(min(1.0, self._burst), now_ms)

    def _fill(self, now_ms: float) -> None:
        bucket = self._bucket
        bucket.skip(min(now_ms, self._accrue_from_ms))
        self._update_bucket_burst()
        bucket.fill(now_ms)

    def _update_bucket_burst(self) -> None:
        self._bucket.burst = max(0.0, self._burst - self.granted)
