"""Decides when to compare views with a peer whose digest differs."""

import random

from .membership_messages import MembershipMessage, MessageKind

MAX_DIFFERING_PEERS = 64  # remembered; beyond this all of them are dropped
MAX_WAIT_MS = 30_000.0  # between two comparisons

_REGULAR_KINDS = frozenset({MessageKind.HEARTBEAT, MessageKind.PING, MessageKind.ACK})


class ViewComparison:
    """Choose peers for comparing views.

    One comparison runs at a time. After a failed one the wait is doubled, which
    avoids adding load to busy nodes.

    :param period_ms: minimum time between two comparisons; a difference must last
        half as long, as most disappear with the next update.
    :param rng: source of jitter, so that nodes do not compare at the same time.
    """

    def __init__(self, period_ms: float, rng: random.Random) -> None:
        self._period_ms = period_ms
        self._rng = rng
        self._wait_ms = period_ms
        self._next_ms = float("-inf")
        self._differs_since_ms_by_id: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"ViewComparison({len(self._differs_since_ms_by_id)} differ)"

    def is_due(
        self, message: MembershipMessage, own_digest: int, now_ms: float
    ) -> bool:
        """Return whether to compare views with the sender of ``message`` now."""
        if message.digest == own_digest:
            self._differs_since_ms_by_id.pop(message.sender, None)
            return False
        if message.kind not in _REGULAR_KINDS:
            return False
        since_ms = self._differs_since_ms_by_id.setdefault(message.sender, now_ms)
        if len(self._differs_since_ms_by_id) > MAX_DIFFERING_PEERS:
            self._differs_since_ms_by_id.clear()
        if now_ms - since_ms < self._period_ms / 2:
            return False
        if now_ms < self._next_ms:
            return False
        self._next_ms = now_ms + MAX_WAIT_MS
        self._differs_since_ms_by_id.pop(message.sender, None)
        return True

    def record_result(self, is_answered: bool, now_ms: float) -> None:
        """Record the end of a comparison and schedule the next one."""
        if is_answered:
            self._wait_ms = self._period_ms
        else:
            self._wait_ms = min(MAX_WAIT_MS, 2.0 * self._wait_ms)
        self._next_ms = now_ms + self._wait_ms * self._rng.uniform(0.75, 1.25)
