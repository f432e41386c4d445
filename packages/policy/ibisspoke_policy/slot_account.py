"""Tokens of one organisation at one quota slot: in the bucket, and out of it."""

import heapq

from .quota import TokenBucket
from .quota_messages import Limit


class _Grant:
    """What one process may still spend."""

    def __init__(self) -> None:
        self.tokens = 0.0
        self.expires_ms = 0.0


class SlotAccount:
    """Keep bucket and live grants together within the burst.

    :param mint_from_ms: nothing is earned before.
    """

    def __init__(self, bucket: TokenBucket, mint_from_ms: float) -> None:
        self._bucket = bucket
        self._burst = bucket.burst
        self._mint_from_ms = mint_from_ms
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
        """Take in another rate and burst."""
        self.advance(now_ms)
        self._bucket.rate_per_s = limit.rate_per_s
        self._burst = limit.burst
        self._fill(now_ms)

    def advance(self, now_ms: float) -> None:
        """Earn tokens and end grants, in the order of time."""
        while self._expiries and self._expiries[0][0] <= now_ms:
            expires_ms, requester = heapq.heappop(self._expiries)
            grant = self._grants_by_requester.get(requester)
            if grant is None:
                continue
            if grant.expires_ms > expires_ms:
                heapq.heappush(self._expiries, (grant.expires_ms, requester))
                continue
            # A grant takes its room in the burst until it ends.
            self._fill(expires_ms)
            del self._grants_by_requester[requester]
            self.granted = max(0.0, self.granted - grant.tokens)
        self._fill(now_ms)

    def settle(self, requester: str, held: float, returned: float) -> bool:
        """Take in what a process still holds and gives back.

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
        self._set_room()
        return True

    def share(self, needed: float, ahead: float) -> float:
        """Return how many tokens a request gets.

        Requests that wait come first; what is drawn ahead leaves the other
        processes their part.
        """
        available = self._bucket.tokens
        now = min(available, max(0.0, needed))
        n_others = max(1, len(self._grants_by_requester))
        later = min(max(0.0, ahead), (available - now) / n_others)
        return now + later

    def grant(self, requester: str, tokens: float, expires_ms: float) -> None:
        """Move tokens from the bucket to a process, which may spend them for a time.

        An earlier expiry stays in force where it is later, because the reply that
        shortens it may be lost.
        """
        grant = self._grants_by_requester.get(requester)
        if grant is None:
            grant = self._grants_by_requester[requester] = _Grant()
            heapq.heappush(self._expiries, (expires_ms, requester))
        grant.expires_ms = max(grant.expires_ms, expires_ms)
        grant.tokens += tokens
        self._bucket.tokens -= tokens
        self.granted += tokens
        self._set_room()

    def wait_ms(self, now_ms: float) -> float:
        """Return when the bucket expects to hold a token, or to be full."""
        return self._bucket.wait_ms(min(1.0, self._burst), now_ms)

    def _fill(self, now_ms: float) -> None:
        bucket = self._bucket
        bucket.skip(min(now_ms, self._mint_from_ms))
        self._set_room()
        bucket.fill(now_ms)

    def _set_room(self) -> None:
        self._bucket.burst = max(0.0, self._burst - self.granted)
