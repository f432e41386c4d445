"""The ``keys`` commands."""

import secrets
from collections.abc import Callable
from typing import Annotated

import typer
from result import Err, Ok, Result

from ibisspoke_policy.catalogue import Catalogue, Key, digest_key
from ibisspoke_policy.difference import N_SHOWN_DIGEST_CHARACTERS
from ibisspoke_storage.config_store import ChangeMetadata, PublishConflict, Published
from ibisspoke_storage.store import StoreError, StoreErrorKind

from .exit_code import ExitCode
from .in_force_wait import DEFAULT_WAIT_S, InForceWait
from .output import format_timestamp, print_error, print_json, print_table, report_error
from .session import (
    JsonOption,
    PlatformOption,
    Session,
    WaitOption,
    WhoOption,
    WhyOption,
    check_text,
    make_change_metadata,
    run,
)

KEY_PREFIX = "ibk_"
N_KEY_BYTES = 32
MIN_ID_CHARACTERS = 6
MAX_REBASES = 8

keys_app = typer.Typer(
    help="Give, withdraw and list keys of organisations.", rich_markup_mode=None
)

Edit = Callable[[Catalogue], Result[Catalogue, StoreError]]


@keys_app.command()
def give(
    organisation: Annotated[str, typer.Argument(help="Id of the organisation.")],
    label: Annotated[
        str, typer.Option(help="What the key is for.", callback=check_text)
    ],
    why: WhyOption,
    platform: PlatformOption,
    who: WhoOption = "",
    wait: WaitOption = False,
    as_json: JsonOption = False,
) -> None:
    """Give an organisation a key; the key is shown once and not stored."""
    key = KEY_PREFIX + secrets.token_urlsafe(N_KEY_BYTES)

    async def command(session: Session) -> ExitCode:
        record = Key(digest_key(key), organisation, label, int(session.clock.wall_ms()))
        published = await _publish(
            session,
            make_change_metadata(who, why),
            lambda current: _add_key(current, record),
        )
        if isinstance(published, Err):
            return _report_give_failure(published.err_value, key)
        if as_json:
            print_json(
                {"key": key, "id": record.digest, "version": published.ok_value.version}
            )
        else:
            typer.echo(key)
            shown = record.digest[:N_SHOWN_DIGEST_CHARACTERS]
            version = published.ok_value.version
            typer.echo(
                f"key {shown} of {organisation}, version {version}; "
                "it is not shown again",
                err=True,
            )
        return await _wait(session, published.ok_value.version, wait)

    run(platform, command)


@keys_app.command()
def withdraw(
    why: WhyOption,
    platform: PlatformOption,
    ids: Annotated[
        list[str] | None,
        typer.Argument(help="Ids from `keys list`, or their first 6 characters."),
    ] = None,
    all_of: Annotated[
        str, typer.Option(metavar="ORGANISATION", help="All keys of this organisation.")
    ] = "",
    from_stdin: Annotated[
        bool, typer.Option("--stdin", help="Read the key itself from standard input.")
    ] = False,
    who: WhoOption = "",
    wait: WaitOption = False,
) -> None:
    """Withdraw keys; they stop working within seconds, on open connections too."""
    key_ids = list(ids or [])
    if from_stdin:
        key_ids.append(digest_key(typer.get_text_stream("stdin").readline().strip()))
    if not key_ids and not all_of:
        print_error("no key is named", "name ids, --all-of ORGANISATION or --stdin")
        raise typer.Exit(ExitCode.BAD_INPUT)

    async def command(session: Session) -> ExitCode:
        published = await _publish(
            session,
            make_change_metadata(who, why),
            lambda current: _remove_keys(current, key_ids, all_of),
        )
        if isinstance(published, Err):
            return report_error(published.err_value)
        typer.echo(f"version {published.ok_value.version} is accepted")
        return await _wait(session, published.ok_value.version, wait)

    run(platform, command)


