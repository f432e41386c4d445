"""A clock that counts only the time during which this process was running."""

MAX_STEP_MS = 250.0  # the most that is counted between two readings
MIN_PAUSE_MS = 500.0  # a longer gap between two readings counts as a pause


class ActiveClock:
    """Advance by at most ``MAX_STEP_MS`` per reading.

    When this process is paused or waits long for a CPU, most of that time is not
    counted. Otherwise peers would seem silent whose messages are still unread.

    :param now_ms: time of creation.
    """

    def __init__(self, now_ms: float) -> None:
        self._last_ms = now_ms
        self._paused_until_ms = float("-inf")
        self.ms = 0.0

    def __repr__(self) -> str:
        return f"ActiveClock({self.ms:.0f})"

    def advance(self, now_ms: float) -> float:
        """Advance to ``now_ms``.

        :returns: milliseconds counted since creation.
        """
        step_ms = max(0.0, now_ms - self._last_ms)
        self._last_ms = max(self._last_ms, now_ms)
        if step_ms >= MIN_PAUSE_MS:
            self._paused_until_ms = now_ms
        self.ms += min(step_ms, MAX_STEP_MS)
        return self.ms

    def was_paused_since(self, since_ms: float) -> bool:
        """Return whether the process was paused at any time after ``since_ms``."""
        return self._paused_until_ms >= since_ms
