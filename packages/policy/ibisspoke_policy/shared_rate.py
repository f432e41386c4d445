"""An organisation's rate and burst over the whole fleet, without an owner.

Each node keeps a copy of every organisation's bucket. It takes its own admissions out
at once and those of other nodes when they report their running totals. While a bucket
holds more than what all nodes may admit between two reports, every node admits freely.
Below that, the organisation's home decides, a node on which all others agree. Where it
cannot be reached, each node admits its share of the rate, by its share of the demand.
What late reports show to have been admitted in excess is repaid.
"""

from ._rate_account import HOLD_MS, Admission, Home, Limit, RateAccount, Usage

TIGHT_FILL = 0.85  # of the burst, below which far nodes need each other's totals soon
MAX_QUIET = 512  # ended nodes that are remembered
STARTING_MIN_MS = 500.0  # until a starting node knows the others and was told of
STARTING_MAX_MS = 2_500.0  # after which each other node has reported, also a far one
HEARD_SHARE = 0.9  # of the other nodes; the rest may have ended

__all__ = ["Admission", "Home", "SharedRates", "Usage"]


class SharedRates:
    """Admit requests of organisations within their rates over all nodes.

    Until a node has heard of most others, it takes an equal part of each rate.

    :param started_ms: when the node started.
    """

    def __init__(self, started_ms: float) -> None:
        self._started_ms = started_ms
        self._n_nodes = 1
        self._is_starting = True
        self._accounts_by_name: dict[str, RateAccount] = {}
        self._told_ms_by_node: dict[str, float] = {}

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
            limit = Limit(rate, burst)
            account = self._accounts_by_name.get(name)
            if account is None:
                account = RateAccount(limit, self._told_ms_by_node, now_ms)
                self._accounts_by_name[name] = account
                continue
            self._refill(account, now_ms)
            account.change(limit, now_ms + ease_ms)

    def set_fleet_size(self, n_nodes: int) -> None:
        """Take in how many nodes there are, this one included."""
        self._n_nodes = n_nodes

    def admit(self, name: str, home: Home, now_ms: float) -> Admission:
        """Count one request, and return what becomes of it."""
        account = self._accounts_by_name.get(name)
        if account is None:
            return Admission.ADMITTED
        return account.admit(home, self._starts(now_ms), self._n_nodes, now_ms)

    def admit_by_share(self, name: str, now_ms: float) -> bool:
        """Return whether the own share admits a request that the home has not."""
        account = self._accounts_by_name.get(name)
        if account is None:
            return True
        self._refill(account, now_ms)
        return account.admit_by_share()

    def grant(self, name: str, now_ms: float) -> bool:
        """Return whether this node, the home, admits a request of another node."""
        account = self._accounts_by_name.get(name)
        if account is None:
            return False
        self._refill(account, now_ms)
        account.changed_ms = now_ms
        return account.grant()

    def rate(self, name: str) -> float:
        """Return an organisation's requests a second; 0 where it has no limit."""
        account = self._accounts_by_name.get(name)
        return account.rate if account is not None else 0.0

    def give_back(self, name: str) -> None:
        """Return the token of a request that did not run."""
        account = self._accounts_by_name.get(name)
        if account is not None:
            account.give_back()

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
            if account is not None:
                account.take_report(node, usage, is_baseline, now_ms)

    def heard(self, node: str, told_ms: float) -> None:
        """Note that a node has told all of its totals at a moment."""
        earlier_ms = self._told_ms_by_node.get(node, told_ms)
        self._told_ms_by_node[node] = max(earlier_ms, told_ms)
        if len(self._told_ms_by_node) > self._n_nodes + MAX_QUIET:
            self._drop_ended(told_ms)

    def _drop_ended(self, now_ms: float) -> None:
        for node, told_ms in list(self._told_ms_by_node.items()):
            if now_ms - told_ms > HOLD_MS:
                del self._told_ms_by_node[node]
                for account in self._accounts_by_name.values():
                    account.forget(node)

    def _refill(self, account: RateAccount, now_ms: float) -> None:
        account.refill(self._starts(now_ms), self._n_nodes, now_ms)

    def _starts(self, now_ms: float) -> bool:
        """Return whether other nodes may not have told their totals yet."""
        if not self._is_starting:
            return False
        elapsed_ms = now_ms - self._started_ms
        if elapsed_ms < STARTING_MIN_MS:
            return True
        known_ms = self._started_ms + STARTING_MIN_MS  # their totals mean little before
        n_heard = sum(told_ms >= known_ms for told_ms in self._told_ms_by_node.values())
        has_heard = n_heard >= HEARD_SHARE * (self._n_nodes - 1)
        self._is_starting = not has_heard and elapsed_ms < STARTING_MAX_MS
        return self._is_starting
