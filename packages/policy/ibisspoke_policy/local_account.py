"""Tokens and demand of one organisation at this node."""

from collections.abc import Sequence
from typing import NamedTuple

from .quota_messages import MAX_LIFETIME_MS, Limit, SlotId, TokenGrant

AHEAD_SHARE_OF_BURST = 0.25
MIN_AHEAD = 3.0
MIN_AHEAD_LIFETIME_MS = 200.0
MIN_REFUSAL_MS = 5.0
MIN_WAITING = 8.0
OVERLOAD_WAIT_S = 0.1


class Holding:
    """Tokens drawn from one slot."""

    __slots__ = ("expires_elapsed_ms", "tokens")

    def __init__(self) -> None:
        self.tokens = 0.0
        self.expires_elapsed_ms = 0.0

    def alive(self, elapsed_ms: float) -> float:
        """Return the tokens that can be spent."""
        return self.tokens if self.expires_elapsed_ms > elapsed_ms else 0.0


class SlotLevel(NamedTuple):
    """Tokens that a slot had at a time."""

    tokens: float
    at_ms: float


class SlotDistance(NamedTuple):
    """A slot and how much fuller than a near one it must be to be preferred.

    :param penalty: in shares of the slot's burst.
    """

    slot: SlotId
    penalty: float


class LocalAccount:
    """Tokens and demand of one organisation."""

    def __init__(self, limit: Limit) -> None:
        self.limit = limit
        self.holdings_by_slot: dict[SlotId, Holding] = {}
        self.empty_until_by_slot: dict[SlotId, float] = {}
        self.levels_by_slot: dict[SlotId, SlotLevel] = {}
        self.n_takes = 0
        self.n_waiting = 0
        self.demand_per_s = 0.0
        self.n_slots_ahead = 1
        self.refuse_until_ms = 0.0
        self.refusal_ms = MIN_REFUSAL_MS

    def is_empty(self, slot: SlotId, now_ms: float) -> bool:
        """Return whether ``slot`` said that it has no token before ``now_ms``."""
        return self.empty_until_by_slot.get(slot, 0.0) > now_ms

    def order(self, distances: Sequence[SlotDistance], now_ms: float) -> list[SlotId]:
        """Return slots by expected tokens and distance, the best first."""
        n_slots = max(1, len(distances))
        if self.target() >= MIN_AHEAD:
            # Few slots that are asked often know best what has been spent.
            near_first = sorted(distances, key=lambda distance: distance.penalty)
            return [distance.slot for distance in near_first]

        def cost(distance: SlotDistance) -> float:
            fullness = self.fullness(distance.slot, n_slots, now_ms)
            return distance.penalty - fullness

        return [distance.slot for distance in sorted(distances, key=cost)]

    def fullness(self, slot: SlotId, n_slots: int, now_ms: float) -> float:
        """Return the expected share of its burst that ``slot`` holds."""
        level = self.levels_by_slot.get(slot)
        capacity = self.limit.burst / n_slots
        if level is None or capacity <= 0.0:
            return 1.0
        earned = self.limit.rate_per_s / n_slots * (now_ms - level.at_ms) / 1000.0
        return min(1.0, (level.tokens + earned) / capacity)

    @property
    def max_waiting(self) -> float:
        """How many requests may wait for tokens of other nodes."""
        if self.refusal_ms > MIN_REFUSAL_MS:
            return max(MIN_WAITING, self.limit.rate_per_s * OVERLOAD_WAIT_S)
        return max(MIN_WAITING, self.limit.burst)

    @property
    def lifetime_ms(self) -> float:
        """How long tokens drawn ahead may live.

        Tokens that are spent and not yet reported take room in the burst, so that
        they must live no longer than the burst lasts at the full rate.
        """
        rate_per_s = max(self.limit.rate_per_s, 1e-9)
        lasts_ms = self.limit.burst / rate_per_s * 1000.0
        return min(MAX_LIFETIME_MS, max(MIN_AHEAD_LIFETIME_MS, lasts_ms))

    def target(self) -> float:
        """Return how many tokens to hold for the demand expected soon."""
        expected_per_s = min(self.demand_per_s, self.limit.rate_per_s)
        expected = expected_per_s * self.lifetime_ms / 2_000.0
        return min(expected, self.limit.burst * AHEAD_SHARE_OF_BURST)

    def alive(self, elapsed_ms: float) -> float:
        """Return the tokens that can be spent."""
        holdings = self.holdings_by_slot.values()
        return sum(holding.alive(elapsed_ms) for holding in holdings)

    def note_grant(
        self, slot: SlotId, grant: TokenGrant, sent_elapsed_ms: float
    ) -> None:
        """Keep the tokens of a reply to a request sent at ``sent_elapsed_ms``."""
        holding = self.holdings_by_slot.get(slot)
        if holding is None:
            holding = self.holdings_by_slot[slot] = Holding()
        if not grant.renewed:
            holding.tokens = 0.0
        holding.tokens += grant.tokens
        holding.expires_elapsed_ms = sent_elapsed_ms + grant.lifetime_ms

    def note_shortage(
        self, slot: SlotId, grant: TokenGrant, wanted: float, now_ms: float
    ) -> None:
        """Remember the level of ``slot``, and for how long it is not worth asking."""
        self.levels_by_slot[slot] = SlotLevel(grant.level, now_ms)
        if wanted <= 0.0:
            return
        if grant.tokens >= wanted:
            self.empty_until_by_slot.pop(slot, None)
        else:
            self.empty_until_by_slot[slot] = now_ms + grant.retry_after_ms
