"""Load one site in one mode and print the figures of its callers and upstreams."""

import argparse
import asyncio
import itertools
import json
import random
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

from _overload_site import (
    CHAIN,
    HOST,
    MAX_ANSWER_BYTES,
    N_ORGANISATIONS,
    N_RETRIES,
    N_SERVERS,
    PATH_BY_SERVICE,
    RETRY_PAUSE_MS,
    SITE_BY_NAME,
    Mode,
    Reply,
    Site,
    fetch,
)

from ibisspoke_node.buffer_budget import BufferBudget
from ibisspoke_node.upstream_client import UpstreamClient
from ibisspoke_policy.clock import Clock
from ibisspoke_standins.chain_upstream import NUMBER_HEADER

SURGE_FACTOR = 5.0
BASE_LOAD_SHARE = 0.6
SMALL_ORGANISATION_SHARE = 0.6
ORDERS_PER_S = 5.0
RECOVERY_WINDOW_S = 0.5
RECOVERED_SHARE = 0.99
CALIBRATION_S = 1.0
IN_FLIGHT_TIMEOUT_S = 6.0
SETTLE_S = 1.0
SHARE_BY_IMPORTANCE = {"low": 0.45, "normal": 0.4, "high": 0.1, "critical": 0.05}


class Plan(NamedTuple):
    """Durations of the phases in seconds."""

    warm_s: float
    surge_s: float
    trigger_s: float
    recovery_s: float
    recovery_after_hang_s: float


QUICK_PLAN = Plan(1.5, 2.5, 1.5, 2.5, 4.0)
FULL_PLAN = Plan(3.0, 10.0, 3.0, 10.0, 10.0)


class Record(NamedTuple):
    """One request of a caller, with all its attempts, and its outcome."""

    number: str
    service: str
    importance: str
    organisation: str
    sent_s: float
    ended_s: float
    status: int
    kind: str
    says_not_run: bool


class Processes:
    """The server processes of a site."""

    def __init__(self, processes: list[asyncio.subprocess.Process]) -> None:
        self.processes = processes
        self.upstreams: dict[str, list[int]] = {service: [] for service in CHAIN}
        self.entries: dict[str, list[int]] = {service: [] for service in CHAIN}

    async def read_line(self, process: asyncio.subprocess.Process) -> Any:
        assert process.stdout is not None
        return json.loads(await process.stdout.readline())

    async def request(self, command: dict[str, Any]) -> list[Any]:
        line = json.dumps(command).encode() + b"\n"
        for process in self.processes:
            assert process.stdin is not None
            process.stdin.write(line)
        return [await self.read_line(process) for process in self.processes]


@asynccontextmanager
async def running_servers(
    site: Site, mode: Mode, traces: Path | None
) -> AsyncIterator[Processes]:
    program = str(Path(__file__).with_name("_overload_server.py"))
    options = ["--traces", str(traces)] if traces is not None else []
    servers = Processes([])
    try:
        for index in range(N_SERVERS):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                program,
                site.name,
                mode,
                str(index),
                *options,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                limit=2**26,
            )
            servers.processes.append(process)
        members = []
        for process in servers.processes:
            ports = await servers.read_line(process)
            members += ports["members"]
            for service in CHAIN:
                servers.upstreams[service].append(ports["upstreams"][service])
                if service in ports["entries"]:
                    servers.entries[service].append(ports["entries"][service])
        await servers.request(
            {"op": "join", "members": members, "upstreams": servers.upstreams}
        )
        yield servers
    finally:
        for process in servers.processes:
            process.terminate()
        for process in servers.processes:
            await process.wait()


async def measure_capacity(site: Site, servers: Processes) -> float:
    """Return the throughput of the last service while all its slots are busy."""
    clock = Clock()
    clients = [
        UpstreamClient(HOST, port, clock, BufferBudget(MAX_ANSWER_BYTES))
        for port in servers.upstreams["back"]
    ]
    headers = [(NUMBER_HEADER, "calibration")]
    start_s = time.monotonic()

    async def keep_busy(client: UpstreamClient) -> int:
        n_done = 0
        while time.monotonic() < start_s + CALIBRATION_S:
            await fetch(client, "GET", "/leaf", headers)
            n_done += 1
        return n_done

    n_slots = site.n_slots(len(CHAIN) - 1)
    workers = [keep_busy(client) for client in clients for _ in range(n_slots)]
    n_done = sum(await asyncio.gather(*workers))
    return n_done / (time.monotonic() - start_s)


