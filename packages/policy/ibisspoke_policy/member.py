"""Nodes of the fleet as one node sees them."""

from enum import StrEnum
from typing import NamedTuple

from .table import Table


class MemberState(StrEnum):
    """What a node believes of another."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEFT = "left"
    DEAD = "dead"


class Member(NamedTuple):
    """One node and the upstream on its VM.

    :param id: identity of the process; a restarted node has the same id.
    :param incarnation: grows with each restart and each refuted suspicion.
    :param host: IP number.
    :param call_port: port for calls between nodes.
    :param control_port: port for control between nodes.
    :param entry_port: port for callers.
    :param service: service of the announced upstream; empty when none.
    :param n_slots: slots that the upstream announced.
    :param draining: whether it takes no new work.
    :param catalogue_version: the version in force there.
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

    @property
    def takes_calls(self) -> bool:
        """Whether calls may be sent there."""
        usable = self.state in (MemberState.ALIVE, MemberState.SUSPECT)
        return usable and bool(self.service) and not self.draining


MemberTable = Table[str, Member]
