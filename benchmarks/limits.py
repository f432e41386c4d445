"""Compare limits and queue lengths on a modelled upstream and a manual clock.

Goodput is relative to the highest throughput of the upstream. The last line of the
output is one JSON object; the figures are deterministic.
"""

import argparse
import json
from collections.abc import Callable
from typing import NamedTuple

from ibisspoke_policy.adaptive_limit import (
    AimdLimit,
    ConcurrencyLimit,
    FixedLimit,
    GradientLimit,
)
from ibisspoke_policy.admission import Capacity
from ibisspoke_policy.admission_controller import (
    AdmissionSettings,
    UpstreamAdmissionController,
)
from ibisspoke_standins.modelled_upstream import ModelledUpstream

LIMITS: dict[str, type[ConcurrencyLimit]] = {
    "fixed": FixedLimit,
    "aimd": AimdLimit,
    "gradient": GradientLimit,
}
QUEUES = {
    "none": AdmissionSettings(max_delay_ms=0.0, min_queue=0),
    "short": AdmissionSettings(),
    "long": AdmissionSettings(max_delay_ms=2_000.0, min_queue=1_000),
}
WARM_UP_MS = 1_000.0
OVERLOAD_MS = 6_000.0
SETTLE_MS = 2_000.0


class Scenario(NamedTuple):
    """An upstream and its overload.

    :param service_ms: time of a request by the number of running requests.
    :param best_per_s: highest throughput of the upstream.
    """

    capacity: Capacity
    service_ms: Callable[[int], float]
    best_per_s: float
    hung_ms: float = 0.0


SCENARIOS = {
    "honest slots": Scenario(Capacity(10, 100), lambda n: 20.0, 500.0),
    "overstated slots": Scenario(
        Capacity(50, 400), lambda n: 10.0 + 0.05 * n * n, 707.0
    ),
    "slow whatever its load": Scenario(Capacity(20, 100), lambda n: 100.0, 200.0),
    "hung for a second and a half": Scenario(
        Capacity(10, 100), lambda n: 20.0, 500.0, 1_500.0
    ),
}


def goodput(
    scenario: Scenario, limit: ConcurrencyLimit, settings: AdmissionSettings
) -> float:
    """Return goodput relative to ``best_per_s`` at five times that load."""
    controller = UpstreamAdmissionController(limit, settings)
    controller.announce(scenario.capacity, 0.0)
    upstream = ModelledUpstream(controller, scenario.service_ms)
    upstream.offer_load(0.5 * scenario.best_per_s, WARM_UP_MS)
    if scenario.hung_ms:
        upstream.is_hung = True
        upstream.offer_load(scenario.best_per_s, scenario.hung_ms, seed=2)
        upstream.is_hung = False
    rate_per_s = 5.0 * scenario.best_per_s
    upstream.offer_load(rate_per_s, SETTLE_MS, seed=3, timeout_ms=500.0)
    before = upstream.n_by_outcome["succeeded"]
    upstream.offer_load(rate_per_s, OVERLOAD_MS, seed=4, timeout_ms=500.0)
    n_good = upstream.n_by_outcome["succeeded"] - before
    return round(n_good / (scenario.best_per_s * OVERLOAD_MS / 1000.0), 3)


def refused_share(scenario: Scenario, settings: AdmissionSettings) -> float:
    """Return the share of requests refused at 90 % of the capacity."""
    controller = UpstreamAdmissionController(GradientLimit(), settings)
    controller.announce(scenario.capacity, 0.0)
    upstream = ModelledUpstream(controller, scenario.service_ms)
    upstream.offer_load(0.9 * scenario.best_per_s, 10_000.0)
    return round(len(upstream.refusals) / len(upstream.ticket_by_id), 4)


def main() -> None:
    argparse.ArgumentParser(description=__doc__).parse_args()
    by_limit = {
        name: {
            title: goodput(scenario, limit(), AdmissionSettings())
            for title, scenario in SCENARIOS.items()
        }
        for name, limit in LIMITS.items()
    }
    by_queue = {
        name: refused_share(SCENARIOS["honest slots"], settings)
        for name, settings in QUEUES.items()
    }
    print(json.dumps({"goodput": by_limit, "refused_at_90_percent": by_queue}))


if __name__ == "__main__":
    main()
