"""An organisation's rate and burst over the whole fleet, without an owner.

Each node keeps a copy of every organisation's bucket. It takes its own admissions out
at once and those of other nodes when they report their running totals. While a bucket
holds more than what all nodes may admit between two reports, every node admits freely.
Below that, each admits only its share of the rate, by its share of the demand. Where
late reports show that too much was admitted, the shares shrink until it is repaid.
"""

from typing import NamedTuple

REPORT_LAG_S = 0.5  # until nodes of all data centres know what one has admitted
OVERDRAW = 5.0  # requests beyond the burst; users tolerate 20 in a window of 5 s
MAX_RESERVE = 0.9  # of the burst that is kept for shares
TIGHT_FILL = 0.85  # of the burst, below which far nodes need each other's totals soon
DRAIN_S = 0.6  # in which the rest of a burst may be spent by shares
REPAY_S = 2.0  # in which what was overdrawn is taken off the shares
INITIAL_FILL = 0.1  # of the burst: a restarted fleet must not grant it anew
DEMAND_HALF_LIFE_MS = 600.0
SHARE_BURST_S = 0.3  # a share may be spent this far ahead, in seconds of its rate
MIN_SHARE_BURST = 2.5
EASE_MS = 400.0  # in which a lowered limit sinks: nodes learn of it one after another
MAX_QUIET = 512  # nodes without requests that an account remembers
STARTING_MS = 2_500.0  # after which each other node has reported, also a far one
SHARE_INTERVAL_MS = 50.0  # between two computations of shares, a node a step
HOLD_MS = 6_000.0  # a silent node may admit its share until its keys lapse
LEAST_SHARE = 0.1  # of an equal share, for nodes without recent requests


class Usage(NamedTuple):
    """Running totals of one organisation at one node.

    :param n_asked: requests seen.
    :param n_admitted: requests admitted, less those that did not run.
    """

    organisation: str
    n_asked: int
    n_admitted: int


class _Limit(NamedTuple):
    rate: float
    burst: float


class _Demand:
    """A decaying rate of requests."""

    __slots__ = ("_at_ms", "_per_s")

    def __init__(self, now_ms: float) -> None:
        self._per_s = 0.0
        self._at_ms = now_ms

    def add(self, n: int, now_ms: float) -> None:
        self._per_s = self.per_s(now_ms) + n * 693.0 / DEMAND_HALF_LIFE_MS
        self._at_ms = now_ms

    def per_s(self, now_ms: float) -> float:
        elapsed = max(0.0, now_ms - self._at_ms)
        return float(self._per_s * 0.5 ** (elapsed / DEMAND_HALF_LIFE_MS))


class _Account:
    """The copy of one organisation's bucket."""

    def __init__(
        self, rate: float, burst: float, starting_until_ms: float, now_ms: float
    ) -> None:
        self.starting_until_ms = starting_until_ms
        self.n_nodes = 1
        self.rate = rate
        self.burst = burst
        self._target = _Limit(rate, burst)
        self._eased_ms = now_ms
        self.level = burst * INITIAL_FILL
        self.share_level = 0.0
        self.share = 0.0
        self.unreported = 0.0
        self.fleet_demand = 0.0
        self.shared_ms = float("-inf")
        self.refilled_ms = now_ms
        self.demand = _Demand(now_ms)
        self.demand_by_node: dict[str, _Demand] = {}
        self.heard_by_node: dict[str, float] = {}
        self.seen_by_node: dict[str, Usage] = {}
        self.n_asked = 0
        self.n_admitted = 0
        self.changed_ms = now_ms

    def change(self, rate: float, burst: float, eased_ms: float) -> None:
        """Put a higher limit in force at once, and a lower one at ``eased_ms``."""
        self._target = _Limit(rate, burst)
        if rate >= self.rate:
            self.rate, self.burst = rate, burst
            self.level = min(self.level, burst)
        else:
            self._eased_ms = eased_ms

    def _ease(self, now_ms: float, elapsed_ms: float) -> None:
        """Let a lowered limit sink a little further, in the last part of its time."""
        if self.rate == self._target.rate and self.burst == self._target.burst:
            return
        left_ms = self._eased_ms - now_ms
        if left_ms > EASE_MS:
            return
        elapsed_ms = min(elapsed_ms, EASE_MS - left_ms)
        part = elapsed_ms / (elapsed_ms + left_ms) if left_ms > 0.0 else 1.0
        self.rate += part * (self._target.rate - self.rate)
        self.burst += part * (self._target.burst - self.burst)
        self.level = min(self.level, self.burst)

    def refill(self, now_ms: float) -> None:
        """Bring the bucket up to date."""
        elapsed_s = max(0.0, now_ms - self.refilled_ms) / 1000.0
        self.refilled_ms = now_ms
        self._ease(now_ms, elapsed_s * 1000.0)
        full = self.burst + self.unreported  # reports to come will take that out
        self.level = min(full, self.level + self.rate * elapsed_s)
        if now_ms - self.shared_ms >= SHARE_INTERVAL_MS:
            self.shared_ms = now_ms
            self._share_out(now_ms)
        own_rate = self._fleet_rate() * self.share
        most = max(MIN_SHARE_BURST, own_rate * SHARE_BURST_S)
        self.share_level = min(most, self.share_level + own_rate * elapsed_s)

    @property
    def is_free(self) -> bool:
        """Whether the bucket is so full that nobody needs to keep to a share."""
        if self.refilled_ms < self.starting_until_ms:
            return False
        surplus = max(0.0, self.fleet_demand - self.rate) * REPORT_LAG_S
        reserve = min(surplus - OVERDRAW, self.burst * MAX_RESERVE)
        return self.level - self.unreported >= max(1.0, reserve)

    def drop_lapsed(self, now_ms: float) -> None:
        for node, heard_ms in list(self.heard_by_node.items()):
            if now_ms - heard_ms > HOLD_MS:
                del self.heard_by_node[node]
                self.demand_by_node.pop(node, None)
                self.seen_by_node.pop(node, None)

    def _fleet_rate(self) -> float:
        """Return what all nodes may admit a second."""
        left = self.level - self.unreported
        if left < 0.0:
            return max(0.0, self.rate + left / REPAY_S)
        return self.rate + left / DRAIN_S

    def _share_out(self, now_ms: float) -> None:
        """Work out the own share, and what others admit before they report it."""
        own = self.demand.per_s(now_ms)
        total = own
        unreported = 0.0
        n_nodes = 1
        for node, demand in self.demand_by_node.items():
            silence_ms = max(0.0, now_ms - self.heard_by_node.get(node, now_ms))
            if silence_ms >= HOLD_MS:
                continue
            n_nodes += 1
            per_s = demand.per_s(now_ms - silence_ms)
            total += per_s
            unreported += per_s * silence_ms / 1000.0
        self.fleet_demand = total
        least = LEAST_SHARE * self.rate / self.n_nodes
        self.share = (own + least) / (total + n_nodes * least)
        if now_ms < self.starting_until_ms:
            self.share = min(self.share, 1.0 / self.n_nodes)
        most = max(self.rate, self._fleet_rate())
        admitted_share = min(1.0, most / total) if total > 0.0 else 1.0
        self.unreported = unreported * admitted_share


