"""Admission of attempts at the node of an upstream.

Every method of a controller returns events; the caller applies them in order.
"""

from typing import NamedTuple, Protocol

from .catalogue import Importance
from .refusal import Refusal


class Ticket(NamedTuple):
    """An attempt that asks to be handed to the upstream.

    :param deadline_ms: in the monotonic time of this process.
    :param idempotent: whether it may serve as a probe of a stuck upstream.
    :param admitted_level: the highest shed level that it passed on its way.
    :param n_hops: hops before this one, whose work is lost if it is refused.
    """

    attempt_id: int
    organisation: str
    importance: Importance
    deadline_ms: float
    idempotent: bool = True
    admitted_level: float = 0.0
    n_hops: int = 0


class Started(NamedTuple):
    """Hand the attempt to the upstream now."""

    attempt_id: int


class Refused(NamedTuple):
    """Refuse the attempt; it was never handed to the upstream."""

    attempt_id: int
    refusal: Refusal


class Abort(NamedTuple):
    """Cancel an attempt that the upstream holds without progress."""

    attempt_id: int


AdmissionEvent = Started | Refused | Abort


class Ending(NamedTuple):
    """How a started attempt ended.

    :param succeeded: whether the upstream answered below status 500.
    :param shed: whether the upstream refused it as overload without running it.
    :param timed_out: whether it was cut off with no answer.
    :param blameless: whether it failed after a nested call had failed, which says
        nothing of the upstream itself.
    """

    succeeded: bool
    shed: bool = False
    timed_out: bool = False
    blameless: bool = False


class Capacity(NamedTuple):
    """What the upstream announced of itself.

    :param n_slots: requests it executes at once.
    :param n_connections: connections it accepts.
    :param draining: whether it takes no new work.
    :param cold: whether it has just started.
    """

    n_slots: int
    n_connections: int
    draining: bool = False
    cold: bool = False


class AdmissionLevel(NamedTuple):
    """Present state of a controller, carried on every answer.

    :param load: attempts in flight and queued, as a share of the limit.
    :param shed_below: attempts below this importance are refused now.
    :param limit: attempts handed to the upstream at once.
    :param retry_after_ms: when a refused attempt may succeed.
    :param shed_share: share of the attempts of importance ``shed_below`` that
        callers should refuse before sending.
    :param chain_shed: shed level of the services that the answered call leads to,
        as importance plus share.
    """

    load: float
    shed_below: int
    limit: int
    retry_after_ms: int
    shed_share: float = 0.0
    chain_shed: float = 0.0

    @property
    def shed(self) -> float:
        """The shed level as one number: importance plus share."""
        return self.shed_below + self.shed_share


class AdmissionController(Protocol):
    """Decide which attempts the upstream gets, and when."""

    @property
    def level(self) -> AdmissionLevel:
        """The present admission level."""

    def offer(self, ticket: Ticket, now_ms: float) -> list[AdmissionEvent]:
        """Take in one attempt."""

    def finish(
        self, attempt_id: int, ending: Ending, now_ms: float
    ) -> list[AdmissionEvent]:
        """Note the end of a started attempt."""

    def nested(self, attempt_id: int, n_change: int, now_ms: float) -> None:
        """Note that a started attempt began (1) or ended (-1) a nested call."""

    def cancel(self, attempt_id: int, now_ms: float) -> list[AdmissionEvent]:
        """Forget an attempt that the caller no longer waits for."""

    def announce(self, capacity: Capacity, now_ms: float) -> list[AdmissionEvent]:
        """Take in what the upstream says of itself."""

    def tick(self, now_ms: float) -> list[AdmissionEvent]:
        """Expire queued attempts and adapt the limit."""
