"""Time during which this process was running and could hear others."""

MAX_STEP_MS = 250.0
PAUSE_MS = 500.0


class AttentiveTime:
    """Advance by at most a short step at a time.

    A process that was paused, or that waits long for a CPU, sees little of that
    time pass here, and so does not take its own absence for the silence of others.

    :param now_ms: time of creation.
    """

    def __init__(self, now_ms: float) -> None:
        self._last_ms = now_ms
        self._paused_until_ms = float("-inf")
        self.ms = 0.0

    def __repr__(self) -> str:
        return f"AttentiveTime({self.ms:.0f})"

    def advance(self, now_ms: float) -> float:
        """Take in the present time.

        :returns: attentive milliseconds so far.
        """
        step_ms = max(0.0, now_ms - self._last_ms)
        self._last_ms = max(self._last_ms, now_ms)
        if step_ms >= PAUSE_MS:
            self._paused_until_ms = now_ms
        self.ms += min(step_ms, MAX_STEP_MS)
        return self.ms

    def was_paused_since(self, since_ms: float) -> bool:
        """Return whether the process was paused at any time after ``since_ms``."""
        return self._paused_until_ms >= since_ms
