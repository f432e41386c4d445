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
from .output import fail, print_error, print_json
from .session import JsonOption, PlatformOption, Session, run

VersionOption = Annotated[
    int | None, typer.Option("--version", help="A version; the current one by default.")
]


def show(
    platform: PlatformOption,
    version: VersionOption = None,
    as_json: JsonOption = False,
) -> None:
    """Print a catalogue as TOML, ready to be edited and applied."""

    async def command(session: Session) -> ExitCode:
        found = await _read(session, version)
        if isinstance(found, Err):
            return fail(found.err_value)
        document = to_document(found.ok_value)
        if as_json:
            print_json({"version": found.ok_value.version, **document})
        else:
            typer.echo(f"# version {found.ok_value.version}")
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
    wanted: Catalogue | None = None
    if file is not None:
        loaded = load_catalogue(file)
        if isinstance(loaded, Err):
            print_faults(loaded.err_value)
            raise typer.Exit(ExitCode.BAD_INPUT)
        wanted = loaded.ok_value
    if file is None and before is None:
        print_error("nothing to compare", "name a file, or a version with --from")
        raise typer.Exit(ExitCode.BAD_INPUT)
    if file is not None and after is not None:
        print_error("both a file and --to are given", "leave one of them out")
        raise typer.Exit(ExitCode.BAD_INPUT)

    async def command(session: Session) -> ExitCode:
        return await _diff(session, wanted, before, after, as_json)

    run(platform, command)


async def _diff(
    session: Session,
    wanted: Catalogue | None,
    before: int | None,
    after: int | None,
    as_json: bool,
) -> ExitCode:
    earlier = await _read(session, before)
    if isinstance(earlier, Err):
        return fail(earlier.err_value)
    if wanted is None:
        later = await _read(session, after)
        if isinstance(later, Err):
            return fail(later.err_value)
        compared = later.ok_value
    else:
        compared = wanted._replace(keys_by_digest=earlier.ok_value.keys_by_digest)
    changes = difference(earlier.ok_value, compared)
    if as_json:
        print_json({"changes": changes})
        return ExitCode.OK
    for change in changes:
        typer.echo(str(change))
    if not changes:
        typer.echo("no difference")
    return ExitCode.OK


async def _read(session: Session, version: int | None) -> Result[Catalogue, StoreError]:
    if version is None:
        return await session.store.read_current()
    return await session.store.read_catalogue_at(version)
