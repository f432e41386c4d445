"""The ``apply`` command."""

from pathlib import Path
from typing import Annotated, NamedTuple

import typer
from result import Err, Ok, Result

from ibisspoke_policy.catalogue import Catalogue
from ibisspoke_policy.difference import Change, difference
from ibisspoke_storage.config_store import ChangeNote, PublishConflict
from ibisspoke_storage.store import StoreError

from .check import print_faults
from .exit_code import ExitCode
from .files import load_catalogue
from .in_force_wait import DEFAULT_WAIT_S, InForceWait
from .output import fail, print_error, print_json
from .session import (
    JsonOption,
    PlatformOption,
    Session,
    WaitOption,
    WhoOption,
    WhyOption,
    check_operation_id,
    make_note,
    run,
)


class ApplyOptions(NamedTuple):
    """How a catalogue is applied.

    :param base: the version that it must replace; None for whichever is current.
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
    yes: Annotated[bool, typer.Option("--yes", "-y", help="Do not ask.")] = False,
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
    """Put a catalogue in force; the keys in force stay as they are."""
    loaded = load_catalogue(file)
    if isinstance(loaded, Err):
        print_faults(loaded.err_value)
        raise typer.Exit(ExitCode.BAD_INPUT)
    note = make_note(who, why, operation_id)
    options = ApplyOptions(base, yes, wait, timeout, as_json)

    async def command(session: Session) -> ExitCode:
        return await _Apply(session, note, options).run(loaded.ok_value)

    run(platform, command)


class _Apply:
    """One application of a catalogue."""

    def __init__(
        self, session: Session, note: ChangeNote, options: ApplyOptions
    ) -> None:
        self._session = session
        self._note = note
        self._options = options

    async def run(self, wanted: Catalogue) -> ExitCode:
        """Show the changes, ask, publish and wait."""
        store = self._session.store
        done = await store.find_operation(self._note.operation_id)
        if isinstance(done, Err):
            return fail(done.err_value)
        if done.ok_value is not None:
            version = done.ok_value.version
            return await self._accepted(version, wanted, "was accepted before")
        current = await self._current()
        if isinstance(current, Err):
            return fail(current.err_value)
        proposed = keep_keys(current.ok_value, wanted)
        if isinstance(proposed, Err):
            return _refuse_orphans(proposed.err_value)
        changes = difference(current.ok_value, proposed.ok_value)
        self._print(changes)
        if not changes:
            version = current.ok_value.version
            return await self._accepted(version, wanted, "already says this")
        if not self._confirmed():
            return ExitCode.FAILED
        published = await store.publish(current.ok_value, proposed.ok_value, self._note)
        if isinstance(published, Err):
            return fail(published.err_value)
        return await self._accepted(published.ok_value.version, wanted, "is accepted")

    async def _current(self) -> Result[Catalogue, StoreError | PublishConflict]:
        store = self._session.store
        current = await store.read_current()
        base = self._options.base
        if isinstance(current, Err) or base in (None, current.ok_value.version):
            return current
        assert base is not None
        seen = await store.read_catalogue_at(base)
        if isinstance(seen, Err):
            return seen
        changes = difference(seen.ok_value, current.ok_value)
        detail = f"version {current.ok_value.version} is in force, not {base}"
        remedy = (
            "these changes came in between; put yours on top of them "
            "(`ibisspoke show`) and apply again"
        )
        return Err(PublishConflict(current.ok_value, changes, detail, remedy))

    def _print(self, changes: list[Change]) -> None:
        if self._options.as_json:
            return
        for change in changes:
            typer.echo(str(change))

    def _confirmed(self) -> bool:
        if self._options.assume_yes:
            return True
        return typer.confirm("Put these changes in force?", err=True)

    async def _accepted(self, version: int, wanted: Catalogue, verb: str) -> ExitCode:
        if self._options.as_json:
            operation_id = self._note.operation_id
            print_json({"version": version, "operation_id": operation_id})
        else:
            typer.echo(f"version {version} {verb}")
        if not self._options.wait:
            return ExitCode.OK
        waiting = InForceWait(self._session.store, self._session.clock)
        return await waiting.run(
            version, wanted.n_slots_by_data_centre, self._options.wait_s
        )


def keep_keys(current: Catalogue, wanted: Catalogue) -> Result[Catalogue, list[str]]:
    """Return ``wanted`` with the keys in force.

    :returns: the organisations that have keys but are not in ``wanted``, as error.
    """
    orphans = {
        key.organisation
        for key in current.keys_by_digest.values()
        if key.organisation not in wanted.organisations_by_id
    }
    if orphans:
        return Err(sorted(orphans))
    return Ok(wanted._replace(keys_by_digest=current.keys_by_digest))


def _refuse_orphans(organisations: list[str]) -> ExitCode:
    for organisation in organisations:
        print_error(
            f"organisation {organisation} is removed but has keys",
            f"withdraw them first: ibisspoke keys withdraw --all-of {organisation}",
        )
    return ExitCode.BAD_INPUT
