"""Rate of organisations over a whole fleet: exactness, refusals, cost.

Both sites run with real control connections on loopback. Every run is compared with
one bucket for the whole fleet that sees each request at once. Static split, central
counter and gossip of counts decide on the same requests.
"""

import argparse
import asyncio
import json
import random
import time
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from _control_fleet import BenchFleet, DataCentreSpec, Network, running_fleet
from _rate_baselines import Arrival, Site, baseline_results, ideal_admitted

from ibisspoke_policy.catalogue import EMPTY_CATALOGUE, Catalogue, Organisation
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.local_tokens import LocalTokens
from ibisspoke_policy.quota import TokenBucket
from ibisspoke_policy.quota_messages import DrawReply, Limit, SlotId, TokenGrant
from ibisspoke_standins.memory_store import Fault, FaultKind

N_SLOTS = 2
DEADLINE_MS = 500.0
WARM_UP_S = 1.5
N_TAKES = 100_000
TOLERANCE = 1e-6
UTILISATION = 0.85
OVERLOAD = 6.0
FAVOURITE_SHARE = 0.7

LOCKBACKEN = Site(
    "lockbacken",
    ("svea-1", "svea-2", "gota-1", "gota-2"),
    ("svealand", "svealand", "gotaland", "gotaland"),
    4,
    2.0,
    40.0,
    (800.0, 600.0, 400.0, 80.0, 80.0, 60.0, 30.0, 20.0),
    (400.0, 300.0, 200.0, 60.0, 60.0, 40.0, 30.0, 10.0),
)
HARMATTAN = Site(
    "harmattan",
    ("lagos-1", "lagos-2", "abuja-1", "abuja-2"),
    ("lagos", "lagos", "abuja", "abuja"),
    4,
    3.0,
    40.0,
    (900.0, 700.0, 300.0, 80.0, 60.0, 60.0, 30.0, 20.0),
    (500.0, 400.0, 200.0, 60.0, 40.0, 60.0, 20.0, 10.0),
)


class RunResult(NamedTuple):
    """What one run measured.

    :param wrongful_refusal_share: requests refused although one bucket for the whole
        fleet had a token, by number, as a share of those it admits.
    """

    over_admitted: int
    wrongful_refusal_share: float
    worst_organisation_share: float
    n_requests: int
    n_admitted: int
    acquire_p99_ms: float
    control_bytes_per_s: float
    control_calls_per_s: float


class Recorder:
    """Admissions of one run."""

    def __init__(self) -> None:
        self.admitted_by_organisation: dict[str, list[float]] = {}
        self.waits_ms: list[float] = []

    def admit(self, organisation: str, at_ms: float) -> None:
        """Note one admission."""
        self.admitted_by_organisation.setdefault(organisation, []).append(at_ms)


def catalogue_of(site: Site) -> Catalogue:
    """Return the organisations of a site."""
    organisations = [
        Organisation(name, limit.rate_per_s, limit.burst)
        for name, limit in site.limits.items()
    ]
    return EMPTY_CATALOGUE._replace(
        organisations_by_id={row.id: row for row in organisations},
        n_slots_by_data_centre=dict.fromkeys(site.data_centres, N_SLOTS),
    )


def arrivals_of(site: Site, duration_s: float, overloaded: bool) -> list[Arrival]:
    """Return Poisson arrivals; most of an organisation's enter at one node."""
    rng = random.Random(7)
    n_nodes = len(site.data_centres) * site.n_nodes_each
    arrivals = []
    for number, rate in enumerate(site.rates_per_s):
        is_overloaded = overloaded and number == 0
        offered = rate * (OVERLOAD if is_overloaded else UTILISATION)
        favourite = rng.randrange(n_nodes)
        at_s = rng.expovariate(offered)
        while at_s < duration_s:
            near = rng.random() < FAVOURITE_SHARE
            node = favourite if near else rng.randrange(n_nodes)
            arrivals.append(Arrival(at_s * 1000.0, f"org-{number}", node))
            at_s += rng.expovariate(offered)
    return sorted(arrivals)


