"""Recording of the calls to an admission controller and of its decisions."""

from collections.abc import Callable
from enum import StrEnum
from typing import TypedDict

import msgspec

from .admission import (
    AdmissionController,
    AdmissionEvent,
    AdmissionLevel,
    Capacity,
    Ending,
    Refused,
    Started,
    Ticket,
)

TRACE_VERSION = 1

WriteLine = Callable[[bytes], object]


class Operation(StrEnum):
    """Method of the controller that was called."""

    OFFER = "offer"
    FINISH = "finish"
    NESTED = "nested"
    CANCEL = "cancel"
    ANNOUNCE = "announce"
    TICK = "tick"


class TraceHeader(TypedDict):
    """First line of a trace.

    :param limit: name of the limit that the controller used.
    :param created_ms: time at which the controller was created.
    """

    trace: str
    version: int
    limit: str
    created_ms: float


class DecisionRecord(TypedDict, total=False):
    """One event that the controller returned."""

    event: str
    attempt_id: int
    kind: str
    ran: str
    retry_after_ms: int | None


class Step(TypedDict, total=False):
    """One call to the controller, with its decisions."""

    op: str
    at_ms: float
    ticket: Ticket
    attempt_id: int
    ending: Ending
    n_change: int
    capacity: Capacity
    decisions: list[DecisionRecord]


class TracedController:
    """Forward calls to a controller and record them as JSON lines.

    :param inner: the controller that decides.
    :param header: describes ``inner``, so that a replay can create an equal one.
    :param write: called with each line.
    """

    def __init__(
        self, inner: AdmissionController, header: TraceHeader, write: WriteLine
    ) -> None:
        self._inner = inner
        self._write = write
        write(msgspec.json.encode(header))

    def __repr__(self) -> str:
        return f"TracedController({self._inner!r})"

    @property
    def level(self) -> AdmissionLevel:
        """The current admission level."""
        return self._inner.level

    def offer(self, ticket: Ticket, now_ms: float) -> list[AdmissionEvent]:
        """Offer an attempt for admission."""
        events = self._inner.offer(ticket, now_ms)
        return self._record(Step(op=Operation.OFFER, ticket=ticket), now_ms, events)

    def finish(
        self, attempt_id: int, ending: Ending, now_ms: float
    ) -> list[AdmissionEvent]:
        """Record the end of a started attempt."""
        events = self._inner.finish(attempt_id, ending, now_ms)
        step = Step(op=Operation.FINISH, attempt_id=attempt_id, ending=ending)
        return self._record(step, now_ms, events)

    def nested(self, attempt_id: int, n_change: int, now_ms: float) -> None:
        """Record that a started attempt began or ended a nested call."""
        self._inner.nested(attempt_id, n_change, now_ms)
        step = Step(op=Operation.NESTED, attempt_id=attempt_id, n_change=n_change)
        self._record(step, now_ms, [])

    def cancel(self, attempt_id: int, now_ms: float) -> list[AdmissionEvent]:
        """Cancel an attempt whose caller no longer waits."""
        events = self._inner.cancel(attempt_id, now_ms)
        step = Step(op=Operation.CANCEL, attempt_id=attempt_id)
        return self._record(step, now_ms, events)

    def announce(self, capacity: Capacity, now_ms: float) -> list[AdmissionEvent]:
        """Apply the capacity that the upstream announced."""
        events = self._inner.announce(capacity, now_ms)
        step = Step(op=Operation.ANNOUNCE, capacity=capacity)
        return self._record(step, now_ms, events)

    def tick(self, now_ms: float) -> list[AdmissionEvent]:
        """Expire queued attempts and adapt the limit."""
        events = self._inner.tick(now_ms)
        return self._record(Step(op=Operation.TICK), now_ms, events)

    def _record(
        self, step: Step, now_ms: float, events: list[AdmissionEvent]
    ) -> list[AdmissionEvent]:
        step["at_ms"] = now_ms
        if events:
            step["decisions"] = [describe(event) for event in events]
        self._write(msgspec.json.encode(step))
        return events


def make_header(limit: str, created_ms: float) -> TraceHeader:
    """Return the first line of a trace."""
    return TraceHeader(
        trace="admission", version=TRACE_VERSION, limit=limit, created_ms=created_ms
    )


def describe(event: AdmissionEvent) -> DecisionRecord:
    """Return the record of an event in a trace."""
    record = DecisionRecord(
        event=type(event).__name__.lower(), attempt_id=event.attempt_id
    )
    if isinstance(event, Refused):
        record["kind"] = event.refusal.kind
        record["ran"] = event.refusal.ran
        record["retry_after_ms"] = event.refusal.retry_after_ms
    return record


def is_start(record: DecisionRecord) -> bool:
    """Return whether a decision starts an attempt at the upstream."""
    return record["event"] == Started.__name__.lower()
