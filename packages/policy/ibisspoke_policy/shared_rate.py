"""Rate and burst of an organisation over the whole fleet, without a central owner.

Each node keeps a copy of every organisation's token bucket. It deducts its own
admissions at once and those of other nodes when they report their running totals. While
a bucket holds more than all nodes may admit between two reports, every node admits on
its own. Below that level the organisation's home decides, a node on which all nodes
agree. If the home is unreachable, each node admits a share of the rate in proportion to
its share of the demand. Requests that late reports show to have been admitted in excess
are deducted from the following shares.
"""

from ._rate_account import (
    SILENT_NODE_TIMEOUT_MS,
    Admission,
    Home,
    Limit,
    RateAccount,
    Usage,
)

# Fraction of the burst below which nodes of other data centres need reports sooner.
LOW_FILL_FRACTION = 0.85
# Number of stopped nodes whose report times are kept.
MAX_ENDED_NODES = 512
# Time until a starting node knows the other nodes and they know of it.
MIN_STARTUP_MS = 500.0
# Time after which every other node has reported, also one in a distant data centre.
MAX_STARTUP_MS = 2_500.0
# Fraction of the other nodes that must have reported; the rest may have stopped.
MIN_REPORTED_FRACTION = 0.9

__all__ = ["Admission", "Home", "SharedRates", "Usage"]


class SharedRates:
    """Admit requests of organisations within their rates over all nodes.

    Until most other nodes have reported, a node admits at most an equal share of each
    rate.

    :param started_ms: when the node started.
    """

    def __init__(self, started_ms: float) -> None:
        self._started_ms = started_ms
        self._n_nodes = 1
        self._is_starting = True
        self._accounts_by_name: dict[str, RateAccount] = {}
        self._reported_ms_by_node: dict[str, float] = {}

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
        for name, (rate, burst) in limits_by_name.items():
            limit = Limit(rate, burst)
            account = self._accounts_by_name.get(name)
            if account is None:
                account = RateAccount(limit, self._reported_ms_by_node, now_ms)
                self._accounts_by_name[name] = account
                continue
            self._refill(account, now_ms)
            account.set_limit(limit, now_ms + transition_ms)

    def set_fleet_size(self, n_nodes: int) -> None:
        """Set the number of nodes in the fleet, including this one."""
        self._n_nodes = n_nodes

    def admit(self, name: str, home: Home, now_ms: float) -> Admission:
        """Count one request and decide on it."""
        account = self._accounts_by_name.get(name)
        if account is None:
            return Admission.ADMITTED
        return account.admit(home, self._check_starting(now_ms), self._n_nodes, now_ms)

    def admit_by_share(self, name: str, now_ms: float) -> bool:
        """Return whether this node's share admits a request.

        Used where the home is unreachable.
        """
        account = self._accounts_by_name.get(name)
        if account is None:
            return True
        self._refill(account, now_ms)
        return account.admit_by_share()

    def grant(self, name: str, now_ms: float) -> bool:
        """Return whether this node, as the home, admits a request of another node."""
        account = self._accounts_by_name.get(name)
        if account is None:
            return False
        self._refill(account, now_ms)
        account.changed_ms = now_ms
        return account.grant()

    def rate(self, name: str) -> float:
        """Return an organisation's requests per second; 0 if it has no limit."""
        account = self._accounts_by_name.get(name)
        return account.rate if account is not None else 0.0

    def refund(self, name: str) -> None:
        """Return the token of a request that did not run."""
        account = self._accounts_by_name.get(name)
        if account is not None:
            account.refund()

    def is_low(self, name: str) -> bool:
        """Return whether an organisation's bucket is so low that reports are urgent."""
        account = self._accounts_by_name.get(name)
        return account is not None and account.level < account.burst * LOW_FILL_FRACTION

    def totals(self, since_ms: float) -> list[Usage]:
        """Return the totals to report: those that changed after ``since_ms``."""
        return [
            Usage(name, account.n_asked, account.n_admitted)
            for name, account in self._accounts_by_name.items()
            if account.changed_ms > since_ms
        ]

    def apply_report(
        self, node: str, usages: list[Usage], is_baseline: bool, now_ms: float
    ) -> None:
        """Apply the totals of another node.

        :param is_baseline: whether the first totals of a node are only the starting
            point of the count, since they may be old.
        """
        for usage in usages:
            account = self._accounts_by_name.get(usage.organisation)
            if account is not None:
                account.apply_report(node, usage, is_baseline, now_ms)

    def record_report_time(self, node: str, reported_ms: float) -> None:
        """Record that a node reported all of its totals at ``reported_ms``."""
        earlier_ms = self._reported_ms_by_node.get(node, reported_ms)
        self._reported_ms_by_node[node] = max(earlier_ms, reported_ms)
        if len(self._reported_ms_by_node) > self._n_nodes + MAX_ENDED_NODES:
            self._forget_ended_nodes(reported_ms)

    def _forget_ended_nodes(self, now_ms: float) -> None:
        for node, reported_ms in list(self._reported_ms_by_node.items()):
            if now_ms - reported_ms > SILENT_NODE_TIMEOUT_MS:
                del self._reported_ms_by_node[node]
                for account in self._accounts_by_name.values():
                    account.forget_node(node)

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
            for reported_ms in self._reported_ms_by_node.values()
        )
        has_enough_reports = n_reported >= MIN_REPORTED_FRACTION * (self._n_nodes - 1)
        self._is_starting = not has_enough_reports and elapsed_ms < MAX_STARTUP_MS
        return self._is_starting
