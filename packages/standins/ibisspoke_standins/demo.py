"""Show the system under faults for about 20 seconds: ``make demo``.

Ends with a non-zero exit code if a promise was broken.
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
    CHANGED_RATE_PER_S,
    CUTTING_NODE,
    DRAINED_NODE,
    KINDS_BY_ORGANISATION,
    NESTED_TARGET,
    OLD_TILL_LOOKUP,
    PLACES,
    RATE_BY_ORGANISATION,
    STOPPED_NODE,
    STUCK_NODE,
    TRAFFIC_MS,
    UPSTREAM_BY_SERVICE,
    catalogue_text,
)
from .demo_fleet import ChildError, Fleet, RunningNode, running_fleet, running_platform
from .demo_record import Record
from .demo_report import goodput_per_s, refusals_by_kind
from .demo_results import judge, report

SEED = 20261204
CHANGE_AT_MS = 3_000.0
WITHDRAW_AT_MS = 5_000.0
STUCK_AT_MS = 7_000.0
UNSTUCK_AT_MS = 10_500.0
PLATFORM_DOWN_AT_MS = 11_500.0
PLATFORM_DOWN_MS = 2_000.0
CUT_AT_MS = 12_500.0
CUT_MS = 1_000.0
DRAIN_AT_MS = 14_000.0
STOP_AT_MS = 16_500.0
PROGRESS_MS = 2_000.0
VERSION_POLL_MS = 200.0
READY_TIMEOUT_MS = 30_000.0
MAX_CLIENTS = 200


class Demo:
    """One run: traffic, and faults at their times.

    :param fleet: the running processes.
    """

    def __init__(self, fleet: Fleet, clock: Clock) -> None:
        self.fleet = fleet
        self.clock = clock
        self.record = Record(fleet)
        self._key_by_name: dict[str, str] = {}

    async def run(self) -> Record:
        """Give keys, send traffic with faults, and return what was seen."""
        for node in self.fleet.nodes:
            if node.place.service == "ordering":
                node.upstream.nested_call = _nested_call(node)
        await self._wait_ready(await self._give_keys())
        self._note("start")
        watching = asyncio.ensure_future(self._watch_versions())
        progress = asyncio.ensure_future(self._show_progress())
        try:
            await asyncio.gather(*self._traffic(), *self._events())
        finally:
            watching.cancel()
            progress.cancel()
        self._note("end")
        self.record.n_platform_requests = await self.fleet.n_platform_requests()
        return self.record

    def _note(self, event: str) -> None:
        self.record.time_ms_by_event[event] = self.clock.now_ms()

    async def _give_keys(self) -> int:
        """Give each caller's key and return the last version."""
        version = 0
        for name in [*RATE_BY_ORGANISATION, "old-till"]:
            organisation = "karlstad" if name == "old-till" else name
            shown = await self.fleet.operate(
                *("keys", "give", organisation, "--label", name),
                *("--why", "demonstration", "--json"),
            )
            given = json.loads(shown)
            self._key_by_name[name] = given["key"]
            version = given["version"]
        self.record.keys = list(self._key_by_name.values())
        return version

    async def _wait_ready(self, version: int) -> None:
        """Wait until all nodes see each other and have the keys."""
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
                raise ChildError(f"the nodes did not get ready: {'; '.join(seen)}")
            await asyncio.sleep(VERSION_POLL_MS / 1000.0)

    def _traffic(self) -> list[Awaitable[None]]:
        """Return two callers of each organisation, and one with an old key."""
        ports = [node.entry_port for node in self.fleet.nodes]
        running: list[Awaitable[None]] = []
        for name, kinds in KINDS_BY_ORGANISATION.items():
            halved = [kind._replace(rate_per_s=kind.rate_per_s / 2) for kind in kinds]
            for n in range(2):
                ports = [*ports[2:], *ports[:2]]
                caller = self._caller(f"{name}-{n}", name, name, ports)
                running.append(caller.run(halved, TRAFFIC_MS))
        old_till = self._caller("karlstad-old-till", "karlstad", "old-till", ports)
        running.append(old_till.run([OLD_TILL_LOOKUP], TRAFFIC_MS))
        return running

    def _caller(
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

    def _events(self) -> list[Awaitable[None]]:
        return [
            self._at(CHANGE_AT_MS, "a catalogue change is applied", self._change),
            self._at(WITHDRAW_AT_MS, "a key is withdrawn", self._withdraw),
            self._at(STUCK_AT_MS, f"{STUCK_NODE} gets stuck", self._stick),
            self._at(UNSTUCK_AT_MS, f"{STUCK_NODE} works again", self._unstick),
            self._at(PLATFORM_DOWN_AT_MS, "the platform is down for 2 s", self._outage),
            self._at(CUT_AT_MS, f"{CUTTING_NODE} cuts its answers for 1 s", self._cut),
            self._at(DRAIN_AT_MS, f"{DRAINED_NODE} drains", self._drain),
            self._at(STOP_AT_MS, f"node {STOPPED_NODE} is stopped", self._stop),
        ]

    async def _at(
        self, at_ms: float, title: str, act: Callable[[], Awaitable[None]]
    ) -> None:
        await asyncio.sleep(at_ms / 1000.0)
        print(f"  {at_ms / 1000.0:4.1f} s  ** {title}", flush=True)
        await act()

    async def _change(self) -> None:
        path = self.fleet.directory / "catalogue.toml"
        path.write_text(catalogue_text(CHANGED_RATE_PER_S))
        shown = await self.fleet.operate(
            "apply", str(path), "--yes", "--why", "karlstad grows", "--wait"
        )
        await self._note_version("changed")
        for line in shown.splitlines():
            if "in force after" in line:
                print(f"             {line}", flush=True)

    async def _withdraw(self) -> None:
        listed = json.loads(await self.fleet.operate("keys", "list", "--json"))
        (digest,) = [k["digest"] for k in listed["keys"] if k["label"] == "old-till"]
        await self.fleet.operate("keys", "withdraw", digest, "--why", "till was stolen")
        await self._note_version("withdrawn")

    async def _note_version(self, event: str) -> None:
        """Note the latest version and when it was accepted."""
        shown = await self.fleet.operate("history", "-n", "1", "--json")
        (latest,) = json.loads(shown)["versions"]
        age_ms = self.clock.wall_ms() - latest["wall_ms"]
        self.record.time_ms_by_event[event] = self.clock.now_ms() - age_ms
        self.record.version_by_event[event] = latest["version"]

    async def _stick(self) -> None:
        self._note("stuck")
        upstream = self.fleet.nodes_by_id[STUCK_NODE].upstream
        upstream.set_faults({"stuck": True, "lying_health": True})

    async def _unstick(self) -> None:
        self._note("unstuck")
        self.fleet.nodes_by_id[STUCK_NODE].upstream.set_faults({})

    async def _outage(self) -> None:
        self._note("platform_down")
        await self.fleet.fail_platform(PLATFORM_DOWN_MS)
        await asyncio.sleep(PLATFORM_DOWN_MS / 1000.0)
        self._note("platform_up")

    async def _cut(self) -> None:
        upstream = self.fleet.nodes_by_id[CUTTING_NODE].upstream
        upstream.set_faults({"cut_answers": True})
        await asyncio.sleep(CUT_MS / 1000.0)
        upstream.set_faults({})

    async def _drain(self) -> None:
        self._note("draining")
        await self.fleet.nodes_by_id[DRAINED_NODE].drain_upstream()

    async def _stop(self) -> None:
        self._note("stopped")
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
            self.record.note_versions(versions, self.clock.now_ms())
            await asyncio.sleep(VERSION_POLL_MS / 1000.0)

    async def _show_progress(self) -> None:
        n_shown = 0
        start_ms = self.record.time_ms_by_event["start"]
        while True:
            await asyncio.sleep(PROGRESS_MS / 1000.0)
            recent = self.record.outcomes[n_shown:]
            n_shown += len(recent)
            elapsed_s = (self.clock.now_ms() - start_ms) / 1000.0
            good = goodput_per_s(recent, PROGRESS_MS)
            refused = refusals_by_kind(recent)
            shown = ", ".join(f"{kind} {n}" for kind, n in refused.most_common(4))
            print(f"  {elapsed_s:4.1f} s  {good:4.0f} whole/s  {shown}", flush=True)


def _nested_call(node: RunningNode) -> Callable[[str, str], Awaitable[bool]]:
    """Return a call deeper through the node on the VM of an upstream."""

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
        first = directory / "catalogue.toml"
        first.write_text(catalogue_text(RATE_BY_ORGANISATION["karlstad"].rate_per_s))
        operator = Fleet(url, directory, {})
        await operator.operate("apply", str(first), "--yes", "--why", "first catalogue")
        async with running_fleet(directory, url, upstreams) as fleet:
            record = await Demo(fleet, Clock()).run()
            results = judge(record)
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
    print("\nevery promise held" if code == 0 else "\na promise was broken")
    sys.exit(code)


if __name__ == "__main__":
    main()
