"""Show the system under faults for about 20 seconds: ``make demo``.

Exits with a non-zero code if a guarantee was violated.
"""

import asyncio
import json
import random
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient, HTTPError

from ibisspoke_policy.clock import Clock

from .callers import Caller
from .demo_catalogue import (
    CALL_KINDS_BY_ORGANISATION,
    CHANGED_RATE_PER_S,
    DRAINED_NODE,
    NESTED_TARGET,
    OLD_TILL_LOOKUP,
    PLACES,
    RATE_BY_ORGANISATION,
    STOPPED_NODE,
    STUCK_NODE,
    TRAFFIC_MS,
    TRUNCATING_NODE,
    UPSTREAM_BY_SERVICE,
    catalogue_text,
)
from .demo_fleet import ChildError, Fleet, RunningNode, running_fleet, running_platform
from .demo_record import DemoRecord
from .demo_report import goodput_per_s, refusals_by_kind
from .demo_results import check_guarantees, report

SEED = 20261204
CHANGE_AT_MS = 3_000.0
WITHDRAW_AT_MS = 5_000.0
STUCK_AT_MS = 7_000.0
UNSTUCK_AT_MS = 10_500.0
PLATFORM_DOWN_AT_MS = 11_500.0
PLATFORM_DOWN_MS = 2_000.0
TRUNCATE_AT_MS = 12_500.0
TRUNCATE_FOR_MS = 1_000.0
DRAIN_AT_MS = 14_000.0
STOP_AT_MS = 16_500.0
PROGRESS_INTERVAL_MS = 2_000.0
VERSION_POLL_MS = 200.0
READY_TIMEOUT_MS = 30_000.0
MAX_CLIENTS = 200


