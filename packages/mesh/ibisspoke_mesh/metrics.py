"""Counts and times of one node, cheap to take on the call path."""

from bisect import bisect_left
from collections import Counter

TIME_BUCKETS_MS = (5.0, 20.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_500.0, 3_000.0, 6e3)
Labels = tuple[str, ...]
MAX_REASON_LENGTH = 40  # reasons are labels: each one more is kept for ever


class TimeHistogram:
    """How many times lay below each bound."""

    __slots__ = ("counts", "sum_ms")

    def __init__(self) -> None:
        self.counts = [0] * (len(TIME_BUCKETS_MS) + 1)
        self.sum_ms = 0.0

    def __repr__(self) -> str:
        return f"TimeHistogram(n={sum(self.counts)})"

    def add(self, took_ms: float) -> None:
        """Take in one time."""
        self.counts[bisect_left(TIME_BUCKETS_MS, took_ms)] += 1
        self.sum_ms += took_ms


class NodeMetrics:
    """What a node counts, by labels.

    :ivar answers: answers of upstreams, by priority and status.
    :ivar refusals: final answers of the node's own, by status and reason.
    :ivar retries: requests sent to another node, by what the first gave.
    :ivar rate_decisions: requests of organisations with a rate, by how it was decided.
    :ivar store_calls: by call and outcome.
    :ivar answer_times: from a whole request to its answer, by priority.
    :ivar queue_times: waited for room at the upstream of this VM.
    :ivar upstream_times: at the upstream of this VM.
    :ivar link_times: of attempts at other nodes, there and back.
    """

    def __init__(self) -> None:
        self.answers: Counter[Labels] = Counter()
        self.refusals: Counter[Labels] = Counter()
        self.retries: Counter[Labels] = Counter()
        self.rate_decisions: Counter[Labels] = Counter()
        self.store_calls: Counter[Labels] = Counter()
        self.answer_times: dict[str, TimeHistogram] = {}
        self.queue_times = TimeHistogram()
        self.upstream_times = TimeHistogram()
        self.link_times = TimeHistogram()

    def __repr__(self) -> str:
        return f"NodeMetrics(n_answers={sum(self.answers.values())})"

    def answered(self, priority: int, status: int, took_ms: float) -> None:
        """Count an answer of an upstream."""
        label = str(priority)
        self.answers[label, str(status)] += 1
        times = self.answer_times.get(label)
        if times is None:
            times = self.answer_times[label] = TimeHistogram()
        times.add(took_ms)

    def refused(self, status: int, reason: str) -> None:
        """Count a final answer of the node's own."""
        self.refusals[str(status), reason[:MAX_REASON_LENGTH]] += 1
