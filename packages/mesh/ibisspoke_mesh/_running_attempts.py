"""The attempts that a gate has, by its number and by the request."""

from collections.abc import Callable

from .frames import Attempt, Outcome

OnOutcome = Callable[[Outcome], None]


class Running:
    """One attempt from its offer to its outcome."""

    __slots__ = (
        "attempt",
        "deadline_at_ms",
        "has_starved",
        "on_outcome",
        "started_ms",
    )

    def __init__(
        self, attempt: Attempt, deadline_at_ms: float, on_outcome: OnOutcome
    ) -> None:
        self.attempt = attempt
        self.deadline_at_ms = deadline_at_ms
        self.on_outcome = on_outcome
        self.started_ms: float | None = None
        self.has_starved = False


class RunningAttempts:
    """Attempts from their offer to their outcome."""

    def __init__(self) -> None:
        self._by_number: dict[int, Running] = {}
        self._number_by_request_id: dict[bytes, int] = {}

    def __repr__(self) -> str:
        return f"RunningAttempts(n={len(self)})"

    def __len__(self) -> int:
        return len(self._by_number)

    def add(self, number: int, running: Running) -> None:
        """Take in an attempt under a number of its own."""
        self._by_number[number] = running
        self._number_by_request_id[running.attempt.request_id] = number

    def get(self, number: int) -> Running | None:
        """Return an attempt, or None if it has ended."""
        return self._by_number.get(number)

    def pop(self, number: int) -> Running | None:
        """Forget an attempt and return it."""
        running = self._by_number.pop(number, None)
        if running is not None:
            request_id = running.attempt.request_id
            if self._number_by_request_id.get(request_id) == number:
                del self._number_by_request_id[request_id]
        return running

    def at_upstream(self, request_id: bytes) -> Running | None:
        """Return the attempt of a request that the upstream has started."""
        number = self._number_by_request_id.get(request_id)
        running = self._by_number.get(number) if number is not None else None
        return running if running and running.started_ms is not None else None
