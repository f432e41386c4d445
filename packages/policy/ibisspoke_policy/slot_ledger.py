"""Tokens of one quota slot: earned at its share of each rate, granted in batches.

For every organisation, the tokens in the bucket plus the granted tokens that have not
expired never exceed the slot's share of the burst.
"""

from collections.abc import Mapping

from .quota import TokenBucket
from .quota_messages import (
    MAX_LIFETIME_MS,
    DrawReply,
    DrawRequest,
    Limit,
    SlotId,
    TokenGrant,
    TokenRequest,
    refused_draw,
)
from .slot_account import SlotAccount

# A slot counts a grant for longer than its lifetime, to allow for clock drift.
LIFETIME_MARGIN_MS = 2.0
LIFETIME_DRIFT_FRACTION = 0.01
# Time after a change of holder in which grants of the earlier holder may be unexpired.
MAX_GRANT_EXPIRY_MS = (
    MAX_LIFETIME_MS * (1.0 + LIFETIME_DRIFT_FRACTION) + LIFETIME_MARGIN_MS
)
REQUESTER_TIMEOUT_MS = 60_000.0
MIN_RETRY_MS = 2.0
MAX_RETRY_MS = 100.0


class _Requester:
    """The last message of one process."""

    def __init__(self) -> None:
        self.sequence = 0
        self.last_request_ms = 0.0


class SlotLedger:
    """Earn and grant the tokens of one slot.

    :param quiet_ms: time after ``now_ms`` in which no tokens are earned, because grants
        of an earlier holder may not have expired.
    :param levels: tokens left by the earlier holder, by organisation.
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
        self._accrue_from_ms = now_ms + quiet_ms
        self._levels = dict(levels)
        self._full = full
        self._accounts_by_organisation: dict[str, SlotAccount] = {}
        self._removed_by_organisation: dict[str, SlotAccount] = {}
        self._requesters_by_id: dict[str, _Requester] = {}

    def __repr__(self) -> str:
        return f"SlotLedger({self.slot}, {len(self._requesters_by_id)} requesters)"

    def configure(
        self, limits: Mapping[str, Limit], weight: float, now_ms: float
    ) -> None:
        """Set the rates and bursts, of which the slot has the share ``weight``."""
        accounts = self._accounts_by_organisation
        for organisation in [name for name in accounts if name not in limits]:
            self._removed_by_organisation[organisation] = accounts.pop(organisation)
        for organisation, limit in limits.items():
            share = Limit(limit.rate_per_s * weight, limit.burst * weight)
            account = self._account(organisation, share, now_ms)
            account.set_limit(share, now_ms)
            accounts[organisation] = account
        self._levels.clear()
        self._full = False

    def draw(self, request: DrawRequest, now_ms: float) -> DrawReply:
        """Answer a request once; a duplicate or out-of-order one is refused."""
        requester = self._requesters_by_id.pop(request.requester, None) or _Requester()
        self._requesters_by_id[request.requester] = requester
        if request.sequence <= requester.sequence:
            return refused_draw(request)
        requester.sequence = request.sequence
        requester.last_request_ms = now_ms
        self._drop_idle_requesters(now_ms)
        grants = [
            self._grant_tokens(request.requester, item, now_ms)
            for item in request.items
        ]
        return DrawReply(request.sequence, True, grants)

    def levels(self, now_ms: float) -> dict[str, float]:
        """Return the tokens in each bucket, for the next holder."""
        tokens_by_organisation: dict[str, float] = {}
        for organisation, account in self._accounts_by_organisation.items():
            account.advance(now_ms)
            if account.tokens > 0.0:
                tokens_by_organisation[organisation] = account.tokens
        return tokens_by_organisation

    def granted(self, organisation: str, now_ms: float) -> float:
        """Return how many tokens of ``organisation`` may still be spent elsewhere."""
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return 0.0
        account.advance(now_ms)
        return account.granted

    def _account(self, organisation: str, share: Limit, now_ms: float) -> SlotAccount:
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            account = self._removed_by_organisation.pop(organisation, None)
        if account is not None:
            return account
        level = self._levels.get(organisation, 0.0)
        initial_tokens = share.burst if self._full else level
        bucket = TokenBucket(share.rate_per_s, share.burst, now_ms, initial_tokens)
        return SlotAccount(bucket, self._accrue_from_ms)

    def _grant_tokens(
        self, requester: str, item: TokenRequest, now_ms: float
    ) -> TokenGrant:
        account = self._accounts_by_organisation.get(item.organisation)
        if account is None:
            return TokenGrant(item.organisation, 0.0, False, 0.0, 0.0, MAX_RETRY_MS)
        lifetime_ms = min(MAX_LIFETIME_MS, item.lifetime_ms)
        account.advance(now_ms)
        renewed = account.update_held(requester, item.held, item.returned)
        tokens = account.allocate(item.needed, item.ahead)
        reserved_ms = lifetime_ms * (1.0 + LIFETIME_DRIFT_FRACTION) + LIFETIME_MARGIN_MS
        account.grant(requester, tokens, now_ms + reserved_ms)
        retry_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, account.wait_ms(now_ms)))
        return TokenGrant(
            item.organisation, tokens, renewed, lifetime_ms, account.tokens, retry_ms
        )

    def _drop_idle_requesters(self, now_ms: float) -> None:
        # Requesters are in order of their last message.
        while self._requesters_by_id:
            name, requester = next(iter(self._requesters_by_id.items()))
            if requester.last_request_ms > now_ms - REQUESTER_TIMEOUT_MS:
                return
            del self._requesters_by_id[name]
