"""Rate and burst of an organisation over the whole fleet, without a central owner.

Each node keeps a copy of every organisation's token bucket. It deducts its own
admissions at once and those of other nodes when it learns of them. Nodes count by time
slot. Reports give the sum of a data centre in a slot. Of several reports the largest
one counts, so that reports may be lost, repeated or come from any node that knows the
sum, and nothing has to be agreed upon when one of these nodes is replaced. While
a bucket holds more than all nodes may admit between two reports, every node admits on
its own. Below that level the organisation's home decides, a node on which all nodes
agree. If the home is unreachable, each node admits a share of the rate in proportion to
its share of the demand. Requests that late reports show to have been admitted in excess
are deducted from the following shares.
"""

from collections.abc import Callable, Iterable

from ._rate_account import Admission, Home, Limit, RateAccount
from .usage_counts import KEPT_SLOTS, Counts, Usage, sum_counts

# Fraction of a second's rate; a data centre that admits more at once reports it early.
URGENT_FRACTION = 0.02
MIN_URGENT_REQUESTS = 2.0
# Fraction of the burst below which nodes of other data centres need reports sooner.
LOW_FILL_FRACTION = 0.85
# Length of the slots by which requests are counted.
SLOT_MS = 500.0
# Time until a starting node knows the other nodes and they know of it.
MIN_STARTUP_MS = 500.0
# Time after which every other node has reported, also one in a distant data centre.
MAX_STARTUP_MS = 2_500.0
# Fraction of the data centres that must have reported; the rest may be unreachable.
MIN_REPORTED_FRACTION = 0.9

__all__ = ["KEPT_SLOTS", "Admission", "Counts", "Home", "SharedRates", "Usage"]


