"""Detection of an upstream that makes no progress, and probes for its recovery."""

from enum import StrEnum

HANG_FACTOR = 8.0  # of the slowest recent answer
MIN_HANG_MS = 1_000.0
MAX_HANG_MS = 4_000.0
MIN_REQUIRED_HANGING = 2  # attempts, before the upstream counts as stuck
MAX_REQUIRED_HANGING = 3
FIRST_PROBE_DELAY_MS = 200.0
MAX_PROBE_DELAY_MS = 1_000.0
MAX_PROBES = 4
PROBE_BACKOFF_FACTOR = 1.6
NON_IDEMPOTENT_PROBE_WAIT_MS = 1_000.0
SLOWEST_DECAY_FACTOR = 0.995


class ProgressState(StrEnum):
    """Whether the upstream makes progress."""

    RUNNING = "running"
    STUCK = "stuck"


class ProgressMonitor:
    """Distinguish a stuck upstream from a slow one by its progress.

    :param now_ms: time of creation.
    """

    def __init__(self, now_ms: float = 0.0) -> None:
        self.state = ProgressState.RUNNING
        self._progress_ms = now_ms
        self._slowest_ms = 0.0
        self._n_timed_out = 0
        self._backoff_ms = FIRST_PROBE_DELAY_MS
        self._next_probe_ms = 0.0
        self._n_probes = 0

    def __repr__(self) -> str:
        return f"ProgressMonitor({self.state}, hang after {self.hang_ms:.0f} ms)"

    @property
    def hang_ms(self) -> float:
        """The age above which an attempt counts as hanging."""
        if not self._slowest_ms:
            return MAX_HANG_MS
        return min(MAX_HANG_MS, max(MIN_HANG_MS, HANG_FACTOR * self._slowest_ms))

    def answered(self, own_ms: float, now_ms: float) -> None:
        """Record an answer of the upstream, whatever its status."""
        self._progress_ms = now_ms
        self._n_timed_out = 0
        self._slowest_ms = max(self._slowest_ms * SLOWEST_DECAY_FACTOR, own_ms)

    def progressed(self, now_ms: float) -> None:
        """Record progress other than an answer, such as a nested call."""
        self._progress_ms = now_ms

    def timed_out(self) -> None:
        """Record an attempt that got no answer in time."""
        self._n_timed_out += 1

    def is_stuck(self, n_hanging: int, limit: int, now_ms: float) -> bool:
        """Return whether a running upstream has stopped making progress.

        :param n_hanging: attempts in flight that hang.
        :param limit: attempts that may be in flight.
        """
        if self.state is not ProgressState.RUNNING:
            return False
        if now_ms - self._progress_ms < self.hang_ms:
            return False
        n_required = min(MAX_REQUIRED_HANGING, max(MIN_REQUIRED_HANGING, limit))
        return n_hanging + self._n_timed_out >= n_required

    def mark_stuck(self, now_ms: float) -> None:
        """Mark the upstream as stuck and schedule the first probe."""
        self.state = ProgressState.STUCK
        self._n_probes = 0
        self._backoff_ms = FIRST_PROBE_DELAY_MS
        self._next_probe_ms = now_ms + self._backoff_ms

    def probe_due(self, idempotent: bool, now_ms: float) -> bool:
        """Return whether an attempt may be used as the next probe.

        A hanging probe does not delay the next one: the upstream may recover without
        answering it. An attempt that is not idempotent is used only if no idempotent
        one has arrived for a while.
        """
        if self.state is not ProgressState.STUCK or self._n_probes >= MAX_PROBES:
            return False
        wait_ms = 0.0 if idempotent else NON_IDEMPOTENT_PROBE_WAIT_MS
        return now_ms >= self._next_probe_ms + wait_ms

    def probe_wait_ms(self, now_ms: float) -> float:
        """Return the time until the next probe is due."""
        return max(0.0, self._next_probe_ms - now_ms)

    def probe_started(self, now_ms: float) -> None:
        """Record that a probe was sent, and increase the delay of the next one."""
        self._n_probes += 1
        self._backoff_ms = min(
            MAX_PROBE_DELAY_MS, self._backoff_ms * PROBE_BACKOFF_FACTOR
        )
        self._next_probe_ms = now_ms + self._backoff_ms

    def probe_ended(self, succeeded: bool, now_ms: float) -> None:
        """Record the end of a probe; a successful one ends the stuck state."""
        self._n_probes = max(0, self._n_probes - 1)
        if succeeded and self.state is ProgressState.STUCK:
            self.state = ProgressState.RUNNING
            self._progress_ms = now_ms
            self._n_timed_out = 0