class Demo:
    """One run of the demonstration: traffic with scheduled faults.

    :param fleet: the running processes.
    """

    def __init__(self, fleet: Fleet, clock: Clock) -> None:
        self.fleet = fleet
        self.clock = clock
        self.record = DemoRecord(fleet)
        self._key_by_name: dict[str, str] = {}

    async def run(self) -> DemoRecord:
        """Issue keys, send traffic under faults, and return the record."""
        for node in self.fleet.nodes:
            if node.place.service == "ordering":
                node.upstream.nested_call = _nested_call(node)
        await self._wait_ready(await self._issue_keys())
        self._record_time("start")
        version_watch = asyncio.ensure_future(self._watch_versions())
        progress = asyncio.ensure_future(self._show_progress())
        try:
            await asyncio.gather(*self._traffic(), *self._scheduled_events())
        finally:
            version_watch.cancel()
            progress.cancel()
        self._record_time("end")
        self.record.n_platform_requests = await self.fleet.n_platform_requests()
        return self.record

    def _record_time(self, event: str) -> None:
        self.record.time_ms_by_event[event] = self.clock.now_ms()

    async def _issue_keys(self) -> int:
        """Issue a key for each caller and return the last version."""
        version = 0
        for name in [*RATE_BY_ORGANISATION, "old-till"]:
            organisation = "karlstad" if name == "old-till" else name
            output = await self.fleet.run_command(
                *("keys", "give", organisation, "--label", name),
                *("--why", "demonstration", "--json"),
            )
            given = json.loads(output)
            self._key_by_name[name] = given["key"]
            version = given["version"]
        self.record.keys = list(self._key_by_name.values())
        return version

    async def _wait_ready(self, version: int) -> None:
        """Wait until all nodes know each other and have the keys."""
        deadline_ms = self.clock.now_ms() + READY_TIMEOUT_MS
        while True:
            pages = [await node.status() for node in self.fleet.nodes]
            if all(_is_ready(page, version) for page in pages):
                return
            if self.clock.now_ms() > deadline_ms:
                seen = [
                    f"{page['id']}: version {page['catalogue_version']}, "
                    f"{page['n_members']} members"
                    for page in pages
                ]
                raise ChildError(f"the nodes did not become ready: {'; '.join(seen)}")
            await asyncio.sleep(VERSION_POLL_MS / 1000.0)

    def _traffic(self) -> list[Awaitable[None]]:
        """Return two callers of each organisation and one whose key is withdrawn."""
        ports = [node.entry_port for node in self.fleet.nodes]
        caller_runs: list[Awaitable[None]] = []
        for name, kinds in CALL_KINDS_BY_ORGANISATION.items():
            half_rate_kinds = [
                kind._replace(rate_per_s=kind.rate_per_s / 2) for kind in kinds
            ]
            for n in range(2):
                ports = [*ports[2:], *ports[:2]]
                caller = self._make_caller(f"{name}-{n}", name, name, ports)
                caller_runs.append(caller.run(half_rate_kinds, TRAFFIC_MS))
        old_till = self._make_caller("karlstad-old-till", "karlstad", "old-till", ports)
        caller_runs.append(old_till.run([OLD_TILL_LOOKUP], TRAFFIC_MS))
        return caller_runs

    def _make_caller(
        self, name: str, organisation: str, key_name: str, ports: list[int]
    ) -> Caller:
        return Caller(
            name,
            organisation,
            self._key_by_name[key_name],
            ports,
            self.record.outcomes,
            self.clock,
            random.Random(f"{SEED} {name}"),
        )

    def _scheduled_events(self) -> list[Awaitable[None]]:
        return [
            self._run_at(
                CHANGE_AT_MS, "a catalogue change is applied", self._apply_change
            ),
            self._run_at(WITHDRAW_AT_MS, "a key is withdrawn", self._withdraw_key),
            self._run_at(
                STUCK_AT_MS, f"{STUCK_NODE} gets stuck", self._start_stuck_fault
            ),
            self._run_at(
                UNSTUCK_AT_MS, f"{STUCK_NODE} works again", self._end_stuck_fault
            ),
            self._run_at(
                PLATFORM_DOWN_AT_MS,
                "the platform is down for 2 s",
                self._interrupt_platform,
            ),
            self._run_at(
                TRUNCATE_AT_MS,
                f"{TRUNCATING_NODE} truncates its answers for 1 s",
                self._truncate_answers,
            ),
            self._run_at(DRAIN_AT_MS, f"{DRAINED_NODE} drains", self._drain_upstream),
            self._run_at(
                STOP_AT_MS, f"node {STOPPED_NODE} is stopped", self._stop_node
            ),
        ]

    async def _run_at(
        self, at_ms: float, title: str, action: Callable[[], Awaitable[None]]
    ) -> None:
        await asyncio.sleep(at_ms / 1000.0)
        print(f"  {at_ms / 1000.0:4.1f} s  ** {title}", flush=True)
        await action()

    async def _apply_change(self) -> None:
        path = self.fleet.directory / "catalogue.toml"
        path.write_text(catalogue_text(CHANGED_RATE_PER_S))
        output = await self.fleet.run_command(
            "apply", str(path), "--yes", "--why", "karlstad grows", "--wait"
        )
        await self._record_version("changed")
        for line in output.splitlines():
            if "in force after" in line:
                print(f"             {line}", flush=True)

    async def _withdraw_key(self) -> None:
        listed = json.loads(await self.fleet.run_command("keys", "list", "--json"))
        (digest,) = [k["digest"] for k in listed["keys"] if k["label"] == "old-till"]
        await self.fleet.run_command(
            "keys", "withdraw", digest, "--why", "till was stolen"
        )
        await self._record_version("withdrawn")

    async def _record_version(self, event: str) -> None:
        """Record the latest version and when it was accepted."""
        output = await self.fleet.run_command("history", "-n", "1", "--json")
        (latest,) = json.loads(output)["versions"]
        age_ms = self.clock.wall_ms() - latest["wall_ms"]
        self.record.time_ms_by_event[event] = self.clock.now_ms() - age_ms
        self.record.version_by_event[event] = latest["version"]

    async def _start_stuck_fault(self) -> None:
        self._record_time("stuck")
        upstream = self.fleet.nodes_by_id[STUCK_NODE].upstream
        upstream.set_faults({"stuck": True, "lying_health": True})

    async def _end_stuck_fault(self) -> None:
        self._record_time("unstuck")
        self.fleet.nodes_by_id[STUCK_NODE].upstream.set_faults({})

    async def _interrupt_platform(self) -> None:
        self._record_time("platform_down")
        await self.fleet.fail_platform(PLATFORM_DOWN_MS)
        await asyncio.sleep(PLATFORM_DOWN_MS / 1000.0)
        self._record_time("platform_up")

    async def _truncate_answers(self) -> None:
        upstream = self.fleet.nodes_by_id[TRUNCATING_NODE].upstream
        upstream.set_faults({"cut_answers": True})
        await asyncio.sleep(TRUNCATE_FOR_MS / 1000.0)
        upstream.set_faults({})

    async def _drain_upstream(self) -> None:
        self._record_time("draining")
        await self.fleet.nodes_by_id[DRAINED_NODE].drain_upstream()

    async def _stop_node(self) -> None:
        self._record_time("stopped")
        child = self.fleet.nodes_by_id[STOPPED_NODE].child
        self.record.exit_code_of_stopped = await child.stop()

    async def _watch_versions(self) -> None:
        while True:
            versions = []
            for node in self.fleet.nodes:
                try:
                    page = await node.status()
                except (HTTPError, OSError):
                    continue
                versions.append((node.place.node_id, page["catalogue_version"]))
            self.record.record_versions(versions, self.clock.now_ms())
            await asyncio.sleep(VERSION_POLL_MS / 1000.0)

    async def _show_progress(self) -> None:
        n_shown = 0
        start_ms = self.record.time_ms_by_event["start"]
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_MS / 1000.0)
            recent = self.record.outcomes[n_shown:]
            n_shown += len(recent)
            elapsed_s = (self.clock.now_ms() - start_ms) / 1000.0
            goodput = goodput_per_s(recent, PROGRESS_INTERVAL_MS)
            refused = refusals_by_kind(recent)
            kinds = ", ".join(f"{kind} {n}" for kind, n in refused.most_common(4))
            print(
                f"  {elapsed_s:4.1f} s  {goodput:4.0f} complete/s  {kinds}", flush=True
            )


