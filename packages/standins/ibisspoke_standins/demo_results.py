"""Promises and figures of a finished demonstration."""

import json

from . import promises
from .demo_catalogue import (
    CHANGED_RATE_PER_S,
    MAX_RETRIES,
    RATE_BY_ORGANISATION,
    STUCK_NODE,
    TRAFFIC_MS,
)
from .demo_record import Record
from .demo_report import (
    Served,
    goodput_per_s,
    print_promises,
    print_rows,
    refusals_by_kind,
    served,
)
from .promises import Promise

KEY_GRACE_MS = 5_000.0
DRAIN_GRACE_MS = 3_000.0
CHANGE_GRACE_MS = 12_000.0


def judge(record: Record) -> list[Promise]:
    """Return every promise and what was seen against it."""
    runs = record.n_runs_by_number
    outcomes = record.outcomes
    times = record.time_ms_by_event
    orders = {outcome.request for outcome in outcomes if outcome.kind == "order"}
    glasbruket = RATE_BY_ORGANISATION["glasbruket"]
    karlstad = RATE_BY_ORGANISATION["karlstad"]
    raised = karlstad._replace(rate_per_s=CHANGED_RATE_PER_S)
    return [
        promises.no_order_runs_twice(orders, runs),
        promises.retries_are_bounded(runs, MAX_RETRIES),
        promises.not_run_is_true(outcomes, runs),
        promises.answers_are_whole(outcomes),
        promises.keys_stay_secret(record.keys, _texts(record)),
        promises.key_stops_working(
            outcomes, "karlstad-old-till", times["withdrawn"], KEY_GRACE_MS
        ),
        promises.rate_is_kept(runs, "glasbruket", glasbruket, record.duration_ms),
        promises.rate_is_kept(runs, "karlstad", raised, record.duration_ms),
        promises.serves_without_platform(
            outcomes, "karlstad", (times["platform_down"], times["platform_up"])
        ),
        promises.versions_never_revert(record.versions_by_node),
        _change_in_force(record),
        promises.no_new_work(
            record.drained_run_times_ms, times["draining"], DRAIN_GRACE_MS
        ),
        promises.stop_cuts_nothing(outcomes, record.stopped_port, times["stopped"]),
        _stops_cleanly(record),
        _recovered(record),
    ]


def report(record: Record, results: list[Promise]) -> None:
    """Print the closing tables."""
    outcomes = record.outcomes
    n_requests = len({outcome.request for outcome in outcomes})
    fared = [served(outcomes, name, _n_allowed(name)) for name in RATE_BY_ORGANISATION]
    worst = min(fared, key=lambda entry: entry.share)
    goodput = goodput_per_s(outcomes, record.duration_ms)
    print_rows(
        "results",
        [
            ("requests", f"{n_requests} in {len(outcomes)} attempts"),
            ("goodput", f"{goodput:.1f} whole answers a second"),
            ("stuck upstream recovered after", _seconds(record.recovery_ms())),
            ("change in force after", _seconds(record.propagation_ms("changed"))),
            ("withdrawal in force after", _seconds(record.propagation_ms("withdrawn"))),
            ("worst-served organisation", _describe(worst)),
            ("refused although inside its rate", _wrongful(record)),
            ("requests to the platform", f"{record.n_platform_requests} in all"),
        ],
    )
    refused = refusals_by_kind(outcomes).most_common()
    print_rows("refusals by kind", [(kind, str(n)) for kind, n in refused])
    print_rows("organisations", [(entry[0], _describe(entry)) for entry in fared])
    print_promises(results)


def _change_in_force(record: Record) -> Promise:
    late = []
    for event in ("changed", "withdrawn"):
        took_ms = record.propagation_ms(event)
        if took_ms is None or took_ms > CHANGE_GRACE_MS:
            late.append(event)
    name = "an accepted configuration is in force everywhere within seconds"
    return Promise(name, len(late), late)


def _stops_cleanly(record: Record) -> Promise:
    code = record.exit_code_of_stopped
    broken = [] if code == 0 else [f"exit code {code}"]
    return Promise("a stopped node ends by itself", len(broken), broken)


def _recovered(record: Record) -> Promise:
    broken = [] if record.recovery_ms() is not None else [STUCK_NODE]
    return Promise("a stuck upstream recovers without a person", len(broken), broken)


def _texts(record: Record) -> dict[str, str]:
    """Return the logs and all that upstreams saw in headers."""
    texts = {
        f"upstream of {node.place.node_id}": json.dumps(node.upstream.seen_headers)
        for node in record.fleet.nodes
    }
    for path in record.fleet.directory.glob("*.log"):
        texts[path.name] = path.read_text(errors="replace")
    return texts


def _n_allowed(organisation: str) -> float:
    allowance = RATE_BY_ORGANISATION[organisation]
    return allowance.burst + allowance.rate_per_s * TRAFFIC_MS / 1000.0


def _seconds(took_ms: float | None) -> str:
    return "never" if took_ms is None else f"{took_ms / 1000.0:.1f} s"


def _wrongful(record: Record) -> str:
    """Return the refusals by rate of the organisation that keeps to its rate."""
    own = [o for o in record.outcomes if o.organisation == "karlstad"]
    n_refused = sum(outcome.refusal == "rate_exceeded" for outcome in own)
    return f"{n_refused} of {len(own)} attempts of karlstad"


def _describe(entry: Served) -> str:
    return (
        f"{entry.organisation}: {entry.n_good} of {entry.n_requests} requests good, "
        f"{entry.share:.1%} of those inside its rate"
    )