class TriggerRun(NamedTuple):
    """Requests sent during and after one trigger.

    :param before: share of the requests answered before the first trigger.
    :param capacity_per_s: capacity measured before the load.
    """

    records: list[Record]
    trigger_phase: "Phase"
    before: float
    capacity_per_s: float


class Callers:
    """Sends requests at a given rate and retries each up to ``N_RETRIES`` times."""

    def __init__(self, site: Site, mode: Mode, servers: Processes, seed: int) -> None:
        self.site = site
        self.mode = mode
        self.rng = random.Random(seed)
        self.records_by_trigger: dict[str, list[Record]] = {"warm": []}
        self.trigger = "warm"
        clock = Clock()
        by_service = (
            servers.entries if mode is not Mode.UNCONTROLLED else (servers.upstreams)
        )
        self._clients = {
            service: [
                UpstreamClient(HOST, port, clock, BufferBudget(MAX_ANSWER_BYTES))
                for port in ports
            ]
            for service, ports in by_service.items()
        }
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._orders: set[asyncio.Task[None]] = set()

    def start_trigger(self, trigger: str) -> None:
        """Record the following requests under ``trigger``."""
        self.trigger = trigger
        self.records_by_trigger[trigger] = []

    async def load(
        self, rate_per_s: float, duration_s: float, greedy: bool = False
    ) -> None:
        """Send at ``rate_per_s``; if greedy, organisation 0 sends the excess."""
        end_s = time.monotonic() + duration_s
        next_s = time.monotonic()
        next_order_s = next_s
        while next_s < end_s:
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            self._spawn(self._request(rate_per_s, greedy), self._tasks)
            if next_s >= next_order_s:
                self._spawn(self._order(), self._tasks)
                next_order_s += 1.0 / ORDERS_PER_S
            next_s += self.rng.expovariate(rate_per_s)

    async def wait_for_requests(self) -> None:
        """Wait for requests in flight, at most ``IN_FLIGHT_TIMEOUT_S``."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=IN_FLIGHT_TIMEOUT_S)

    def _spawn(self, work: Any, tasks: set[asyncio.Task[None]]) -> None:
        task = asyncio.ensure_future(work)
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    def _organisation(self, rate_per_s: float, greedy: bool) -> str:
        if not greedy:
            return f"o{self.rng.randrange(N_ORGANISATIONS)}"
        fair_per_s = self.site.capacity_per_s / N_ORGANISATIONS
        small_per_s = SMALL_ORGANISATION_SHARE * fair_per_s * (N_ORGANISATIONS - 1)
        if self.rng.random() < small_per_s / rate_per_s:
            return f"o{1 + self.rng.randrange(N_ORGANISATIONS - 1)}"
        return "o0"

    async def _request(self, rate_per_s: float, greedy: bool) -> None:
        number = f"{self.trigger}-r{next(self._numbers)}"
        service = self.rng.choice(CHAIN)
        names = list(SHARE_BY_IMPORTANCE)
        weights = list(SHARE_BY_IMPORTANCE.values())
        name = "normal" if greedy else self.rng.choices(names, weights)[0]
        organisation = self._organisation(rate_per_s, greedy)
        sent_s = time.monotonic()
        target = f"{PATH_BY_SERVICE[service]}/{name}"
        if self.mode is not Mode.UNCONTROLLED:
            target = f"/{service}{target}"
        reply = Reply(0)
        attempt_id = ""
        for i in range(1 + N_RETRIES):
            attempt_id = f"{number}.{i}"
            headers = self._headers(attempt_id, organisation)
            client = self.rng.choice(self._clients[service])
            reply = await fetch(client, "GET", target, headers)
            if reply.status == 200 and reply.body == f"answer to {attempt_id}".encode():
                break
            await asyncio.sleep(RETRY_PAUSE_MS / 1000.0)
        self._record(attempt_id, service, name, organisation, sent_s, reply)

    async def _order(self) -> None:
        """Place an order and repeat it at another entry while the first may run."""
        number = f"{self.trigger}-order{next(self._numbers)}"
        sent_s = time.monotonic()
        target = "/leaf/order"
        if self.mode is not Mode.UNCONTROLLED:
            target = f"/back{target}"
        headers = self._headers(number, "o1")
        headers.append(("Idempotency-Key", _uuid7(self.rng)))
        clients = self._clients["back"]
        first = asyncio.ensure_future(fetch(clients[0], "POST", target, headers, b"{}"))
        await asyncio.sleep(self.site.back_ms / 2000.0)
        second = await fetch(clients[1], "POST", target, headers, b"{}")
        replies = [await first, second]
        best = next((r for r in replies if r.status == 200), replies[-1])
        self._record(number, "back", "order", "o1", sent_s, best)

    def _headers(self, number: str, organisation: str) -> list[tuple[str, str]]:
        return [
            (NUMBER_HEADER, number),
            ("Authorization", f"Bearer key-{organisation}"),
        ]

    def _record(
        self,
        number: str,
        service: str,
        importance: str,
        organisation: str,
        sent_s: float,
        reply: Reply,
    ) -> None:
        kind, says_not_run = "", False
        if reply.status not in (0, 200) and reply.body.startswith(b"{"):
            problem = json.loads(reply.body)
            kind = problem["kind"]
            says_not_run = problem["ran"] == "not_run"
        trigger = number.partition("-")[0]
        self.records_by_trigger[trigger].append(
            Record(
                number,
                service,
                importance,
                organisation,
                sent_s,
                time.monotonic(),
                reply.status,
                kind,
                says_not_run,
            )
        )


def _uuid7(rng: random.Random) -> str:
    stamp = int(time.time() * 1000)
    number = (stamp << 80) | (7 << 76) | (2 << 62) | rng.getrandbits(62)
    text = f"{number:032x}"
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


class Phase(NamedTuple):
    """Start and end of a phase."""

    start_s: float
    end_s: float

    def contains(self, at_s: float) -> bool:
        return self.start_s <= at_s < self.end_s


async def timed_phase(work: Any) -> Phase:
    start_s = time.monotonic()
    await work
    return Phase(start_s, time.monotonic())


async def run(
    site: Site, mode: Mode, plan: Plan, triggers: list[str], traces: Path | None
) -> dict[str, Any]:
    """Run the triggers one after the other and return the figures of each."""
    phase_by_trigger: dict[str, Phase] = {}
    async with AsyncExitStack() as stack:
        servers = await stack.enter_async_context(running_servers(site, mode, traces))
        callers = Callers(site, mode, servers, seed=11)
        base_rate_per_s = BASE_LOAD_SHARE * site.capacity_per_s
        measured_per_s = await measure_capacity(site, servers)
        warm = await timed_phase(callers.load(base_rate_per_s, plan.warm_s))
        for trigger in triggers:
            callers.start_trigger(trigger)
            trigger_phase = await timed_phase(_trigger(callers, servers, plan, trigger))
            is_hang = trigger == "hang"
            after_s = plan.recovery_after_hang_s if is_hang else plan.recovery_s
            await callers.load(base_rate_per_s, after_s)
            phase_by_trigger[trigger] = trigger_phase
        await callers.wait_for_requests()
        await asyncio.sleep(0.2)
        stats = await servers.request({"op": "stats"})
    before = _served_share(callers.records_by_trigger["warm"], warm)
    return {
        trigger: measure(
            TriggerRun(
                callers.records_by_trigger[trigger],
                phase_by_trigger[trigger],
                before,
                measured_per_s,
            ),
            stats,
            trigger,
        )
        for trigger in triggers
    }


async def _trigger(
    callers: Callers, servers: Processes, plan: Plan, trigger: str
) -> None:
    capacity_per_s = callers.site.capacity_per_s
    if trigger in ("surge", "greedy"):
        rate_per_s = SURGE_FACTOR * capacity_per_s
        await callers.load(rate_per_s, plan.surge_s, trigger == "greedy")
        return
    await _fault(callers, servers, BASE_LOAD_SHARE * capacity_per_s, plan, trigger)


async def _fault(
    callers: Callers, servers: Processes, rate_per_s: float, plan: Plan, trigger: str
) -> None:
    command = {"op": "fault", "service": "back"}
    if trigger == "hang":
        await servers.request({**command, "hang": True})
        await callers.load(rate_per_s, plan.trigger_s)
        return
    await servers.request({**command, "extra_ms": 10.0 * callers.site.back_ms})
    await callers.load(rate_per_s, plan.trigger_s)
    await servers.request(command)


def measure(trigger_run: TriggerRun, stats: list[Any], trigger: str) -> dict[str, Any]:
    """Return the figures of one trigger."""
    records = trigger_run.records
    succeeded = {record.number for record in records if record.status == 200}
    steady = Phase(
        trigger_run.trigger_phase.start_s + SETTLE_S, trigger_run.trigger_phase.end_s
    )
    answered = [r for r in records if r.status == 200 and steady.contains(r.ended_s)]
    runs = _runs_by_service(stats, trigger)
    orders = [n for number, n in runs["back"].items() if "order" in number]
    important = [r for r in records if r.importance in ("critical", "high")]
    result: dict[str, Any] = {
        "goodput_share": len(answered)
        / (steady.end_s - steady.start_s)
        / trigger_run.capacity_per_s,
        "capacity_per_s": trigger_run.capacity_per_s,
        "important_goodput_share": _served_share(important, steady),
        "recovery_ms": _recovery_ms(trigger_run),
        "wasted_work_share": _wasted_share(stats, succeeded, trigger),
        "max_runs_per_request": {
            service: max(n_runs.values(), default=0) for service, n_runs in runs.items()
        },
        "doubled": sum(n_runs > 1 for n_runs in orders),
        "false_not_run": sum(
            r.says_not_run and any(r.number in n for n in runs.values())
            for r in records
        ),
        "kinds": dict(Counter(r.kind or str(r.status) for r in records)),
        "still_hung": [s["back"]["is_hung"] for s in stats],
    }
    if trigger == "greedy":
        shares = [
            _served_share([r for r in records if r.organisation == f"o{i}"], steady)
            for i in range(1, N_ORGANISATIONS)
        ]
        result["worst_organisation_share"] = min(shares)
    return result


def _runs_by_service(stats: list[Any], trigger: str) -> dict[str, Counter[str]]:
    runs: dict[str, Counter[str]] = {service: Counter() for service in CHAIN}
    for server in stats:
        for service in CHAIN:
            n_runs = server[service]["n_runs"].items()
            runs[service].update({k: n for k, n in n_runs if k.startswith(trigger)})
    return runs


def _wasted_share(stats: list[Any], succeeded: set[str], trigger: str) -> float:
    total_ms = wasted_ms = 0.0
    for server in stats:
        for service in CHAIN:
            for number, work_ms in server[service]["work_ms"].items():
                if not number.startswith(trigger):
                    continue
                total_ms += work_ms
                if number not in succeeded:
                    wasted_ms += work_ms
    return wasted_ms / total_ms if total_ms else 0.0


def _served_share(records: list[Record], within: Phase) -> float:
    sent = [record for record in records if within.contains(record.sent_s)]
    served = [record for record in sent if record.status == 200]
    return len(served) / len(sent) if sent else 0.0


def _recovery_ms(trigger_run: TriggerRun) -> float | None:
    """Return the time from the end of the trigger until goodput stays recovered."""
    start_s = trigger_run.trigger_phase.end_s
    last_s = max(record.sent_s for record in trigger_run.records)
    required_share = RECOVERED_SHARE * trigger_run.before
    while start_s + RECOVERY_WINDOW_S <= last_s:
        window = Phase(start_s, start_s + RECOVERY_WINDOW_S)
        rest = Phase(start_s, last_s)
        has_recovered = _served_share(trigger_run.records, window) >= required_share
        if has_recovered and _served_share(trigger_run.records, rest) >= required_share:
            return (start_s - trigger_run.trigger_phase.end_s) * 1000.0
        start_s += RECOVERY_WINDOW_S / 10
    return None


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", choices=sorted(SITE_BY_NAME))
    parser.add_argument("mode", choices=list(Mode))
    parser.add_argument(
        "triggers", nargs="+", choices=["surge", "greedy", "slow", "hang"]
    )
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--traces", type=Path, help="write admission traces here")
    arguments = parser.parse_args()
    plan = (
        Plan(1.5, 2.5, 1.5, 2.0, 4.0)
        if arguments.quick
        else Plan(3.0, 10.0, 3.0, 10.0, 10.0)
    )
    site = SITE_BY_NAME[arguments.site]
    mode = Mode(arguments.mode)
    result = asyncio.run(run(site, mode, plan, arguments.triggers, arguments.traces))
    print(json.dumps(result))


if __name__ == "__main__":
    main()
