"""VMs of the soak: a node as a process, with its upstream and its proxies."""

import asyncio
import itertools
import os
import signal
import sys
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

from _soak_proxy import LoopbackProxy
from fleet_harness import (
    CALLERS,
    CONTROL,
    METRICS,
    PEERS,
    READY,
    STATUS,
    STORE,
    UPSTREAM,
)

from ibisspoke_adapter.program import EXIT_BAD_SETTINGS
from ibisspoke_mesh.http_client import HttpClient, HttpError
from ibisspoke_standins import fleet_upstream as upstreams
from ibisspoke_standins.fleet_guarantees import Arrival
from ibisspoke_standins.fleet_upstream import FleetUpstream

ROOT = Path(__file__).resolve().parents[1]
HEARTBEAT_S = 0.5
STOP_S = 6.0  # as the users set it; a request lasts 1.5 s at most
# Until the program can ignore a signal; the interpreter itself takes that long to load.
LOADING_S = 0.5
KILL_AFTER_S = 2.0  # after the stop time, as the platform does
DRAIN_MS = 2_500
SERVICE = "shop"
SETTINGS = """
[node]
id = "{host}"
host = "{host}"
data_centre = "{data_centre}"
region = "{region}"
service = "{service}"

[listen]
callers = "{inner}:{callers}"
peers = "{inner}:{peers}"
readiness = "{inner}:{ready}"
announcements = "{inner}:{control}"
status_port = {status}
metrics_port = {metrics}

[upstream]
address = "{inner}:{upstream}"
heartbeat_ms = {heartbeat_ms}
drain_ms = {drain_ms}

[store]
address = "{inner}:{store}"

[bounds]
stop_s = {stop_s}
key_withdrawal_ms = 5000
config_ms = 3000
retry_ratio = {retry_ratio}
retry_window_s = {retry_window_s}
retry_slack = {retry_slack}
"""

_instances = itertools.count(1)

REPORT_EXECUTION_S = 2.5  # more than is left to a request that comes late in a stop


class RetryBounds:
    """The bounds on retries of the whole fleet, as in the settings."""

    ratio = 0.2
    window_s = 10.0
    slack = 48.0


class FaultSpan:
    """When a fault acted on a VM.

    :param is_hard: whether requests at the VM's node may end without an answer.
    """

    def __init__(self, name: str, is_hard: bool) -> None:
        self.name = name
        self.is_hard = is_hard
        self.started_ms = now_ms()
        self.ended_ms = float("inf")

    def __repr__(self) -> str:
        return f"FaultSpan({self.name!r}, {self.started_ms:.0f}, {self.ended_ms:.0f})"


