"""Session of one command with the platform, and options that commands share."""

import asyncio
import getpass
import os
import re
import uuid
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Annotated, NamedTuple

import typer

from ibisspoke_policy.clock import Clock
from ibisspoke_storage.config_store import ChangeMetadata, ConfigStore
from ibisspoke_storage.http_store import HttpStore
from ibisspoke_storage.store import TableService

from .exit_code import ExitCode

PLATFORM_VARIABLE = "IBISSPOKE_PLATFORM"
WHO_VARIABLE = "IBISSPOKE_WHO"

MAX_TEXT_CHARACTERS = 500
OPERATION_ID_PATTERN = re.compile(r"[A-Za-z0-9_-]{1,64}")


def check_text(value: str) -> str:
    """Validate a text for the audit record and return it without outer spaces.

    :raises typer.BadParameter: if it is empty, too long or not printable.
    """
    text = value.strip()
    if not text or len(text) > MAX_TEXT_CHARACTERS or not text.isprintable():
        raise typer.BadParameter(
            f"write one line of 1 to {MAX_TEXT_CHARACTERS} printable characters"
        )
    return text


def check_optional_text(value: str) -> str:
    """Validate a text for the audit record; an empty one is allowed."""
    return check_text(value) if value else value


def check_operation_id(value: str) -> str:
    """Validate an operation id; an empty one is allowed.

    :raises typer.BadParameter: if it does not have the form that commands print.
    """
    if value and not OPERATION_ID_PATTERN.fullmatch(value):
        raise typer.BadParameter("write it exactly as the earlier command printed it")
    return value


PlatformOption = Annotated[
    str,
    typer.Option(
        "--platform",
        envvar=PLATFORM_VARIABLE,
        metavar="URL",
        help="Address of the platform, such as http://10.0.0.9:7000.",
    ),
]
WhyOption = Annotated[
    str,
    typer.Option(
        "--why",
        metavar="TEXT",
        help="Reason, stored in the audit trail.",
        callback=check_text,
    ),
]
WhoOption = Annotated[
    str,
    typer.Option(
        "--who",
        envvar=WHO_VARIABLE,
        metavar="NAME",
        help="Who makes the change; the name of the user by default.",
        callback=check_optional_text,
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
WaitOption = Annotated[
    bool, typer.Option("--wait", help="Wait until it is in force everywhere.")
]


class Session(NamedTuple):
    """Access of a command to the platform."""

    store: ConfigStore
    table: TableService
    clock: Clock


def run(platform: str, command: Callable[[Session], Awaitable[ExitCode]]) -> None:
    """Run ``command`` with a session and exit with its exit code.

    :raises typer.Exit: always.
    """

    async def body() -> ExitCode:
        with open_session(platform) as session:
            return await command(session)

    raise typer.Exit(asyncio.run(body()))


def make_change_metadata(who: str, why: str, operation_id: str = "") -> ChangeMetadata:
    """Return the metadata of a change, with defaults for the id and the user."""
    return ChangeMetadata(operation_id or uuid.uuid4().hex, who or _default_who(), why)


@contextmanager
def open_session(platform: str) -> Iterator[Session]:
    """Open a session with the platform at the URL ``platform``."""
    http = HttpStore(platform)
    clock = Clock()
    try:
        yield Session(ConfigStore(http, http, clock), http, clock)
    finally:
        http.close()


def _default_who() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return f"uid {os.getuid()}"
