"""Goodput, recovery, fairness and false refusals under overload, with two baselines.

Runs both sites, scaled down, with the same callers in three modes: through nodes
(``ibisspoke``), directly to the upstreams (``uncontrolled``), and through nodes with a
fixed limit and without early shedding (``fixed_limit``). The last line of the output
is one JSON object.
"""

import argparse
import asyncio
import json
import sys
from pathlib import Path
from typing import Any, NamedTuple

SITES = ("lockbacken", "harmattan")
MODES = ("ibisspoke", "uncontrolled", "fixed_limit")
QUICK_TRIGGERS = ("surge", "greedy", "hang")
TRIGGERS = ("surge", "greedy", "slow", "hang")
MAX_PARALLEL_CASES_QUICK = 3
MAX_PARALLEL_CASES = 2


class Case(NamedTuple):
    """One run of the driver."""

    site: str
    mode: str


async def run_case(
    case: Case, triggers: tuple[str, ...], quick: bool, semaphore: asyncio.Semaphore
) -> dict[str, Any]:
    program = str(Path(__file__).with_name("_overload_driver.py"))
    arguments = [program, case.site, case.mode, *triggers]
    if quick:
        arguments.append("--quick")
    async with semaphore:
        process = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await process.communicate()
    if process.returncode != 0:
        raise RuntimeError(f"{case} failed; to debug it, run {' '.join(arguments)}")
    result: dict[str, Any] = json.loads(output.splitlines()[-1])
    print(json.dumps({**case._asdict(), **result}), flush=True)
    return result


def summarise(by_trigger: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """Return the figures of one site in one mode."""
    surge = by_trigger["surge"]
    recovery = {name: result["recovery_ms"] for name, result in by_trigger.items()}
    return {
        "goodput_share": surge["goodput_share"],
        "important_goodput_share": surge["important_goodput_share"],
        "recovery_ms": _longest_ms(list(recovery.values())),
        "worst_organisation_share": by_trigger["greedy"]["worst_organisation_share"],
        "wasted_work_share": surge["wasted_work_share"],
        "max_runs_per_request": _largest_by_service(
            [result["max_runs_per_request"] for result in by_trigger.values()]
        ),
        "doubled": sum(result["doubled"] for result in by_trigger.values()),
        "false_not_run": sum(r["false_not_run"] for r in by_trigger.values()),
        "recovery_ms_by_trigger": recovery,
    }


def worst_figures(by_site: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """Return the worse of the sites for each figure."""
    sites = list(by_site.values())
    lower_is_worse = (
        "goodput_share",
        "important_goodput_share",
        "worst_organisation_share",
    )
    figures: dict[str, Any] = {
        name: min(site[name] for site in sites) for name in lower_is_worse
    }
    figures["wasted_work_share"] = max(site["wasted_work_share"] for site in sites)
    figures["recovery_ms"] = _longest_ms([site["recovery_ms"] for site in sites])
    figures["max_runs_per_request"] = _largest_by_service(
        [site["max_runs_per_request"] for site in sites]
    )
    for name in ("doubled", "false_not_run"):
        figures[name] = sum(site[name] for site in sites)
    return figures


def _longest_ms(times_ms: list[float | None]) -> float | None:
    """Return the longest time, or None if any is None (not recovered)."""
    if any(time_ms is None for time_ms in times_ms):
        return None
    return max(time_ms for time_ms in times_ms if time_ms is not None)


def _largest_by_service(counts: list[dict[str, int]]) -> dict[str, int]:
    return {service: max(c[service] for c in counts) for service in counts[0]}


async def run(quick: bool, triggers: tuple[str, ...]) -> dict[str, Any]:
    semaphore = asyncio.Semaphore(
        MAX_PARALLEL_CASES_QUICK if quick else MAX_PARALLEL_CASES
    )
    cases = [Case(site, mode) for mode in MODES for site in SITES]
    results = await asyncio.gather(
        *(run_case(case, triggers, quick, semaphore) for case in cases)
    )
    result_by_case = dict(zip(cases, results, strict=True))
    output: dict[str, Any] = {"sites": {}}
    for mode in MODES:
        by_site = {site: summarise(result_by_case[Case(site, mode)]) for site in SITES}
        output["sites"][mode] = by_site
        output[mode] = worst_figures(by_site)
    return output


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="take under a minute")
    arguments = parser.parse_args()
    triggers = QUICK_TRIGGERS if arguments.quick else TRIGGERS
    print(json.dumps(asyncio.run(run(arguments.quick, triggers))))


if __name__ == "__main__":
    main()