def _nested_call(node: RunningNode) -> Callable[[str, str], Awaitable[bool]]:
    """Return a function that makes a nested call through ``node``."""

    async def call(number: str, context: str) -> bool:
        headers = {"Ibisspoke-Context": context, "X-Request-Number": f"nested-{number}"}
        url = f"http://127.0.0.1:{node.entry_port}{NESTED_TARGET}"
        try:
            answer = await AsyncHTTPClient().fetch(
                url, headers=headers, raise_error=False
            )
        except (HTTPError, OSError):
            return False
        return answer.code == 200

    return call


def _is_ready(page: dict[str, object], version: int) -> bool:
    return page["catalogue_version"] == version and page["n_members"] == len(PLACES)


async def _run(directory: Path) -> int:
    upstreams = [(place, UPSTREAM_BY_SERVICE[place.service]) for place in PLACES]
    print("starting a platform, 8 nodes and 8 upstreams in 4 data centres", flush=True)
    async with running_platform(directory) as url:
        catalogue_path = directory / "catalogue.toml"
        catalogue_path.write_text(
            catalogue_text(RATE_BY_ORGANISATION["karlstad"].rate_per_s)
        )
        operator = Fleet(url, directory, {})
        await operator.run_command(
            "apply", str(catalogue_path), "--yes", "--why", "first catalogue"
        )
        async with running_fleet(directory, url, upstreams) as fleet:
            record = await Demo(fleet, Clock()).run()
            results = check_guarantees(record)
            report(record, results)
    return 0 if all(result.holds for result in results) else 1


def main() -> None:
    """Run the demonstration."""
    AsyncHTTPClient.configure(None, max_clients=MAX_CLIENTS)
    with tempfile.TemporaryDirectory(prefix="ibisspoke-demo-") as directory:
        try:
            code = asyncio.run(_run(Path(directory)))
        except ChildError as error:
            sys.exit(f"the demonstration could not run: {error}")
    print("\nall guarantees held" if code == 0 else "\na guarantee was violated")
    sys.exit(code)


if __name__ == "__main__":
    main()
