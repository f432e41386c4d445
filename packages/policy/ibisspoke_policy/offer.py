"""Requests that are offered to the queue of an upstream, and how long they may wait."""

from enum import StrEnum
from typing import NamedTuple

# Share of the objective; a refusal within it costs the caller nothing.
EARLY_REFUSAL_SHARE = 0.125
MAX_WAIT_SHARE = 0.5  # of the objective that may be spent in the queue


class QueueError(StrEnum):
    """Why a request was not queued or was removed from the queue."""

    FULL = "full"
    STALLED = "stalled"
    LEAVING = "leaving"
    EXPIRED = "expired"
    PREEMPTED = "preempted"
    COLD = "cold"  # the rate of a cold upstream leaves no room for it in time


class Offer(NamedTuple):
    """A request that is to run at the upstream.

    :param rank: lower ranks run first; the first part is the priority.
    :param expires_ms: deadline, in the monotonic time of this process.
    :param objective_ms: the latency objective, which limits the wait.
    """

    id: int
    route: str
    rank: tuple[int, int]
    arrived_ms: float
    expires_ms: float
    objective_ms: float


def is_wait_acceptable(offer: Offer, wait_ms: float, service_ms: float) -> bool:
    """Return whether a request may wait that long after its arrival.

    :param service_ms: its expected service time.
    """
    if wait_ms <= 0.0:
        return True
    ready_ms = offer.arrived_ms + wait_ms + service_ms
    bound_ms = max(EARLY_REFUSAL_SHARE, MAX_WAIT_SHARE) * offer.objective_ms
    return wait_ms <= bound_ms and ready_ms <= offer.expires_ms


def is_early(offer: Offer, now_ms: float) -> bool:
    """Return whether a refusal costs the caller nothing yet."""
    return now_ms <= offer.arrived_ms + EARLY_REFUSAL_SHARE * offer.objective_ms


def is_too_cold(offer: Offer, wait_ms: float, service_ms: float, now_ms: float) -> bool:
    """Return whether a queued request waits too long for the rate of a cold upstream.

    An upstream may become cold while requests are queued for it.

    :param wait_ms: its expected remaining wait.
    """
    if wait_ms <= 0.0:
        return False
    if is_early(offer, now_ms):
        waited_ms = now_ms - offer.arrived_ms
        return not is_wait_acceptable(offer, wait_ms + waited_ms, service_ms)
    # Later, a wait that was accepted must not end for a small error of estimates.
    is_late = now_ms + wait_ms + service_ms > offer.expires_ms
    return is_late or wait_ms > MAX_WAIT_SHARE * offer.objective_ms
