"""One node's copy of an organisation's bucket."""

from enum import Enum
from typing import NamedTuple

REPORT_LAG_S = 0.5  # until nodes of all data centres know what one has admitted
OVERDRAW = 5.0  # requests beyond the burst; users tolerate 20 in a window of 5 s
MAX_RESERVE = 0.9  # of the burst that is kept for shares
DRAIN_S = 0.6  # in which the rest of a burst may be spent by shares
REPAY_S = 2.0  # in which what was overdrawn is taken off the shares
INITIAL_FILL = 0.1  # of the burst: a restarted fleet must not grant it anew
DEMAND_HALF_LIFE_MS = 600.0
USUAL_SILENCE_MS = 1_200.0  # between two reports; longer ones mean a cut or an end
SHARE_BURST_S = 0.3  # a share may be spent this far ahead, in seconds of its rate
NODE_SHARE_BURST = 2.5  # requests that a node may keep of its share, at least
FLEET_SHARE_BURST = 24.0  # those that all nodes together may keep beyond one each
SHARE_INTERVAL_MS = 50.0  # between two computations of shares, a node a step
HOLD_MS = 6_000.0  # a silent node may admit its share until its keys lapse
LEAST_SHARE = 0.1  # of an equal share, for nodes without recent requests
EASE_MS = 400.0  # in which a lowered limit sinks: nodes learn of it one after another


class Usage(NamedTuple):
    """Running totals of one organisation at one node.

    :param n_asked: requests seen.
    :param n_admitted: requests admitted, less those that did not run.
    """

    organisation: str
    n_asked: int
    n_admitted: int


class Admission(Enum):
    """What a node does with a request by an organisation's rate."""

    ADMITTED = "admitted"
    ASK = "ask"  # the organisation's home, which knows what is left
    REFUSED = "refused"


class Home(Enum):
    """Who decides on an organisation's requests where its bucket is low."""

    OWN = "own"  # this node
    OTHER = "other"
    UNREACHABLE = "unreachable"  # each node keeps to its share


class Limit(NamedTuple):
    """Requests a second, and requests that may come at once."""

    rate: float
    burst: float


class _Demand:
    """A decaying rate of requests."""

    __slots__ = ("_at_ms", "_per_s")

    def __init__(self, now_ms: float) -> None:
        self._per_s = 0.0
        self._at_ms = now_ms

    def add(self, n: int, now_ms: float) -> None:
        """Take in some requests."""
        self._per_s = self.at(now_ms) + n * 693.0 / DEMAND_HALF_LIFE_MS
        self._at_ms = now_ms

    def at(self, now_ms: float) -> float:
        """Return requests a second at a moment."""
        elapsed_ms = max(0.0, now_ms - self._at_ms)
        return float(self._per_s * 0.5 ** (elapsed_ms / DEMAND_HALF_LIFE_MS))


class _NodeFlow:
    """What is asked and admitted at another node, by its reports."""

    __slots__ = ("admitted", "asked")

    def __init__(self, now_ms: float) -> None:
        self.asked = _Demand(now_ms)
        self.admitted = _Demand(now_ms)


