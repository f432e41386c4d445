"""Wait until a version is in force in every data centre."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import typer
from result import Err

from ibisspoke_policy.clock import Clock
from ibisspoke_storage.config_reader import ConfigReader
from ibisspoke_storage.config_records import InForceRecord

from .exit_code import ExitCode
from .output import print_error

DEFAULT_WAIT_S = 30.0
POLL_INTERVAL_MS = 250.0

Sleep = Callable[[float], Awaitable[None]]


class InForceWait:
    """Polls the reports of the data centres until a version is in force.

    :param clock: measures the time waited.
    :param sleep: coroutine that waits a number of seconds between polls.
    """

    def __init__(
        self, reader: ConfigReader, clock: Clock, sleep: Sleep = asyncio.sleep
    ) -> None:
        self._reader = reader
        self._clock = clock
        self._sleep = sleep

    async def run(
        self, version: int, data_centres: Iterable[str], timeout_s: float
    ) -> ExitCode:
        """Print each data centre when it reports ``version`` or a later one."""
        started_ms = self._clock.now_ms()
        pending = sorted(data_centres)
        last_error = ""
        while pending:
            elapsed_ms = self._clock.now_ms() - started_ms
            records = await self._reader.read_in_force()
            if isinstance(records, Err):
                last_error = f" ({records.err_value.detail})"
            else:
                last_error = ""
                for name in list(pending):
                    record = records.ok_value.get(name)
                    if record is not None and record.version >= version:
                        pending.remove(name)
                        _print_in_force(record, elapsed_ms)
            if pending and elapsed_ms >= timeout_s * 1000.0:
                return _report_not_in_force(version, pending, last_error)
            if pending:
                await self._sleep(POLL_INTERVAL_MS / 1000.0)
        return ExitCode.OK


def _print_in_force(record: InForceRecord, elapsed_ms: float) -> None:
    typer.echo(
        f"{record.data_centre}: version {record.version} in force after "
        f"{elapsed_ms / 1000.0:.1f} s ({record.n_asked} of {record.n_present} "
        "nodes asked)"
    )


def _report_not_in_force(version: int, pending: list[str], last_error: str) -> ExitCode:
    print_error(
        f"version {version} is accepted but not yet in force in "
        f"{', '.join(pending)}{last_error}",
        "check again with `ibisspoke status`; an isolated data centre is updated when "
        "it is reachable again",
    )
    return ExitCode.NOT_IN_FORCE
