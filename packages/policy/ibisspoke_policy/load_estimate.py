"""Estimate of another node's load, from its answers and the attempts sent to it."""

import math
from typing import NamedTuple

from .admission import AdmissionLevel
from .catalogue import Importance

LOAD_HALF_LIFE_MS = 1_000.0
FULL_LOAD = 1.0
HEADROOM_LOAD = 0.8  # below it, a full node counts as available again
MIN_REFUSAL_VALIDITY_MS = 50.0
MAX_REFUSAL_VALIDITY_MS = 1_000.0
FAILURE_THRESHOLD = 2
FIRST_FAILURE_HOLD_MS = 1_000.0
MAX_FAILURE_HOLD_MS = 8_000.0


class Report(NamedTuple):
    """The level that a node reported last, and when it did."""

    level: AdmissionLevel
    at_ms: float


class LoadEstimate:
    """Estimated load and recent failures of one node.

    After a refusal, no attempts are sent to the node until the refusal expires. Then a
    single attempt is sent, and others only after it has ended.
    """

    __slots__ = (
        "n_outstanding",
        "_report",
        "_is_full",
        "_is_probing",
        "_n_failures",
        "_avoided_until_ms",
    )

    def __init__(self) -> None:
        self.n_outstanding = 0
        self._report: Report | None = None
        self._is_full = False
        self._is_probing = False
        self._n_failures = 0
        self._avoided_until_ms = 0.0

    def __repr__(self) -> str:
        return f"LoadEstimate({self.n_outstanding} outstanding, {self._report})"

    def score(self, now_ms: float) -> float:
        """Return the estimated load; the reported part decays with its age."""
        if self._report is None:
            return float(self.n_outstanding)
        level, at_ms = self._report
        age_ms = max(0.0, now_ms - at_ms)
        decay = math.exp2(-age_ms / LOAD_HALF_LIFE_MS)
        return level.load * decay + self.n_outstanding / max(1, level.limit)

    def is_avoided(self, now_ms: float) -> bool:
        """Return whether the node is avoided because recent attempts got no answer."""
        if self._n_failures < FAILURE_THRESHOLD:
            return False
        return now_ms < self._avoided_until_ms or self._is_probing

    def is_full(self, now_ms: float) -> bool:
        """Return whether the node reported full load and no headroom since."""
        return self._is_full and self._is_report_valid(now_ms)

    def would_refuse(self, importance: Importance, rank: float, now_ms: float) -> bool:
        """Return whether the node would refuse an attempt, by its last answer.

        :param rank: from 0 to 1 within the importance; the lowest ranks are shed first.
        """
        if self._report is None:
            return False
        shed = self._report.level.shed
        is_refused = shed > importance + rank or shed >= importance + 1
        return is_refused and self._is_report_valid(now_ms)

    def level(self) -> AdmissionLevel | None:
        """Return the level that the node reported last, or None."""
        return self._report.level if self._report is not None else None

    def sent(self) -> None:
        """Count an attempt as outstanding."""
        self.n_outstanding += 1
        if self._is_full or self._n_failures >= FAILURE_THRESHOLD or self._is_shedding:
            self._is_probing = True

    def done(self, level: AdmissionLevel | None, now_ms: float) -> None:
        """Count an attempt as ended; ``level`` is None if it got no answer."""
        self.n_outstanding = max(0, self.n_outstanding - 1)
        self._is_probing = False
        if level is None:
            self._record_failure(now_ms)
            return
        self._n_failures = 0
        self._report = Report(level, now_ms)
        if level.load >= FULL_LOAD:
            self._is_full = True
        elif level.load < HEADROOM_LOAD:
            self._is_full = False

    @property
    def _is_shedding(self) -> bool:
        return self._report is not None and self._report.level.shed > 0

    def _is_report_valid(self, now_ms: float) -> bool:
        if self._report is None:
            return False
        level, at_ms = self._report
        wait_ms = min(
            MAX_REFUSAL_VALIDITY_MS, max(MIN_REFUSAL_VALIDITY_MS, level.retry_after_ms)
        )
        return now_ms - at_ms < wait_ms or self._is_probing

    def _record_failure(self, now_ms: float) -> None:
        self._n_failures += 1
        n_doublings = max(0, self._n_failures - FAILURE_THRESHOLD)
        hold_ms = min(
            MAX_FAILURE_HOLD_MS, FIRST_FAILURE_HOLD_MS * 2.0 ** min(n_doublings, 8)
        )
        self._avoided_until_ms = now_ms + hold_ms
