"""One node's copy of an organisation's token bucket."""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from .decaying_rate import DecayingRate
from .usage_counts import KEPT_SLOTS, NO_COUNTS, Counts, SlotCounts, Usage, sum_counts

# Time until the nodes of all data centres know what one node has admitted.
REPORT_LAG_S = 0.5
# Requests admitted beyond the burst; users tolerate 20 in a window of 5 s.
OVERDRAFT_REQUESTS = 5.0
# Highest fraction of the burst that is reserved for admission by shares.
MAX_RESERVE_FRACTION = 0.9
# Time in which the shares may spend the rest of a burst.
BURST_SPENDING_S = 0.6
# Time in which an overdraft is deducted from the shares.
OVERDRAFT_REPAYMENT_S = 2.0
# Fraction of the burst at the start: a restarted fleet must not grant a whole burst
# a second time.
INITIAL_FILL_FRACTION = 0.1
# Usual longest age of a data centre's report; beyond, it is unreachable.
MAX_REPORT_INTERVAL_MS = 1_200.0
# Fraction of its part of a rate up to which a data centre need not report.
QUIET_FRACTION = 0.5
# Capacity of a node's share bucket, in seconds of the share's rate.
SHARE_BURST_S = 0.3
# A node's share bucket holds at least this many requests, whatever its rate.
NODE_SHARE_BURST_REQUESTS = 2.5
# In a large fleet it holds at least one request and an equal part of these.
FLEET_SHARE_BURST_REQUESTS = 24.0
# Time between two computations of a share.
SHARE_INTERVAL_MS = 50.0
# Nodes that are out of contact may admit their share until their keys expire.
SILENT_SOURCE_TIMEOUT_MS = 6_000.0
# Least fraction of an equal share, for nodes without recent requests.
MIN_SHARE_FRACTION = 0.1
# Time over which a lowered limit is phased in: nodes learn of it one after another.
LIMIT_TRANSITION_MS = 400.0


class Admission(Enum):
    """What a node does with a request under its organisation's rate limit."""

    ADMITTED = "admitted"
    ASK = "ask"  # ask the organisation's home node, which decides
    REFUSED = "refused"


class Home(Enum):
    """The node that decides on an organisation's requests while its bucket is low."""

    OWN = "own"  # this node
    OTHER = "other"
    UNREACHABLE = "unreachable"  # each node admits within its share


class Limit(NamedTuple):
    """Requests per second, and requests that may arrive at once."""

    rate: float
    burst: float


class _Source:
    """What the nodes of one data centre, other than this node, have reported."""

    __slots__ = ("admitted", "asked", "counts")

    def __init__(self, now_ms: float) -> None:
        self.asked = DecayingRate(now_ms)
        self.admitted = DecayingRate(now_ms)
        self.counts = SlotCounts()


