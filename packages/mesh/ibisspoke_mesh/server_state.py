"""State of a listener for callers."""

from collections.abc import Callable
from typing import Protocol

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.route_table import CallerLimits

from .caller_budget import CallerBudget
from .caller_messages import Handler
from .parse_queue import ParseQueue


class ServedConnection(Protocol):
    """An open connection of the listener."""

    def check_timeouts(self, now_ms: float, limits: CallerLimits) -> None:
        """Close the connection if it is idle or its headers arrive too slowly."""


class ServerState:
    """State shared by all connections of one listener.

    :param limits: returns the caller limits in force.
    :param budget: shared by all listeners of a node.
    :param parsing: shared by them, too.
    """

    def __init__(
        self,
        handler: Handler,
        clock: Clock,
        limits: Callable[[], CallerLimits],
        budget: CallerBudget | None = None,
        parsing: ParseQueue | None = None,
    ) -> None:
        self.handler = handler
        self.clock = clock
        self.limits = limits
        self.budget = CallerBudget(clock) if budget is None else budget
        self.parsing = ParseQueue(clock) if parsing is None else parsing
        self.is_stopping = False
        self.connections: set[ServedConnection] = set()
        self.n_active = 0

    def __repr__(self) -> str:
        return f"ServerState(n_active={self.n_active})"

    @property
    def n_held_bytes(self) -> int:
        """Size of the bodies of all requests that are read or handled."""
        return self.budget.n_body_bytes

    def tick(self) -> None:
        """Close connections that have exceeded a timeout."""
        now_ms = self.clock.now_ms()
        limits = self.limits()
        for connection in list(self.connections):
            connection.check_timeouts(now_ms, limits)
