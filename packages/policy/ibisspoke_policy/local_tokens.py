"""Tokens that this node holds, by organisation, and the requests for more.

Spending a token reads only the clock and this node's memory. Tokens expire by a clock
that includes suspension, counted from before the request for them was sent.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import Protocol

from .clock import Clock
from .local_account import (
    MIN_PREFETCH_TOKENS,
    MIN_REFUSAL_MS,
    LocalAccount,
    SlotDistance,
)
from .quota import QuotaDecision
from .quota_messages import (
    MAX_LIFETIME_MS,
    DrawReply,
    DrawRequest,
    Limit,
    SlotId,
    TokenRequest,
)

DEMAND_TIME_CONSTANT_MS = 1_000.0
# Fraction of the target below which more tokens are drawn.
LOW_TARGET_FRACTION = 0.6
MAX_RETRY_MS = 60_000.0
MAX_REFUSAL_MS = 200.0

GRANTED = QuotaDecision(True, False, 0)
UNKNOWN_ORGANISATION = QuotaDecision(False, False, int(MAX_RETRY_MS))


class LocalSource(Protocol):
    """Slots held by this process, from which it draws without sending a message."""

    def draw_from_own_slots(self, organisation: str) -> bool:
        """Draw tokens for one request; return whether any were granted."""


class _DrawState:
    """State of the last request to one slot."""

    def __init__(self) -> None:
        self.sequence = 0
        self.sent_elapsed_ms = 0.0
        self.requested_by_organisation: dict[str, float] = {}


class LocalTokens:
    """Spend the tokens held by this node, and build the requests for more.

    :param requester: identity of this process, unique for each start.
    :param local: slots that this process holds, tried before a message is sent.
    """

    def __init__(
        self, requester: str, clock: Clock, local: LocalSource | None = None
    ) -> None:
        self._requester = requester
        self._clock = clock
        self._local_source = local
        self._accounts_by_organisation: dict[str, LocalAccount] = {}
        self._draw_state_by_slot: dict[SlotId, _DrawState] = {}
        self._demand_measured_ms = clock.now_ms()

    def __repr__(self) -> str:
        return f"LocalTokens({len(self._accounts_by_organisation)} organisations)"

    def configure(self, limits: Mapping[str, Limit]) -> None:
        """Set the limits; organisations without a limit are removed."""
        accounts = self._accounts_by_organisation
        for organisation in [name for name in accounts if name not in limits]:
            del accounts[organisation]
        for organisation, limit in limits.items():
            account = accounts.setdefault(organisation, LocalAccount(limit))
            account.limit = limit

    def take(self, organisation: str, now_ms: float) -> QuotaDecision:
        """Spend one token of ``organisation`` held in this process."""
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return UNKNOWN_ORGANISATION
        account.n_takes += 1
        if account.n_waiting == 0 and self._spend_or_draw(organisation, account):
            return GRANTED
        wait_ms = account.refuse_until_ms - now_ms
        if account.n_waiting >= account.max_waiting:
            wait_ms = max(wait_ms, MIN_REFUSAL_MS)
        if wait_ms > 0:
            return QuotaDecision(False, False, int(wait_ms) + 1)
        return QuotaDecision(False, True, 0)

    def take_for_waiting(self, organisation: str) -> bool:
        """Spend one token for a request that is already counted as demand."""
        account = self._accounts_by_organisation.get(organisation)
        return account is not None and self._spend(account)

    def is_overloaded(self, organisation: str) -> bool:
        """Return whether requests have been refused and the queue not served since."""
        account = self._accounts_by_organisation.get(organisation)
        return account is None or account.refusal_ms > MIN_REFUSAL_MS

    def token_wait_ms(
        self, organisation: str, slots: Collection[SlotId], now_ms: float
    ) -> float:
        """Return the time until the first of ``slots`` expects a token."""
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return MAX_RETRY_MS
        empty_until = account.empty_until_by_slot
        first_ms = min((empty_until.get(slot, 0.0) for slot in slots), default=0.0)
        return max(0.0, first_ms - now_ms)

    def record_queue_served(self, organisation: str) -> None:
        """Record that every waiting request got a token."""
        account = self._accounts_by_organisation.get(organisation)
        if account is not None:
            account.refusal_ms = MIN_REFUSAL_MS

    def add_waiting(self, organisation: str, change: int) -> None:
        """Add ``change`` to the number of requests that wait for a token."""
        account = self._accounts_by_organisation.get(organisation)
        if account is not None:
            account.n_waiting += change

    def refuse(
        self, organisation: str, slots: Collection[SlotId], now_ms: float
    ) -> None:
        """Refuse ``organisation`` until one of ``slots`` expects a token.

        Consecutive refusals last longer, so that overload causes few messages.
        """
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return
        empty_until = account.empty_until_by_slot
        times = [empty_until[slot] for slot in slots if slot in empty_until]
        until_ms = max(min(times, default=0.0), now_ms + account.refusal_ms)
        account.refuse_until_ms = until_ms
        account.refusal_ms = min(MAX_REFUSAL_MS, account.refusal_ms * 2.0)

    def refusal_left_ms(self, organisation: str, now_ms: float) -> float:
        """Return how long requests will be refused without asking a slot."""
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return MAX_RETRY_MS
        return max(0.0, account.refuse_until_ms - now_ms)

    def tokens(self, organisation: str) -> float:
        """Return the tokens of ``organisation`` that have not expired."""
        account = self._accounts_by_organisation.get(organisation)
        return 0.0 if account is None else account.spendable(self._clock.elapsed_ms())

    def tokens_of(self, organisation: str, slot: SlotId) -> float:
        """Return the tokens drawn from ``slot`` that have not expired."""
        account = self._accounts_by_organisation.get(organisation)
        holding = account.holdings_by_slot.get(slot) if account is not None else None
        return 0.0 if holding is None else holding.spendable(self._clock.elapsed_ms())

    def order(
        self, organisation: str, distances: Sequence[SlotDistance], now_ms: float
    ) -> list[SlotId]:
        """Return the slots by expected tokens and distance, the best first."""
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return []
        return account.order(distances, now_ms)

    def may_have_tokens(self, organisation: str, slot: SlotId, now_ms: float) -> bool:
        """Return whether ``slot`` may have tokens of ``organisation``."""
        account = self._accounts_by_organisation.get(organisation)
        return account is not None and not account.is_empty(slot, now_ms)

    def surplus_slots(self, organisation: str) -> list[SlotId]:
        """Return the slots to which unneeded tokens should be returned."""
        account = self._accounts_by_organisation.get(organisation)
        if account is None or account.n_waiting:
            return []
        elapsed_ms = self._clock.elapsed_ms()
        if _surplus(account.spendable(elapsed_ms), account.target_tokens()) <= 0.0:
            return []
        holdings = account.holdings_by_slot.items()
        return [
            slot for slot, holding in holdings if holding.spendable(elapsed_ms) > 0.0
        ]

    def update_demand(self, now_ms: float) -> None:
        """Update the average demand with the requests since the last call."""
        elapsed_ms = now_ms - self._demand_measured_ms
        if elapsed_ms <= 0:
            return
        self._demand_measured_ms = now_ms
        smoothing = min(1.0, elapsed_ms / DEMAND_TIME_CONSTANT_MS)
        for account in self._accounts_by_organisation.values():
            measured_per_s = account.n_takes * 1000.0 / elapsed_ms
            account.n_takes = 0
            account.demand_per_s += smoothing * (measured_per_s - account.demand_per_s)

    def plan_prefetch(
        self, distances: Sequence[SlotDistance], now_ms: float
    ) -> dict[SlotId, list[str]]:
        """Return the organisations to draw tokens for ahead of demand, by slot."""
        organisations_by_slot: dict[SlotId, list[str]] = {}
        for organisation, account in self._accounts_by_organisation.items():
            for slot in self._plan_account(organisation, account, distances, now_ms):
                organisations_by_slot.setdefault(slot, []).append(organisation)
        return organisations_by_slot

    def request(
        self,
        slot: SlotId,
        organisations: Collection[str],
        lifetime_ms: float = MAX_LIFETIME_MS,
    ) -> DrawRequest:
        """Return the next request to ``slot``; replies to earlier ones are ignored.

        :param lifetime_ms: lifetime of tokens needed only by requests that wait now;
            with a shorter lifetime the slot earns new tokens sooner.
        """
        state = self._draw_state_by_slot.setdefault(slot, _DrawState())
        state.sequence += 1
        state.sent_elapsed_ms = self._clock.elapsed_ms()
        items = [
            item
            for name in organisations
            if (item := self._token_request(name, slot, lifetime_ms)) is not None
        ]
        state.requested_by_organisation = {
            item.organisation: item.needed or min(1.0, item.ahead) for item in items
        }
        return DrawRequest(slot, self._requester, state.sequence, items)

    def apply_reply(self, slot: SlotId, reply: DrawReply, now_ms: float) -> None:
        """Apply a reply, unless a later request has been sent."""
        state = self._draw_state_by_slot.get(slot)
        if state is None or reply.sequence != state.sequence or not reply.accepted:
            return
        state.sequence += 1
        for grant in reply.grants:
            account = self._accounts_by_organisation.get(grant.organisation)
            if account is None:
                continue
            account.add_grant(slot, grant, state.sent_elapsed_ms)
            requested = state.requested_by_organisation.get(grant.organisation, 0.0)
            account.update_level(slot, grant, requested, now_ms)

    def _spend_or_draw(self, organisation: str, account: LocalAccount) -> bool:
        if self._spend(account):
            return True
        local = self._local_source
        return local is not None and (
            local.draw_from_own_slots(organisation) and self._spend(account)
        )

    def _spend(self, account: LocalAccount) -> bool:
        elapsed_ms = self._clock.elapsed_ms()
        for holding in account.holdings_by_slot.values():
            if holding.tokens >= 1.0 and holding.expires_elapsed_ms > elapsed_ms:
                holding.tokens -= 1.0
                return True
        return self._spend_fractions(account, elapsed_ms)

    def _spend_fractions(self, account: LocalAccount, elapsed_ms: float) -> bool:
        if account.spendable(elapsed_ms) < 1.0:
            return False
        missing = 1.0
        for holding in account.holdings_by_slot.values():
            fraction = min(missing, holding.spendable(elapsed_ms))
            holding.tokens -= fraction
            missing -= fraction
        return True

    def _plan_account(
        self,
        organisation: str,
        account: LocalAccount,
        distances: Sequence[SlotDistance],
        now_ms: float,
    ) -> list[SlotId]:
        elapsed_ms = self._clock.elapsed_ms()
        held = account.spendable(elapsed_ms)
        target = account.target_tokens()
        surplus = self.surplus_slots(organisation)
        if surplus:
            return surplus
        if account.refuse_until_ms > now_ms:
            return []
        if target < MIN_PREFETCH_TOKENS or held >= target * LOW_TARGET_FRACTION:
            account.n_prefetch_slots = max(1, account.n_prefetch_slots - 1)
            return []
        slots = account.order(distances, now_ms)
        non_empty = [slot for slot in slots if not account.is_empty(slot, now_ms)]
        chosen = non_empty[: account.n_prefetch_slots]
        account.n_prefetch_slots = min(max(1, len(slots)), account.n_prefetch_slots * 2)
        return chosen

    def _token_request(
        self, organisation: str, slot: SlotId, lifetime_ms: float
    ) -> TokenRequest | None:
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return None
        elapsed_ms = self._draw_state_by_slot[slot].sent_elapsed_ms
        holding = account.holdings_by_slot.get(slot)
        held = 0.0 if holding is None else holding.spendable(elapsed_ms)
        total = account.spendable(elapsed_ms)
        target = account.target_tokens()
        needed = max(0.0, account.n_waiting - total)
        returned = min(held, _surplus(total, target)) if not account.n_waiting else 0.0
        if holding is not None:
            holding.tokens = held - returned
        expects_more = target >= MIN_PREFETCH_TOKENS
        ahead = max(0.0, target - total) if expects_more else 0.0
        if expects_more:
            lifetime_ms = account.lifetime_ms
        return TokenRequest(
            organisation, held - returned, returned, needed, ahead, lifetime_ms
        )


def _surplus(held: float, target: float) -> float:
    """Return the number of tokens to return to their slots."""
    if target < MIN_PREFETCH_TOKENS:
        return held
    return max(0.0, float(int(held - 2.0 * target)))
