"""Counters and histograms, as a page in the Prometheus text format."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from ibisspoke_policy.route_table import Route

LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0)


class RequestMetrics:
    """Metrics of the requests, the store and the state of one node."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._answered = Counter(
            "ibisspoke_answers",
            "Answers of upstreams.",
            ["priority", "status"],
            registry=self.registry,
        )
        self._refused = Counter(
            "ibisspoke_refusals",
            "Final answers of the node's own.",
            ["status", "reason"],
            registry=self.registry,
        )
        self._latency = Histogram(
            "ibisspoke_answer_seconds",
            "Time from a whole request to its answer.",
            ["priority"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._retries = Counter(
            "ibisspoke_retries",
            "Requests sent to another node, by what the first gave.",
            ["outcome"],
            registry=self.registry,
        )
        self.store_calls = Counter(
            "ibisspoke_store_calls",
            "Calls to the store.",
            ["call", "outcome"],
            registry=self.registry,
        )
        self.gauges = {
            name: Gauge(f"ibisspoke_{name}", text, registry=self.registry)
            for name, text in _GAUGES.items()
        }

    def answered(self, route: Route, status: int, took_ms: float) -> None:
        """Count an answer of an upstream."""
        self._answered.labels(route.priority, status).inc()
        self._latency.labels(route.priority).observe(took_ms / 1000.0)

    def refused(self, status: int, reason: str) -> None:
        """Count a final answer of the node's own."""
        self._refused.labels(status, reason[:40]).inc()

    def count_retry(self, service: str, outcome: str) -> None:
        """Count a request that is sent to another node."""
        self._retries.labels(outcome).inc()

    def page(self) -> bytes:
        """Return the page."""
        return generate_latest(self.registry)


_GAUGES = {
    "config_version": "Version of the configuration in force.",
    "config_proof_age_seconds": "Age of the proof that it is current.",
    "requests_running": "Requests at the upstream of this VM.",
    "requests_queued": "Requests that wait for it.",
    "upstream_limit": "Requests that may run there at once.",
    "upstream_service_seconds": "Average time that one takes.",
    "upstream_pressure": "Share of requests that starve at services deeper down.",
    "peers_alive": "Nodes heard of lately.",
    "loop_lag_seconds": "How late the last tick ran.",
    "log_lines_lost": "Lines that a slow reader of the log lost.",
    "connections_opened": "Connections opened to the upstream.",
}
