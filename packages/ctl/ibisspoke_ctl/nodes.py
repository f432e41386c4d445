"""The ``nodes`` command."""

from collections import Counter
from collections.abc import Sequence
from typing import Annotated

import typer
from result import Err

from ibisspoke_policy.member import Member
from ibisspoke_storage.member_records import read_members

from .exit_code import ExitCode
from .output import print_error, print_json, print_table, report_error
from .session import JsonOption, PlatformOption, Session, run

NO_SERVICE = "-"


def nodes(
    platform: PlatformOption,
    service: Annotated[str, typer.Option(help="Only nodes of this service.")] = "",
    data_centre: Annotated[
        str, typer.Option(help="Only nodes of this data centre.")
    ] = "",
    summary: Annotated[
        bool, typer.Option("--summary", help="Count by data centre and service.")
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """List the nodes that have registered on the platform.

    Each row dates from the last registration of its node; a failed node stays listed
    until a node with its id starts. `status --node` shows the current state of a node.
    """

    async def command(session: Session) -> ExitCode:
        result = await read_members(session.table)
        if isinstance(result, Err):
            return report_error(result.err_value)
        members, errors = result.ok_value
        for error in errors:
            print_error(error.detail, error.remedy)
        shown = [
            member
            for member in members
            if service in ("", member.service)
            and data_centre in ("", member.data_centre)
        ]
        if as_json:
            print_json({"nodes": shown})
        elif summary:
            _print_summary(shown)
        else:
            _print_nodes(shown)
        return ExitCode.FAILED if errors else ExitCode.OK

    run(platform, command)


def _print_nodes(members: Sequence[Member]) -> None:
    print_table(
        ("id", "data centre", "service", "slots", "state", "address", "entry"),
        [
            (
                member.id,
                member.data_centre,
                member.service or NO_SERVICE,
                member.n_slots,
                "draining" if member.draining else member.state.value,
                member.host,
                member.entry_port,
            )
            for member in members
        ],
    )


def _print_summary(members: Sequence[Member]) -> None:
    counts = Counter(
        (member.data_centre, member.service or NO_SERVICE) for member in members
    )
    rows = [(*group, n_nodes) for group, n_nodes in sorted(counts.items())]
    print_table(("data centre", "service", "nodes"), rows)
