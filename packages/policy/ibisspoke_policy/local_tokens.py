"""Tokens that this node holds, by organisation, and what to draw next.

A take reads the clock and this node's memory only. Tokens expire by the time that
also counts suspension, measured from before the request for them was sent.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import Protocol

from .clock import Clock
from .quota import QuotaDecision
from .quota_messages import (
    DrawReply,
    DrawRequest,
    Limit,
    SlotId,
    TokenGrant,
    TokenRequest,
)

DEMAND_TIME_CONSTANT_MS = 1_000.0
TARGET_MS = 750.0
LOW_SHARE = 0.4
MIN_AHEAD = 2.0
MAX_RETRY_MS = 60_000.0
MIN_REFUSAL_MS = 2.0
MAX_EMPTY_MS = 500.0
MAX_EMPTY_IN_A_ROW = 8

GRANTED = QuotaDecision(True, False, 0)
UNKNOWN = QuotaDecision(False, False, int(MAX_RETRY_MS))


class LocalSource(Protocol):
    """Slots that this process holds itself and draws from without a message."""

    def draw_now(self, organisation: str) -> bool:
        """Draw tokens for one take; return whether any came."""


class _Account:
    """Tokens and demand of one organisation."""

    def __init__(self, limit: Limit) -> None:
        self.limit = limit
        self.tokens_by_slot: dict[SlotId, float] = {}
        self.empty_until_by_slot: dict[SlotId, float] = {}
        self.n_empty_by_slot: dict[SlotId, int] = {}
        self.n_takes = 0
        self.n_waiting = 0
        self.demand_per_s = 0.0
        self.n_slots_ahead = 1
        self.refuse_until_ms = 0.0

    def is_empty(self, slot: SlotId, now_ms: float) -> bool:
        """Return whether ``slot`` said that it has no token before ``now_ms``."""
        return self.empty_until_by_slot.get(slot, 0.0) > now_ms

    def target(self) -> float:
        """Return how many tokens to hold for the demand expected soon."""
        expected_per_s = min(self.demand_per_s, self.limit.rate_per_s)
        return expected_per_s * TARGET_MS / 1000.0

    def note_grant(self, slot: SlotId, grant: TokenGrant, now_ms: float) -> None:
        """Keep the tokens, or how long ``slot`` is not worth asking."""
        held = self.tokens_by_slot.get(slot, 0.0)
        self.tokens_by_slot[slot] = held + grant.tokens
        if grant.tokens > 0.0:
            self.n_empty_by_slot.pop(slot, None)
            self.empty_until_by_slot.pop(slot, None)
            return
        n_empty = self.n_empty_by_slot.get(slot, 0)
        self.n_empty_by_slot[slot] = min(n_empty + 1, MAX_EMPTY_IN_A_ROW)
        wait_ms = min(MAX_EMPTY_MS, grant.retry_after_ms * 2.0**n_empty)
        self.empty_until_by_slot[slot] = now_ms + wait_ms


class _Draws:
    """Sequence and validity of what was drawn from one slot."""

    def __init__(self) -> None:
        self.sequence = 0
        self.sent_elapsed_ms = 0.0
        self.expires_elapsed_ms = 0.0


class LocalTokens:
    """Spend tokens held here and say which requests for more to send.

    :param requester: identity of this process, unique for each start.
    :param local: slots that this process holds, asked before any message.
    """

    def __init__(
        self, requester: str, clock: Clock, local: LocalSource | None = None
    ) -> None:
        self._requester = requester
        self._clock = clock
        self._local = local
        self._accounts_by_organisation: dict[str, _Account] = {}
        self._draws_by_slot: dict[SlotId, _Draws] = {}
        self._demand_ms = clock.now_ms()

    def __repr__(self) -> str:
        return f"LocalTokens({len(self._accounts_by_organisation)} organisations)"

    def configure(self, limits: Mapping[str, Limit]) -> None:
        """Forget organisations without a limit and take in new ones."""
        accounts = self._accounts_by_organisation
        for organisation in [name for name in accounts if name not in limits]:
            del accounts[organisation]
        for organisation, limit in limits.items():
            account = accounts.setdefault(organisation, _Account(limit))
            account.limit = limit

    def take(self, organisation: str, now_ms: float) -> QuotaDecision:
        """Spend one token of ``organisation`` held in this process."""
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return UNKNOWN
        account.n_takes += 1
        if self._spend(account):
            return GRANTED
        local = self._local
        if local is not None and local.draw_now(organisation) and self._spend(account):
            return GRANTED
        wait_ms = account.refuse_until_ms - now_ms
        if wait_ms > 0:
            return QuotaDecision(False, False, int(wait_ms) + 1)
        return QuotaDecision(False, True, 0)

    def retake(self, organisation: str) -> bool:
        """Spend one token for a request whose take was counted before."""
        account = self._accounts_by_organisation.get(organisation)
        return account is not None and self._spend(account)

    def wait(self, organisation: str, change: int) -> None:
        """Count requests that wait for a token."""
        account = self._accounts_by_organisation.get(organisation)
        if account is not None:
            account.n_waiting += change

    def refuse(
        self, organisation: str, slots: Collection[SlotId], now_ms: float
    ) -> float:
        """Refuse ``organisation`` until one of ``slots`` expects a token.

        :returns: the time until then.
        """
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return MAX_RETRY_MS
        empty_until = account.empty_until_by_slot
        times = [empty_until[slot] for slot in slots if slot in empty_until]
        until_ms = max(min(times, default=0.0), now_ms + MIN_REFUSAL_MS)
        account.refuse_until_ms = until_ms
        return until_ms - now_ms

    def tokens(self, organisation: str) -> float:
        """Return the tokens of ``organisation`` that can be spent now."""
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return 0.0
        return sum(self._alive(account, slot) for slot in account.tokens_by_slot)

    def tokens_of(self, organisation: str, slot: SlotId) -> float:
        """Return the tokens of ``slot`` that can be spent now."""
        account = self._accounts_by_organisation.get(organisation)
        return 0.0 if account is None else self._alive(account, slot)

    def _alive(self, account: _Account, slot: SlotId) -> float:
        draws = self._draws_by_slot.get(slot)
        if draws is None or draws.expires_elapsed_ms <= self._clock.elapsed_ms():
            return 0.0
        return account.tokens_by_slot.get(slot, 0.0)

    def may_have(self, organisation: str, slot: SlotId, now_ms: float) -> bool:
        """Return whether it is worth to ask ``slot`` for ``organisation``."""
        account = self._accounts_by_organisation.get(organisation)
        return account is not None and not account.is_empty(slot, now_ms)

    def measure(self, now_ms: float) -> None:
        """Take in the demand since the last call."""
        elapsed_ms = now_ms - self._demand_ms
        if elapsed_ms <= 0:
            return
        self._demand_ms = now_ms
        share = min(1.0, elapsed_ms / DEMAND_TIME_CONSTANT_MS)
        for account in self._accounts_by_organisation.values():
            seen_per_s = account.n_takes * 1000.0 / elapsed_ms
            account.n_takes = 0
            account.demand_per_s += share * (seen_per_s - account.demand_per_s)

    def plan(self, slots: Sequence[SlotId], now_ms: float) -> dict[SlotId, list[str]]:
        """Return which organisations to draw ahead of need, by slot.

        :param slots: slots from most to least preferred.
        """
        organisations_by_slot: dict[SlotId, list[str]] = {}
        for organisation, account in self._accounts_by_organisation.items():
            for slot in self._plan_account(organisation, account, slots, now_ms):
                organisations_by_slot.setdefault(slot, []).append(organisation)
        return organisations_by_slot

    def request(self, slot: SlotId, organisations: Collection[str]) -> DrawRequest:
        """Return the next message to ``slot``; replies to earlier ones are void."""
        draws = self._draws_by_slot.setdefault(slot, _Draws())
        draws.sequence += 1
        draws.sent_elapsed_ms = self._clock.elapsed_ms()
        items = [self._item(name, slot) for name in organisations]
        return DrawRequest(
            slot,
            self._requester,
            draws.sequence,
            [item for item in items if item is not None],
        )

    def absorb(self, slot: SlotId, reply: DrawReply, now_ms: float) -> None:
        """Take in a reply, unless a later request was sent."""
        draws = self._draws_by_slot.get(slot)
        if draws is None or reply.sequence != draws.sequence:
            return
        if not reply.accepted:
            return
        if not reply.renewed or draws.expires_elapsed_ms <= self._clock.elapsed_ms():
            self._drop(slot)
        draws.expires_elapsed_ms = draws.sent_elapsed_ms + reply.lifetime_ms
        draws.sequence += 1
        for grant in reply.grants:
            account = self._accounts_by_organisation.get(grant.organisation)
            if account is not None:
                account.note_grant(slot, grant, now_ms)

    def _spend(self, account: _Account) -> bool:
        elapsed_ms = self._clock.elapsed_ms()
        tokens_by_slot = account.tokens_by_slot
        for slot, tokens in tokens_by_slot.items():
            if tokens < 1.0:
                continue
            if self._draws_by_slot[slot].expires_elapsed_ms > elapsed_ms:
                tokens_by_slot[slot] = tokens - 1.0
                return True
        return self._spend_parts(account, elapsed_ms)

    def _spend_parts(self, account: _Account, elapsed_ms: float) -> bool:
        alive = [
            (slot, tokens)
            for slot, tokens in account.tokens_by_slot.items()
            if tokens > 0.0
            and self._draws_by_slot[slot].expires_elapsed_ms > elapsed_ms
        ]
        if sum(tokens for _, tokens in alive) < 1.0:
            return False
        missing = 1.0
        for slot, tokens in alive:
            part = min(missing, tokens)
            account.tokens_by_slot[slot] = tokens - part
            missing -= part
        return True

    def _drop(self, slot: SlotId) -> None:
        for account in self._accounts_by_organisation.values():
            account.tokens_by_slot.pop(slot, None)

    def _plan_account(
        self,
        organisation: str,
        account: _Account,
        slots: Sequence[SlotId],
        now_ms: float,
    ) -> list[SlotId]:
        held = self.tokens(organisation)
        target = account.target()
        surplus = held - 2.0 * target
        if surplus >= 1.0:
            return [slot for slot, n in account.tokens_by_slot.items() if n >= 1.0]
        if target < MIN_AHEAD or held >= target * LOW_SHARE:
            account.n_slots_ahead = max(1, account.n_slots_ahead - 1)
            return []
        able = [slot for slot in slots if not account.is_empty(slot, now_ms)]
        chosen = able[: account.n_slots_ahead]
        account.n_slots_ahead = min(max(1, len(slots)), account.n_slots_ahead * 2)
        return chosen

    def _item(self, organisation: str, slot: SlotId) -> TokenRequest | None:
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return None
        held = account.tokens_by_slot.get(slot, 0.0)
        draws = self._draws_by_slot[slot]
        if draws.expires_elapsed_ms <= draws.sent_elapsed_ms:
            held = account.tokens_by_slot[slot] = 0.0
        total = self.tokens(organisation)
        target = account.target()
        returned = min(held, max(0.0, float(int(total - 2.0 * target))))
        kept = held - returned
        account.tokens_by_slot[slot] = kept
        needed = max(0.0, account.n_waiting - total)
        ahead = max(0.0, target - total) if target >= MIN_AHEAD else 0.0
        return TokenRequest(organisation, kept, returned, needed, ahead)
