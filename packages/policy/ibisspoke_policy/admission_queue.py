"""A short queue of attempts: by importance, then by fair share of organisations."""

from .admission import Ticket
from .catalogue import Importance
from .fair_share import FairShare


class _Line:
    """What one organisation has waiting at one importance."""

    def __init__(self) -> None:
        self._fresh: dict[int, None] = {}
        self._nested: dict[int, None] = {}

    def __len__(self) -> int:
        return len(self._fresh) + len(self._nested)

    def add(self, ticket: Ticket) -> None:
        ids = self._nested if ticket.n_hops else self._fresh
        ids[ticket.attempt_id] = None

    def discard(self, attempt_id: int) -> None:
        self._fresh.pop(attempt_id, None)
        self._nested.pop(attempt_id, None)

    def best(self, newest_first: bool) -> int:
        """Return the attempt to start, one with work done for it if there is.

        Those keep their order, as the work for a starved one would be lost.
        """
        if self._nested:
            return next(iter(self._nested))
        return next(reversed(self._fresh)) if newest_first else next(iter(self._fresh))

    def least(self) -> int:
        """Return the oldest attempt, one without work done for it if there is."""
        return next(iter(self._fresh or self._nested))


class AdmissionQueue:
    """Hold waiting attempts; the most important of the least served goes first.

    Of one organisation, attempts that earlier hops have worked for go first.

    :param shares: recent use of the upstream by organisation.
    """

    def __init__(self, shares: FairShare) -> None:
        self._shares = shares
        self._ticket_by_id: dict[int, Ticket] = {}
        self._lines_by_class: dict[Importance, dict[str, _Line]] = {
            importance: {} for importance in sorted(Importance, reverse=True)
        }

    def __repr__(self) -> str:
        return f"AdmissionQueue({len(self._ticket_by_id)} waiting)"

    def __len__(self) -> int:
        return len(self._ticket_by_id)

    def __contains__(self, attempt_id: object) -> bool:
        return attempt_id in self._ticket_by_id

    def push(self, ticket: Ticket) -> None:
        """Add ``ticket`` as the newest of its organisation and importance."""
        self._ticket_by_id[ticket.attempt_id] = ticket
        lines = self._lines_by_class[ticket.importance]
        lines.setdefault(ticket.organisation, _Line()).add(ticket)

    def remove(self, attempt_id: int) -> Ticket | None:
        """Take out the attempt, or return None if it does not wait."""
        ticket = self._ticket_by_id.pop(attempt_id, None)
        if ticket is None:
            return None
        lines = self._lines_by_class[ticket.importance]
        line = lines[ticket.organisation]
        line.discard(attempt_id)
        if not len(line):
            del lines[ticket.organisation]
        return ticket

    def pop(self, newest_first: bool) -> Ticket | None:
        """Take out the attempt that goes next.

        :param newest_first: whether the newest of an organisation goes first.
        """
        for lines in self._lines_by_class.values():
            if lines:
                organisation = min(lines, key=self._shares.use)
                return self.remove(lines[organisation].best(newest_first))
        return None

    def evict(self) -> Ticket | None:
        """Take out the attempt that is worth least.

        :returns: of the lowest importance, and there of the organisation that waits
            with the most.
        """
        for lines in reversed(self._lines_by_class.values()):
            if lines:
                return self.remove(lines[self._heaviest(lines)].least())
        return None

    def expire(self, finish_by_ms: float) -> list[Ticket]:
        """Take out every attempt whose deadline is before ``finish_by_ms``."""
        late = [
            ticket.attempt_id
            for ticket in self._ticket_by_id.values()
            if ticket.deadline_ms < finish_by_ms
        ]
        return [ticket for i in late if (ticket := self.remove(i)) is not None]

    def clear(self) -> list[Ticket]:
        """Take out everything."""
        tickets = list(self._ticket_by_id.values())
        for ticket in tickets:
            self.remove(ticket.attempt_id)
        return tickets

    def _heaviest(self, lines: dict[str, _Line]) -> str:
        return max(lines, key=lambda name: (len(lines[name]), self._shares.use(name)))
