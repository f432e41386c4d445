"""Periodic log line with what became of requests and attempts, by route."""

from collections import Counter

from ibisspoke_policy.clock import Clock

from .decision_log import DecisionLog
from .metrics import Labels, NodeMetrics

INTERVAL_MS = 2_000.0


class TrafficLog:
    """Writes one line per interval, with the counts since the line before.

    Lines about single requests are bounded in a burst, so that they cannot tell where
    most requests of a route end. These counts are complete.
    """

    def __init__(self, metrics: NodeMetrics, clock: Clock, log: DecisionLog) -> None:
        self._metrics = metrics
        self._clock = clock
        self._log = log
        self._written_ms = clock.now_ms()
        self._requests: Counter[Labels] = Counter()
        self._attempts: Counter[Labels] = Counter()
        self._attempt_ms: Counter[Labels] = Counter()

    def __repr__(self) -> str:
        return f"TrafficLog(n_requests={sum(self._requests.values())})"

    def tick(self) -> None:
        """Write a line, if the interval is over and anything has ended in it."""
        now_ms = self._clock.now_ms()
        if now_ms - self._written_ms < INTERVAL_MS:
            return
        self._written_ms = now_ms
        metrics = self._metrics
        requests = metrics.requests - self._requests
        attempts = metrics.attempts - self._attempts
        attempt_ms = metrics.attempt_ms - self._attempt_ms
        self._requests = metrics.requests.copy()
        self._attempts = metrics.attempts.copy()
        self._attempt_ms = metrics.attempt_ms.copy()
        if requests or attempts:
            self._log.write(
                "traffic",
                requests=_by_route(requests),
                attempts=_by_route(attempts),
                attempt_ms=_by_route(attempt_ms),
            )


def _by_route(counts: Counter[Labels]) -> dict[str, dict[str, int]]:
    """Return counts as nested dictionaries, by route and then by the other label."""
    by_route: dict[str, dict[str, int]] = {}
    for (route, label), n in counts.items():
        by_route.setdefault(route, {})[label] = n
    return by_route
