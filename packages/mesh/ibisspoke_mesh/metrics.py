"""Counters and time histograms of a node, cheap enough for the request path."""

from bisect import bisect_left
from collections import Counter

TIME_BUCKETS_MS = (5.0, 20.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_500.0, 3_000.0, 6e3)
Labels = tuple[str, ...]
MAX_REASON_CHARS = 40  # reasons are labels, whose values are kept for ever
MAX_ROUTES = 200  # label values; further routes are counted together
OTHER_ROUTES = "other routes"


class TimeHistogram:
    """Histogram of durations."""

    __slots__ = ("counts", "sum_ms")

    def __init__(self) -> None:
        self.counts = [0] * (len(TIME_BUCKETS_MS) + 1)
        self.sum_ms = 0.0

    def __repr__(self) -> str:
        return f"TimeHistogram(n={sum(self.counts)})"

    def add(self, duration_ms: float) -> None:
        """Add a duration."""
        self.counts[bisect_left(TIME_BUCKETS_MS, duration_ms)] += 1
        self.sum_ms += duration_ms


class NodeMetrics:
    """Metrics of a node, by labels.

    :ivar requests: ended requests of callers, by route and outcome.
    :ivar attempts: ended attempts at the upstream of this VM, by route and ending.
    :ivar attempt_ms: total time of these attempts, by route and phase.
    :ivar answers: responses of upstreams, by priority and status.
    :ivar refusals: responses of the node itself, by status and reason.
    :ivar retries: requests sent to another node, by outcome of the earlier attempt.
    :ivar retry_decisions: retries considered, by kind and decision.
    :ivar load_reports: of the upstream of this VM, by what they tell.
    :ivar rate_decisions: requests of organisations with a rate, by decision.
    :ivar cut_offs: connections of callers that were cut off, and bodies that were
        dropped, by reason.
    :ivar store_calls: calls to the store, by call and outcome.
    :ivar bad_rows: rows of the store that were skipped, by table and what is malformed:
        the ``row`` itself, or the ``record`` or ``configuration`` in it.
    :ivar answer_times: from the complete request to its response, by priority.
    :ivar queue_times: in the queue of the upstream of this VM.
    :ivar upstream_times: at the upstream of this VM.
    :ivar link_times: of attempts at other nodes, including the network.
    """

    def __init__(self) -> None:
        self.requests: Counter[Labels] = Counter()
        self.attempts: Counter[Labels] = Counter()
        self.attempt_ms: Counter[Labels] = Counter()
        self.answers: Counter[Labels] = Counter()
        self.refusals: Counter[Labels] = Counter()
        self.retries: Counter[Labels] = Counter()
        self.retry_decisions: Counter[Labels] = Counter()
        self.load_reports: Counter[Labels] = Counter()
        self.rate_decisions: Counter[Labels] = Counter()
        self.cut_offs: Counter[Labels] = Counter()
        self.store_calls: Counter[Labels] = Counter()
        self.bad_rows: Counter[Labels] = Counter()
        self.answer_times: dict[str, TimeHistogram] = {}
        self.queue_times = TimeHistogram()
        self.upstream_times = TimeHistogram()
        self.link_times = TimeHistogram()
        self._routes: set[str] = set()

    def __repr__(self) -> str:
        return f"NodeMetrics(n_answers={sum(self.answers.values())})"

    def count_answer(self, priority: int, status: int, duration_ms: float) -> None:
        """Count a response of an upstream."""
        label = str(priority)
        self.answers[label, str(status)] += 1
        times = self.answer_times.get(label)
        if times is None:
            times = self.answer_times[label] = TimeHistogram()
        times.add(duration_ms)

    def count_request(self, route: str, outcome: str) -> None:
        """Count an ended request of a caller."""
        self.requests[self._route_label(route), outcome[:MAX_REASON_CHARS]] += 1

    def count_attempt(
        self, route: str, ending: str, queued_ms: float, running_ms: float
    ) -> None:
        """Count an ended attempt, and the time that it was queued and running."""
        label = self._route_label(route)
        self.attempts[label, ending] += 1
        self.attempt_ms[label, "queued"] += round(queued_ms)
        self.attempt_ms[label, "running"] += round(running_ms)

    def count_bad_row(self, table: str, part: str) -> None:
        """Count a row of the store that was skipped."""
        self.bad_rows[table, part] += 1

    def count_refusal(self, status: int, reason: str) -> None:
        """Count a response of the node itself."""
        self.refusals[str(status), reason[:MAX_REASON_CHARS]] += 1

    def _route_label(self, route: str) -> str:
        if route not in self._routes:
            if len(self._routes) >= MAX_ROUTES:
                return OTHER_ROUTES
            self._routes.add(route)
        return route
