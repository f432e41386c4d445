"""The ``show`` and ``diff`` commands."""

from pathlib import Path
from typing import Annotated

import tomli_w
import typer
from result import Err, Result

from ibisspoke_policy.catalogue import Catalogue
from ibisspoke_policy.catalogue_file import to_document
from ibisspoke_policy.difference import difference
from ibisspoke_storage.store import StoreError

from .check import print_faults
from .exit_code import ExitCode
from .files import load_catalogue
from .output import print_error, print_json, report_error
from .session import JsonOption, PlatformOption, Session, run

VersionOption = Annotated[
    int | None, typer.Option("--version", help="A version; the current one by default.")
]


def show(
    platform: PlatformOption,
    version: VersionOption = None,
    as_json: JsonOption = False,
) -> None:
    """Print a catalogue as TOML that can be edited and applied."""

    async def command(session: Session) -> ExitCode:
        catalogue = await _read_catalogue(session, version)
        if isinstance(catalogue, Err):
            return report_error(catalogue.err_value)
        document = to_document(catalogue.ok_value)
        if as_json:
            print_json({"version": catalogue.ok_value.version, **document})
        else:
            typer.echo(f"# version {catalogue.ok_value.version}")
            typer.echo(tomli_w.dumps(document), nl=False)
        return ExitCode.OK

    run(platform, command)


def diff(
    platform: PlatformOption,
    file: Annotated[
        Path | None, typer.Argument(help="A catalogue to compare, in TOML.")
    ] = None,
    before: Annotated[
        int | None, typer.Option("--from", help="The earlier version.")
    ] = None,
    after: Annotated[
        int | None, typer.Option("--to", help="The later version.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Show what differs between two versions, or what a file would change."""
    desired: Catalogue | None = None
    if file is not None:
        loaded = load_catalogue(file)
        if isinstance(loaded, Err):
            print_faults(loaded.err_value)
            raise typer.Exit(ExitCode.BAD_INPUT)
        desired = loaded.ok_value
    if file is None and before is None:
        print_error("nothing to compare", "name a file, or a version with --from")
        raise typer.Exit(ExitCode.BAD_INPUT)
    if file is not None and after is not None:
        print_error("both a file and --to are given", "leave one of them out")
        raise typer.Exit(ExitCode.BAD_INPUT)

    async def command(session: Session) -> ExitCode:
        return await _diff(session, desired, before, after, as_json)

    run(platform, command)


async def _diff(
    session: Session,
    desired: Catalogue | None,
    before: int | None,
    after: int | None,
    as_json: bool,
) -> ExitCode:
    earlier = await _read_catalogue(session, before)
    if isinstance(earlier, Err):
        return report_error(earlier.err_value)
    if desired is None:
        later = await _read_catalogue(session, after)
        if isinstance(later, Err):
            return report_error(later.err_value)
        compared = later.ok_value
    else:
        compared = desired._replace(keys_by_digest=earlier.ok_value.keys_by_digest)
    changes = difference(earlier.ok_value, compared)
    if as_json:
        print_json({"changes": changes})
        return ExitCode.OK
    for change in changes:
        typer.echo(str(change))
    if not changes:
        typer.echo("no difference")
    return ExitCode.OK


async def _read_catalogue(
    session: Session, version: int | None
) -> Result[Catalogue, StoreError]:
    if version is None:
        return await session.store.read_current_catalogue()
    return await session.store.read_catalogue_at(version)
