"""Admission control with a fixed limit and no queue, a baseline for comparison."""

from .admission import (
    AdmissionEvent,
    AdmissionLevel,
    Capacity,
    Ending,
    Refused,
    Started,
    Ticket,
)
from .refusal import overloaded

RETRY_AFTER_MS = 1_000


class FixedLimit:
    """Start attempts up to the number of announced slots and refuse the rest."""

    def __init__(self) -> None:
        self._limit = 0
        self._in_flight: set[int] = set()

    def __repr__(self) -> str:
        return f"FixedLimit({len(self._in_flight)} of {self._limit})"

    @property
    def level(self) -> AdmissionLevel:
        """The current admission level."""
        load = len(self._in_flight) / self._limit if self._limit else 1.0
        return AdmissionLevel(load, 0, self._limit, RETRY_AFTER_MS)

    def offer(self, ticket: Ticket, now_ms: float) -> list[AdmissionEvent]:
        """Start the attempt if a slot is free."""
        if len(self._in_flight) >= self._limit:
            refusal = overloaded("all slots of the upstream are taken", RETRY_AFTER_MS)
            return [Refused(ticket.attempt_id, refusal)]
        self._in_flight.add(ticket.attempt_id)
        return [Started(ticket.attempt_id)]

    def finish(
        self, attempt_id: int, ending: Ending, now_ms: float
    ) -> list[AdmissionEvent]:
        """Free the slot of the attempt."""
        self._in_flight.discard(attempt_id)
        return []

    def cancel(self, attempt_id: int, now_ms: float) -> list[AdmissionEvent]:
        """Free the slot of the attempt."""
        self._in_flight.discard(attempt_id)
        return []

    def announce(self, capacity: Capacity, now_ms: float) -> list[AdmissionEvent]:
        """Use the announced slots as the limit."""
        self._limit = min(capacity.n_slots, capacity.n_connections)
        return []

    def nested(self, attempt_id: int, n_change: int, now_ms: float) -> None:
        """Do nothing; nested calls do not change the limit."""

    def tick(self, now_ms: float) -> list[AdmissionEvent]:
        """Do nothing; the limit does not change with time."""
        return []