class SoakVm:
    """A VM whose node is a process and whose connections pass proxies.

    Nodes bind the inner address. Other nodes connect to the outer one, where a proxy
    forwards to the inner one; the upstream and the store are reached over proxies, too.

    :param net: first two parts of the addresses.
    """

    def __init__(
        self, net: str, number: int, place: tuple[str, str], directory: Path
    ) -> None:
        self.host, self.inner = f"{net}.1.{number}", f"{net}.2.{number}"
        self.place = place
        server, store = f"{net}.3.{number}", (f"{net}.4.1", STORE)
        self._upstream_address = (server, UPSTREAM)
        self.links = LoopbackProxy((self.host, PEERS), (self.inner, PEERS))
        self.to_upstream = LoopbackProxy((self.inner, UPSTREAM), (server, UPSTREAM))
        self.to_store = LoopbackProxy((self.inner, STORE), store)
        self.settings_path = directory / f"{number}.toml"
        self.log_path = directory / f"{number}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.upstream: FleetUpstream | None = None
        self.upstream_state = "ready"
        self.arrivals: list[Arrival] = []
        self.fault_spans: list[FaultSpan] = []
        self.stopping_ms: float | None = None
        self._started_ms = 0.0
        self._spawned_ms = 0.0
        self._mistaken_until_ms = float("-inf")
        self.exits: list[str] = []

    def __repr__(self) -> str:
        return f"SoakVm({self.host!r}, {self.upstream_state})"

    def is_calm(self, since_ms: float) -> bool:
        """Return whether no fault has acted on the VM since a time."""
        return all(span.ended_ms < since_ms for span in self.fault_spans)

    def hard_faults(
        self, start_ms: float, end_ms: float, margin_ms: float
    ) -> list[FaultSpan]:
        """Return the faults of a time in which requests may end without an answer."""
        return [
            span
            for span in self.fault_spans
            if span.is_hard
            and span.started_ms < end_ms + margin_ms
            and span.ended_ms > start_ms - margin_ms
        ]

    def write_mistaken_settings(self) -> None:
        """Write a settings file that a node refuses; it ends if it starts with it."""
        self._mistaken_until_ms = float("inf")
        self._replace_settings("[node]\n")

    def write_settings(self, **changes: object) -> None:
        """Write the settings file of the node."""
        fields: dict[str, object] = {
            "host": self.host,
            "inner": self.inner,
            "data_centre": self.place[0],
            "region": self.place[1],
            "service": SERVICE,
            "callers": CALLERS,
            "peers": PEERS,
            "ready": READY,
            "control": CONTROL,
            "status": STATUS,
            "metrics": METRICS,
            "upstream": UPSTREAM,
            "store": STORE,
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "drain_ms": DRAIN_MS,
            "stop_s": STOP_S,
            "retry_ratio": RetryBounds.ratio,
            "retry_window_s": RetryBounds.window_s,
            "retry_slack": RetryBounds.slack,
            **changes,
        }
        self._replace_settings(SETTINGS.format(**fields))
        self._mistaken_until_ms = min(self._mistaken_until_ms, now_ms())

    def _replace_settings(self, text: str) -> None:
        """Replace the file at once, so that no process reads a part of it."""
        written = self.settings_path.with_suffix(".new")
        written.write_text(text)
        written.replace(self.settings_path)

    async def start_node(self) -> None:
        """Start the node's process; its output is appended to the log."""
        self._spawned_ms = now_ms()
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform" / "start.py"),
                env={**os.environ, "IBISSPOKE_CONFIG": str(self.settings_path)},
                stdout=log,
                stderr=log,
            )
        self.stopping_ms = None
        self._started_ms = now_ms()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the node's process, if it runs and has been loaded."""
        is_loaded = now_ms() - self._started_ms > LOADING_S * 1000.0
        if number in (signal.SIGHUP, signal.SIGTERM) and not is_loaded:
            return
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill_node(self) -> None:
        """Kill the node's process, and wait for its end."""
        process, self.process = self.process, None
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()

    async def stop_node(self) -> None:
        """Stop the node's process gracefully; kill it if it does not end in time."""
        process = self.process
        if process is None:
            return
        self.stopping_ms = now_ms()
        if process.returncode is None:
            process.terminate()
        try:
            await asyncio.wait_for(process.wait(), STOP_S + KILL_AFTER_S)
        except TimeoutError:
            self.exits.append(f"{self.host} ran {KILL_AFTER_S} s beyond its stop time")
        await self.kill_node()

    async def watch_node(self) -> None:
        """Record when the process ends by itself, until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            process = self.process
            if process is None or process.returncode is None:
                continue
            if process is not self.process or self.stopping_ms is not None:
                continue
            refused_settings = self._mistaken_until_ms > self._spawned_ms
            if process.returncode != EXIT_BAD_SETTINGS or not refused_settings:
                self.exits.append(f"{self.host} ended with {process.returncode}")
            await self.start_node()

    async def is_ready(self) -> bool:
        """Return whether the node is ready for callers."""
        client = HttpClient(self.inner, READY)
        try:
            return (await client.request("GET", "/api/readiness", b"")).status == 200
        except HttpError:
            return False

    async def start_upstream(self) -> None:
        """Start an upstream as a new instance."""
        number = next(_instances)
        upstream = FleetUpstream(
            f"i-{number}", SERVICE, *self._upstream_address, (self.inner, CONTROL)
        )
        upstream.start_ms = number
        self.upstream, self.upstream_state = upstream, "ready"
        self.set_behaviour(upstreams.answer)
        await upstream.start()

    async def end_upstream(self) -> None:
        """End the upstream without a word."""
        self.to_upstream.reset_connections()
        upstream, self.upstream = self.upstream, None
        if upstream is not None:
            await upstream.stop()

    def set_behaviour(self, behaviour: upstreams.Behaviour) -> None:
        """Change how the upstream answers."""
        upstream = self.upstream
        if upstream is None:
            return

        async def respond(
            upstream: FleetUpstream,
            request: upstreams.ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> bool:
            ran = behaviour is not upstreams.shed
            arrival = Arrival(request.id, upstream.instance, now_ms(), ran)
            self.arrivals.append(arrival)
            if request.target.startswith("/report/"):
                await asyncio.sleep(REPORT_EXECUTION_S)
            return await behaviour(upstream, request, writer)

        upstream.behaviour = respond

    async def send_heartbeats(self) -> None:
        """Announce the upstream until cancelled."""
        while True:
            upstream = self.upstream
            if upstream is not None and self.upstream_state != "gone":
                try:
                    async with asyncio.timeout(1.0):
                        await upstream.announce(self.upstream_state)
                except TimeoutError:
                    pass  # the node is paused; the next heartbeat follows
            await asyncio.sleep(HEARTBEAT_S)

    @asynccontextmanager
    async def running(self) -> AsyncIterator["SoakVm"]:
        """Run the proxies, the upstream and the node while the context is open."""
        async with AsyncExitStack() as stack:
            for proxy in (self.links, self.to_upstream, self.to_store):
                await stack.enter_async_context(proxy.running())
            await self.start_upstream()
            stack.push_async_callback(self.end_upstream)
            self.write_settings()
            await self.start_node()
            stack.push_async_callback(self.kill_node)
            for job in (self.send_heartbeats, self.watch_node):
                task = asyncio.ensure_future(job())
                stack.callback(task.cancel)
            yield self


def now_ms() -> float:
    """Return monotonic time."""
    return time.monotonic() * 1000.0
