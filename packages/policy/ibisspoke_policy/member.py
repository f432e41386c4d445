"""Members of the fleet, as recorded by one node."""

from enum import StrEnum
from typing import NamedTuple

from .table import Table


class MemberState(StrEnum):
    """State of a member as recorded by another node."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEFT = "left"
    DEAD = "dead"


class Member(NamedTuple):
    """One node and the upstream on its VM.

    :param id: id of the node; a restart keeps it.
    :param incarnation: grows with each restart and each refuted suspicion.
    :param host: IP address.
    :param call_port: port for calls between nodes.
    :param control_port: port for control between nodes.
    :param entry_port: port for callers.
    :param service: service of the announced upstream; empty if there is none.
    :param n_slots: slots that the upstream announced.
    :param draining: whether it accepts no new work.
    :param catalogue_version: version in force there when the row was written.
    :param membership_port: UDP port for membership messages; 0 if there is none.
    """

    id: str
    incarnation: int
    region: str
    data_centre: str
    host: str
    call_port: int
    control_port: int
    entry_port: int
    service: str
    n_slots: int
    draining: bool
    state: MemberState
    catalogue_version: int
    membership_port: int = 0

    @property
    def is_present(self) -> bool:
        """Whether its process is assumed to be running."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    @property
    def accepts_calls(self) -> bool:
        """Whether calls may be sent to it."""
        return self.is_present and bool(self.service) and not self.draining

    def supersedes(self, other: "Member") -> bool:
        """Whether this row is newer than ``other``, a row of the same id."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return _RANK_BY_STATE[self.state] > _RANK_BY_STATE[other.state]


_RANK_BY_STATE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}

MemberTable = Table[str, Member]
