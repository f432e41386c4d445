"""Time of the last sign of life of each tracked member."""


class LivenessTracker:
    """Keep the time of the last sign of life of a few members, on an active clock."""

    def __init__(self) -> None:
        self._last_seen_ms_by_id: dict[str, float] = {}
        self._last_ping_ms_by_id: dict[str, float] = {}
        self._sequence_by_id: dict[str, tuple[int, int]] = {}

    def __repr__(self) -> str:
        return f"LivenessTracker({len(self._last_seen_ms_by_id)} members)"

    def __contains__(self, member_id: object) -> bool:
        return member_id in self._last_seen_ms_by_id

    def ids(self) -> list[str]:
        """Return the tracked members."""
        return list(self._last_seen_ms_by_id)

    def track(self, member_id: str, at_ms: float) -> bool:
        """Start tracking a member; its silence counts from ``at_ms``.

        :returns: whether it was not tracked before.
        """
        if member_id in self._last_seen_ms_by_id:
            return False
        self._last_seen_ms_by_id[member_id] = at_ms
        return True

    def untrack(self, member_id: str) -> None:
        """Stop tracking a member."""
        self._last_seen_ms_by_id.pop(member_id, None)
        self._last_ping_ms_by_id.pop(member_id, None)
        self._sequence_by_id.pop(member_id, None)

    def mark_seen(self, member_id: str, at_ms: float) -> None:
        """Record a sign of life, if the member is tracked."""
        if member_id in self._last_seen_ms_by_id:
            self._last_seen_ms_by_id[member_id] = at_ms

    def is_stale(self, member_id: str, incarnation: int, sequence: int) -> bool:
        """Return whether a message is a repeat or older than the last one."""
        stamp = (incarnation, sequence)
        if stamp <= self._sequence_by_id.get(member_id, (0, 0)):
            return True
        if member_id in self._last_seen_ms_by_id:
            self._sequence_by_id[member_id] = stamp
        return False

    def silence_ms(self, member_id: str, at_ms: float) -> float:
        """Return the time since the last sign of life; 0 for an untracked member."""
        return at_ms - self._last_seen_ms_by_id.get(member_id, at_ms)

    def may_ping(self, member_id: str, at_ms: float, period_ms: float) -> bool:
        """Return whether a ping is due, and if so record it as sent."""
        last_ping_ms = self._last_ping_ms_by_id.get(member_id, float("-inf"))
        if at_ms - last_ping_ms < period_ms:
            return False
        self._last_ping_ms_by_id[member_id] = at_ms
        return True
