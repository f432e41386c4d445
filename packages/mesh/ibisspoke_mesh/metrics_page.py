"""Metrics page of a node, in the Prometheus text format.

``prometheus_client`` takes 40 ms and several MB to import, so this module is imported
only when the page is requested for the first time.
"""

from collections import Counter
from collections.abc import Iterable, Iterator

from prometheus_client import CollectorRegistry
from prometheus_client.exposition import generate_latest
from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from .memory_budget import MemoryBudget, Part
from .metrics import TIME_BUCKETS_MS, Labels, NodeMetrics, TimeHistogram

GAUGE_TEXTS = {
    "config_version": "Version of the configuration in force.",
    "config_proof_age_seconds": "Age of the proof that it is current.",
    "store_era": "How often the store was restored from a copy.",
    "evacuations": "Data centres that the operator has evacuated.",
    "evacuated": "Whether the data centre of this node is one of them.",
    "requests_running": "Requests at the upstream of this VM.",
    "requests_queued": "Requests that wait for it.",
    "upstream_limit": "Requests that may run there at once, as told to other nodes.",
    "upstream_ramp_limit": "Requests that its start leaves room for; its slots later.",
    "upstream_cold": "Whether it counts as cold, so that its rate is bounded.",
    "upstream_cold_rate": "Requests in a second while it is cold; 0 for no bound.",
    "upstream_service_seconds": "Average time that one takes.",
    "vm_pace": "How long work takes on this VM; 1 as usual, 0 unknown.",
    "upstream_pressure": "Share of requests that starve at services deeper down.",
    "peers_alive": "Nodes heard of lately.",
    "peers_draining": "Nodes whose upstream leaves.",
    "peers_silent": "Nodes known but not heard of lately.",
    "relays_heard": "Other nodes of the data centre that relay statuses to this one.",
    "usage_report_age_seconds": "Age of the oldest data centre's count of requests.",
    "usages_invalid": "Counts of other nodes that were not valid.",
    "loop_lag_seconds": "How late the last tick ran.",
    "log_lines_lost": "Lines that a slow reader of the log lost.",
    "connections_opened": "Connections opened to the upstream.",
    "caller_connections": "Open connections of callers.",
    "caller_connections_all": "Open connections at all listeners but that of nodes.",
    "caller_connections_limit": "How many of them there may be.",
    "caller_body_bytes": "Bodies of requests that are read or handled.",
    "caller_input_bytes": "Heads of such requests, and input that is not parsed yet.",
    "caller_unread_bytes": "Answers that callers have not taken yet.",
    "memory_held_bytes": "What this process holds for others.",
    "memory_limit_bytes": "How much of it there may be.",
    "caller_parsing": "Connections whose costly input waits to be parsed.",
    "caller_requests": "Requests of callers without an answer yet.",
    "link_calls": "Calls to other nodes without an outcome yet.",
    "retries_left": "Retries that this node may still make in the window.",
}


class _NodeCollector(Collector):
    def __init__(
        self, metrics: NodeMetrics, gauges: dict[str, float], memory: MemoryBudget
    ) -> None:
        self._metrics = metrics
        self._gauges = gauges
        self._memory = memory

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics."""
        metrics = self._metrics
        yield _counter(
            "requests",
            "Ended requests of callers.",
            ["route", "outcome"],
            metrics.requests,
        )
        yield _counter(
            "attempts",
            "Ended attempts at the upstream of this VM.",
            ["route", "ending"],
            metrics.attempts,
        )
        yield _counter(
            "attempt_milliseconds",
            "Time of these attempts.",
            ["route", "phase"],
            metrics.attempt_ms,
        )
        yield _counter(
            "answers", "Answers of upstreams.", ["priority", "status"], metrics.answers
        )
        yield _counter(
            "refusals",
            "Final answers of the node's own.",
            ["status", "reason"],
            metrics.refusals,
        )
        yield _counter(
            "retries",
            "Requests sent to another node, by what the first gave.",
            ["outcome"],
            metrics.retries,
        )
        yield _counter(
            "retry_decisions",
            "Retries considered, by kind and decision.",
            ["kind", "decision"],
            metrics.retry_decisions,
        )
        yield _counter(
            "load_reports",
            "Reports of its load by the upstream of this VM, by what they tell.",
            ["state"],
            metrics.load_reports,
        )
        yield _counter(
            "rate_decisions",
            "Requests of organisations with a rate, by who decided and how.",
            ["decision"],
            metrics.rate_decisions,
        )
        yield _counter(
            "caller_cut_offs",
            "Connections of callers that were cut off, and dropped bodies.",
            ["reason"],
            metrics.cut_offs,
        )
        yield _counter(
            "store_calls",
            "Calls to the store.",
            ["call", "outcome"],
            metrics.store_calls,
        )
        yield _counter(
            "bad_rows",
            "Rows of the store that were skipped.",
            ["table", "part"],
            metrics.bad_rows,
        )
        yield _histogram(
            "answer",
            "From a whole request to its answer.",
            metrics.answer_times.items(),
        )
        yield _histogram(
            "queue", "Waited for room at the upstream.", [("", metrics.queue_times)]
        )
        yield _histogram(
            "upstream", "At the upstream of this VM.", [("", metrics.upstream_times)]
        )
        yield _histogram(
            "link",
            "Attempts at other nodes, there and back.",
            [("", metrics.link_times)],
        )
        for name, value in self._gauges.items():
            yield GaugeMetricFamily(f"ibisspoke_{name}", GAUGE_TEXTS[name], value)
        memory = self._memory
        yield _by_part("memory_bytes", "Held for others.", memory.n_bytes_by_part)
        peak_text = "Held for others when all parts together were largest."
        yield _by_part("memory_peak_bytes", peak_text, memory.peak_bytes_by_part)


def metrics_page(
    metrics: NodeMetrics, gauges: dict[str, float], memory: MemoryBudget
) -> bytes:
    """Return the page.

    :param gauges: current values, by the names in ``GAUGE_TEXTS``.
    """
    registry = CollectorRegistry()
    registry.register(_NodeCollector(metrics, gauges, memory))
    return generate_latest(registry)


def _by_part(name: str, text: str, n_bytes_by_part: list[int]) -> Metric:
    family = GaugeMetricFamily(f"ibisspoke_{name}", text, labels=["part"])
    for part in Part:
        family.add_metric([part.name.lower()], n_bytes_by_part[part])
    return family


def _counter(
    name: str, text: str, labels: list[str], counts: Counter[Labels]
) -> Metric:
    family = CounterMetricFamily(f"ibisspoke_{name}", text, labels=labels)
    for values, n in counts.items():
        family.add_metric(list(values), n)
    return family


def _histogram(
    name: str, text: str, times: Iterable[tuple[str, TimeHistogram]]
) -> Metric:
    labelled = list(times)
    labels = ["priority"] if any(label for label, _ in labelled) else []
    family = HistogramMetricFamily(f"ibisspoke_{name}_seconds", text, labels=labels)
    for label, histogram in labelled:
        buckets: list[tuple[str, float]] = []
        n = 0
        for bound_ms, count in zip(TIME_BUCKETS_MS, histogram.counts, strict=False):
            n += count
            buckets.append((str(bound_ms / 1000.0), n))
        buckets.append(("+Inf", sum(histogram.counts)))
        values = [label] if labels else []
        family.add_metric(values, buckets, histogram.sum_ms / 1000.0)
    return family