class RateAccount:
    """One node's copy of an organisation's token bucket.

    :param reported_ms_by_source: time of each data centre's last report.
    """

    def __init__(
        self, limit: Limit, reported_ms_by_source: dict[str, float], now_ms: float
    ) -> None:
        self.rate, self.burst = limit
        self.slot = 0
        self.level = self.burst * INITIAL_FILL_FRACTION
        self._reported_ms_by_source = reported_ms_by_source
        self._target = limit
        self._target_effective_ms = now_ms
        self._lowered_ms = float("-inf")
        self._share_level = 0.0
        self._share = 0.0
        self._unreported = 0.0
        self._fleet_demand = 0.0
        self._n_nodes = 1
        self._share_updated_ms = float("-inf")
        self._filled_ms = now_ms
        self._share_filled_ms = now_ms
        self._demand = DecayingRate(now_ms)
        self._own_counts = SlotCounts()
        self._sources_by_name: dict[str, _Source] = {}

    def __repr__(self) -> str:
        return f"RateAccount({self.level:.1f} of {self.burst:.1f})"

    def set_limit(self, limit: Limit, effective_ms: float) -> None:
        """Apply a higher limit at once, and a lower one by ``effective_ms``.

        While a lower limit is being phased in, further versions of the configuration
        do not postpone it.
        """
        is_lowering = self._target.rate < self.rate
        self._target = limit
        if limit.rate >= self.rate:
            self.rate, self.burst = limit
            self.level = min(self.level, self.burst)
        elif is_lowering:
            self._target_effective_ms = min(self._target_effective_ms, effective_ms)
        else:
            self._target_effective_ms = effective_ms

    def admit(
        self,
        find_home: Callable[[], Home],
        is_starting: bool,
        n_nodes: int,
        now_ms: float,
    ) -> Admission:
        """Count one request and decide on it.

        :param find_home: returns the organisation's home; called if the bucket is low.
        :param is_starting: whether other nodes may not have reported totals yet.
        :param n_nodes: number of nodes in the fleet.
        """
        self.refill(is_starting, n_nodes, now_ms)
        self._demand.add(1, now_ms)
        self._count((1, 0, 0), now_ms)
        if not is_starting and self._has_surplus():
            self._spend_token(now_ms)
            return Admission.ADMITTED
        home = find_home()
        if home is Home.OTHER:
            return Admission.ASK
        if home is Home.OWN:
            is_admitted = self.grant(now_ms)
        else:
            is_admitted = self.admit_by_share(now_ms)
        return Admission.ADMITTED if is_admitted else Admission.REFUSED

    def admit_by_share(self, now_ms: float) -> bool:
        """Return whether this node's share admits a request now."""
        if self._share_level < 1.0:
            return False
        self._share_level -= 1.0
        self._spend_token(now_ms)
        return True

    def grant(self, now_ms: float) -> bool:
        """Return whether this node, as the home, admits a request of any node now."""
        if self.level - self._unreported < 1.0:
            return False
        self._spend_token(now_ms)
        return True

    def _spend_token(self, now_ms: float) -> None:
        self.level -= 1.0
        self._count((0, 1, 0), now_ms)

    def refund(self, now_ms: float) -> None:
        """Return the token of a request that did not run."""
        self.level = min(self.burst, self.level + 1.0)
        self._count((0, 0, 1), now_ms)

    def _count(self, more: Counts, now_ms: float) -> None:
        counts = sum_counts(self._own_counts.get(self.slot), more)
        self._own_counts.set(self.slot, counts, self._oldest_slot, now_ms)

    @property
    def _oldest_slot(self) -> int:
        return self.slot - KEPT_SLOTS + 1

    def own_counts(self, slot: int) -> Counts:
        """Return this node's counts of a slot."""
        return self._own_counts.get(slot)

    def own_slots(self, since_ms: float) -> list[int]:
        """Return the slots whose own counts changed after ``since_ms``."""
        return self._own_counts.changed_slots(since_ms)

    def source_counts(self, source: str, slot: int) -> Counts:
        """Return the counts of the other nodes of a data centre in a slot."""
        known = self._sources_by_name.get(source)
        return known.counts.get(slot) if known is not None else NO_COUNTS

    def source_slots(self, source: str, since_ms: float) -> list[int]:
        """Return the slots on which a data centre reported news after ``since_ms``."""
        known = self._sources_by_name.get(source)
        return known.counts.changed_slots(since_ms) if known is not None else []

    @property
    def is_idle(self) -> bool:
        """Whether no node has counted anything in the slots that are kept."""
        oldest = self._oldest_slot
        return not self._own_counts.has_recent(oldest) and not any(
            source.counts.has_recent(oldest)
            for source in self._sources_by_name.values()
        )

    def is_quiet(self, own_source: str, n_sources: int, now_ms: float) -> bool:
        """Return whether the other data centres need no reports of this one.

        That is so while this data centre uses little of its part of the rate and no
        other one has reported anything. If all are quiet, all together use less than
        :data:`QUIET_FRACTION` of the rate, so that the bucket is full.

        :param own_source: this node's data centre.
        """
        asked_per_s = self._demand.rate_at(now_ms)
        for name, source in self._sources_by_name.items():
            if name == own_source:
                asked_per_s += source.asked.rate_at(now_ms)
            elif source.counts.has_recent(self._oldest_slot):
                return False
        return asked_per_s < QUIET_FRACTION * self.rate / max(1, n_sources)

    def apply_report(
        self, source: str, usage: Usage, is_own_source: bool, now_ms: float
    ) -> bool:
        """Apply what the nodes of a data centre have counted in a slot.

        Requests admitted under an earlier, higher limit are not charged to the bucket
        of a lowered limit.

        :param is_own_source: whether the counts include this node's own.
        :returns: whether anything was new.
        """
        _, slot, n_asked, n_admitted, n_refunded = usage
        known = self._sources_by_name.get(source)
        last = known.counts.get(slot) if known is not None else NO_COUNTS
        counted = last
        if is_own_source:
            counted = sum_counts(last, self._own_counts.get(slot))
        n_asked = n_asked - counted[0] if n_asked > counted[0] else 0
        n_admitted = n_admitted - counted[1] if n_admitted > counted[1] else 0
        n_refunded = n_refunded - counted[2] if n_refunded > counted[2] else 0
        if not n_asked and not n_admitted and not n_refunded:
            return False
        self._fill(now_ms)
        if known is None:
            known = self._sources_by_name[source] = _Source(now_ms)
        latest = sum_counts(last, (n_asked, n_admitted, n_refunded))
        known.counts.set(slot, latest, self._oldest_slot, now_ms)
        known.asked.add(n_asked, now_ms)
        if now_ms - self._lowered_ms < REPORT_LAG_S * 1000.0:
            return True
        known.admitted.add(n_admitted, now_ms)
        self.level += n_refunded - n_admitted
        return True

    def forget_source(self, source: str) -> None:
        """Remove the data on a data centre that has no nodes any more."""
        self._sources_by_name.pop(source, None)

    def refill(self, is_starting: bool, n_nodes: int, now_ms: float) -> None:
        """Refill the bucket and this node's share bucket."""
        self._fill(now_ms)
        elapsed_s = max(0.0, now_ms - self._share_filled_ms) / 1000.0
        self._share_filled_ms = now_ms
        if now_ms - self._share_updated_ms >= SHARE_INTERVAL_MS:
            self._share_updated_ms = now_ms
            self._update_share(is_starting, max(1, n_nodes), now_ms)
        own_rate = self._share * (self.rate if is_starting else self._fleet_rate())
        min_share_burst = min(
            NODE_SHARE_BURST_REQUESTS,
            1.0 + FLEET_SHARE_BURST_REQUESTS / max(1, n_nodes),
        )
        max_share_level = max(min_share_burst, own_rate * SHARE_BURST_S)
        self._share_level = min(
            max_share_level, self._share_level + own_rate * elapsed_s
        )

    def _fill(self, now_ms: float) -> None:
        if now_ms == self._filled_ms:
            return
        elapsed_ms = max(0.0, now_ms - self._filled_ms)
        self._filled_ms = now_ms
        self._approach_target(now_ms, elapsed_ms)
        is_share_current = now_ms - self._share_updated_ms < REPORT_LAG_S * 1000.0
        unreported = self._unreported if is_share_current else self.rate * REPORT_LAG_S
        # Reports still to come will deduct what exceeds the burst.
        max_level = self.burst + unreported
        self.level = min(max_level, self.level + self.rate * elapsed_ms / 1000.0)

    def _approach_target(self, now_ms: float, elapsed_ms: float) -> None:
        """Lower the limit towards its target in the last part of the transition."""
        if self.rate == self._target.rate and self.burst == self._target.burst:
            return
        left_ms = self._target_effective_ms - now_ms
        if left_ms > LIMIT_TRANSITION_MS:
            return
        elapsed_ms = min(elapsed_ms, LIMIT_TRANSITION_MS - left_ms)
        fraction = elapsed_ms / (elapsed_ms + left_ms) if left_ms > 0.0 else 1.0
        self._lowered_ms = now_ms
        for source in self._sources_by_name.values():
            source.admitted = DecayingRate(now_ms)
        self.rate += fraction * (self._target.rate - self.rate)
        self.burst += fraction * (self._target.burst - self.burst)
        self.level = min(self.level, self.burst)

    def _has_surplus(self) -> bool:
        """Return whether the bucket is full enough to admit without shares."""
        excess = max(0.0, self._fleet_demand - self.rate) * REPORT_LAG_S
        reserve = min(excess - OVERDRAFT_REQUESTS, self.burst * MAX_RESERVE_FRACTION)
        return self.level - self._unreported >= max(1.0, reserve)

    def _fleet_rate(self) -> float:
        """Return the requests per second that all nodes together may admit."""
        left = self.level - self._unreported
        if left < 0.0:
            return max(0.0, self.rate + left / OVERDRAFT_REPAYMENT_S)
        return self.rate + left / BURST_SPENDING_S

    def _update_share(self, is_starting: bool, n_nodes: int, now_ms: float) -> None:
        """Compute this node's share, and what others have admitted but not reported."""
        own_demand = self._demand.rate_at(now_ms)
        total_demand = own_demand
        unreported = 0.0
        for name, source in self._sources_by_name.items():
            reported_ms = self._reported_ms_by_source.get(name, now_ms)
            silence_ms = max(0.0, now_ms - reported_ms)
            if silence_ms >= SILENT_SOURCE_TIMEOUT_MS:
                continue
            # A data centre whose report is overdue may still admit at its last rate.
            is_overdue = silence_ms > MAX_REPORT_INTERVAL_MS
            reference_ms = reported_ms if is_overdue else now_ms
            total_demand += source.asked.rate_at(reference_ms)
            unreported += source.admitted.rate_at(reference_ms) * silence_ms / 1000.0
        self._fleet_demand = total_demand
        min_rate = MIN_SHARE_FRACTION * self.rate / n_nodes
        self._share = (own_demand + min_rate) / (total_demand + n_nodes * min_rate)
        if is_starting:
            self._share = min(self._share, 1.0 / n_nodes)
        self._unreported = unreported
