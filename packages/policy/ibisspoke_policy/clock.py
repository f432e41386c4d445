"""Clocks that return milliseconds."""

import time


class Clock:
    """Read the time of this machine in milliseconds."""

    def __init__(self) -> None:
        self._boot_origin_ms = _boot_ms()
        self._wall_origin_ms = self.wall_ms()
        self._elapsed_ms = 0.0

    def now_ms(self) -> float:
        """Return monotonic time, for deadlines and latencies in this process."""
        return time.monotonic() * 1000.0

    def wall_ms(self) -> float:
        """Return milliseconds since the Unix epoch."""
        return time.time() * 1000.0

    def elapsed_ms(self) -> float:
        """Return the time since creation, including suspension, for leases.

        :returns: the advance of boot time or of wall time, whichever is larger; it
            never decreases.
        """
        boot_advance_ms = _boot_ms() - self._boot_origin_ms
        wall_advance_ms = self.wall_ms() - self._wall_origin_ms
        self._elapsed_ms = max(self._elapsed_ms, boot_advance_ms, wall_advance_ms)
        return self._elapsed_ms

    def boot_ms(self) -> float:
        """Return monotonic time that includes suspension and ignores clock steps."""
        return _boot_ms()


class ManualClock(Clock):
    """A clock that advances only when told to, for tests and replay.

    :param start_ms: the first reading of :meth:`now_ms`.
    """

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms
        self._wall_offset_ms = 0.0
        self._suspended_ms = 0.0

    def __repr__(self) -> str:
        return f"ManualClock({self._now_ms})"

    def now_ms(self) -> float:
        """Return the time set so far."""
        return self._now_ms

    def wall_ms(self) -> float:
        """Return the time set so far plus every wall clock jump."""
        return self._now_ms + self._suspended_ms + self._wall_offset_ms

    def elapsed_ms(self) -> float:
        """Return the time set so far plus every suspension."""
        return self._now_ms + self._suspended_ms + max(0.0, self._wall_offset_ms)

    def boot_ms(self) -> float:
        """Return the time set so far plus every suspension."""
        return self._now_ms + self._suspended_ms

    def advance(self, by_ms: float) -> None:
        """Move all readings forward by ``by_ms``."""
        self._now_ms += by_ms

    def suspend(self, by_ms: float) -> None:
        """Advance boot time and wall time, but not monotonic time."""
        self._suspended_ms += by_ms

    def jump_wall(self, by_ms: float) -> None:
        """Set the wall clock forward or back by ``by_ms``."""
        self._wall_offset_ms += by_ms


def _boot_ms() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
