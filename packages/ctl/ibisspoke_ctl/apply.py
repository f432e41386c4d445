"""The ``apply`` command."""

from pathlib import Path
from typing import Annotated, NamedTuple

import typer
from result import Err, Ok, Result

from ibisspoke_policy.catalogue import Catalogue
from ibisspoke_policy.difference import Change, difference
from ibisspoke_storage.config_store import ChangeMetadata, PublishConflict
from ibisspoke_storage.store import StoreError

from .check import print_faults
from .exit_code import ExitCode
from .files import load_catalogue
from .in_force_wait import DEFAULT_WAIT_S, InForceWait
from .output import print_error, print_json, report_error
from .session import (
    JsonOption,
    PlatformOption,
    Session,
    WaitOption,
    WhoOption,
    WhyOption,
    check_operation_id,
    make_change_metadata,
    run,
)


class ApplyOptions(NamedTuple):
    """Options of the ``apply`` command.

    :param base: the version that must be current; None for any.
    """

    base: int | None
    assume_yes: bool
    wait: bool
    wait_s: float
    as_json: bool


def apply(
    file: Annotated[Path, typer.Argument(help="The catalogue, in TOML.")],
    why: WhyOption,
    platform: PlatformOption,
    who: WhoOption = "",
    base: Annotated[
        int | None,
        typer.Option(help="Apply only if this is the version in force."),
    ] = None,
    yes: Annotated[
        bool, typer.Option("--yes", "-y", help="Do not ask for confirmation.")
    ] = False,
    wait: WaitOption = False,
    timeout: Annotated[
        float, typer.Option(help="Seconds to wait with --wait.")
    ] = DEFAULT_WAIT_S,
    operation_id: Annotated[
        str,
        typer.Option(
            help="Repeat a change whose outcome is not known.",
            callback=check_operation_id,
        ),
    ] = "",
    as_json: JsonOption = False,
) -> None:
    """Put a catalogue in force; the keys in force are kept."""
    loaded = load_catalogue(file)
    if isinstance(loaded, Err):
        print_faults(loaded.err_value)
        raise typer.Exit(ExitCode.BAD_INPUT)
    metadata = make_change_metadata(who, why, operation_id)
    options = ApplyOptions(base, yes, wait, timeout, as_json)

    async def command(session: Session) -> ExitCode:
        return await _ApplyCommand(session, metadata, options).run(loaded.ok_value)

    run(platform, command)


class _ApplyCommand:
    """Runs the ``apply`` command for one catalogue."""

    def __init__(
        self, session: Session, metadata: ChangeMetadata, options: ApplyOptions
    ) -> None:
        self._session = session
        self._metadata = metadata
        self._options = options

    async def run(self, desired: Catalogue) -> ExitCode:
        """Show the changes, ask for confirmation, publish and wait."""
        store = self._session.store
        operation = await store.find_operation(self._metadata.operation_id)
        if isinstance(operation, Err):
            return report_error(operation.err_value)
        if operation.ok_value is not None:
            version = operation.ok_value.version
            return await self._report_accepted(version, desired, "was accepted before")
        current = await self._read_current()
        if isinstance(current, Err):
            return report_error(current.err_value)
        proposed = with_current_keys(current.ok_value, desired)
        if isinstance(proposed, Err):
            return _report_orphaned_keys(proposed.err_value)
        changes = difference(current.ok_value, proposed.ok_value)
        self._print_changes(changes)
        if not changes:
            version = current.ok_value.version
            return await self._report_accepted(
                version, desired, "already matches this catalogue"
            )
        if not self._confirm():
            return ExitCode.FAILED
        published = await store.publish(
            current.ok_value, proposed.ok_value, self._metadata
        )
        if isinstance(published, Err):
            return report_error(published.err_value)
        return await self._report_accepted(
            published.ok_value.version, desired, "is accepted"
        )

    async def _read_current(self) -> Result[Catalogue, StoreError | PublishConflict]:
        store = self._session.store
        current = await store.read_current_catalogue()
        base = self._options.base
        if isinstance(current, Err) or base in (None, current.ok_value.version):
            return current
        assert base is not None
        base_catalogue = await store.read_catalogue_at(base)
        if isinstance(base_catalogue, Err):
            return base_catalogue
        changes = difference(base_catalogue.ok_value, current.ok_value)
        detail = f"version {current.ok_value.version} is in force, not {base}"
        remedy = (
            "these changes came in between; put yours on top of them "
            "(`ibisspoke show`) and apply again"
        )
        return Err(PublishConflict(current.ok_value, changes, detail, remedy))

    def _print_changes(self, changes: list[Change]) -> None:
        if self._options.as_json:
            return
        for change in changes:
            typer.echo(str(change))

    def _confirm(self) -> bool:
        if self._options.assume_yes:
            return True
        return typer.confirm("Put these changes in force?", err=True)

    async def _report_accepted(
        self, version: int, desired: Catalogue, outcome: str
    ) -> ExitCode:
        if self._options.as_json:
            operation_id = self._metadata.operation_id
            print_json({"version": version, "operation_id": operation_id})
        else:
            typer.echo(f"version {version} {outcome}")
        if not self._options.wait:
            return ExitCode.OK
        in_force_wait = InForceWait(self._session.store, self._session.clock)
        return await in_force_wait.run(
            version, desired.n_slots_by_data_centre, self._options.wait_s
        )


def with_current_keys(
    current: Catalogue, desired: Catalogue
) -> Result[Catalogue, list[str]]:
    """Return ``desired`` with the keys of ``current``.

    :returns: as an error, the organisations that have keys but are not in ``desired``.
    """
    orphaned = {
        key.organisation
        for key in current.keys_by_digest.values()
        if key.organisation not in desired.organisations_by_id
    }
    if orphaned:
        return Err(sorted(orphaned))
    return Ok(desired._replace(keys_by_digest=current.keys_by_digest))


def _report_orphaned_keys(organisations: list[str]) -> ExitCode:
    for organisation in organisations:
        print_error(
            f"organisation {organisation} is removed but has keys",
            f"withdraw them first: ibisspoke keys withdraw --all-of {organisation}",
        )
    return ExitCode.BAD_INPUT
