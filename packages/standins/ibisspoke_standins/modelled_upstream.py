"""Simulated upstream on a manual clock, behind one admission controller."""

import heapq
import random
from collections import Counter
from collections.abc import Callable

from ibisspoke_policy.admission import (
    Abort,
    AdmissionController,
    AdmissionEvent,
    Ending,
    Refused,
    Started,
    Ticket,
)
from ibisspoke_policy.catalogue import Importance
from ibisspoke_policy.clock import ManualClock

TICK_MS = 10.0


class ModelledUpstream:
    """Simulate started attempts and report their endings to the controller.

    :param service_ms: returns the execution time of an attempt, given the number of
        running attempts including itself.
    """

    def __init__(
        self, controller: AdmissionController, service_ms: Callable[[int], float]
    ) -> None:
        self.controller = controller
        self.service_ms = service_ms
        self.clock = ManualClock()
        self.is_hung = False
        self.n_by_outcome: Counter[str] = Counter()
        self.n_started_by_importance: Counter[Importance] = Counter()
        self.n_started_by_organisation: Counter[str] = Counter()
        self.ticket_by_id: dict[int, Ticket] = {}
        self.running: set[int] = set()
        self.max_running = 0
        self.refusals: list[Refused] = []
        self._completions: list[tuple[float, int]] = []
        self._next_id = 0
        self._next_tick_ms = TICK_MS

    def offer(
        self,
        organisation: str = "svea",
        importance: Importance = Importance.NORMAL,
        timeout_ms: float = 1_000.0,
        idempotent: bool = True,
    ) -> int:
        """Offer one attempt and return its id."""
        self._next_id += 1
        deadline_ms = self.clock.now_ms() + timeout_ms
        ticket = Ticket(
            self._next_id, organisation, importance, deadline_ms, idempotent
        )
        self.ticket_by_id[ticket.attempt_id] = ticket
        self._apply(self.controller.offer(ticket, self.clock.now_ms()))
        return ticket.attempt_id

    def cancel(self, attempt_id: int) -> None:
        """Cancel an attempt, as when its caller disconnects."""
        self._apply(self.controller.cancel(attempt_id, self.clock.now_ms()))

    def advance(self, by_ms: float) -> None:
        """Advance the clock, processing ticks and completions in time order."""
        end_ms = self.clock.now_ms() + by_ms
        while True:
            tick_ms = self._next_tick_ms
            completion_ms = (
                self._completions[0][0] if self._completions else float("inf")
            )
            at_ms = min(tick_ms, completion_ms, end_ms)
            self.clock.advance(at_ms - self.clock.now_ms())
            if completion_ms <= at_ms:
                self._complete(heapq.heappop(self._completions)[1])
            elif tick_ms <= at_ms:
                self._next_tick_ms += TICK_MS
                self._apply(self.controller.tick(at_ms))
                self._expire_overdue(at_ms)
            else:
                return

    def offer_load(
        self,
        rate_per_s: float,
        for_ms: float,
        seed: int = 7,
        choose_source: Callable[[random.Random], tuple[str, Importance]] | None = None,
        timeout_ms: float = 1_000.0,
    ) -> None:
        """Offer attempts with exponential gaps at a mean rate of ``rate_per_s``.

        :param choose_source: draws the organisation and importance of each attempt.
        """
        rng = random.Random(seed)
        end_ms = self.clock.now_ms() + for_ms
        while True:
            gap_ms = rng.expovariate(rate_per_s / 1000.0)
            if self.clock.now_ms() + gap_ms >= end_ms:
                self.advance(end_ms - self.clock.now_ms())
                return
            self.advance(gap_ms)
            source = (
                choose_source(rng) if choose_source else ("svea", Importance.NORMAL)
            )
            self.offer(*source, timeout_ms=timeout_ms)

    def finish(self, attempt_id: int, ending: Ending) -> None:
        """End a running attempt."""
        self.running.discard(attempt_id)
        now_ms = self.clock.now_ms()
        self._apply(self.controller.finish(attempt_id, ending, now_ms))

    def _complete(self, attempt_id: int) -> None:
        if attempt_id not in self.running:
            return
        if self.is_hung:
            return
        self.n_by_outcome["succeeded"] += 1
        self.finish(attempt_id, Ending(succeeded=True))

    def _expire_overdue(self, now_ms: float) -> None:
        for attempt_id in list(self.running):
            if self.ticket_by_id[attempt_id].deadline_ms <= now_ms:
                self.n_by_outcome["timed_out"] += 1
                self.finish(attempt_id, Ending(succeeded=False, timed_out=True))

    def _apply(self, events: list[AdmissionEvent]) -> None:
        for event in events:
            if isinstance(event, Started):
                self._start(event.attempt_id)
            elif isinstance(event, Refused):
                self.n_by_outcome["refused"] += 1
                self.refusals.append(event)
            elif isinstance(event, Abort) and event.attempt_id in self.running:
                self.n_by_outcome["aborted"] += 1
                self.finish(event.attempt_id, Ending(succeeded=False, timed_out=True))

    def _start(self, attempt_id: int) -> None:
        ticket = self.ticket_by_id[attempt_id]
        self.n_started_by_importance[ticket.importance] += 1
        self.n_started_by_organisation[ticket.organisation] += 1
        self.running.add(attempt_id)
        self.max_running = max(self.max_running, len(self.running))
        if not self.is_hung:
            end_ms = self.clock.now_ms() + self.service_ms(len(self.running))
            heapq.heappush(self._completions, (end_ms, attempt_id))
