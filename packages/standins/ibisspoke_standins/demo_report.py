"""Summary tables of the demonstration."""

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from .callers import Outcome
from .guarantees import GuaranteeResult

RECOVERY_WINDOW_MS = 500.0
RECOVERED_SHARE = 0.9


class Served(NamedTuple):
    """Service that one organisation received.

    :param share: good answers as a share of the requests within its rate.
    """

    organisation: str
    n_requests: int
    n_good: int
    share: float


def goodput_per_s(outcomes: Sequence[Outcome], duration_ms: float) -> float:
    """Return complete answers per second."""
    return sum(outcome.is_good for outcome in outcomes) / duration_ms * 1000.0


def refusals_by_kind(outcomes: Sequence[Outcome]) -> Counter[str]:
    """Return how many attempts were refused, by kind."""
    return Counter(outcome.refusal for outcome in outcomes if outcome.refusal)


def summarise_organisation(
    outcomes: Sequence[Outcome], organisation: str, n_allowed: float
) -> Served:
    """Return the service received by ``organisation``, without withdrawn keys.

    :param n_allowed: number of requests that its rate allows.
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
    """Return how long an upstream took to regain its earlier rate after a fault.

    :param before: start and end of a time without faults.
    :param recovered_ms: when the fault ended.
    :returns: None if it did not get back to 90% of its earlier rate.
    """
    start_ms, end_ms = before
    n_before = sum(start_ms <= run_ms < end_ms for run_ms in run_times_ms)
    n_required = n_before / (end_ms - start_ms) * RECOVERY_WINDOW_MS * RECOVERED_SHARE
    later = [run_ms for run_ms in run_times_ms if run_ms >= recovered_ms]
    for run_ms in later:
        n_runs = sum(run_ms - RECOVERY_WINDOW_MS < other <= run_ms for other in later)
        if n_runs >= n_required:
            return run_ms - recovered_ms
    return None


def print_guarantees(results: Sequence[GuaranteeResult]) -> None:
    """Print each guarantee and whether it held."""
    width = max(len(result.name) for result in results)
    print("\nguarantees")
    for result in results:
        state = "held" if result.holds else f"VIOLATED {result.n_violations} times"
        examples = f": {', '.join(result.examples)}" if result.examples else ""
        print(f"  {result.name.ljust(width)}  {state}{examples}")


def print_rows(title: str, rows: Sequence[tuple[str, str]]) -> None:
    """Print names with values in two columns."""
    print(f"\n{title}")
    width = max((len(name) for name, _ in rows), default=0)
    for name, value in rows:
        print(f"  {name.ljust(width)}  {value}")