class RateAccount:
    """The copy of one organisation's bucket.

    :param told_ms_by_node: when each other node has told its totals last.
    """

    def __init__(
        self, limit: Limit, told_ms_by_node: dict[str, float], now_ms: float
    ) -> None:
        self.rate, self.burst = limit
        self.n_asked = 0
        self.n_admitted = 0
        self.changed_ms = now_ms
        self.level = self.burst * INITIAL_FILL
        self._told_ms_by_node = told_ms_by_node
        self._target = limit
        self._eased_ms = now_ms
        self._lowered_ms = float("-inf")
        self._share_level = 0.0
        self._share = 0.0
        self._unreported = 0.0
        self._fleet_demand = 0.0
        self._n_nodes = 1
        self._shared_ms = float("-inf")
        self._filled_ms = now_ms
        self._share_filled_ms = now_ms
        self._demand = _Demand(now_ms)
        self._flow_by_node: dict[str, _NodeFlow] = {}
        self._seen_by_node: dict[str, Usage] = {}

    def __repr__(self) -> str:
        return f"RateAccount({self.level:.1f} of {self.burst:.1f})"

    def change(self, limit: Limit, eased_ms: float) -> None:
        """Put a higher limit in force at once, and a lower one at ``eased_ms``."""
        self._target = limit
        if limit.rate >= self.rate:
            self.rate, self.burst = limit
            self.level = min(self.level, self.burst)
        else:
            self._eased_ms = eased_ms

    def admit(
        self, home: Home, is_starting: bool, n_nodes: int, now_ms: float
    ) -> Admission:
        """Count one request, and return what becomes of it.

        :param is_starting: whether other nodes may not have told their totals yet.
        :param n_nodes: in the fleet.
        """
        self.refill(is_starting, n_nodes, now_ms)
        self._demand.add(1, now_ms)
        self.n_asked += 1
        self.changed_ms = now_ms
        if not is_starting and self._is_free():
            self._take()
            return Admission.ADMITTED
        if home is Home.OTHER:
            return Admission.ASK
        is_admitted = self.grant() if home is Home.OWN else self.admit_by_share()
        return Admission.ADMITTED if is_admitted else Admission.REFUSED

    def admit_by_share(self) -> bool:
        """Return whether the own share admits a request now."""
        if self._share_level < 1.0:
            return False
        self._share_level -= 1.0
        self._take()
        return True

    def grant(self) -> bool:
        """Return whether this node, the home, admits a request of any node now."""
        if self.level - self._unreported < 1.0:
            return False
        self._take()
        return True

    def _take(self) -> None:
        self.level -= 1.0
        self.n_admitted += 1

    def give_back(self) -> None:
        """Return the token of a request that did not run."""
        self.level = min(self.burst, self.level + 1.0)
        self.n_admitted -= 1

    def take_report(
        self, node: str, usage: Usage, is_baseline: bool, now_ms: float
    ) -> None:
        """Take in the totals of another node.

        A lowered limit does not bear what was admitted under the earlier one.

        :param is_baseline: whether the first totals only set the start of the counting.
        """
        self._fill(now_ms)
        seen = self._seen_by_node.get(node)
        self._seen_by_node[node] = usage
        flow = self._flow_by_node.get(node)
        if flow is None:
            flow = self._flow_by_node[node] = _NodeFlow(now_ms)
        if seen is None:
            if is_baseline:
                return
            seen = Usage(usage.organisation, 0, 0)
        if usage.n_asked < seen.n_asked:
            self._seen_by_node[node] = seen
            return
        n_admitted = usage.n_admitted - seen.n_admitted
        flow.asked.add(usage.n_asked - seen.n_asked, now_ms)
        if now_ms - self._lowered_ms < REPORT_LAG_S * 1000.0:
            return
        flow.admitted.add(max(0, n_admitted), now_ms)
        self.level -= n_admitted

    def forget(self, node: str) -> None:
        """Drop what is known of a node that has ended."""
        self._flow_by_node.pop(node, None)
        self._seen_by_node.pop(node, None)

    def refill(self, is_starting: bool, n_nodes: int, now_ms: float) -> None:
        """Bring the bucket and the own share up to date."""
        self._fill(now_ms)
        elapsed_s = max(0.0, now_ms - self._share_filled_ms) / 1000.0
        self._share_filled_ms = now_ms
        if now_ms - self._shared_ms >= SHARE_INTERVAL_MS:
            self._shared_ms = now_ms
            self._share_out(is_starting, max(1, n_nodes), now_ms)
        own_rate = self._share * (self.rate if is_starting else self._fleet_rate())
        kept = min(NODE_SHARE_BURST, 1.0 + FLEET_SHARE_BURST / max(1, n_nodes))
        most = max(kept, own_rate * SHARE_BURST_S)
        self._share_level = min(most, self._share_level + own_rate * elapsed_s)

    def _fill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._filled_ms)
        self._filled_ms = now_ms
        self._ease(now_ms, elapsed_ms)
        is_told = now_ms - self._shared_ms < REPORT_LAG_S * 1000.0
        to_come = self._unreported if is_told else self.rate * REPORT_LAG_S
        full = self.burst + to_come  # reports will take that out
        self.level = min(full, self.level + self.rate * elapsed_ms / 1000.0)

    def _ease(self, now_ms: float, elapsed_ms: float) -> None:
        """Let a lowered limit sink a little further, in the last part of its time."""
        if self.rate == self._target.rate and self.burst == self._target.burst:
            return
        left_ms = self._eased_ms - now_ms
        if left_ms > EASE_MS:
            return
        elapsed_ms = min(elapsed_ms, EASE_MS - left_ms)
        part = elapsed_ms / (elapsed_ms + left_ms) if left_ms > 0.0 else 1.0
        self._lowered_ms = now_ms
        for flow in self._flow_by_node.values():
            flow.admitted = _Demand(now_ms)
        self.rate += part * (self._target.rate - self.rate)
        self.burst += part * (self._target.burst - self.burst)
        self.level = min(self.level, self.burst)

    def _is_free(self) -> bool:
        """Return whether the bucket is so full that nobody needs to keep to a share."""
        surplus = max(0.0, self._fleet_demand - self.rate) * REPORT_LAG_S
        reserve = min(surplus - OVERDRAW, self.burst * MAX_RESERVE)
        return self.level - self._unreported >= max(1.0, reserve)

    def _fleet_rate(self) -> float:
        """Return what all nodes may admit a second."""
        left = self.level - self._unreported
        if left < 0.0:
            return max(0.0, self.rate + left / REPAY_S)
        return self.rate + left / DRAIN_S

    def _share_out(self, is_starting: bool, n_nodes: int, now_ms: float) -> None:
        """Work out the own share, and what others admit before they report it."""
        own = self._demand.at(now_ms)
        total = own
        unreported = 0.0
        n_known = 1
        for node, flow in self._flow_by_node.items():
            told_ms = self._told_ms_by_node.get(node, now_ms)
            silence_ms = max(0.0, now_ms - told_ms)
            if silence_ms >= HOLD_MS:
                continue
            n_known += 1
            is_cut = silence_ms > USUAL_SILENCE_MS  # it may go on as it did
            at_ms = told_ms if is_cut else now_ms
            total += flow.asked.at(at_ms)
            unreported += flow.admitted.at(at_ms) * silence_ms / 1000.0
        self._fleet_demand = total
        least = LEAST_SHARE * self.rate / n_nodes
        self._share = (own + least) / (total + n_known * least)
        if is_starting:
            self._share = min(self._share, 1.0 / n_nodes)
        self._unreported = unreported
