"""Tokens that this node holds, by organisation, and what to draw next.

A take reads the clock and this node's memory only. Tokens expire by the time that
also counts suspension, measured from before the request for them was sent.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import Protocol

from .clock import Clock
from .local_account import (
    MIN_AHEAD,
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
LOW_SHARE = 0.6
MAX_RETRY_MS = 60_000.0
MAX_REFUSAL_MS = 200.0

GRANTED = QuotaDecision(True, False, 0)
UNKNOWN = QuotaDecision(False, False, int(MAX_RETRY_MS))


class LocalSource(Protocol):
    """Slots that this process holds itself and draws from without a message."""

    def draw_now(self, organisation: str) -> bool:
        """Draw tokens for one take; return whether any came."""


class _Draws:
    """The last request to one slot."""

    def __init__(self) -> None:
        self.sequence = 0
        self.sent_elapsed_ms = 0.0
        self.wanted_by_organisation: dict[str, float] = {}


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
        self._accounts_by_organisation: dict[str, LocalAccount] = {}
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
            account = accounts.setdefault(organisation, LocalAccount(limit))
            account.limit = limit

    def take(self, organisation: str, now_ms: float) -> QuotaDecision:
        """Spend one token of ``organisation`` held in this process."""
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return UNKNOWN
        account.n_takes += 1
        if account.n_waiting == 0 and self._spend_or_draw(organisation, account):
            return GRANTED
        wait_ms = account.refuse_until_ms - now_ms
        if account.n_waiting >= account.max_waiting:
            wait_ms = max(wait_ms, MIN_REFUSAL_MS)
        if wait_ms > 0:
            return QuotaDecision(False, False, int(wait_ms) + 1)
        return QuotaDecision(False, True, 0)

    def retake(self, organisation: str) -> bool:
        """Spend one token for a request whose take was counted before."""
        account = self._accounts_by_organisation.get(organisation)
        return account is not None and self._spend(account)

    def is_overloaded(self, organisation: str) -> bool:
        """Return whether requests have been refused and none served since."""
        account = self._accounts_by_organisation.get(organisation)
        return account is None or account.refusal_ms > MIN_REFUSAL_MS

    def expected_ms(
        self, organisation: str, slots: Collection[SlotId], now_ms: float
    ) -> float:
        """Return when the first of ``slots`` expects a token."""
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return MAX_RETRY_MS
        empty_until = account.empty_until_by_slot
        first_ms = min((empty_until.get(slot, 0.0) for slot in slots), default=0.0)
        return max(0.0, first_ms - now_ms)

    def served(self, organisation: str) -> None:
        """Note that every waiting request got a token."""
        account = self._accounts_by_organisation.get(organisation)
        if account is not None:
            account.refusal_ms = MIN_REFUSAL_MS

    def wait(self, organisation: str, change: int) -> None:
        """Count requests that wait for a token."""
        account = self._accounts_by_organisation.get(organisation)
        if account is not None:
            account.n_waiting += change

    def refuse(
        self, organisation: str, slots: Collection[SlotId], now_ms: float
    ) -> None:
        """Refuse ``organisation`` until one of ``slots`` expects a token.

        Refusals in a row last longer, so that overload costs few messages.
        """
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return
        empty_until = account.empty_until_by_slot
        times = [empty_until[slot] for slot in slots if slot in empty_until]
        until_ms = max(min(times, default=0.0), now_ms + account.refusal_ms)
        account.refuse_until_ms = until_ms
        account.refusal_ms = min(MAX_REFUSAL_MS, account.refusal_ms * 2.0)

    def refused_ms(self, organisation: str, now_ms: float) -> float:
        """Return for how long requests are refused without asking."""
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return MAX_RETRY_MS
        return max(0.0, account.refuse_until_ms - now_ms)

    def tokens(self, organisation: str) -> float:
        """Return the tokens of ``organisation`` that can be spent now."""
        account = self._accounts_by_organisation.get(organisation)
        return 0.0 if account is None else account.alive(self._clock.elapsed_ms())

    def tokens_of(self, organisation: str, slot: SlotId) -> float:
        """Return the tokens of ``slot`` that can be spent now."""
        account = self._accounts_by_organisation.get(organisation)
        holding = account.holdings_by_slot.get(slot) if account is not None else None
        return 0.0 if holding is None else holding.alive(self._clock.elapsed_ms())

    def order(
        self, organisation: str, distances: Sequence[SlotDistance], now_ms: float
    ) -> list[SlotId]:
        """Return slots by expected tokens and distance, the best first."""
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return []
        return account.order(distances, now_ms)

    def may_have(self, organisation: str, slot: SlotId, now_ms: float) -> bool:
        """Return whether it is worth to ask ``slot`` for ``organisation``."""
        account = self._accounts_by_organisation.get(organisation)
        return account is not None and not account.is_empty(slot, now_ms)

    def surplus_slots(self, organisation: str) -> list[SlotId]:
        """Return the slots whose tokens other nodes should rather have."""
        account = self._accounts_by_organisation.get(organisation)
        if account is None or account.n_waiting:
            return []
        elapsed_ms = self._clock.elapsed_ms()
        if _surplus(account.alive(elapsed_ms), account.target()) <= 0.0:
            return []
        holdings = account.holdings_by_slot.items()
        return [slot for slot, row in holdings if row.alive(elapsed_ms) > 0.0]

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

    def plan(
        self, distances: Sequence[SlotDistance], now_ms: float
    ) -> dict[SlotId, list[str]]:
        """Return which organisations to draw ahead of need, by slot."""
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
        """Return the next message to ``slot``; replies to earlier ones are void.

        :param lifetime_ms: how long tokens may live that are wanted only for
            requests that wait now; the slot earns the sooner the shorter it is.
        """
        draws = self._draws_by_slot.setdefault(slot, _Draws())
        draws.sequence += 1
        draws.sent_elapsed_ms = self._clock.elapsed_ms()
        items = [
            item
            for name in organisations
            if (item := self._item(name, slot, lifetime_ms)) is not None
        ]
        draws.wanted_by_organisation = {
            item.organisation: item.needed or min(1.0, item.ahead) for item in items
        }
        return DrawRequest(slot, self._requester, draws.sequence, items)

    def absorb(self, slot: SlotId, reply: DrawReply, now_ms: float) -> None:
        """Take in a reply, unless a later request was sent."""
        draws = self._draws_by_slot.get(slot)
        if draws is None or reply.sequence != draws.sequence or not reply.accepted:
            return
        draws.sequence += 1
        for grant in reply.grants:
            account = self._accounts_by_organisation.get(grant.organisation)
            if account is None:
                continue
            account.note_grant(slot, grant, draws.sent_elapsed_ms)
            wanted = draws.wanted_by_organisation.get(grant.organisation, 0.0)
            account.note_shortage(slot, grant, wanted, now_ms)

    def _spend_or_draw(self, organisation: str, account: LocalAccount) -> bool:
        if self._spend(account):
            return True
        local = self._local
        return local is not None and (
            local.draw_now(organisation) and self._spend(account)
        )

    def _spend(self, account: LocalAccount) -> bool:
        elapsed_ms = self._clock.elapsed_ms()
        for holding in account.holdings_by_slot.values():
            if holding.tokens >= 1.0 and holding.expires_elapsed_ms > elapsed_ms:
                holding.tokens -= 1.0
                return True
        return self._spend_parts(account, elapsed_ms)

    def _spend_parts(self, account: LocalAccount, elapsed_ms: float) -> bool:
        if account.alive(elapsed_ms) < 1.0:
            return False
        missing = 1.0
        for holding in account.holdings_by_slot.values():
            part = min(missing, holding.alive(elapsed_ms))
            holding.tokens -= part
            missing -= part
        return True

    def _plan_account(
        self,
        organisation: str,
        account: LocalAccount,
        distances: Sequence[SlotDistance],
        now_ms: float,
    ) -> list[SlotId]:
        elapsed_ms = self._clock.elapsed_ms()
        held = account.alive(elapsed_ms)
        target = account.target()
        surplus = self.surplus_slots(organisation)
        if surplus:
            return surplus
        if account.refuse_until_ms > now_ms:
            return []
        if target < MIN_AHEAD or held >= target * LOW_SHARE:
            account.n_slots_ahead = max(1, account.n_slots_ahead - 1)
            return []
        slots = account.order(distances, now_ms)
        able = [slot for slot in slots if not account.is_empty(slot, now_ms)]
        chosen = able[: account.n_slots_ahead]
        account.n_slots_ahead = min(max(1, len(slots)), account.n_slots_ahead * 2)
        return chosen

    def _item(
        self, organisation: str, slot: SlotId, lifetime_ms: float
    ) -> TokenRequest | None:
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return None
        elapsed_ms = self._draws_by_slot[slot].sent_elapsed_ms
        holding = account.holdings_by_slot.get(slot)
        held = 0.0 if holding is None else holding.alive(elapsed_ms)
        total = account.alive(elapsed_ms)
        target = account.target()
        needed = max(0.0, account.n_waiting - total)
        returned = min(held, _surplus(total, target)) if not account.n_waiting else 0.0
        if holding is not None:
            holding.tokens = held - returned
        expects_more = target >= MIN_AHEAD
        ahead = max(0.0, target - total) if expects_more else 0.0
        if expects_more:
            lifetime_ms = account.lifetime_ms
        return TokenRequest(
            organisation, held - returned, returned, needed, ahead, lifetime_ms
        )


def _surplus(held: float, target: float) -> float:
    """Return the tokens that other nodes should rather have."""
    if target < MIN_AHEAD:
        return held
    return max(0.0, float(int(held - 2.0 * target)))
