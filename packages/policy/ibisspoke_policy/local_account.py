"""Tokens held by this node for one organisation, and its demand for them."""

from collections.abc import Sequence
from typing import NamedTuple

from .quota_messages import MAX_LIFETIME_MS, Limit, SlotId, TokenGrant

# Largest fraction of the burst that a node holds for expected demand.
MAX_PREFETCH_BURST_FRACTION = 0.25
# Tokens are drawn ahead of demand only if at least this many are expected to be used.
MIN_PREFETCH_TOKENS = 3.0
MIN_PREFETCH_LIFETIME_MS = 200.0
MIN_REFUSAL_MS = 5.0
# Least limit on the requests that wait for tokens.
MIN_QUEUE_REQUESTS = 8.0
# During overload, as many requests may wait as the rate serves in this time.
OVERLOAD_QUEUE_S = 0.1


class Holding:
    """Tokens drawn from one slot."""

    __slots__ = ("expires_elapsed_ms", "tokens")

    def __init__(self) -> None:
        self.tokens = 0.0
        self.expires_elapsed_ms = 0.0

    def spendable(self, elapsed_ms: float) -> float:
        """Return the tokens that have not expired."""
        return self.tokens if self.expires_elapsed_ms > elapsed_ms else 0.0


class SlotLevel(NamedTuple):
    """Number of tokens in a slot at ``at_ms``."""

    tokens: float
    at_ms: float


class SlotDistance(NamedTuple):
    """A slot and its penalty for distance.

    :param penalty: how much fuller than a near slot it must be to be preferred, as a
        fraction of the slot's burst.
    """

    slot: SlotId
    penalty: float


class LocalAccount:
    """Tokens and demand of one organisation at this node."""

    def __init__(self, limit: Limit) -> None:
        self.limit = limit
        self.holdings_by_slot: dict[SlotId, Holding] = {}
        self.empty_until_by_slot: dict[SlotId, float] = {}
        self.levels_by_slot: dict[SlotId, SlotLevel] = {}
        self.n_takes = 0
        self.n_waiting = 0
        self.demand_per_s = 0.0
        self.n_prefetch_slots = 1
        self.refuse_until_ms = 0.0
        self.refusal_ms = MIN_REFUSAL_MS

    def is_empty(self, slot: SlotId, now_ms: float) -> bool:
        """Return whether ``slot`` reported no token until after ``now_ms``."""
        return self.empty_until_by_slot.get(slot, 0.0) > now_ms

    def order(self, distances: Sequence[SlotDistance], now_ms: float) -> list[SlotId]:
        """Return the slots by expected tokens and distance, the best first."""
        n_slots = max(1, len(distances))
        if self.target_tokens() >= MIN_PREFETCH_TOKENS:
            # Slots know best what has been spent if requests go often to few of them.
            near_first = sorted(distances, key=lambda distance: distance.penalty)
            return [distance.slot for distance in near_first]

        def cost(distance: SlotDistance) -> float:
            fill_fraction = self.fill_fraction(distance.slot, n_slots, now_ms)
            return distance.penalty - fill_fraction

        return [distance.slot for distance in sorted(distances, key=cost)]

    def fill_fraction(self, slot: SlotId, n_slots: int, now_ms: float) -> float:
        """Return the expected level of ``slot`` as a fraction of its burst."""
        level = self.levels_by_slot.get(slot)
        capacity = self.limit.burst / n_slots
        if level is None or capacity <= 0.0:
            return 1.0
        earned = self.limit.rate_per_s / n_slots * (now_ms - level.at_ms) / 1000.0
        return min(1.0, (level.tokens + earned) / capacity)

    @property
    def max_waiting(self) -> float:
        """Highest number of requests that may wait for tokens of other nodes."""
        if self.refusal_ms > MIN_REFUSAL_MS:
            return max(MIN_QUEUE_REQUESTS, self.limit.rate_per_s * OVERLOAD_QUEUE_S)
        return max(MIN_QUEUE_REQUESTS, self.limit.burst)

    @property
    def lifetime_ms(self) -> float:
        """Lifetime of tokens that are drawn ahead of demand.

        Tokens that are spent but not yet reported count against the burst, so their
        lifetime must not exceed the time in which the full rate uses up the burst.
        """
        rate_per_s = max(self.limit.rate_per_s, 1e-9)
        lasts_ms = self.limit.burst / rate_per_s * 1000.0
        return min(MAX_LIFETIME_MS, max(MIN_PREFETCH_LIFETIME_MS, lasts_ms))

    def target_tokens(self) -> float:
        """Return how many tokens to hold for the demand expected soon."""
        expected_per_s = min(self.demand_per_s, self.limit.rate_per_s)
        expected = expected_per_s * self.lifetime_ms / 2_000.0
        return min(expected, self.limit.burst * MAX_PREFETCH_BURST_FRACTION)

    def spendable(self, elapsed_ms: float) -> float:
        """Return the tokens of all slots that have not expired."""
        holdings = self.holdings_by_slot.values()
        return sum(holding.spendable(elapsed_ms) for holding in holdings)

    def add_grant(
        self, slot: SlotId, grant: TokenGrant, sent_elapsed_ms: float
    ) -> None:
        """Add the tokens of a reply to a request sent at ``sent_elapsed_ms``."""
        holding = self.holdings_by_slot.get(slot)
        if holding is None:
            holding = self.holdings_by_slot[slot] = Holding()
        if not grant.renewed:
            holding.tokens = 0.0
        holding.tokens += grant.tokens
        holding.expires_elapsed_ms = sent_elapsed_ms + grant.lifetime_ms

    def update_level(
        self, slot: SlotId, grant: TokenGrant, requested: float, now_ms: float
    ) -> None:
        """Record the level of ``slot``, and until when requests to it would fail."""
        self.levels_by_slot[slot] = SlotLevel(grant.level, now_ms)
        if requested <= 0.0:
            return
        if grant.tokens >= requested:
            self.empty_until_by_slot.pop(slot, None)
        else:
            self.empty_until_by_slot[slot] = now_ms + grant.retry_after_ms
