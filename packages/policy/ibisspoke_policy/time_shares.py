"""Shares of an upstream's time by the priority of requests."""

MIN_RECORDED_TIME_MS = 2_000.0  # with less, the shares are not meaningful
TIME_SHARE_HALF_LIFE_MS = 2_000.0


class TimeShares:
    """Shares of the upstream's time by priority, from decaying sums."""

    def __init__(self, now_ms: float) -> None:
        self._at_ms = now_ms
        self._by_priority: dict[int, float] = {}

    def add(self, priority: int, took_ms: float, now_ms: float) -> None:
        """Record the time that one request took."""
        decay = 0.5 ** (max(0.0, now_ms - self._at_ms) / TIME_SHARE_HALF_LIFE_MS)
        self._at_ms = now_ms
        for key in self._by_priority:
            self._by_priority[key] *= decay
        self._by_priority[priority] = self._by_priority.get(priority, 0.0) + took_ms

    def share(self, priority: int) -> float:
        """Return the share of the time that requests of ``priority`` used."""
        total = sum(self._by_priority.values())
        if total < MIN_RECORDED_TIME_MS:
            return 1.0
        return self._by_priority.get(priority, 0.0) / total
