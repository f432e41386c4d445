"""Counters and gauges, sent to statsd periodically rather than during calls."""

from collections import Counter
from typing import Protocol


class StatsdSender(Protocol):
    """The methods of a statsd client that are used here."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""


class Metrics:
    """Accumulate counters in memory until they are flushed.

    :param sender: statsd client; if None, the totals only go to the status page.
    """

    def __init__(self, sender: StatsdSender | None = None) -> None:
        self._sender = sender
        self._unflushed_by_name: Counter[str] = Counter()
        self.totals_by_name: Counter[str] = Counter()
        self.gauges_by_name: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"Metrics({len(self.totals_by_name)} counters)"

    def count(self, name: str, n: int = 1) -> None:
        """Add ``n`` to a counter."""
        self._unflushed_by_name[name] += n

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges_by_name[name] = value

    def flush(self) -> None:
        """Send the increments since the last flush, and the gauges."""
        pending, self._unflushed_by_name = self._unflushed_by_name, Counter()
        self.totals_by_name.update(pending)
        if self._sender is None:
            return
        for name, n in pending.items():
            self._sender.incr(name, n)
        for name, value in self.gauges_by_name.items():
            self._sender.gauge(name, value)