@keys_app.command(name="list")
def list_keys(
    platform: PlatformOption,
    organisation: Annotated[
        str, typer.Argument(help="Only keys of this organisation.")
    ] = "",
    as_json: JsonOption = False,
) -> None:
    """List the keys in force by id; the keys themselves are not stored."""

    async def command(session: Session) -> ExitCode:
        current = await session.store.read_current_catalogue()
        if isinstance(current, Err):
            return report_error(current.err_value)
        keys = [
            key
            for key in current.ok_value.keys_by_digest.values()
            if organisation in ("", key.organisation)
        ]
        keys.sort(key=lambda key: (key.organisation, key.given_wall_ms))
        if as_json:
            print_json({"keys": keys})
            return ExitCode.OK
        print_table(
            ("id", "organisation", "given", "label"),
            [
                (
                    key.digest[:N_SHOWN_DIGEST_CHARACTERS],
                    key.organisation,
                    format_timestamp(key.given_wall_ms),
                    key.label,
                )
                for key in keys
            ],
        )
        return ExitCode.OK

    run(platform, command)


async def _publish(
    session: Session, metadata: ChangeMetadata, edit: Edit
) -> Result[Published, StoreError | PublishConflict]:
    """Publish an edit of the keys; reapply it if others publish first."""
    published: Result[Published, StoreError | PublishConflict]
    for _ in range(MAX_REBASES):
        current = await session.store.read_current_catalogue()
        if isinstance(current, Err):
            return current
        edited = edit(current.ok_value)
        if isinstance(edited, Err):
            return edited
        published = await session.store.publish(
            current.ok_value, edited.ok_value, metadata
        )
        if isinstance(published, Ok) or isinstance(published.err_value, StoreError):
            return published
    return published


def _add_key(current: Catalogue, key: Key) -> Result[Catalogue, StoreError]:
    if key.organisation not in current.organisations_by_id:
        known = ", ".join(sorted(current.organisations_by_id)) or "none yet"
        return Err(
            StoreError(
                StoreErrorKind.NOT_FOUND,
                f"there is no organisation {key.organisation}",
                f"name one of the catalogue in force: {known}",
            )
        )
    keys = current.keys_by_digest | {key.digest: key}
    return Ok(current._replace(keys_by_digest=keys))


def _remove_keys(
    current: Catalogue, ids: list[str], all_of: str
) -> Result[Catalogue, StoreError]:
    digests = {
        key.digest
        for key in current.keys_by_digest.values()
        if key.organisation == all_of
    }
    if all_of and not digests:
        return Err(_key_not_found(f"{all_of} has no key"))
    for id in ids:
        matching = [
            digest for digest in current.keys_by_digest if digest.startswith(id)
        ]
        if len(id) < MIN_ID_CHARACTERS or len(matching) != 1:
            return Err(
                _key_not_found(f"{len(matching)} keys have an id that starts with {id}")
            )
        digests.update(matching)
    remaining_keys = {
        digest: key
        for digest, key in current.keys_by_digest.items()
        if digest not in digests
    }
    return Ok(current._replace(keys_by_digest=remaining_keys))


def _key_not_found(detail: str) -> StoreError:
    remedy = "take at least 6 characters of an id that `ibisspoke keys list` shows"
    return StoreError(StoreErrorKind.NOT_FOUND, detail, remedy)


def _report_give_failure(error: StoreError | PublishConflict, key: str) -> ExitCode:
    """Report the error; print the key if it may be in force, so that it is not lost."""
    if isinstance(error, StoreError) and error.kind is StoreErrorKind.UNKNOWN:
        typer.echo(key)
        remedy = "check with `ibisspoke keys list` whether it is in force"
        return report_error(error._replace(remedy=remedy))
    return report_error(error)


async def _wait(session: Session, version: int, wait: bool) -> ExitCode:
    if not wait:
        return ExitCode.OK
    current = await session.store.read_current_catalogue()
    if isinstance(current, Err):
        return report_error(current.err_value)
    data_centres = current.ok_value.n_slots_by_data_centre
    in_force_wait = InForceWait(session.store, session.clock)
    return await in_force_wait.run(version, data_centres, DEFAULT_WAIT_S)
