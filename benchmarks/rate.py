"""Rate limits of organisations over a whole fleet: accuracy, refusals and cost.

Both sites run with one process per data centre and real control connections on
loopback, with the delays between the data centres of the site. Every run is compared
with an ideal bucket for the whole fleet that sees each request without delay. A static
split, a central counter and gossip of counts decide on the same requests.
"""

import argparse
import json
import time
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from typing import Any, NamedTuple

import msgspec
from _harness import Child, read_replies, running_child, send_to_all
from _rate_baselines import baseline_results
from _rate_load import (
    HARMATTAN,
    LOCKBACKEN,
    Arrival,
    Site,
    arrivals_of,
    ideal_admitted,
    over_admitted,
)
from _rate_process import Measured, SiteRun

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.local_tokens import LocalTokens
from ibisspoke_policy.quota import TokenBucket
from ibisspoke_policy.quota_messages import DrawReply, Limit, SlotId, TokenGrant

N_TAKES = 100_000
START_DELAY_MS = 500.0
QUICK_S = 4.5
FULL_S = 30.0

RUNS: dict[str, tuple[bool, bool]] = {
    "skewed": (False, False),
    "overload": (True, False),
    "faults": (True, True),
}


class RunResult(NamedTuple):
    """Figures of one run.

    :param wrongful_refusal_share: number of requests that the ideal bucket would have
        admitted and the fleet did not, relative to all that the bucket admits.
    :param worst_organisation_share: admitted requests of the organisation served
        worst, relative to those that the ideal bucket admits.
    """

    over_admitted: int
    wrongful_refusal_share: float
    worst_organisation_share: float
    n_requests: int
    n_admitted: int
    n_asked_elsewhere: int
    ask_p50_ms: float
    ask_p99_ms: float
    control_bytes_per_s: float
    control_calls_per_s: float
    cpu_share_of_a_process: float
    missing_by_organisation: dict[str, int]


def run_processes(site: Site, run: SiteRun) -> list[Measured]:
    """Run the nodes of each data centre in a separate process, all concurrently."""
    with ExitStack() as stack:
        children: list[Child] = []
        for number in range(len(site.data_centres)):
            url = children[0].ready["platform_url"] if children else ""
            spec = run._replace(number=number, platform_url=url)
            argument = msgspec.json.encode(spec).decode()
            children.append(
                stack.enter_context(running_child("_rate_process.py", argument))
            )
        members = [row for process in children for row in process.ready["members"]]
        send_to_all(children, members)
        read_replies(children)
        send_to_all(children, time.monotonic() * 1000.0 + START_DELAY_MS)
        return [msgspec.convert(reply, Measured) for reply in read_replies(children)]


def result_of(
    site: Site,
    arrivals: Sequence[Arrival],
    measured: Sequence[Measured],
    duration_s: float,
) -> RunResult:
    """Compare a run with one ideal bucket for the whole fleet."""
    ideal = ideal_admitted(arrivals, site.limits)
    admitted: dict[str, list[float]] = {name: [] for name in site.limits}
    for part in measured:
        for name, times in part.admitted_by_organisation.items():
            admitted[name].extend(times)
    missing = {name: max(0, ideal[name] - len(admitted[name])) for name in site.limits}
    over = sum(
        over_admitted(admitted[name], limit) for name, limit in site.limits.items()
    )
    waits = sorted(wait for part in measured for wait in part.waits_ms) or [0.0]
    node_seconds = site.n_nodes * duration_s
    return RunResult(
        over,
        sum(missing.values()) / sum(ideal.values()),
        min(len(admitted[name]) / ideal[name] for name in site.limits),
        len(arrivals),
        sum(map(len, admitted.values())),
        len(waits),
        round(waits[len(waits) // 2], 1),
        round(waits[int(len(waits) * 0.99)], 1),
        round(sum(part.n_bytes for part in measured) / node_seconds, 1),
        round(sum(part.n_calls for part in measured) / node_seconds, 2),
        round(max(part.cpu_share for part in measured), 2),
        {name: n for name, n in missing.items() if n},
    )


def run_site(site: Site, duration_s: float) -> dict[str, Any]:
    """Run one site: skewed entries, one organisation at six times, and faults."""
    results: dict[str, Any] = {}
    for name, (overloaded, with_faults) in RUNS.items():
        arrivals = arrivals_of(site, duration_s, overloaded)
        run = SiteRun(site.name, duration_s, overloaded, with_faults, 0, "")
        result = result_of(site, arrivals, run_processes(site, run), duration_s)
        baselines = baseline_results(site, arrivals)
        results[name] = {**result._asdict(), "baselines": baselines}
    return results


def measure_take_ns() -> dict[str, float]:
    """Return the time of a granted take, compared with a single bucket."""
    tokens = LocalTokens("n1", Clock())
    tokens.configure({"svea": Limit(1e9, 1e9)})
    slot = SlotId("svea-1", 0)
    request = tokens.request(slot, [])
    grants = [TokenGrant("svea", 1e9, False, 1e9, 0.0, 0.0)]
    tokens.apply_reply(slot, DrawReply(request.sequence, True, grants), 0.0)
    bucket = TokenBucket(1e9, 1e9, 0.0, 1e9)
    local_tokens_ns = _time_ns(lambda: tokens.take("svea", 1.0))
    single_bucket_ns = _time_ns(lambda: bucket.take(1.0, 1.0))
    return {"take_ns": local_tokens_ns, "single_bucket_take_ns": single_bucket_ns}


def _time_ns(work: Callable[[], Any]) -> float:
    best = float("inf")
    for _ in range(5):
        start = time.perf_counter_ns()
        for _ in range(N_TAKES):
            work()
        best = min(best, (time.perf_counter_ns() - start) / N_TAKES)
    return round(best, 1)


def measure(duration_s: float) -> dict[str, Any]:
    """Run both sites and summarise."""
    sites = {site.name: run_site(site, duration_s) for site in (LOCKBACKEN, HARMATTAN)}
    runs_without_faults = [
        runs[name] for runs in sites.values() for name in ("skewed", "overload")
    ]
    runs = [run for site in sites.values() for run in site.values()]
    static = [run["baselines"]["static_split"] for run in runs_without_faults]
    return {
        "over_admitted": sum(run["over_admitted"] for run in runs),
        "wrongful_refusal_share": max(
            run["wrongful_refusal_share"] for run in runs_without_faults
        ),
        "skewed_wrongful_refusal_share": max(
            site["skewed"]["wrongful_refusal_share"] for site in sites.values()
        ),
        "static_split_wrongful_refusal_share": max(
            baseline["wrongful_refusal_share"] for baseline in static
        ),
        "worst_organisation_share": min(
            run["worst_organisation_share"] for run in runs_without_faults
        ),
        "control_bytes_per_s": max(run["control_bytes_per_s"] for run in runs),
        **measure_take_ns(),
        "sites": sites,
    }


def main() -> None:
    """Print one JSON object as the last line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="run under a minute")
    arguments = parser.parse_args()
    print(json.dumps(measure(QUICK_S if arguments.quick else FULL_S)))


if __name__ == "__main__":
    main()
