"""What an upstream tells of its load in its answers."""

from typing import NamedTuple

MAX_COUNT = 1_000_000  # of requests or slots; more cannot be true
MIN_PACE = 0.05
MAX_PACE = 20.0  # users state slowdowns of up to 2.5


class UpstreamReport(NamedTuple):
    """Load of an upstream by its own account.

    :param pace: how long work takes on its VM at this moment, as a multiple of the
        usual time; 0.0 if it does not tell.
    """

    n_running: int
    n_queued: int
    n_slots: int
    pace: float = 0.0

    @property
    def is_plausible(self) -> bool:
        """Whether all figures are in the ranges that they can have."""
        n_running, n_queued, n_slots, pace = self  # on the call path: no generator
        return (
            0 <= n_running <= MAX_COUNT
            and 0 <= n_queued <= MAX_COUNT
            and 0 <= n_slots <= MAX_COUNT
            and (pace == 0.0 or MIN_PACE <= pace <= MAX_PACE)
        )
