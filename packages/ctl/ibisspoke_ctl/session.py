"""Connection of one command to the platform."""

import asyncio
import getpass
import os
import uuid
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Annotated, NamedTuple

import typer

from ibisspoke_platform.config_store import ChangeNote, ConfigStore
from ibisspoke_platform.http_store import HttpStore
from ibisspoke_platform.store import TableService
from ibisspoke_policy.clock import Clock

from .exit_code import ExitCode

PLATFORM_VARIABLE = "IBISSPOKE_PLATFORM"
WHO_VARIABLE = "IBISSPOKE_WHO"

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
    str, typer.Option("--why", metavar="TEXT", help="Reason, kept in the audit trail.")
]
WhoOption = Annotated[
    str,
    typer.Option(
        "--who",
        envvar=WHO_VARIABLE,
        metavar="NAME",
        help="Who makes the change; the name of the user by default.",
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
WaitOption = Annotated[
    bool, typer.Option("--wait", help="Wait until it is in force everywhere.")
]


class Session(NamedTuple):
    """The platform as the commands use it."""

    store: ConfigStore
    table: TableService
    clock: Clock


def run(platform: str, command: Callable[[Session], Awaitable[ExitCode]]) -> None:
    """Run ``command`` with a session and leave with its exit code.

    :raises typer.Exit: always.
    """

    async def body() -> ExitCode:
        with open_session(platform) as session:
            return await command(session)

    raise typer.Exit(asyncio.run(body()))


def make_note(who: str, why: str, operation_id: str = "") -> ChangeNote:
    """Return the note that goes with a change."""
    return ChangeNote(
        operation_id or uuid.uuid4().hex, who or _default_who(), why.strip()
    )


@contextmanager
def open_session(platform: str) -> Iterator[Session]:
    """Open a session with the platform at a URL."""
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
