"""Bound on the requests that a cold upstream gets in one second.

Load: traffic at full rate that meets an upstream that has just started, or has become
cold again, and crashes at a rate well above the one that it tolerates while cold.
"""

import math
from collections.abc import Mapping

from .route_table import ColdStart

WINDOW_MS = 1_000.0  # users state the bound for any one second
# Requests do not reach the upstream exactly as far apart as they were sent: one may
# wait for the event loop of either process.
MARGIN_MS = 50.0
PERIOD_MS = WINDOW_MS + MARGIN_MS
# A heartbeat that a process sent just before it ended may arrive after its connections
# were reset; over loopback it is under way for about a millisecond.
STALE_HEARTBEAT_MS = 100.0


class ColdBound:
    """The users' bound: ``rate x overage + slack`` requests in any second."""

    def __init__(self, overage: float, slack: float) -> None:
        self._overage = overage
        self._slack = slack

    def __repr__(self) -> str:
        return f"ColdBound(rate x {self._overage} + {self._slack})"

    def n_allowed(
        self, cold_starts_by_service: Mapping[str, ColdStart], service: str
    ) -> int | None:
        """Return how many requests to start in a second, or None for no bound.

        It is the rate that the upstream tolerates, rounded up; the rest of the bound
        is left as a reserve.
        """
        cold_start = cold_starts_by_service.get(service)
        if cold_start is None or cold_start.per_s <= 0.0:
            return None
        bound = math.floor(cold_start.per_s * self._overage + self._slack)
        return max(1, min(math.ceil(cold_start.per_s), bound))


class ColdRate:
    """Decide when the next request may be sent to an upstream that may be cold.

    Only the node beside an upstream sends to it, so that it holds the bound alone.
    Requests are counted from when they are started, as a connection may have to be
    opened first, until ``PERIOD_MS`` after their bytes were written. They are counted
    at all times, since the upstream may become cold at any moment.

    The node does not know what an earlier process of it sent, so at its start the
    whole allowance counts as used.

    :ivar n_allowed: requests in one second while it is cold; None for no bound, 0 while
        the configuration is not known.
    """

    def __init__(self, now_ms: float) -> None:
        self.n_allowed: int | None = 0
        self._full_until_ms = now_ms + PERIOD_MS
        self._sent_ms_by_id: dict[int, float] = {}  # in the order of sending
        self._unsent_ids: set[int] = set()
        self._cold_until_ms = 0.0
        self._is_unconfirmed = True
        self._confirmable_from_ms = now_ms

    def __repr__(self) -> str:
        return (
            f"ColdRate(n_allowed={self.n_allowed}, n_sent={len(self._sent_ms_by_id)}, "
            f"unconfirmed={self._is_unconfirmed})"
        )

    def heartbeat(self, cold_ms: float, is_new_process: bool, now_ms: float) -> None:
        """Record a heartbeat.

        :param cold_ms: for how much longer the upstream says it is cold.
        """
        if is_new_process:
            self._is_unconfirmed = True
            self._confirmable_from_ms = now_ms
        if cold_ms > 0.0:
            self._cold_until_ms = now_ms + cold_ms + MARGIN_MS
            return
        self._cold_until_ms = 0.0
        if now_ms >= self._confirmable_from_ms:
            self._is_unconfirmed = False

    def expect(self, now_ms: float) -> None:
        """Count the upstream as cold until a later heartbeat says that it is not."""
        self._is_unconfirmed = True
        self._confirmable_from_ms = now_ms

    def expect_restart(self, now_ms: float) -> None:
        """Count the upstream as cold, as its process may have been replaced.

        Heartbeats that the earlier process may have sent do not end that.
        """
        self._is_unconfirmed = True
        self._confirmable_from_ms = now_ms + STALE_HEARTBEAT_MS

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the upstream is cold, or may be."""
        return self._is_unconfirmed or now_ms < self._cold_until_ms

    def is_bounding(self, now_ms: float) -> bool:
        """Return whether requests are bounded now."""
        return self.n_allowed is not None and self.is_cold(now_ms)

    def start(self, request_id: int, now_ms: float) -> None:
        """Count a request that is about to be sent."""
        self._unsent_ids.add(request_id)
        while self._sent_ms_by_id:
            oldest_id, sent_ms = next(iter(self._sent_ms_by_id.items()))
            if now_ms - sent_ms < PERIOD_MS:
                break
            del self._sent_ms_by_id[oldest_id]

    def record_sent(self, request_id: int, now_ms: float) -> None:
        """Record that the bytes of a request were written."""
        if request_id in self._unsent_ids:
            self._unsent_ids.discard(request_id)
            self._sent_ms_by_id[request_id] = now_ms

    def end(self, request_id: int, was_sent: bool, now_ms: float) -> None:
        """Record the end of a request; one that was never sent does not count."""
        if was_sent:
            self.record_sent(request_id, now_ms)
        self._unsent_ids.discard(request_id)

    def discount(self, request_id: int) -> None:
        """Stop counting a request that reached another process than was meant."""
        self._unsent_ids.discard(request_id)
        self._sent_ms_by_id.pop(request_id, None)

    def wait_ms(self, n_ahead: int, now_ms: float) -> float:
        """Return when a request may be sent that comes after ``n_ahead`` others."""
        n_allowed = self.n_allowed
        if n_allowed is None or not self.is_cold(now_ms):
            return 0.0
        left_ms = math.inf if self._is_unconfirmed else self._cold_until_ms - now_ms
        if not n_allowed:
            return left_ms
        n_periods, n_ahead = divmod(n_ahead, n_allowed)
        sent_ms = [
            sent_ms
            for sent_ms in self._sent_ms_by_id.values()
            if now_ms - sent_ms < PERIOD_MS
        ]
        sent_ms += [now_ms] * len(self._unsent_ids)
        # The request that must have left the window before this one is sent.
        index = len(sent_ms) + n_ahead - n_allowed
        free_ms = self._full_until_ms if index < 0 else sent_ms[index] + PERIOD_MS
        wait_ms = max(0.0, free_ms - now_ms) + n_periods * PERIOD_MS
        return min(wait_ms, left_ms)

    def concurrency(self, service_ms: float) -> int:
        """Return about how many requests run at once at the rate allowed; 1 or more.

        :param service_ms: average service time of a request.
        """
        return max(1, int((self.n_allowed or 0) * service_ms / 1000.0))
