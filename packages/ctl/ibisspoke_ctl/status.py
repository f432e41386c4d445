"""The ``status`` command."""

import json
from typing import Annotated, Any

import typer
from result import Err
from tornado.httpclient import AsyncHTTPClient, HTTPError

from ibisspoke_policy.catalogue import Catalogue
from ibisspoke_storage.config_records import InForceRecord

from .exit_code import ExitCode
from .output import format_timestamp, print_error, print_json, print_table, report_error
from .session import PLATFORM_VARIABLE, JsonOption, Session, run

STATUS_TIMEOUT_S = 2.0


def status(
    platform: Annotated[
        str,
        typer.Option(
            "--platform",
            envvar=PLATFORM_VARIABLE,
            metavar="URL",
            help="Address of the platform.",
        ),
    ] = "",
    node: Annotated[
        str,
        typer.Option(
            metavar="URL", help="Status page of a node, such as http://127.0.0.1:7103."
        ),
    ] = "",
    as_json: JsonOption = False,
) -> None:
    """Show the version in force in each data centre, or the state of one node."""
    if node:
        run(platform, lambda session: _node_status(node, as_json))
    if not platform:
        print_error("no platform or node is named", "name --platform or --node")
        raise typer.Exit(ExitCode.BAD_INPUT)

    async def command(session: Session) -> ExitCode:
        return await _fleet_status(session, as_json)

    run(platform, command)


async def _fleet_status(session: Session, as_json: bool) -> ExitCode:
    current = await session.store.read_current_catalogue()
    if isinstance(current, Err):
        return report_error(current.err_value)
    records = await session.store.read_in_force()
    if isinstance(records, Err):
        return report_error(records.err_value)
    if as_json:
        print_json(
            {
                "version": current.ok_value.version,
                "in_force": list(records.ok_value.values()),
            }
        )
    else:
        _print_fleet(current.ok_value, records.ok_value)
    return ExitCode.OK


def _print_fleet(current: Catalogue, records: dict[str, InForceRecord]) -> None:
    n_calls = len(current.calls_by_id)
    n_organisations = len(current.organisations_by_id)
    n_keys = len(current.keys_by_digest)
    typer.echo(
        f"version {current.version}: {n_calls} calls, "
        f"{n_organisations} organisations, {n_keys} keys"
    )
    rows: list[tuple[object, ...]] = []
    for name in sorted(current.n_slots_by_data_centre.keys() | records.keys()):
        record = records.get(name)
        if record is None:
            rows.append((name, "-", "-", "no report yet"))
            continue
        when = format_timestamp(record.wall_ms)
        asked = f"{record.n_asked} of {record.n_present}"
        rows.append((name, record.version, asked, when))
    print_table(("data centre", "in force", "nodes asked", "since"), rows)


async def _node_status(url: str, as_json: bool) -> ExitCode:
    try:
        response = await AsyncHTTPClient().fetch(
            f"{url.rstrip('/')}/status", request_timeout=STATUS_TIMEOUT_S
        )
        page: dict[str, Any] = json.loads(response.body)
    except (HTTPError, OSError, ValueError) as error:
        print_error(
            f"the status page of {url} did not respond: {error}",
            "run this on the VM of the node: the page listens on loopback only",
        )
        return ExitCode.UNAVAILABLE
    if as_json:
        print_json(page)
        return ExitCode.OK
    rows: list[tuple[str, object]] = []
    for name, value in sorted(page.items()):
        if isinstance(value, dict):
            rows.extend((f"{name}.{key}", item) for key, item in sorted(value.items()))
        else:
            rows.append((name, value))
    print_table(("field", "value"), rows)
    return ExitCode.OK
