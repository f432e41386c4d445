"""Text and JSON output of the commands."""

import json
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

import typer

from ibisspoke_storage.config_store import PublishConflict
from ibisspoke_storage.store import StoreError

from .exit_code import EXIT_CODE_BY_KIND, ExitCode

COLUMN_GAP = "  "


def print_json(value: object) -> None:
    """Print ``value`` as indented JSON; named tuples become objects."""
    typer.echo(json.dumps(to_plain(value), indent=2))


def to_plain(value: Any) -> Any:
    """Return ``value`` with named tuples converted to dictionaries."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return to_plain(value._asdict())
    if isinstance(value, Mapping):
        return {str(key): to_plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [to_plain(item) for item in value]
    return value


def print_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows as a table with aligned columns."""
    cells = [[str(cell) for cell in row] for row in [header, *rows]]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        typer.echo(COLUMN_GAP.join(padded).rstrip())


def print_error(detail: str, remedy: str) -> None:
    """Print an error and its remedy to standard error."""
    typer.echo(f"ibisspoke: {detail}; {remedy}", err=True)


def report_error(error: StoreError | PublishConflict) -> ExitCode:
    """Print an error of the platform and return its exit code."""
    print_error(error.detail, error.remedy)
    if isinstance(error, StoreError):
        return EXIT_CODE_BY_KIND[error.kind]
    for change in error.changes:
        typer.echo(f"  {change}", err=True)
    return ExitCode.CONFLICT


def format_timestamp(wall_ms: float) -> str:
    """Format a time as ISO 8601 in UTC."""
    moment = datetime.fromtimestamp(wall_ms / 1000.0, UTC)
    return moment.isoformat(timespec="seconds").replace("+00:00", "Z")