async def run_arrivals(
    fleet: BenchFleet, arrivals: Sequence[Arrival], faults: Sequence[Any]
) -> Recorder:
    """Send the requests at their times, and bring the faults about."""
    recorder = Recorder()
    nodes = list(fleet.nodes)
    start_ms = fleet.clock.now_ms()
    waits: set[asyncio.Task[None]] = set()
    fault_tasks = [asyncio.ensure_future(fault(fleet)) for fault in faults]
    for arrival in arrivals:
        due_ms = start_ms + arrival.at_ms
        while fleet.clock.now_ms() < due_ms:
            await asyncio.sleep(max(0.0, due_ms - fleet.clock.now_ms()) / 1000.0)
        node = nodes[arrival.node]
        if node not in fleet.nodes:
            node = next(n for n in fleet.nodes if n.data_centre == node.data_centre)
        quota = node.services.quota
        now_ms = fleet.clock.now_ms()
        decision = quota.take(arrival.organisation, now_ms)
        if decision.granted:
            recorder.admit(arrival.organisation, now_ms)
        elif decision.ask_elsewhere:
            wait = _acquire(fleet.clock, quota, arrival.organisation, recorder)
            task = asyncio.ensure_future(wait)
            waits.add(task)
            task.add_done_callback(waits.discard)
    await asyncio.gather(*waits, *fault_tasks)
    return recorder


async def _acquire(
    clock: Clock, quota: Any, organisation: str, recorder: Recorder
) -> None:
    asked_ms = clock.now_ms()
    decision = await quota.acquire(organisation, asked_ms + DEADLINE_MS)
    now_ms = clock.now_ms()
    recorder.waits_ms.append(now_ms - asked_ms)
    if decision.granted:
        recorder.admit(organisation, now_ms)


def over_admitted(admitted_ms: list[float], limit: Limit) -> int:
    """Return by how many requests some window exceeded burst + rate x window."""
    burst = limit.burst + TOLERANCE
    bucket = TokenBucket(limit.rate_per_s, burst, 0.0, burst)
    return sum(not bucket.take(1.0 - TOLERANCE, at) for at in sorted(admitted_ms))


def result_of(
    site: Site,
    arrivals: Sequence[Arrival],
    recorder: Recorder,
    network: Network,
    duration_s: float,
) -> RunResult:
    """Compare a run with one bucket for the whole fleet."""
    limits = site.limits
    ideal = ideal_admitted(arrivals, limits)
    admitted = recorder.admitted_by_organisation
    ours = {name: len(admitted.get(name, [])) for name in limits}
    missing = sum(max(0, ideal[name] - ours[name]) for name in limits)
    over = sum(over_admitted(admitted.get(name, []), limits[name]) for name in limits)
    waits = sorted(recorder.waits_ms) or [0.0]
    n_nodes = len(site.data_centres) * site.n_nodes_each
    return RunResult(
        over,
        missing / sum(ideal.values()),
        min(ours[name] / ideal[name] for name in limits),
        len(arrivals),
        sum(ours.values()),
        round(waits[int(len(waits) * 0.99)], 1),
        round(network.n_bytes / duration_s / n_nodes, 1),
        round(network.n_calls / duration_s / n_nodes, 2),
    )


async def cut_off_one_data_centre(fleet: BenchFleet) -> None:
    """Cut one data centre off from all others for a while."""
    await asyncio.sleep(0.5)
    fleet.network.cut.add(fleet.nodes[0].data_centre)
    await asyncio.sleep(2.0)
    fleet.network.cut.clear()


async def platform_down(fleet: BenchFleet) -> None:
    """Take the platform down for a while."""
    fleet.store.inject(Fault(FaultKind.DOWN, for_ms=2_000.0))


async def stop_a_holder(fleet: BenchFleet) -> None:
    """Stop a node that holds a slot, as planned."""
    await asyncio.sleep(3.0)
    holder = next(n for n in fleet.nodes if n.services.quota.holder.slots)
    await fleet.stop(holder)
    for node in fleet.nodes:
        node.services.quota.holder.watch_soon()


