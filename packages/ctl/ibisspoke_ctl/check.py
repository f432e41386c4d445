"""The ``check`` command."""

from pathlib import Path
from typing import Annotated

import typer
from result import Err

from ibisspoke_policy.document import Fault

from .exit_code import ExitCode
from .files import check_file
from .output import print_json
from .session import JsonOption


def check(
    files: Annotated[
        list[Path], typer.Argument(help="Catalogues and settings of nodes, in TOML.")
    ],
    as_json: JsonOption = False,
) -> None:
    """Validate files and show every error with its location and remedy."""
    faults: list[Fault] = []
    for path in files:
        checked = check_file(path)
        if isinstance(checked, Err):
            faults.extend(checked.err_value)
        elif not as_json:
            typer.echo(f"{path}: {checked.ok_value}")
    if as_json:
        print_json({"faults": faults})
    else:
        print_faults(faults)
    raise typer.Exit(ExitCode.BAD_INPUT if faults else ExitCode.OK)


def print_faults(faults: list[Fault]) -> None:
    """Print faults to standard error, one per line."""
    for fault in faults:
        typer.echo(str(fault), err=True)
