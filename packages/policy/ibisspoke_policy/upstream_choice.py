"""Choice of the upstream that serves a request best."""

import random
from typing import NamedTuple

from .upstream_queue import Load

ZONE_PENALTY = 0.2  # of the objective: bytes between data centres are paid for
REGION_PENALTY = 2.0  # of the objective: the link is narrow, and its bytes are dear
FAILURE_PENALTY = 3.0  # objectives for an upstream that fails everything
COLD_PENALTY = 0.5  # of the objective, for an upstream that has just started
JITTER = 0.05  # of the objective, so that nodes do not all choose the same
EXPLORE_SHARE = 0.02  # of the requests, so that the times of all upstreams stay known
EXPLORE_FAILURE_SHARE = 0.1  # of an upstream's requests, from which it is left alone
MAX_CANDIDATES = 24  # beyond it a sample is compared; two or more near ones suffice


class Distance(NamedTuple):
    """How far another node is.

    :param rtt_ms: round trip time.
    """

    same_data_centre: bool
    same_region: bool
    rtt_ms: float


class Candidate(NamedTuple):
    """An upstream that could serve a request.

    :param n_own: requests of this node that it has not answered yet.
    :param n_own_known: those among them that ``load`` already counts.
    :param is_cold: whether it has just started and is slow.
    """

    id: str
    distance: Distance
    load: Load
    n_own: int
    n_own_known: int
    is_cold: bool


def cost(
    candidate: Candidate, expected_ms: float, slowness: float, objective_ms: float
) -> float:
    """Return the expected latency of a request, with penalties, in milliseconds.

    :param expected_ms: what requests of its route take on average.
    :param slowness: the upstream's times as a multiple of the usual.
    """
    load = candidate.load
    n_ahead = load.n_running + load.n_queued
    n_ahead += max(0, candidate.n_own - candidate.n_own_known)
    limit = max(1, load.limit)
    excess = max(0.0, n_ahead + 1 - 0.9 * limit)
    latency_ms = expected_ms * slowness * (1.0 + 0.3 * min(1.0, n_ahead / limit))
    latency_ms += excess * (load.service_ms or expected_ms) / limit
    distance = candidate.distance
    penalty = FAILURE_PENALTY * load.failure_share
    if candidate.is_cold:
        penalty += COLD_PENALTY
    if not distance.same_region:
        penalty += REGION_PENALTY
    elif not distance.same_data_centre:
        penalty += ZONE_PENALTY
    return latency_ms + distance.rtt_ms + penalty * objective_ms


def choose(
    candidates: list[Candidate],
    expected_ms: float,
    objective_ms: float,
    rng: random.Random,
) -> Candidate | None:
    """Return the candidate of the least cost; upstreams that take none come last."""
    if not candidates:
        return None
    if len(candidates) > MAX_CANDIDATES:
        candidates = _sample(candidates, rng)
    open_ones = [c for c in candidates if c.load.limit > 0] or candidates
    if rng.random() < EXPLORE_SHARE:
        near = [c for c in open_ones if _may_explore(c)]
        if near:
            return rng.choice(near)
    known_ms = [c.load.service_ms for c in open_ones if c.load.service_ms > 0.0]
    usual_ms = max(1.0, sum(known_ms) / len(known_ms)) if known_ms else 1.0

    def noisy(candidate: Candidate) -> float:
        slowness = (candidate.load.service_ms or usual_ms) / usual_ms
        latency_ms = cost(candidate, expected_ms, slowness, objective_ms)
        return latency_ms + rng.random() * JITTER * objective_ms

    return min(open_ones, key=noisy)


def _may_explore(candidate: Candidate) -> bool:
    load = candidate.load
    has_room = load.n_running + load.n_queued < load.limit
    is_sound = load.failure_share < EXPLORE_FAILURE_SHARE
    return candidate.distance.same_region and has_room and is_sound


def _sample(candidates: list[Candidate], rng: random.Random) -> list[Candidate]:
    """Return some candidates, those of the own data centre before others."""
    near = [c for c in candidates if c.distance.same_data_centre]
    rest = [c for c in candidates if not c.distance.same_data_centre]
    near = rng.sample(near, min(len(near), MAX_CANDIDATES - 2))
    n_rest = max(2, MAX_CANDIDATES - len(near))
    return near + rng.sample(rest, min(len(rest), n_rest))
