"""Selection of the upstream with the lowest expected cost for a request."""

import math
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeVar

from .route_profile import RouteProfile
from .upstream_queue import Load
from .vm_pace import slowdown

# Costs are shares of the value of an answer that arrives in time.
LATE_COST = 0.65  # of a late answer; to users it has a third of the value
FAILURE_COST = 1.5  # of a failure, which may also cause a retry
CROSS_DATA_CENTRE_COST_PER_KB = 0.06  # users put it at 0.01 to 0.08
CROSS_REGION_COST_PER_KB = 0.1  # the link to another region is also narrow
LATENCY_COST = 0.3  # of an answer that takes exactly the latency objective
WAIT_COST = 1.0  # of a wait as long as the objective; also delays those behind it
MIN_KB = 1.0  # headers and frames of a request and its answer
JITTER_COST = 0.02  # random, so that nodes do not all choose the same upstream
COLD_PACE_FACTOR = 2.0  # slowdown of an upstream that has just started
BUSY_PACE_INCREASE = 0.3  # relative slowdown of an upstream at its limit
# Load reports are old and do not show what other nodes have sent since. In units of
# the square root of the limit, as the number of arrivals varies.
LOAD_UNCERTAINTY = 0.5
EXPLORATION_SHARE = 0.005  # of requests, to keep the latency of all upstreams known
MAX_EXPLORATION_FAILURE_SHARE = 0.1  # failing upstreams are not explored
# Two random upstreams of the nearest place are compared, and one of each farther one.
# If all nodes compared all, they would all send to the one reported as least loaded.
N_NEAREST_COMPARED = 2
SAMPLE_TRIES = 3  # random entries that are checked for each one wanted


_Entry = TypeVar("_Entry")


class Distance(NamedTuple):
    """Network distance of another node.

    :param rtt_ms: round trip time.
    """

    same_data_centre: bool
    same_region: bool
    rtt_ms: float


class Candidate(NamedTuple):
    """An upstream that could serve a request.

    :param n_pending: requests of this node that it has not answered yet.
    :param n_pending_at_report: the part of ``n_pending`` that ``load`` already
        includes.
    :param is_cold: whether it has just started and is still slow.
    :param pace: its latency as a multiple of the usual one, measured on this node's
        requests, at the usual pace of its VM; None without recent ones.
    :param vm_pace: how long work takes on its VM at this moment, as a multiple of the
        usual, by a fresh report; 0.0 without one.
    """

    id: str
    distance: Distance
    load: Load
    n_pending: int
    n_pending_at_report: int
    is_cold: bool
    pace: float | None = None
    vm_pace: float = 0.0


def expected_cost(
    candidate: Candidate, profile: RouteProfile, pace: float, objective_ms: float
) -> float:
    """Return the expected cost if the candidate serves the request.

    :param pace: the candidate's latency as a multiple of the usual one.
    """
    load = candidate.load
    n_ahead = load.n_running + load.n_queued
    n_ahead += max(0, candidate.n_pending - candidate.n_pending_at_report)
    limit = max(1, load.limit)
    pace *= 1.0 + BUSY_PACE_INCREASE * min(1.0, n_ahead / limit)
    if candidate.is_cold:
        pace *= COLD_PACE_FACTOR
    excess = _expected_excess(n_ahead + 1 - limit, LOAD_UNCERTAINTY * math.sqrt(limit))
    wait_ms = excess * (load.service_ms or profile.median_ms) / limit
    rtt_ms = candidate.distance.rtt_ms
    late_share = profile.late_share(pace, objective_ms - wait_ms - rtt_ms)
    latency_share = (rtt_ms + profile.median_ms * pace) / objective_ms
    return (
        LATE_COST * late_share
        + LATENCY_COST * latency_share
        + WAIT_COST * wait_ms / objective_ms
        + FAILURE_COST * load.failure_share
        + _transfer_cost(candidate.distance, profile)
    )


def sample(
    groups: Sequence[Sequence[_Entry]],
    is_usable: Callable[[_Entry], bool],
    rng: random.Random,
) -> list[_Entry]:
    """Return a few random usable entries, most of them of the first group with any.

    :param groups: entries by distance, the nearest ones first.
    """
    sampled: list[_Entry] = []
    for group in groups:
        n_wanted = 1 if sampled else N_NEAREST_COMPARED
        sampled += _sample_group(group, n_wanted, is_usable, rng)
    return sampled


def _sample_group(
    group: Sequence[_Entry],
    n_wanted: int,
    is_usable: Callable[[_Entry], bool],
    rng: random.Random,
) -> list[_Entry]:
    """Return up to ``n_wanted`` usable entries, mostly without checking all."""
    n_tried = min(len(group), SAMPLE_TRIES * n_wanted)
    found: list[_Entry] = []
    for entry in rng.sample(group, n_tried):
        if is_usable(entry):
            found.append(entry)
            if len(found) == n_wanted:
                return found
    if found:
        return found
    usable = [entry for entry in group if is_usable(entry)]
    return rng.sample(usable, min(n_wanted, len(usable)))


def choose(
    candidates: list[Candidate],
    profile: RouteProfile,
    objective_ms: float,
    rng: random.Random,
) -> Candidate | None:
    """Return the candidate with the lowest expected cost.

    Upstreams that accept no requests are considered only if there are no others.
    """
    if not candidates:
        return None
    accepting = [c for c in candidates if c.load.limit > 0] or candidates
    if rng.random() < EXPLORATION_SHARE:
        near = [c for c in accepting if _may_explore(c)]
        if near:
            return rng.choice(near)
    known_ms = [c.load.service_ms for c in accepting if c.load.service_ms > 0.0]
    usual_ms = max(1.0, sum(known_ms) / len(known_ms)) if known_ms else 1.0

    def cost_with_jitter(candidate: Candidate) -> float:
        slowed = slowdown(candidate.vm_pace)
        if candidate.pace is not None:
            pace = candidate.pace * slowed
        else:
            pace = (candidate.load.service_ms or usual_ms) / usual_ms
            if slowed > 1.0:  # the reported time includes a part of the slowdown
                pace = max(pace, slowed)
        cost = expected_cost(candidate, profile, pace, objective_ms)
        return cost + rng.random() * JITTER_COST

    return min(accepting, key=cost_with_jitter)


def _expected_excess(excess: float, uncertainty: float) -> float:
    """Return the mean positive part of an excess that is known inexactly."""
    ratio = excess / uncertainty
    return excess if ratio > 30.0 else uncertainty * math.log1p(math.exp(ratio))


def _transfer_cost(distance: Distance, profile: RouteProfile) -> float:
    kb = max(MIN_KB, profile.n_bytes / 1024.0)
    if not distance.same_region:
        return CROSS_REGION_COST_PER_KB * kb
    return 0.0 if distance.same_data_centre else CROSS_DATA_CENTRE_COST_PER_KB * kb


def _may_explore(candidate: Candidate) -> bool:
    load = candidate.load
    has_room = load.n_running + load.n_queued < load.limit
    is_healthy = load.failure_share < MAX_EXPLORATION_FAILURE_SHARE
    return candidate.distance.same_region and has_room and is_healthy
