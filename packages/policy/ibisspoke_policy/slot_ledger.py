"""Tokens of one quota slot: minted at its share of each rate, granted in batches.

For every organisation, tokens in the bucket plus tokens granted and still
spendable never exceed the slot's share of the burst.
"""

from collections.abc import Mapping

from .quota import TokenBucket
from .quota_messages import (
    DrawReply,
    DrawRequest,
    Limit,
    SlotId,
    TokenGrant,
    TokenRequest,
    refused_draw,
)

GRANT_LIFETIME_MS = 2_000.0
GRANT_MARGIN_MS = 100.0
QUIET_MS = GRANT_LIFETIME_MS + GRANT_MARGIN_MS
MIN_RETRY_MS = 2.0
MAX_RETRY_MS = 250.0


class _Requester:
    """What one process may still spend, by organisation."""

    def __init__(self) -> None:
        self.sequence = 0
        self.forget_ms = 0.0
        self.tokens_by_organisation: dict[str, float] = {}


class _Account:
    """Bucket of one organisation and the tokens out of it."""

    def __init__(self, bucket: TokenBucket, burst: float) -> None:
        self.bucket = bucket
        self.burst = burst
        self.granted = 0.0
        self.n_requesters = 0

    def fill(self, now_ms: float) -> None:
        """Add the tokens earned, as far as live grants leave room in the burst."""
        self.bucket.burst = max(0.0, self.burst - self.granted)
        self.bucket.fill(now_ms)


