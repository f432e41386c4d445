"""Attempts in flight at an upstream."""

from typing import NamedTuple

from .admission import Ticket


class Attempt(NamedTuple):
    """An attempt in flight at the upstream.

    :param n_nested: nested calls that are in progress.
    :param nested_ms: time spent in nested calls that have ended.
    :param nested_since_ms: start of the current period with nested calls in progress.
    :param is_probe: whether it probes a stuck upstream.
    """

    ticket: Ticket
    started_ms: float
    n_nested: int = 0
    nested_ms: float = 0.0
    nested_since_ms: float = 0.0
    is_probe: bool = False
    is_aborted: bool = False

    def own_ms(self, now_ms: float) -> float:
        """Return the time at the upstream without nested calls."""
        own_ms = now_ms - self.started_ms - self.nested_ms
        if self.n_nested:
            own_ms -= now_ms - self.nested_since_ms
        return max(0.0, own_ms)