async def change_rates(fleet: BenchFleet) -> None:
    """Lower the rate of one organisation and raise it again, under load."""
    await asyncio.sleep(2.5)
    catalogue = fleet.nodes[0].in_force.catalogue
    organisations = catalogue.organisations_by_id
    row = organisations["org-1"]
    lowered = row._replace(rate_per_s=row.rate_per_s / 2.0, burst=row.burst / 2.0)
    changed = {**organisations, "org-1": lowered}
    await fleet.publish(catalogue._replace(organisations_by_id=changed))
    await asyncio.sleep(1.0)
    await fleet.publish(catalogue)


RUNS: dict[str, tuple[bool, tuple[Callable[[BenchFleet], Any], ...]]] = {
    "skewed": (False, ()),
    "overload": (True, ()),
    "faults": (
        True,
        (cut_off_one_data_centre, platform_down, stop_a_holder, change_rates),
    ),
}


async def run_site(site: Site, duration_s: float) -> dict[str, Any]:
    """Run one site: skewed entries, one organisation at six times, and faults."""
    regions = dict(zip(site.data_centres, site.regions, strict=True))
    specs = [
        DataCentreSpec(name, region, site.n_nodes_each)
        for name, region in regions.items()
    ]
    results: dict[str, Any] = {}
    for name, (overloaded, faults) in RUNS.items():
        network = Network(regions, site.near_ms, site.far_ms)
        async with running_fleet(specs, network, catalogue_of(site)) as fleet:
            arrivals = arrivals_of(site, duration_s, overloaded)
            with network.counting_bytes():
                network.n_calls = 0
                recorder = await run_arrivals(fleet, arrivals, faults)
        result = result_of(site, arrivals, recorder, network, duration_s)
        results[name] = {
            **result._asdict(),
            "baselines": baseline_results(site, arrivals),
        }
    return results


def take_ns() -> dict[str, float]:
    """Return the time of a take that is granted, against one bucket alone."""
    tokens = LocalTokens("n1", Clock())
    tokens.configure({"svea": Limit(1e9, 1e9)})
    slot = SlotId("svea-1", 0)
    request = tokens.request(slot, [])
    grants = [TokenGrant("svea", 1e9, False, 1e9, 0.0)]
    tokens.absorb(slot, DrawReply(request.sequence, True, grants), 0.0)
    bucket = TokenBucket(1e9, 1e9, 0.0, 1e9)
    ours = _time_ns(lambda: tokens.take("svea", 1.0))
    single = _time_ns(lambda: bucket.take(1.0, 1.0))
    return {"take_ns": ours, "single_bucket_take_ns": single}


def _time_ns(work: Callable[[], Any]) -> float:
    best = float("inf")
    for _ in range(5):
        start = time.perf_counter_ns()
        for _ in range(N_TAKES):
            work()
        best = min(best, (time.perf_counter_ns() - start) / N_TAKES)
    return round(best, 1)


async def measure(duration_s: float) -> dict[str, Any]:
    """Run both sites and summarise."""
    sites = {
        site.name: await run_site(site, duration_s) for site in (LOCKBACKEN, HARMATTAN)
    }
    fair = [runs[name] for runs in sites.values() for name in ("skewed", "overload")]
    runs = [run for site in sites.values() for run in site.values()]
    static = [run["baselines"]["static_split"] for run in fair]
    return {
        "over_admitted": sum(run["over_admitted"] for run in runs),
        "wrongful_refusal_share": max(run["wrongful_refusal_share"] for run in fair),
        "skewed_wrongful_refusal_share": max(
            site["skewed"]["wrongful_refusal_share"] for site in sites.values()
        ),
        "static_split_wrongful_refusal_share": max(
            baseline["wrongful_refusal_share"] for baseline in static
        ),
        "worst_organisation_share": min(
            run["worst_organisation_share"] for run in fair
        ),
        "control_bytes_per_s": max(run["control_bytes_per_s"] for run in runs),
        **take_ns(),
        "sites": sites,
    }


def main() -> None:
    """Print one JSON object as the last line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="run under a minute")
    arguments = parser.parse_args()
    duration_s = 5.0 if arguments.quick else 30.0
    print(json.dumps(asyncio.run(measure(duration_s))))


if __name__ == "__main__":
    main()