class SlotLedger:
    """Mint and grant the tokens of one slot.

    :param quiet_ms: time from ``now_ms`` in which nothing is minted, because grants
        of an earlier holder may still be alive.
    :param levels: tokens that the earlier holder left, by organisation.
    :param full: whether organisations start with their whole burst; only for a
        slot that never had a holder.
    """

    def __init__(
        self,
        slot: SlotId,
        now_ms: float,
        quiet_ms: float,
        levels: Mapping[str, float],
        full: bool = False,
    ) -> None:
        self.slot = slot
        self._mint_from_ms = now_ms + quiet_ms
        self._levels = dict(levels)
        self._full = full
        self._accounts_by_organisation: dict[str, _Account] = {}
        self._requesters_by_id: dict[str, _Requester] = {}
        self._removed_by_organisation: dict[str, _Account] = {}

    def __repr__(self) -> str:
        return f"SlotLedger({self.slot}, {len(self._requesters_by_id)} requesters)"

    @property
    def n_requesters(self) -> int:
        """Number of processes that hold grants."""
        return len(self._requesters_by_id)

    def configure(
        self, limits: Mapping[str, Limit], weight: float, now_ms: float
    ) -> None:
        """Take in rates and bursts, of which the slot has the share ``weight``."""
        self._expire(now_ms)
        accounts = self._accounts_by_organisation
        for organisation in [name for name in accounts if name not in limits]:
            self._removed_by_organisation[organisation] = accounts.pop(organisation)
        for organisation, limit in limits.items():
            self._set_limit(organisation, limit, weight, now_ms)
        self._levels.clear()
        self._full = False

    def draw(self, request: DrawRequest, now_ms: float) -> DrawReply:
        """Answer a request once; a doubled or overtaken one gets nothing."""
        self._expire(now_ms)
        requester = self._requesters_by_id.get(request.requester)
        renewed = requester is not None
        if requester is None:
            requester = _Requester()
        if request.sequence <= requester.sequence:
            return refused_draw(request)
        requester.sequence = request.sequence
        self._keep(request.requester, requester, now_ms)
        grants = [self._grant(requester, item, now_ms) for item in request.items]
        lifetime_ms = GRANT_LIFETIME_MS
        return DrawReply(request.sequence, True, renewed, lifetime_ms, grants)

    def levels(self, now_ms: float) -> dict[str, float]:
        """Return the tokens in each bucket, for the next holder."""
        self._expire(now_ms)
        for account in self._accounts_by_organisation.values():
            self._fill(account, now_ms)
        return {
            organisation: account.bucket.tokens
            for organisation, account in self._accounts_by_organisation.items()
            if account.bucket.tokens > 0
        }

    def granted(self, organisation: str, now_ms: float) -> float:
        """Return how many tokens of ``organisation`` may be alive elsewhere."""
        self._expire(now_ms)
        account = self._accounts_by_organisation.get(organisation)
        return 0.0 if account is None else account.granted

    def _set_limit(
        self, organisation: str, limit: Limit, weight: float, now_ms: float
    ) -> None:
        rate, burst = limit.rate_per_s * weight, limit.burst * weight
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            account = self._removed_by_organisation.pop(organisation, None)
        if account is None:
            start = burst if self._full else self._levels.get(organisation, 0.0)
            account = _Account(TokenBucket(rate, burst, now_ms, start), burst)
        self._fill(account, now_ms)
        account.bucket.rate_per_s = rate
        account.burst = burst
        account.fill(now_ms)
        self._accounts_by_organisation[organisation] = account

    def _grant(
        self, requester: _Requester, item: TokenRequest, now_ms: float
    ) -> TokenGrant:
        account = self._accounts_by_organisation.get(item.organisation)
        if account is None:
            return TokenGrant(item.organisation, 0.0, MAX_RETRY_MS)
        self._fill(account, now_ms)
        self._settle(requester, account, item)
        account.fill(now_ms)
        tokens = _share(account, item)
        account.bucket.tokens -= tokens
        account.granted += tokens
        requester.tokens_by_organisation[item.organisation] += tokens
        wait_ms = account.bucket.wait_ms(min(1.0, account.burst), now_ms)
        retry_after_ms = wait_ms * account.n_requesters
        bounded_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, retry_after_ms))
        return TokenGrant(item.organisation, tokens, bounded_ms)

    def _settle(
        self, requester: _Requester, account: _Account, item: TokenRequest
    ) -> None:
        out = requester.tokens_by_organisation.get(item.organisation)
        if out is None:
            account.n_requesters += 1
            out = 0.0
        held = min(out, max(0.0, item.held))
        returned = min(max(0.0, item.returned), out - held)
        account.granted -= out - held
        account.bucket.tokens += returned
        requester.tokens_by_organisation[item.organisation] = held

    def _fill(self, account: _Account, now_ms: float) -> None:
        if now_ms < self._mint_from_ms:
            account.bucket.skip(now_ms)
            return
        account.bucket.skip(self._mint_from_ms)
        account.fill(now_ms)

    def _keep(self, name: str, requester: _Requester, now_ms: float) -> None:
        requester.forget_ms = now_ms + QUIET_MS
        self._requesters_by_id.pop(name, None)
        self._requesters_by_id[name] = requester

    def _expire(self, now_ms: float) -> None:
        # Requesters stand in order of expiry. Each account is filled up to the
        # expiry while the grants still take their room in the burst.
        while self._requesters_by_id:
            name, requester = next(iter(self._requesters_by_id.items()))
            if requester.forget_ms > now_ms:
                return
            del self._requesters_by_id[name]
            for organisation, tokens in requester.tokens_by_organisation.items():
                self._forget(organisation, tokens, requester.forget_ms)

    def _forget(self, organisation: str, tokens: float, at_ms: float) -> None:
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            account = self._removed_by_organisation.get(organisation)
        if account is not None:
            self._fill(account, at_ms)
            account.n_requesters -= 1
            account.granted = max(0.0, account.granted - tokens)


def _share(account: _Account, item: TokenRequest) -> float:
    available = account.bucket.tokens
    needed = min(available, max(0.0, item.needed))
    ahead = min(max(0.0, item.ahead), (available - needed) / account.n_requesters)
    if account.burst < 1.0:
        return needed + ahead
    return float(int(needed + ahead))
