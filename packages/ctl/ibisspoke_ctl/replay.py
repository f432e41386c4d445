"""The ``replay`` command."""

from pathlib import Path
from typing import Annotated

import msgspec
import typer
from result import Err, Ok, Result

from ibisspoke_policy.replay import (
    Divergence,
    ExpectedOutcome,
    ReplayReport,
    check,
    replay,
)

from .exit_code import ExitCode
from .output import print_error, print_json, print_table
from .session import JsonOption

STATED_SUFFIX = ".outcome.json"
MAX_SHOWN_DIVERGENCES = 5


def replay_trace(
    trace: Annotated[Path, typer.Argument(help="A recorded trace, JSON lines.")],
    stated: Annotated[
        Path | None,
        typer.Option(
            help="What the outcome must be, JSON; the file next to the trace that "
            f"ends in {STATED_SUFFIX} by default."
        ),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Replay recorded decisions and compare them with the stated outcome."""
    expected = _load_expected(stated, _default_outcome_path(trace))
    if isinstance(expected, Err):
        print_error(expected.err_value, "see docs/OPERATING.md, Replaying")
        raise typer.Exit(ExitCode.BAD_INPUT)
    try:
        lines = trace.read_bytes().splitlines()
    except OSError as error:
        print_error(str(error), "name a trace that can be read")
        raise typer.Exit(ExitCode.BAD_INPUT) from None
    replayed = replay(lines)
    if isinstance(replayed, Err):
        problem = replayed.err_value
        print_error(f"{trace}:{problem.line}: {problem.detail}", problem.remedy)
        raise typer.Exit(ExitCode.BAD_INPUT)
    report = replayed.ok_value
    misses = check(report.outcome, expected.ok_value)
    if as_json:
        print_json({**report._asdict(), "misses": misses})
    else:
        _print_report(trace, report, misses)
    passed = not misses and not report.divergences
    raise typer.Exit(ExitCode.OK if passed else ExitCode.FAILED)


def _default_outcome_path(trace: Path) -> Path:
    return trace.with_name(trace.stem + STATED_SUFFIX)


def _load_expected(path: Path | None, default: Path) -> Result[ExpectedOutcome, str]:
    """Load the expected outcome; an empty one without a file."""
    if path is None and not default.exists():
        return Ok(ExpectedOutcome())
    outcome_path = path or default
    try:
        data = outcome_path.read_bytes()
        fields = msgspec.json.decode(data, type=dict[str, object])
        expected = msgspec.convert(fields, ExpectedOutcome)
    except (OSError, msgspec.DecodeError) as error:
        return Err(f"{outcome_path} cannot be used: {error}")
    known = ExpectedOutcome.__annotations__
    unknown = sorted(fields.keys() - known.keys())
    if unknown:
        names = ", ".join(sorted(known))
        return Err(
            f"{outcome_path}: {', '.join(unknown)} is unknown, known are {names}"
        )
    return Ok(expected)


def _print_report(trace: Path, report: ReplayReport, misses: list[str]) -> None:
    outcome = report.outcome
    typer.echo(f"{trace}: {report.n_steps} steps")
    print_table(
        ("importance", "offered", "started"),
        [
            (name, n_offered, outcome.n_started_by_class.get(name, 0))
            for name, n_offered in sorted(outcome.n_offered_by_class.items())
        ],
    )
    for kind, n_refused in sorted(outcome.n_refused_by_kind.items()):
        typer.echo(f"refused {kind}: {n_refused}")
    typer.echo(f"aborted: {outcome.n_aborted}")
    typer.echo(f"most in flight: {outcome.max_in_flight}")
    for miss in misses:
        typer.echo(f"missed: {miss}")
    for divergence in report.divergences[:MAX_SHOWN_DIVERGENCES]:
        _print_divergence(divergence)
    n_hidden = len(report.divergences) - MAX_SHOWN_DIVERGENCES
    if n_hidden > 0:
        typer.echo(f"and at least {n_hidden} more; see --json")


def _print_divergence(divergence: Divergence) -> None:
    where = f"line {divergence.line}, {divergence.at_ms:.0f} ms"
    recorded = msgspec.json.encode(divergence.recorded).decode()
    replayed = msgspec.json.encode(divergence.replayed).decode()
    typer.echo(f"differs at {where}: recorded {recorded}, now {replayed}")
