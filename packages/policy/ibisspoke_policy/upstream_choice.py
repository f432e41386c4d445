"""Choice of the upstream that serves a request best."""

import random
from typing import NamedTuple

from .route_profile import RouteProfile
from .upstream_queue import Load

# Losses are in parts of what an answer in time is worth.
LATE_LOSS = 0.65  # of a late answer; users grant it a third of the worth
FAILURE_LOSS = 1.5  # of a failure, which may cost a retry as well
DATA_CENTRE_LOSS = 0.06  # for each KB to another one; users' prices: 0.01 to 0.08
REGION_LOSS = 0.1  # for each KB to another region, where the link is narrow, too
LATENCY_LOSS = 0.3  # of an answer that takes the whole objective, but is in time
MIN_KB = 1.0  # heads and frames of a request and its answer
JITTER_LOSS = 0.02  # so that nodes do not all choose the same
COLD_PACE = 2.0  # of an upstream that has just started
BUSY_PACE = 0.3  # how much slower an upstream is that runs all it can
ROOM_SHARE = 0.9  # of the limit, from which requests may have to wait
EXPLORE_SHARE = 0.005  # of the requests, so that the times of all upstreams stay known
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
    :param pace: its times as a multiple of the usual, by this node's own requests;
        None where there were none lately.
    """

    id: str
    distance: Distance
    load: Load
    n_own: int
    n_own_known: int
    is_cold: bool
    pace: float | None = None


def loss(
    candidate: Candidate, profile: RouteProfile, pace: float, objective_ms: float
) -> float:
    """Return what is probably lost of a request's worth if the candidate serves it.

    :param pace: the candidate's times as a multiple of the usual.
    """
    load = candidate.load
    n_ahead = load.n_running + load.n_queued
    n_ahead += max(0, candidate.n_own - candidate.n_own_known)
    limit = max(1, load.limit)
    pace *= 1.0 + BUSY_PACE * min(1.0, n_ahead / limit)
    if candidate.is_cold:
        pace *= COLD_PACE
    excess = max(0.0, n_ahead + 1 - ROOM_SHARE * limit)
    wait_ms = excess * (load.service_ms or profile.usual_ms) / limit
    wait_ms += candidate.distance.rtt_ms
    late = profile.late_share(pace, objective_ms - wait_ms)
    latency = (wait_ms + profile.usual_ms * pace) / objective_ms
    return (
        LATE_LOSS * late
        + LATENCY_LOSS * latency
        + FAILURE_LOSS * load.failure_share
        + _carriage_loss(candidate.distance, profile)
    )


def choose(
    candidates: list[Candidate],
    profile: RouteProfile,
    objective_ms: float,
    rng: random.Random,
) -> Candidate | None:
    """Return the candidate of the least loss; upstreams that take none come last."""
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
        pace = candidate.pace or (candidate.load.service_ms or usual_ms) / usual_ms
        least = loss(candidate, profile, pace, objective_ms)
        return least + rng.random() * JITTER_LOSS

    return min(open_ones, key=noisy)


def _carriage_loss(distance: Distance, profile: RouteProfile) -> float:
    kb = max(MIN_KB, profile.n_bytes / 1024.0)
    if not distance.same_region:
        return REGION_LOSS * kb
    return 0.0 if distance.same_data_centre else DATA_CENTRE_LOSS * kb


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
