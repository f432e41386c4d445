"""Checks of recorded outcomes and executions against the guarantees."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from .callers import Outcome


class GuaranteeResult(NamedTuple):
    """Result of checking one guarantee.

    :param name: the guarantee, in words.
    :param n_violations: number of violations.
    :param examples: a few violations, for the report.
    """

    name: str
    n_violations: int
    examples: list[str]

    @property
    def holds(self) -> bool:
        """Whether no violation was found."""
        return self.n_violations == 0


class Allowance(NamedTuple):
    """Rate and burst of an organisation."""

    rate_per_s: float
    burst: float


MAX_EXAMPLES = 3
# Kinds of refusal that a platform outage can cause.
REFUSALS_WITHOUT_PLATFORM = ("rate_exceeded", "no_catalogue", "isolated", "no_upstream")


def check_orders_run_at_most_once(
    orders: Iterable[str], n_runs_by_number: Mapping[str, int]
) -> GuaranteeResult:
    """Check that every order ran at most once over all its attempts."""
    n_runs_by_order: Counter[str] = Counter()
    for number, n_runs in n_runs_by_number.items():
        n_runs_by_order[number.rpartition(".")[0]] += n_runs
    repeated_orders = [order for order in orders if n_runs_by_order[order] > 1]
    return _result("an order runs at most once", repeated_orders)


def check_retries_bounded(
    n_runs_by_number: Mapping[str, int], max_retries: int
) -> GuaranteeResult:
    """Check that no attempt of a caller ran more often than its retries allow."""
    exceeded = [
        f"{number} ran {n_runs} times"
        for number, n_runs in n_runs_by_number.items()
        if n_runs > 1 + max_retries
    ]
    return _result("retries of a request are bounded", exceeded)


def check_not_run_refusals(
    outcomes: Iterable[Outcome], n_runs_by_number: Mapping[str, int]
) -> GuaranteeResult:
    """Check that no attempt refused as ``not_run`` was run."""
    contradicted = [
        f"{outcome.number} ({outcome.refusal})"
        for outcome in outcomes
        if outcome.ran == "not_run" and n_runs_by_number.get(outcome.number, 0)
    ]
    return _result("a request refused as not_run did not run", contradicted)


def check_answers_complete(outcomes: Iterable[Outcome]) -> GuaranteeResult:
    """Check that every answer was complete and belonged to its own request."""
    incomplete = [
        outcome.number
        for outcome in outcomes
        if outcome.status == 200 and not outcome.is_complete
    ]
    return _result("answers are complete and match their requests", incomplete)


def check_withdrawn_key_rejected(
    outcomes: Iterable[Outcome], name: str, withdrawn_ms: float, allowed_ms: float
) -> GuaranteeResult:
    """Check that a withdrawn key was rejected after the allowed time.

    :param name: name of the caller; its request ids start with it.
    """
    late = [
        outcome.number
        for outcome in outcomes
        if outcome.request.startswith(f"{name}-")
        and outcome.started_ms > withdrawn_ms + allowed_ms
        and outcome.refusal not in ("unknown_key", "no_reply")
    ]
    return _result("a withdrawn key stops working within seconds", late)


def check_no_work_after_drain(
    run_times_ms: Sequence[float], leaving_ms: float, allowed_ms: float
) -> GuaranteeResult:
    """Check that a draining upstream ran nothing new after the allowed time."""
    late = [
        f"after {run_ms - leaving_ms:.0f} ms"
        for run_ms in run_times_ms
        if run_ms > leaving_ms + allowed_ms
    ]
    return _result("a leaving upstream gets no new work", late)


def check_stop_answers_open_requests(
    outcomes: Iterable[Outcome], entry_port: int, stopped_ms: float
) -> GuaranteeResult:
    """Check that requests open at a node's planned stop were answered."""
    cut = [
        outcome.number
        for outcome in outcomes
        if outcome.entry_port == entry_port
        and outcome.started_ms < stopped_ms <= outcome.ended_ms
        and outcome.refusal == "no_reply"
    ]
    return _result("a planned stop aborts no open request", cut)


def check_rate_limit(
    numbers: Iterable[str],
    organisation: str,
    allowance: Allowance,
    duration_ms: float,
) -> GuaranteeResult:
    """Check that an organisation ran no more than its burst and rate allow.

    :param numbers: ids of the attempts that ran at any upstream.
    """
    n_runs = sum(1 for number in numbers if number.startswith(f"{organisation}-"))
    allowed = allowance.burst + allowance.rate_per_s * duration_ms / 1000.0
    exceeded = [f"{n_runs} of {allowed:.0f}"] if n_runs > allowed else []
    return _result(f"{organisation} does not exceed its rate and burst", exceeded)


def check_served_without_platform(
    outcomes: Iterable[Outcome], organisation: str, down_ms: tuple[float, float]
) -> GuaranteeResult:
    """Check that no refusal was caused by an outage of the platform.

    :param organisation: one that stays within its rate and has valid keys.
    :param down_ms: start and end of the outage.
    """
    start_ms, end_ms = down_ms
    refused = [
        f"{outcome.number} ({outcome.refusal})"
        for outcome in outcomes
        if outcome.organisation == organisation
        and start_ms <= outcome.started_ms < end_ms
        and outcome.refusal in REFUSALS_WITHOUT_PLATFORM
    ]
    return _result("calls are served while the platform is down", refused)


def check_versions_never_revert(
    versions_by_node: Mapping[str, Sequence[int]],
) -> GuaranteeResult:
    """Check that no node reported a lower version after a higher one."""
    reverted = [
        node
        for node, versions in versions_by_node.items()
        if list(versions) != sorted(versions)
    ]
    return _result("a configuration in force never reverts", reverted)


def check_keys_not_exposed(
    keys: Iterable[str], texts_by_source: Mapping[str, str]
) -> GuaranteeResult:
    """Check that no key appears in a log or in headers that an upstream received."""
    sources = [
        source
        for source, text in texts_by_source.items()
        if any(key in text for key in keys)
    ]
    return _result("no upstream and no log receives a key", sources)


def _result(name: str, violations: Sequence[str]) -> GuaranteeResult:
    return GuaranteeResult(name, len(violations), list(violations[:MAX_EXAMPLES]))
