"""The ``history`` and ``audit`` commands."""

from typing import Annotated, TypedDict

import typer
from result import Err

from ibisspoke_policy.difference import Change
from ibisspoke_storage.config_records import AuditRecord

from .exit_code import ExitCode
from .output import format_timestamp, print_json, print_table, report_error
from .session import JsonOption, PlatformOption, Session, run

DEFAULT_N_RECORDS = 20
MAX_N_RECORDS = 1_000


def history(
    platform: PlatformOption,
    number: Annotated[
        int,
        typer.Option(
            "--number", "-n", min=1, max=MAX_N_RECORDS, help="Number of versions."
        ),
    ] = DEFAULT_N_RECORDS,
    before: Annotated[
        int | None, typer.Option(help="Only versions below this one.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """List versions, newest first: when, who and why."""

    async def command(session: Session) -> ExitCode:
        records = await session.store.read_history(number, before)
        if isinstance(records, Err):
            return report_error(records.err_value)
        if as_json:
            print_json({"versions": [_audit_fields(r) for r in records.ok_value]})
            return ExitCode.OK
        print_table(
            ("version", "when", "who", "changes", "why"),
            [
                (r.version, format_timestamp(r.wall_ms), r.who, r.n_changes, r.why)
                for r in records.ok_value
            ],
        )
        return ExitCode.OK

    run(platform, command)


def audit(
    version: Annotated[int, typer.Argument(help="A version.")],
    platform: PlatformOption,
    as_json: JsonOption = False,
) -> None:
    """Show one version in full: who, when, why and what changed."""

    async def command(session: Session) -> ExitCode:
        record = await session.store.read_audit(version)
        if isinstance(record, Err):
            return report_error(record.err_value)
        if as_json:
            print_json(_audit_fields(record.ok_value))
        else:
            _print_record(record.ok_value)
        return ExitCode.OK

    run(platform, command)


class AuditFields(TypedDict):
    """An audit record in the JSON output."""

    version: int
    wall_ms: int
    who: str
    why: str
    operation_id: str
    digest: str
    n_changes: int
    changes: list[Change]


def _audit_fields(record: AuditRecord) -> AuditFields:
    return AuditFields(
        version=record.version,
        wall_ms=record.wall_ms,
        who=record.who,
        why=record.why,
        operation_id=record.made.operation_id,
        digest=record.made.digest,
        n_changes=record.n_changes,
        changes=record.changes,
    )


def _print_record(record: AuditRecord) -> None:
    typer.echo(f"version    {record.version}")
    typer.echo(f"when       {format_timestamp(record.wall_ms)}")
    typer.echo(f"who        {record.who}")
    typer.echo(f"why        {record.why}")
    typer.echo(f"operation  {record.made.operation_id}")
    typer.echo(f"digest     {record.made.digest}")
    for change in record.changes:
        typer.echo(f"  {change}")
    n_omitted = record.n_changes - len(record.changes)
    if n_omitted:
        earlier = record.version - 1
        typer.echo(
            f"  and {n_omitted} more: "
            f"ibisspoke diff --from {earlier} --to {record.version}"
        )
