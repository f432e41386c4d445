"""Attempts that an upstream holds."""

from typing import NamedTuple

from .admission import Ticket


class Attempt(NamedTuple):
    """An attempt that the upstream holds.

    :param nested_ms: time that it has spent in ended nested calls.
    :param nested_since_ms: since when nested calls are open without a gap.
    """

    ticket: Ticket
    started_ms: float
    n_nested: int = 0
    nested_ms: float = 0.0
    nested_since_ms: float = 0.0
    is_probe: bool = False
    is_aborted: bool = False

    def own_ms(self, now_ms: float) -> float:
        """Return the time in the upstream without nested calls."""
        own_ms = now_ms - self.started_ms - self.nested_ms
        if self.n_nested:
            own_ms -= now_ms - self.nested_since_ms
        return max(0.0, own_ms)