class SharedRates:
    """Admit requests of organisations within their rates over all nodes.

    Until most data centres have reported, a node admits at most an equal share of each
    rate.

    :param started_ms: when the node started.
    :param source: this node's data centre.
    """

    def __init__(self, started_ms: float, source: str = "") -> None:
        self._started_ms = started_ms
        self.source = source
        self.slot = 0
        self._sources: frozenset[str] = frozenset()
        self._n_nodes = 1
        self._is_starting = True
        self._accounts_by_name: dict[str, RateAccount] = {}
        # Of the organisations, most send nothing for long times.
        self._active_by_name: dict[str, RateAccount] = {}
        self._reported_ms_by_source: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"SharedRates(n_organisations={len(self._accounts_by_name)})"

    def configure(
        self,
        limits_by_name: dict[str, tuple[float, float]],
        now_ms: float,
        transition_ms: float,
    ) -> None:
        """Apply rates per second and bursts.

        :param transition_ms: time after which a lowered limit is fully in force. Until
            then the organisation may rely on the earlier limit.
        """
        for name in [n for n in self._accounts_by_name if n not in limits_by_name]:
            del self._accounts_by_name[name]
            self._active_by_name.pop(name, None)
        for name, (rate, burst) in limits_by_name.items():
            limit = Limit(rate, burst)
            account = self._accounts_by_name.get(name)
            if account is None:
                account = RateAccount(limit, self._reported_ms_by_source, now_ms)
                account.slot = self.slot
                self._accounts_by_name[name] = account
                continue
            self._refill(account, now_ms)
            account.set_limit(limit, now_ms + transition_ms)

    def set_fleet(self, n_nodes: int, sources: Iterable[str]) -> None:
        """Set the size of the fleet.

        :param n_nodes: number of nodes, including this one.
        :param sources: data centres of the other nodes.
        """
        self._n_nodes = n_nodes
        latest = frozenset(sources)
        for source in self._sources - latest:
            self._reported_ms_by_source.pop(source, None)
            for account in self._accounts_by_name.values():
                account.forget_source(source)
        self._sources = latest

    @property
    def sources(self) -> frozenset[str]:
        """Data centres of which reports are accepted."""
        return self._sources | {self.source}

    def set_time(self, elapsed_ms: float) -> None:
        """Set the time by which requests are counted.

        :param elapsed_ms: time since an origin that all nodes share.
        """
        slot = int(elapsed_ms // SLOT_MS)
        if slot <= self.slot:
            return
        self.slot = slot
        for account in self._accounts_by_name.values():
            account.slot = slot
        for name in [n for n, a in self._active_by_name.items() if a.is_idle]:
            del self._active_by_name[name]

    def admit(
        self, name: str, find_home: Callable[[], Home], now_ms: float
    ) -> Admission:
        """Count one request and decide on it.

        :param find_home: returns the organisation's home; called if its bucket is low.
        """
        account = self._activate(name)
        if account is None:
            return Admission.ADMITTED
        is_starting = self._check_starting(now_ms)
        return account.admit(find_home, is_starting, self._n_nodes, now_ms)

    def admit_by_share(self, name: str, now_ms: float) -> bool:
        """Return whether this node's share admits a request.

        Used where the home is unreachable.
        """
        account = self._activate(name)
        if account is None:
            return True
        self._refill(account, now_ms)
        return account.admit_by_share(now_ms)

    def grant(self, name: str, now_ms: float) -> bool:
        """Return whether this node, as the home, admits a request of another node."""
        account = self._activate(name)
        if account is None:
            return False
        self._refill(account, now_ms)
        return account.grant(now_ms)

    def rate(self, name: str) -> float:
        """Return an organisation's requests per second; 0 if it has no limit."""
        account = self._accounts_by_name.get(name)
        return account.rate if account is not None else 0.0

    def refund(self, name: str, now_ms: float) -> None:
        """Return the token of a request that did not run."""
        account = self._activate(name)
        if account is not None:
            account.refund(now_ms)

    def is_low(self, name: str) -> bool:
        """Return whether an organisation's bucket is so low that reports are urgent."""
        account = self._accounts_by_name.get(name)
        return account is not None and account.level < account.burst * LOW_FILL_FRACTION

    def urgent_organisations(self) -> frozenset[str]:
        """Return the organisations whose last tokens this data centre uses."""
        return frozenset(
            name
            for name, account in self._active_by_name.items()
            if self.is_low(name) and self._is_much(account)
        )

    def _is_much(self, account: RateAccount) -> bool:
        """Return whether the data centre admitted much in the current slot."""
        n_admitted = account.source_counts(self.source, self.slot)[1]
        n_admitted += account.own_counts(self.slot)[1]
        return n_admitted >= max(MIN_URGENT_REQUESTS, account.rate * URGENT_FRACTION)

    def n_admitted(self, name: str) -> int:
        """Return how many requests this node admitted in the current slot."""
        account = self._accounts_by_name.get(name)
        return account.own_counts(self.slot)[1] if account is not None else 0

    def own_usages(self, since_ms: float) -> list[Usage]:
        """Return this node's counts that changed after ``since_ms``."""
        return [
            Usage(name, slot, *account.own_counts(slot))
            for name, account in self._active_by_name.items()
            for slot in account.own_slots(since_ms)
        ]

    def usages(
        self,
        source: str,
        since_ms: float,
        now_ms: float,
        organisations: Iterable[str] | None = None,
    ) -> list[Usage]:
        """Return the counts of a data centre's nodes that changed after ``since_ms``.

        Organisations that use little of their rate are left out, as
        :meth:`RateAccount.is_quiet` explains.

        :param organisations: only these; all if it is None.
        """
        is_own = source == self.source
        n_sources = len(self.sources)
        usages = []
        active = self._active_by_name
        for name in active if organisations is None else organisations:
            account = active.get(name)
            if account is None:
                continue
            slots = set(account.source_slots(source, since_ms))
            if is_own:
                slots.update(account.own_slots(since_ms))
            if not slots or (is_own and account.is_quiet(source, n_sources, now_ms)):
                continue
            for slot in slots:
                counts = account.source_counts(source, slot)
                if is_own:
                    counts = sum_counts(counts, account.own_counts(slot))
                usages.append(Usage(name, slot, *counts))
        return usages

    def apply_report(
        self, source: str, usages: Iterable[Usage], has_own: bool, now_ms: float
    ) -> int:
        """Apply what the nodes of a data centre have counted.

        Slots that are far from this node's own, and negative or unknown counts, change
        nothing.

        :param has_own: whether the counts include those of this node.
        :returns: how many usages were not valid.
        """
        n_invalid = 0
        for usage in usages:
            account = self._accounts_by_name.get(usage.organisation)
            if account is None or not self._is_valid(usage):
                n_invalid += 1
            else:
                self._active_by_name[usage.organisation] = account
                account.apply_report(source, usage, has_own, now_ms)
        return n_invalid

    def _is_valid(self, usage: Usage) -> bool:
        return (
            -KEPT_SLOTS < usage.slot - self.slot < KEPT_SLOTS
            and usage.n_asked >= 0
            and usage.n_admitted >= 0
            and usage.n_refunded >= 0
        )

    def record_report_time(self, source: str, reported_ms: float) -> None:
        """Record that a data centre reported at ``reported_ms``."""
        earlier_ms = self._reported_ms_by_source.get(source, reported_ms)
        self._reported_ms_by_source[source] = max(earlier_ms, reported_ms)

    def report_time(self, source: str) -> float | None:
        """Return when a data centre last reported, or None."""
        return self._reported_ms_by_source.get(source)

    def oldest_report_ms(self, now_ms: float) -> float:
        """Return the age of the oldest of the data centres' last reports; 0 if none."""
        times = [self._reported_ms_by_source.get(s, now_ms) for s in self._sources]
        return now_ms - min(times, default=now_ms)

    def _activate(self, name: str) -> RateAccount | None:
        """Return an organisation's account, which is going to count something."""
        account = self._accounts_by_name.get(name)
        if account is not None:
            self._active_by_name[name] = account
        return account

    def _refill(self, account: RateAccount, now_ms: float) -> None:
        account.refill(self._check_starting(now_ms), self._n_nodes, now_ms)

    def _check_starting(self, now_ms: float) -> bool:
        """Return whether other nodes may not have reported their totals yet."""
        if not self._is_starting:
            return False
        elapsed_ms = now_ms - self._started_ms
        if elapsed_ms < MIN_STARTUP_MS:
            return True
        # Reports from before this moment do not count: the totals were incomplete.
        min_reported_ms = self._started_ms + MIN_STARTUP_MS
        n_reported = sum(
            reported_ms >= min_reported_ms
            for source, reported_ms in self._reported_ms_by_source.items()
            if source in self._sources
        )
        has_enough_reports = n_reported >= MIN_REPORTED_FRACTION * len(self._sources)
        self._is_starting = not has_enough_reports and elapsed_ms < MAX_STARTUP_MS
        return self._is_starting
