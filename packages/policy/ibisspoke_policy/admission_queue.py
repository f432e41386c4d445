"""A short queue of attempts: by importance, then by fair share of organisations."""

from .admission import Ticket
from .catalogue import Importance
from .fair_share import FairShare


class AdmissionQueue:
    """Hold waiting attempts; the most important of the least served goes first.

    :param shares: recent use of the upstream by organisation.
    """

    def __init__(self, shares: FairShare) -> None:
        self._shares = shares
        self._ticket_by_id: dict[int, Ticket] = {}
        self._ids_by_class: dict[Importance, dict[str, dict[int, None]]] = {
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
        by_organisation = self._ids_by_class[ticket.importance]
        by_organisation.setdefault(ticket.organisation, {})[ticket.attempt_id] = None

    def remove(self, attempt_id: int) -> Ticket | None:
        """Take out the attempt, or return None if it does not wait."""
        ticket = self._ticket_by_id.pop(attempt_id, None)
        if ticket is None:
            return None
        by_organisation = self._ids_by_class[ticket.importance]
        ids = by_organisation[ticket.organisation]
        del ids[attempt_id]
        if not ids:
            del by_organisation[ticket.organisation]
        return ticket

    def pop(self, newest_first: bool) -> Ticket | None:
        """Take out the attempt that goes next.

        :param newest_first: whether the newest of an organisation goes first.
        """
        for by_organisation in self._ids_by_class.values():
            if by_organisation:
                organisation = min(by_organisation, key=self._shares.use)
                ids = by_organisation[organisation]
                return self.remove(_last(ids) if newest_first else _first(ids))
        return None

    def evict(self) -> Ticket | None:
        """Take out the attempt that is worth least.

        :returns: the oldest of the organisation that waits with the most, among
            those of the lowest importance.
        """
        for importance in sorted(Importance):
            by_organisation = self._ids_by_class[importance]
            if by_organisation:
                organisation = self._heaviest(by_organisation)
                return self.remove(_first(by_organisation[organisation]))
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

    def _heaviest(self, by_organisation: dict[str, dict[int, None]]) -> str:
        return max(
            by_organisation,
            key=lambda name: (len(by_organisation[name]), self._shares.use(name)),
        )


def _first(ids: dict[int, None]) -> int:
    return next(iter(ids))


def _last(ids: dict[int, None]) -> int:
    return next(reversed(ids))
