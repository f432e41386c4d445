"""Guarantee checks and results of a finished demonstration."""

import json

from . import guarantees
from .demo_catalogue import (
    CHANGED_RATE_PER_S,
    MAX_RETRIES,
    RATE_BY_ORGANISATION,
    STUCK_NODE,
    TRAFFIC_MS,
)
from .demo_record import DemoRecord
from .demo_report import (
    Served,
    goodput_per_s,
    print_guarantees,
    print_rows,
    refusals_by_kind,
    summarise_organisation,
)
from .guarantees import GuaranteeResult

MAX_KEY_WITHDRAWAL_MS = 5_000.0
MAX_DRAIN_MS = 3_000.0
MAX_CHANGE_MS = 12_000.0


def check_guarantees(record: DemoRecord) -> list[GuaranteeResult]:
    """Return the result of checking each guarantee."""
    runs = record.n_runs_by_number
    outcomes = record.outcomes
    times = record.time_ms_by_event
    orders = {outcome.request for outcome in outcomes if outcome.kind == "order"}
    glasbruket = RATE_BY_ORGANISATION["glasbruket"]
    karlstad = RATE_BY_ORGANISATION["karlstad"]
    changed_karlstad = karlstad._replace(rate_per_s=CHANGED_RATE_PER_S)
    return [
        guarantees.check_orders_run_at_most_once(orders, runs),
        guarantees.check_retries_bounded(runs, MAX_RETRIES),
        guarantees.check_not_run_refusals(outcomes, runs),
        guarantees.check_answers_complete(outcomes),
        guarantees.check_keys_not_exposed(record.keys, _logs_and_headers(record)),
        guarantees.check_withdrawn_key_rejected(
            outcomes, "karlstad-old-till", times["withdrawn"], MAX_KEY_WITHDRAWAL_MS
        ),
        guarantees.check_rate_limit(runs, "glasbruket", glasbruket, record.duration_ms),
        guarantees.check_rate_limit(
            runs, "karlstad", changed_karlstad, record.duration_ms
        ),
        guarantees.check_served_without_platform(
            outcomes, "karlstad", (times["platform_down"], times["platform_up"])
        ),
        guarantees.check_versions_never_revert(record.versions_by_node),
        _check_changes_in_force(record),
        guarantees.check_no_work_after_drain(
            record.drained_run_times_ms, times["draining"], MAX_DRAIN_MS
        ),
        guarantees.check_stop_answers_open_requests(
            outcomes, record.stopped_entry_port, times["stopped"]
        ),
        _check_clean_stop(record),
        _check_recovery(record),
    ]


def report(record: DemoRecord, results: list[GuaranteeResult]) -> None:
    """Print the summary tables."""
    outcomes = record.outcomes
    n_requests = len({outcome.request for outcome in outcomes})
    summaries = [
        summarise_organisation(outcomes, name, _n_allowed(name))
        for name in RATE_BY_ORGANISATION
    ]
    worst = min(summaries, key=lambda entry: entry.share)
    goodput = goodput_per_s(outcomes, record.duration_ms)
    print_rows(
        "results",
        [
            ("requests", f"{n_requests} in {len(outcomes)} attempts"),
            ("goodput", f"{goodput:.1f} complete answers per second"),
            ("stuck upstream recovered after", _format_seconds(record.recovery_ms())),
            (
                "change in force after",
                _format_seconds(record.propagation_ms("changed")),
            ),
            (
                "withdrawal in force after",
                _format_seconds(record.propagation_ms("withdrawn")),
            ),
            ("worst-served organisation", _describe(worst)),
            ("refused although inside its rate", _refused_within_rate(record)),
            ("requests to the platform", f"{record.n_platform_requests} in all"),
        ],
    )
    refused = refusals_by_kind(outcomes).most_common()
    print_rows("refusals by kind", [(kind, str(n)) for kind, n in refused])
    print_rows("organisations", [(entry[0], _describe(entry)) for entry in summaries])
    print_guarantees(results)


def _check_changes_in_force(record: DemoRecord) -> GuaranteeResult:
    late_events = []
    for event in ("changed", "withdrawn"):
        took_ms = record.propagation_ms(event)
        if took_ms is None or took_ms > MAX_CHANGE_MS:
            late_events.append(event)
    name = "an accepted configuration is in force everywhere within seconds"
    return GuaranteeResult(name, len(late_events), late_events)


def _check_clean_stop(record: DemoRecord) -> GuaranteeResult:
    code = record.exit_code_of_stopped
    violations = [] if code == 0 else [f"exit code {code}"]
    return GuaranteeResult(
        "a stopped node exits with code 0", len(violations), violations
    )


def _check_recovery(record: DemoRecord) -> GuaranteeResult:
    violations = [] if record.recovery_ms() is not None else [STUCK_NODE]
    return GuaranteeResult(
        "a stuck upstream recovers without intervention", len(violations), violations
    )


def _logs_and_headers(record: DemoRecord) -> dict[str, str]:
    """Return the logs and the request headers that upstreams received."""
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


def _format_seconds(took_ms: float | None) -> str:
    return "never" if took_ms is None else f"{took_ms / 1000.0:.1f} s"


def _refused_within_rate(record: DemoRecord) -> str:
    """Return the rate refusals of the organisation that stays within its rate."""
    own = [o for o in record.outcomes if o.organisation == "karlstad"]
    n_refused = sum(outcome.refusal == "rate_exceeded" for outcome in own)
    return f"{n_refused} of {len(own)} attempts of karlstad"


def _describe(entry: Served) -> str:
    return (
        f"{entry.organisation}: {entry.n_good} of {entry.n_requests} requests good, "
        f"{entry.share:.1%} of those inside its rate"
    )
