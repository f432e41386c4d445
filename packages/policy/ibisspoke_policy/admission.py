"""Admission control for attempts at the node in front of an upstream.

A controller returns events, which the caller applies in order.
"""

from typing import NamedTuple, Protocol

from .catalogue import Importance
from .refusal import Refusal


class Ticket(NamedTuple):
    """An attempt that waits for admission to the upstream.

    :param deadline_ms: in the monotonic time of this process.
    :param idempotent: whether it may be used at once to probe a stuck upstream.
    :param admitted_level: the highest shed level under which callers admitted it.
    :param n_hops: number of earlier hops, whose work is wasted if it is refused.
    """

    attempt_id: int
    organisation: str
    importance: Importance
    deadline_ms: float
    idempotent: bool = True
    admitted_level: float = 0.0
    n_hops: int = 0


class Started(NamedTuple):
    """Send the attempt to the upstream now."""

    attempt_id: int


class Refused(NamedTuple):
    """Refuse the attempt; it was never sent to the upstream."""

    attempt_id: int
    refusal: Refusal


class Abort(NamedTuple):
    """Cancel an attempt that is in flight at the upstream."""

    attempt_id: int


AdmissionEvent = Started | Refused | Abort


class Ending(NamedTuple):
    """How a started attempt ended.

    :param succeeded: whether the upstream answered with a status below 500.
    :param shed: whether the upstream refused it because of overload, without running
        it.
    :param timed_out: whether it ended without an answer in time.
    :param is_nested_failure: whether it failed after one of its nested calls had
        failed, so that it does not count as a failure of the upstream itself.
    """

    succeeded: bool
    shed: bool = False
    timed_out: bool = False
    is_nested_failure: bool = False


class Capacity(NamedTuple):
    """Capacity and state that the upstream announced.

    :param n_slots: requests that it executes concurrently.
    :param n_connections: connections that it accepts.
    :param draining: whether it accepts no new work.
    :param cold: whether it has just started.
    """

    n_slots: int
    n_connections: int
    draining: bool = False
    cold: bool = False


class AdmissionLevel(NamedTuple):
    """Current state of a controller, sent with every answer.

    :param load: attempts in flight and queued, as a share of the limit.
    :param shed_below: attempts below this importance are refused.
    :param limit: number of attempts that may be in flight at the upstream.
    :param retry_after_ms: delay after which a refused attempt may succeed.
    :param shed_share: share of the attempts of importance ``shed_below`` that
        callers should refuse before sending them.
    :param call_chain_shed: shed level of the services further down the call chain of
        the answered call, as importance plus share.
    """

    load: float
    shed_below: int
    limit: int
    retry_after_ms: int
    shed_share: float = 0.0
    call_chain_shed: float = 0.0

    @property
    def shed(self) -> float:
        """The shed level as one number: importance plus share."""
        return self.shed_below + self.shed_share


class AdmissionController(Protocol):
    """Decide which attempts are sent to the upstream, and when."""

    @property
    def level(self) -> AdmissionLevel:
        """The current admission level."""

    def offer(self, ticket: Ticket, now_ms: float) -> list[AdmissionEvent]:
        """Start, queue or refuse an attempt."""

    def finish(
        self, attempt_id: int, ending: Ending, now_ms: float
    ) -> list[AdmissionEvent]:
        """Record the end of a started attempt."""

    def nested(self, attempt_id: int, n_change: int, now_ms: float) -> None:
        """Record that a started attempt began (1) or ended (-1) a nested call."""

    def cancel(self, attempt_id: int, now_ms: float) -> list[AdmissionEvent]:
        """Cancel an attempt that the caller no longer waits for."""

    def announce(self, capacity: Capacity, now_ms: float) -> list[AdmissionEvent]:
        """Apply the capacity that the upstream announced."""

    def tick(self, now_ms: float) -> list[AdmissionEvent]:
        """Expire queued attempts and adapt the limit."""
