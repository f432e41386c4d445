"""Alternative rate limiters that decide on the same requests as the fleet."""

from collections.abc import Mapping, Sequence
from typing import Any

from _rate_load import Arrival, Site, full_bucket, ideal_admitted, over_admitted

from ibisspoke_policy.quota_messages import Limit

GOSSIP_PERIOD_MS = 200.0


def baseline_results(site: Site, arrivals: Sequence[Arrival]) -> dict[str, Any]:
    """Return over-admission and wrongful refusals of each alternative."""
    limits = site.limits
    n_nodes = site.n_nodes
    return {
        "static_split": _outcome(
            _static_split(arrivals, limits, n_nodes), arrivals, limits
        ),
        "central_counter": {
            **_outcome(_central_counter(arrivals, limits), arrivals, limits),
            "added_ms_on_every_request_elsewhere": site.far_ms,
        },
        "gossip_of_counts": _outcome(
            _gossip_of_counts(arrivals, limits, n_nodes, site.far_ms), arrivals, limits
        ),
    }


def _outcome(
    admitted: dict[str, list[float]],
    arrivals: Sequence[Arrival],
    limits: Mapping[str, Limit],
) -> dict[str, float]:
    ideal = ideal_admitted(arrivals, limits)
    missing = sum(max(0, ideal[name] - len(admitted[name])) for name in limits)
    over = sum(over_admitted(admitted[name], limits[name]) for name in limits)
    return {
        "over_admitted": over,
        "wrongful_refusal_share": missing / sum(ideal.values()),
    }


def _static_split(
    arrivals: Sequence[Arrival], limits: Mapping[str, Limit], n_nodes: int
) -> dict[str, list[float]]:
    buckets = {
        (name, node): full_bucket(
            Limit(limit.rate_per_s / n_nodes, limit.burst / n_nodes)
        )
        for name, limit in limits.items()
        for node in range(n_nodes)
    }
    admitted: dict[str, list[float]] = {name: [] for name in limits}
    for arrival in arrivals:
        bucket = buckets[arrival.organisation, arrival.node]
        if bucket.take(1.0, arrival.at_ms):
            admitted[arrival.organisation].append(arrival.at_ms)
    return admitted


def _central_counter(
    arrivals: Sequence[Arrival], limits: Mapping[str, Limit]
) -> dict[str, list[float]]:
    buckets = {name: full_bucket(limit) for name, limit in limits.items()}
    admitted: dict[str, list[float]] = {name: [] for name in limits}
    for arrival in arrivals:
        if buckets[arrival.organisation].take(1.0, arrival.at_ms):
            admitted[arrival.organisation].append(arrival.at_ms)
    return admitted


def _gossip_of_counts(
    arrivals: Sequence[Arrival],
    limits: Mapping[str, Limit],
    n_nodes: int,
    delay_ms: float,
) -> dict[str, list[float]]:
    """Each node has a full bucket and charges admissions of other nodes to it later."""
    buckets = {
        (name, node): full_bucket(limit)
        for name, limit in limits.items()
        for node in range(n_nodes)
    }
    admitted: dict[str, list[float]] = {name: [] for name in limits}
    updates: list[tuple[float, str, int]] = []
    n_applied = 0
    for arrival in arrivals:
        while n_applied < len(updates) and updates[n_applied][0] <= arrival.at_ms:
            _, name, source = updates[n_applied]
            n_applied += 1
            for node in range(n_nodes):
                if node != source:
                    buckets[name, node].fill(arrival.at_ms)
                    buckets[name, node].tokens -= 1.0
        bucket = buckets[arrival.organisation, arrival.node]
        if bucket.take(1.0, arrival.at_ms):
            admitted[arrival.organisation].append(arrival.at_ms)
            period = arrival.at_ms // GOSSIP_PERIOD_MS + 1
            received_ms = period * GOSSIP_PERIOD_MS + delay_ms / 2.0
            updates.append((received_ms, arrival.organisation, arrival.node))
    return admitted