class SharedRates:
    """Admit requests of organisations within their rates over all nodes.

    Until a node may have heard of all others, it takes an equal part of each rate.

    :param started_ms: when the node started.
    """

    def __init__(self, started_ms: float) -> None:
        self._starting_until_ms = started_ms + STARTING_MS
        self._n_nodes = 1
        self._accounts_by_name: dict[str, _Account] = {}

    def __repr__(self) -> str:
        return f"SharedRates(n_organisations={len(self._accounts_by_name)})"

    def configure(
        self,
        limits_by_name: dict[str, tuple[float, float]],
        now_ms: float,
        ease_ms: float,
    ) -> None:
        """Put rates a second and bursts in force.

        :param ease_ms: after which a lowered limit holds. Until then its organisation
            may count on the earlier one.
        """
        for name in [n for n in self._accounts_by_name if n not in limits_by_name]:
            del self._accounts_by_name[name]
        for name, (rate, burst) in limits_by_name.items():
            account = self._accounts_by_name.get(name)
            if account is None:
                account = _Account(rate, burst, self._starting_until_ms, now_ms)
                account.n_nodes = self._n_nodes
                self._accounts_by_name[name] = account
                continue
            account.refill(now_ms)
            account.change(rate, burst, now_ms + ease_ms)

    def set_fleet_size(self, n_nodes: int) -> None:
        """Take in how many nodes there are, this one included."""
        self._n_nodes = n_nodes
        for account in self._accounts_by_name.values():
            account.n_nodes = n_nodes

    def admit(self, name: str, now_ms: float) -> bool:
        """Count one request, and return whether it is within the rate."""
        account = self._accounts_by_name.get(name)
        if account is None:
            return True
        account.refill(now_ms)
        account.demand.add(1, now_ms)
        account.n_asked += 1
        account.changed_ms = now_ms
        if not account.is_free and account.share_level < 1.0:
            return False
        account.share_level = max(0.0, account.share_level - 1.0)
        account.level -= 1.0
        account.n_admitted += 1
        return True

    def rate(self, name: str) -> float:
        """Return an organisation's requests a second; 0 where it has no limit."""
        account = self._accounts_by_name.get(name)
        return account.rate if account is not None else 0.0

    def give_back(self, name: str) -> None:
        """Return the token of a request that did not run."""
        account = self._accounts_by_name.get(name)
        if account is not None:
            account.level = min(account.burst, account.level + 1.0)
            account.n_admitted -= 1

    def is_tight(self, name: str) -> bool:
        """Return whether an organisation's bucket is so low that nodes must agree."""
        account = self._accounts_by_name.get(name)
        return account is not None and account.level < account.burst * TIGHT_FILL

    def totals(self, since_ms: float) -> list[Usage]:
        """Return the totals that changed after ``since_ms``, to be reported."""
        return [
            Usage(name, account.n_asked, account.n_admitted)
            for name, account in self._accounts_by_name.items()
            if account.changed_ms > since_ms
        ]

    def report(
        self, node: str, usages: list[Usage], is_baseline: bool, now_ms: float
    ) -> None:
        """Take in the totals of another node.

        :param is_baseline: whether totals of a node that was not known before only
            set the start of the counting, since they may be old.
        """
        for usage in usages:
            account = self._accounts_by_name.get(usage.organisation)
            if account is None:
                continue
            account.refill(now_ms)
            seen = account.seen_by_node.get(node)
            account.seen_by_node[node] = usage
            demand = account.demand_by_node.setdefault(node, _Demand(now_ms))
            if seen is None:
                if is_baseline:
                    continue
                seen = Usage(usage.organisation, 0, 0)
            if usage.n_asked < seen.n_asked:
                account.seen_by_node[node] = seen
                continue
            demand.add(usage.n_asked - seen.n_asked, now_ms)
            account.level -= usage.n_admitted - seen.n_admitted

    def heard(self, node: str, told_ms: float) -> None:
        """Note that a node has told all of its totals at a moment."""
        for account in self._accounts_by_name.values():
            heard_ms = account.heard_by_node.get(node, told_ms)
            account.heard_by_node[node] = max(heard_ms, told_ms)
            if len(account.heard_by_node) > len(account.demand_by_node) + MAX_QUIET:
                account.drop_lapsed(told_ms)
