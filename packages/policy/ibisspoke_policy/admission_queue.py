"""Queue of attempts, ordered by importance, then by fair share of organisations."""

from .admission import Ticket
from .catalogue import Importance
from .fair_share import FairShare


class _OrganisationQueue:
    """Waiting attempts of one organisation at one importance."""

    def __init__(self) -> None:
        self._first_hop_ids: dict[int, None] = {}
        self._later_hop_ids: dict[int, None] = {}

    def __len__(self) -> int:
        return len(self._first_hop_ids) + len(self._later_hop_ids)

    def add(self, ticket: Ticket) -> None:
        ids = self._later_hop_ids if ticket.n_hops else self._first_hop_ids
        ids[ticket.attempt_id] = None

    def discard(self, attempt_id: int) -> None:
        self._first_hop_ids.pop(attempt_id, None)
        self._later_hop_ids.pop(attempt_id, None)

    def next_to_start(self, newest_first: bool) -> int:
        """Return the attempt to start, preferring those from later hops.

        These start in order of arrival: work that earlier hops have done would be
        lost if one of them waited until its deadline.
        """
        if self._later_hop_ids:
            return next(iter(self._later_hop_ids))
        return (
            next(reversed(self._first_hop_ids))
            if newest_first
            else next(iter(self._first_hop_ids))
        )

    def next_to_evict(self) -> int:
        """Return the oldest attempt, preferring those at their first hop."""
        return next(iter(self._first_hop_ids or self._later_hop_ids))


class AdmissionQueue:
    """Order attempts by importance, then by the recent use of their organisation.

    The organisation with the lowest use goes first. Within one organisation, attempts
    that have passed earlier hops go first.

    :param shares: recent use of the upstream by organisation.
    """

    def __init__(self, shares: FairShare) -> None:
        self._shares = shares
        self._ticket_by_id: dict[int, Ticket] = {}
        self._queues_by_class: dict[Importance, dict[str, _OrganisationQueue]] = {
            importance: {} for importance in sorted(Importance, reverse=True)
        }

    def __repr__(self) -> str:
        return f"AdmissionQueue({len(self._ticket_by_id)} waiting)"

    def __len__(self) -> int:
        return len(self._ticket_by_id)

    def __contains__(self, attempt_id: object) -> bool:
        return attempt_id in self._ticket_by_id

    def push(self, ticket: Ticket) -> None:
        """Add ``ticket`` as the newest one of its organisation and importance."""
        self._ticket_by_id[ticket.attempt_id] = ticket
        queues = self._queues_by_class[ticket.importance]
        queues.setdefault(ticket.organisation, _OrganisationQueue()).add(ticket)

    def remove(self, attempt_id: int) -> Ticket | None:
        """Remove and return the attempt, or return None if it is not queued."""
        ticket = self._ticket_by_id.pop(attempt_id, None)
        if ticket is None:
            return None
        queues = self._queues_by_class[ticket.importance]
        queue = queues[ticket.organisation]
        queue.discard(attempt_id)
        if not len(queue):
            del queues[ticket.organisation]
        return ticket

    def pop(self, newest_first: bool) -> Ticket | None:
        """Remove and return the next attempt to start.

        :param newest_first: whether the newest attempt of an organisation goes first.
        """
        for queues in self._queues_by_class.values():
            if queues:
                organisation = min(queues, key=self._shares.use)
                return self.remove(queues[organisation].next_to_start(newest_first))
        return None

    def evict(self) -> Ticket | None:
        """Remove and return the attempt of the lowest priority.

        :returns: an attempt of the lowest importance, from the organisation with the
            most attempts waiting at it.
        """
        for queues in reversed(self._queues_by_class.values()):
            if queues:
                return self.remove(
                    queues[self._organisation_to_evict(queues)].next_to_evict()
                )
        return None

    def expire(self, finish_by_ms: float) -> list[Ticket]:
        """Remove and return the attempts whose deadline is before ``finish_by_ms``."""
        expired = [
            ticket.attempt_id
            for ticket in self._ticket_by_id.values()
            if ticket.deadline_ms < finish_by_ms
        ]
        return [ticket for i in expired if (ticket := self.remove(i)) is not None]

    def clear(self) -> list[Ticket]:
        """Remove and return all attempts."""
        tickets = list(self._ticket_by_id.values())
        for ticket in tickets:
            self.remove(ticket.attempt_id)
        return tickets

    def _organisation_to_evict(self, queues: dict[str, _OrganisationQueue]) -> str:
        return max(queues, key=lambda name: (len(queues[name]), self._shares.use(name)))
