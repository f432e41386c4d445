"""When each tracked member last gave a sign of life."""


class LifeTracker:
    """Keep the last sign of life of few members, in attentive time."""

    def __init__(self) -> None:
        self._heard_ms_by_id: dict[str, float] = {}
        self._asked_ms_by_id: dict[str, float] = {}
        self._sequence_by_id: dict[str, tuple[int, int]] = {}

    def __repr__(self) -> str:
        return f"LifeTracker({len(self._heard_ms_by_id)} members)"

    def __contains__(self, member_id: object) -> bool:
        return member_id in self._heard_ms_by_id

    def ids(self) -> list[str]:
        """Return the tracked members."""
        return list(self._heard_ms_by_id)

    def track(self, member_id: str, at_ms: float) -> bool:
        """Start to track a member; its silence counts from now.

        :returns: whether it was not tracked before.
        """
        if member_id in self._heard_ms_by_id:
            return False
        self._heard_ms_by_id[member_id] = at_ms
        return True

    def untrack(self, member_id: str) -> None:
        """Forget a member."""
        self._heard_ms_by_id.pop(member_id, None)
        self._asked_ms_by_id.pop(member_id, None)
        self._sequence_by_id.pop(member_id, None)

    def hear(self, member_id: str, at_ms: float) -> None:
        """Note a sign of life of a tracked member."""
        if member_id in self._heard_ms_by_id:
            self._heard_ms_by_id[member_id] = at_ms

    def is_repeated(self, member_id: str, incarnation: int, sequence: int) -> bool:
        """Return whether a message is old, and so no sign of life."""
        stamp = (incarnation, sequence)
        if stamp <= self._sequence_by_id.get(member_id, (0, 0)):
            return True
        if member_id in self._heard_ms_by_id:
            self._sequence_by_id[member_id] = stamp
        return False

    def silence_ms(self, member_id: str, at_ms: float) -> float:
        """Return the time since the last sign of life; 0 for an untracked member."""
        return at_ms - self._heard_ms_by_id.get(member_id, at_ms)

    def may_ask(self, member_id: str, at_ms: float, period_ms: float) -> bool:
        """Return whether a member may be pinged again, and count it as pinged."""
        asked_ms = self._asked_ms_by_id.get(member_id, float("-inf"))
        if at_ms - asked_ms < period_ms:
            return False
        self._asked_ms_by_id[member_id] = at_ms
        return True
