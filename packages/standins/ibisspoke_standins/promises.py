"""Check the outcomes that callers and upstreams saw against what is promised."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from .callers import Outcome


class Promise(NamedTuple):
    """One promise and what was seen against it.

    :param examples: a few violations, for the report.
    """

    name: str
    n_broken: int
    examples: list[str]

    @property
    def holds(self) -> bool:
        """Whether nothing was seen against it."""
        return self.n_broken == 0


class Allowance(NamedTuple):
    """Rate and burst of an organisation."""

    rate_per_s: float
    burst: float


N_EXAMPLES = 3
NEEDS_PLATFORM = ("rate_exceeded", "no_catalogue", "isolated", "no_upstream")


def no_order_runs_twice(
    orders: Iterable[str], n_runs_by_number: Mapping[str, int]
) -> Promise:
    """Return whether every order ran at most once over all its attempts."""
    n_runs_by_order: Counter[str] = Counter()
    for number, n_runs in n_runs_by_number.items():
        n_runs_by_order[number.rpartition(".")[0]] += n_runs
    doubled = [order for order in orders if n_runs_by_order[order] > 1]
    return _promise("an order runs at most once", doubled)


def retries_are_bounded(
    n_runs_by_number: Mapping[str, int], max_retries: int
) -> Promise:
    """Return whether no attempt of a caller ran more often than its retries allow."""
    over = [
        f"{number} ran {n_runs} times"
        for number, n_runs in n_runs_by_number.items()
        if n_runs > 1 + max_retries
    ]
    return _promise("retries of a request are bounded", over)


def not_run_is_true(
    outcomes: Iterable[Outcome], n_runs_by_number: Mapping[str, int]
) -> Promise:
    """Return whether no attempt refused as not run was run."""
    false = [
        f"{outcome.number} ({outcome.refusal})"
        for outcome in outcomes
        if outcome.ran == "not_run" and n_runs_by_number.get(outcome.number, 0)
    ]
    return _promise("a refusal that says not_run is true", false)


def answers_are_whole(outcomes: Iterable[Outcome]) -> Promise:
    """Return whether every answer was the whole answer to its own request."""
    wrong = [
        outcome.number
        for outcome in outcomes
        if outcome.status == 200 and not outcome.whole
    ]
    return _promise("answers are whole and their own", wrong)


def key_stops_working(
    outcomes: Iterable[Outcome], name: str, withdrawn_ms: float, allowed_ms: float
) -> Promise:
    """Return whether no request of a caller ran with its withdrawn key.

    :param name: the caller, whose requests start with its name.
    """
    late = [
        outcome.number
        for outcome in outcomes
        if outcome.request.startswith(f"{name}-")
        and outcome.started_ms > withdrawn_ms + allowed_ms
        and outcome.refusal not in ("unknown_key", "no_reply")
    ]
    return _promise("a withdrawn key stops working within seconds", late)


def no_new_work(
    run_times_ms: Sequence[float], leaving_ms: float, allowed_ms: float
) -> Promise:
    """Return whether a leaving upstream got nothing new after a time."""
    late = [
        f"after {run_ms - leaving_ms:.0f} ms"
        for run_ms in run_times_ms
        if run_ms > leaving_ms + allowed_ms
    ]
    return _promise("a leaving upstream gets no new work", late)


def stop_cuts_nothing(
    outcomes: Iterable[Outcome], entry_port: int, stopped_ms: float
) -> Promise:
    """Return whether requests open at a node's planned stop were answered."""
    cut = [
        outcome.number
        for outcome in outcomes
        if outcome.entry_port == entry_port
        and outcome.started_ms < stopped_ms <= outcome.ended_ms
        and outcome.refusal == "no_reply"
    ]
    return _promise("a planned stop cuts no request", cut)


def rate_is_kept(
    numbers: Iterable[str],
    organisation: str,
    allowance: Allowance,
    duration_ms: float,
) -> Promise:
    """Return whether an organisation ran no more than its burst and rate.

    :param numbers: attempts that ran anywhere.
    """
    n_runs = sum(1 for number in numbers if number.startswith(f"{organisation}-"))
    allowed = allowance.burst + allowance.rate_per_s * duration_ms / 1000.0
    over = [f"{n_runs} of {allowed:.0f}"] if n_runs > allowed else []
    return _promise(f"{organisation} gets no more than rate and burst", over)


def serves_without_platform(
    outcomes: Iterable[Outcome], organisation: str, down_ms: tuple[float, float]
) -> Promise:
    """Return whether calls inside the rate went on while the platform was down.

    :param organisation: one that keeps to its rate and has its keys.
    :param down_ms: start and end of the outage.
    """
    start_ms, end_ms = down_ms
    refused = [
        f"{outcome.number} ({outcome.refusal})"
        for outcome in outcomes
        if outcome.organisation == organisation
        and start_ms <= outcome.started_ms < end_ms
        and outcome.refusal in NEEDS_PLATFORM
    ]
    return _promise("calls go on while the platform is down", refused)


def versions_never_revert(versions_by_node: Mapping[str, Sequence[int]]) -> Promise:
    """Return whether no node showed a lower version after a higher one."""
    reverted = [
        node
        for node, versions in versions_by_node.items()
        if list(versions) != sorted(versions)
    ]
    return _promise("a configuration in force never reverts", reverted)


def keys_stay_secret(keys: Iterable[str], texts_by_place: Mapping[str, str]) -> Promise:
    """Return whether no key is in a log or was seen by an upstream."""
    places = [
        place
        for place, text in texts_by_place.items()
        if any(key in text for key in keys)
    ]
    return _promise("no upstream and no log sees a key", places)


def _promise(name: str, violations: Sequence[str]) -> Promise:
    return Promise(name, len(violations), list(violations[:N_EXAMPLES]))
