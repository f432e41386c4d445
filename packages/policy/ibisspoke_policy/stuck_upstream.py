"""Detection of an upstream that makes no progress, and its probing."""

from enum import StrEnum

HANG_FACTOR = 8.0
HANG_MIN_MS = 1_000.0
HANG_MAX_MS = 4_000.0
MIN_NEEDED = 2
MAX_NEEDED = 3
PROBE_FIRST_MS = 200.0
PROBE_MAX_MS = 1_000.0
MAX_PROBES = 4
PROBE_BACKOFF = 1.6
PROBE_ANY_AFTER_MS = 1_000.0
SLOWEST_DECAY = 0.995


class ProgressState(StrEnum):
    """Whether the upstream gets work."""

    RUNNING = "running"
    STUCK = "stuck"


class ProgressMonitor:
    """Tell a stuck upstream from a slow one by its progress.

    :param now_ms: time of creation.
    """

    def __init__(self, now_ms: float = 0.0) -> None:
        self.state = ProgressState.RUNNING
        self._progress_ms = now_ms
        self._slowest_ms = 0.0
        self._n_cut_off = 0
        self._backoff_ms = PROBE_FIRST_MS
        self._probe_ms = 0.0
        self._n_probes = 0

    def __repr__(self) -> str:
        return f"ProgressMonitor({self.state}, hang after {self.hang_ms:.0f} ms)"

    @property
    def hang_ms(self) -> float:
        """The age from which an attempt without progress counts as hanging."""
        if not self._slowest_ms:
            return HANG_MAX_MS
        return min(HANG_MAX_MS, max(HANG_MIN_MS, HANG_FACTOR * self._slowest_ms))

    def answered(self, own_ms: float, now_ms: float) -> None:
        """Note an answer of the upstream, whatever its status."""
        self._progress_ms = now_ms
        self._n_cut_off = 0
        self._slowest_ms = max(self._slowest_ms * SLOWEST_DECAY, own_ms)

    def moved(self, now_ms: float) -> None:
        """Note progress other than an answer, such as a nested call."""
        self._progress_ms = now_ms

    def cut_off(self) -> None:
        """Note an attempt that got no answer within its deadline."""
        self._n_cut_off += 1

    def is_stuck(self, n_hanging: int, limit: int, now_ms: float) -> bool:
        """Return whether a running upstream has stopped making progress.

        :param limit: attempts that it may hold at once.
        """
        if self.state is not ProgressState.RUNNING:
            return False
        if now_ms - self._progress_ms < self.hang_ms:
            return False
        n_needed = min(MAX_NEEDED, max(MIN_NEEDED, limit))
        return n_hanging + self._n_cut_off >= n_needed

    def stop(self, now_ms: float) -> None:
        """Take the upstream as stuck; the first probe is due after a short wait."""
        self.state = ProgressState.STUCK
        self._n_probes = 0
        self._backoff_ms = PROBE_FIRST_MS
        self._probe_ms = now_ms + self._backoff_ms

    def probe_due(self, idempotent: bool, now_ms: float) -> bool:
        """Return whether an attempt may be used as the next probe.

        Probes that hang do not hold up the next one, as the upstream may have
        recovered without them. An attempt that is not idempotent is used only after
        nothing else came for long.
        """
        if self.state is not ProgressState.STUCK or self._n_probes >= MAX_PROBES:
            return False
        wait_ms = 0.0 if idempotent else PROBE_ANY_AFTER_MS
        return now_ms >= self._probe_ms + wait_ms

    def probe_wait_ms(self, now_ms: float) -> float:
        """Return the time until the next probe is due."""
        return max(0.0, self._probe_ms - now_ms)

    def probe_started(self, now_ms: float) -> None:
        """Note a probe at the upstream; the next one waits longer."""
        self._n_probes += 1
        self._backoff_ms = min(PROBE_MAX_MS, self._backoff_ms * PROBE_BACKOFF)
        self._probe_ms = now_ms + self._backoff_ms

    def probe_ended(self, succeeded: bool, now_ms: float) -> None:
        """Resume work after a good probe."""
        self._n_probes = max(0, self._n_probes - 1)
        if succeeded and self.state is ProgressState.STUCK:
            self.state = ProgressState.RUNNING
            self._progress_ms = now_ms
            self._n_cut_off = 0
