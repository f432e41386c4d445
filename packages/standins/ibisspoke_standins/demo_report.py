"""The closing tables of the demonstration."""

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from .callers import Outcome
from .promises import Promise

WINDOW_MS = 500.0
RECOVERED_SHARE = 0.9


class Served(NamedTuple):
    """How an organisation fared.

    :param share: good answers as a share of the requests inside its rate.
    """

    organisation: str
    n_requests: int
    n_good: int
    share: float


def goodput_per_s(outcomes: Sequence[Outcome], duration_ms: float) -> float:
    """Return whole answers a second."""
    return sum(outcome.is_good for outcome in outcomes) / duration_ms * 1000.0


def refusals_by_kind(outcomes: Sequence[Outcome]) -> Counter[str]:
    """Return how many attempts were refused, by kind."""
    return Counter(outcome.refusal for outcome in outcomes if outcome.refusal)


def served(outcomes: Sequence[Outcome], organisation: str, n_allowed: float) -> Served:
    """Return how ``organisation`` fared with the keys that it has.

    :param n_allowed: requests that are inside its rate.
    """
    own = [
        outcome
        for outcome in outcomes
        if outcome.organisation == organisation and outcome.refusal != "unknown_key"
    ]
    n_requests = len({outcome.request for outcome in own})
    n_good = len({outcome.request for outcome in own if outcome.is_good})
    n_in_rate = min(float(n_requests), n_allowed)
    return Served(organisation, n_requests, n_good, n_good / max(1.0, n_in_rate))


def recovery_ms(
    run_times_ms: Sequence[float], before: tuple[float, float], recovered_ms: float
) -> float | None:
    """Return how long an upstream took to run as many requests as before.

    :param before: a span in which it worked well.
    :param recovered_ms: when its fault ended.
    :returns: None when it did not get back to 90% of that rate.
    """
    start_ms, end_ms = before
    n_before = sum(start_ms <= run_ms < end_ms for run_ms in run_times_ms)
    n_wanted = n_before / (end_ms - start_ms) * WINDOW_MS * RECOVERED_SHARE
    later = [run_ms for run_ms in run_times_ms if run_ms >= recovered_ms]
    for run_ms in later:
        n_runs = sum(run_ms - WINDOW_MS < other <= run_ms for other in later)
        if n_runs >= n_wanted:
            return run_ms - recovered_ms
    return None


def print_promises(promises: Sequence[Promise]) -> None:
    """Print each promise and whether it held."""
    width = max(len(promise.name) for promise in promises)
    print("\npromises")
    for promise in promises:
        state = "held" if promise.holds else f"BROKEN {promise.n_broken} times"
        examples = f": {', '.join(promise.examples)}" if promise.examples else ""
        print(f"  {promise.name.ljust(width)}  {state}{examples}")


def print_rows(title: str, rows: Sequence[tuple[str, str]]) -> None:
    """Print names with values in two columns."""
    print(f"\n{title}")
    width = max((len(name) for name, _ in rows), default=0)
    for name, value in rows:
        print(f"  {name.ljust(width)}  {value}")
