"""Unfinished attempts of a node, by attempt number and by request id."""

from collections.abc import Callable

from ibisspoke_policy.call_trees import UNKNOWN_CALLS

from .frames import Attempt, Outcome

OnOutcome = Callable[[Outcome], None]


class NestedCall:
    """How a call that an upstream makes ends; given up until it is set.

    :ivar has_starved: whether it failed for lack of capacity at its service or further
        downstream.
    :ivar was_retryable: whether it was sent again, or was not only for want of budget.
    """

    __slots__ = ("has_failed", "has_starved", "was_retryable")

    def __init__(self) -> None:
        self.has_failed = True
        self.has_starved = False
        self.was_retryable = False


class PendingAttempt:
    """An attempt that is queued or running.

    :ivar n_calls: calls that the upstream made for it.
    :ivar n_open_calls: the part of them that has not ended.
    :ivar n_unattributed_before: calls of unknown parent before it was sent.
    :ivar has_failed_call: whether one of them failed or was given up.
    :ivar has_starved: whether one of them failed for lack of capacity.
    :ivar has_retried_call: whether one of them failed although it could be sent again.
    """

    __slots__ = (
        "arrived_ms",
        "attempt",
        "deadline_at_ms",
        "has_failed_call",
        "has_retried_call",
        "has_starved",
        "n_calls",
        "n_open_calls",
        "n_unattributed_before",
        "on_outcome",
        "started_ms",
    )

    def __init__(
        self,
        attempt: Attempt,
        arrived_ms: float,
        deadline_at_ms: float,
        on_outcome: OnOutcome,
    ) -> None:
        self.attempt = attempt
        self.arrived_ms = arrived_ms
        self.deadline_at_ms = deadline_at_ms
        self.on_outcome = on_outcome
        self.started_ms: float | None = None
        self.n_calls = 0
        self.n_open_calls = 0
        self.n_unattributed_before = 0
        self.has_failed_call = False
        self.has_retried_call = False
        self.has_starved = False

    def known_calls(self, n_unattributed: int) -> int:
        """Return how many calls were made for it, or ``UNKNOWN_CALLS``.

        :param n_unattributed: calls of unknown parent until now. Any made while it ran
            may have been made for it.
        """
        if self.n_calls or n_unattributed == self.n_unattributed_before:
            return self.n_calls
        return UNKNOWN_CALLS


class PendingAttempts:
    """The attempts that are queued or running."""

    def __init__(self) -> None:
        self._by_number: dict[int, PendingAttempt] = {}
        self._number_by_request_id: dict[bytes, int] = {}

    def __repr__(self) -> str:
        return f"PendingAttempts(n={len(self)})"

    def __len__(self) -> int:
        return len(self._by_number)

    def add(self, number: int, pending: PendingAttempt) -> None:
        """Add an attempt under a unique number."""
        self._by_number[number] = pending
        self._number_by_request_id[pending.attempt.request_id] = number

    def get(self, number: int) -> PendingAttempt | None:
        """Return an attempt, or None if it has ended."""
        return self._by_number.get(number)

    def pop(self, number: int) -> PendingAttempt | None:
        """Remove an attempt and return it, or None if it has ended."""
        pending = self._by_number.pop(number, None)
        if pending is not None:
            request_id = pending.attempt.request_id
            if self._number_by_request_id.get(request_id) == number:
                del self._number_by_request_id[request_id]
        return pending

    def queued(self) -> list[int]:
        """Return the numbers of the attempts that were not started."""
        return [
            number
            for number, pending in self._by_number.items()
            if pending.started_ms is None
        ]

    def overdue(self, now_ms: float) -> list[int]:
        """Return the numbers of started attempts whose deadline was before a time."""
        return [
            number
            for number, pending in self._by_number.items()
            if pending.started_ms is not None and pending.deadline_at_ms < now_ms
        ]

    def find_started(self, request_id: bytes) -> PendingAttempt | None:
        """Return the attempt of a request that was sent to the upstream, or None."""
        number = self._number_by_request_id.get(request_id)
        pending = self._by_number.get(number) if number is not None else None
        return pending if pending and pending.started_ms is not None else None
