"""When to compare views with a peer whose digest stays different."""

from .membership_messages import MembershipMessage, MessageKind

MAX_DIFFERING = 64

_REGULAR_KINDS = frozenset({MessageKind.HEARTBEAT, MessageKind.PING, MessageKind.ACK})


class ViewComparison:
    """Choose peers to compare views with.

    :param period_ms: least time between two comparisons; a difference must last
        half as long, since most end by the next update.
    """

    def __init__(self, period_ms: float) -> None:
        self._period_ms = period_ms
        self._differs_since_ms_by_id: dict[str, float] = {}
        self._compared_ms = float("-inf")

    def __repr__(self) -> str:
        return f"ViewComparison({len(self._differs_since_ms_by_id)} differ)"

    def is_due(
        self, message: MembershipMessage, own_digest: int, now_ms: float
    ) -> bool:
        """Return whether to compare with the sender of ``message`` now."""
        if message.digest == own_digest:
            self._differs_since_ms_by_id.pop(message.sender, None)
            return False
        if message.kind not in _REGULAR_KINDS:
            return False
        since_ms = self._differs_since_ms_by_id.setdefault(message.sender, now_ms)
        if len(self._differs_since_ms_by_id) > MAX_DIFFERING:
            self._differs_since_ms_by_id.clear()
        if now_ms - since_ms < self._period_ms / 2:
            return False
        if now_ms - self._compared_ms < self._period_ms:
            return False
        self._compared_ms = now_ms
        self._differs_since_ms_by_id.pop(message.sender, None)
        return True
