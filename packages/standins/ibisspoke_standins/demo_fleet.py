"""Processes of the demonstration: the platform and a node on each upstream VM."""

import asyncio
import json
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

import tomli_w
from tornado.httpclient import AsyncHTTPClient

from .upstream import announce, running_upstream
from .upstream_state import UpstreamSettings, UpstreamState

STOP_TIMEOUT_S = 40.0
START_TIMEOUT_S = 20.0
FLEET_SECRET = "demo-secret-of-32-random-digits!"


class Place(NamedTuple):
    """Location of a VM and the service of its upstream."""

    region: str
    data_centre: str
    service: str

    @property
    def node_id(self) -> str:
        """Id of the node on the VM."""
        return f"{self.data_centre}-{self.service}"


class ChildError(Exception):
    """A child process failed, so that the demonstration cannot run."""


class ChildProcess:
    """Child process whose standard error goes to a log file.

    :param name: name of the process in error messages.
    """

    def __init__(
        self, name: str, process: asyncio.subprocess.Process, log: Path
    ) -> None:
        self.name = name
        self.log = log
        self._process = process

    def __repr__(self) -> str:
        return f"ChildProcess({self.name!r}, pid {self._process.pid})"

    async def read_ready_message(self) -> dict[str, Any]:
        """Return the JSON line that the process prints when it is ready."""
        assert self._process.stdout is not None
        reading = self._process.stdout.readline()
        line = await asyncio.wait_for(reading, START_TIMEOUT_S)
        if not line:
            raise ChildError(f"{self.name} ended: {self.log.read_text()[-2000:]}")
        message: dict[str, Any] = json.loads(line)
        return message

    async def stop(self) -> int:
        """Terminate the process if it still runs and return its exit code."""
        if self._process.returncode is None:
            self._process.terminate()
        return await asyncio.wait_for(self._process.wait(), STOP_TIMEOUT_S)


@asynccontextmanager
async def running_child(
    name: str, arguments: Sequence[str], directory: Path
) -> AsyncIterator[ChildProcess]:
    """Run ``python -m`` with ``arguments`` while the context is open."""
    log = directory / f"{name}.log"
    with log.open("wb") as stderr:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=stderr,
        )
    child = ChildProcess(name, process, log)
    try:
        yield child
    finally:
        try:
            await child.stop()
        except TimeoutError:
            process.kill()
            await process.wait()


class RunningNode(NamedTuple):
    """A running node with its upstream."""

    place: Place
    child: ChildProcess
    entry_port: int
    status_port: int
    upstream: UpstreamState
    upstream_port: int

    async def status(self) -> dict[str, Any]:
        """Return the node's status page."""
        url = f"http://127.0.0.1:{self.status_port}/status"
        answer = await AsyncHTTPClient().fetch(url)
        page: dict[str, Any] = json.loads(answer.body)
        return page

    async def drain_upstream(self) -> None:
        """Announce that the upstream is draining."""
        await announce(
            self.status_port, self.upstream.settings, self.upstream_port, draining=True
        )


class Fleet(NamedTuple):
    """All processes of the demonstration."""

    platform_url: str
    directory: Path
    nodes_by_id: dict[str, RunningNode]

    @property
    def nodes(self) -> list[RunningNode]:
        """All nodes."""
        return list(self.nodes_by_id.values())

    async def n_platform_requests(self) -> int:
        """Return the number of reads and writes that the platform has received."""
        answer = await AsyncHTTPClient().fetch(f"{self.platform_url}/stats")
        stats: dict[str, int] = json.loads(answer.body)
        return stats["n_reads"] + stats["n_writes"]

    async def fail_platform(self, for_ms: float) -> None:
        """Make the platform refuse every request for ``for_ms``."""
        await AsyncHTTPClient().fetch(
            f"{self.platform_url}/faults",
            method="POST",
            body=json.dumps({"kind": "down", "for_ms": for_ms}),
        )

    async def run_command(self, *arguments: str) -> str:
        """Run an ``ibisspoke`` command and return its output.

        :raises ChildError: if it fails.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "ibisspoke_ctl.main",
            *arguments,
            env={"IBISSPOKE_PLATFORM": self.platform_url, "IBISSPOKE_WHO": "demo"},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        stdout, stderr = await process.communicate()
        if process.returncode != 0:
            command = " ".join(arguments[:2])
            raise ChildError(f"ibisspoke {command} failed: {stderr.decode()}")
        return stdout.decode()


@asynccontextmanager
async def running_platform(directory: Path) -> AsyncIterator[str]:
    """Run a stand-in for the platform and yield its URL."""
    arguments = ["ibisspoke_standins.platform", "--port", "0"]
    async with running_child("platform", arguments, directory) as child:
        ready = await child.read_ready_message()
        yield f"http://127.0.0.1:{ready['port']}"


@asynccontextmanager
async def running_fleet(
    directory: Path,
    platform_url: str,
    upstreams: Sequence[tuple[Place, UpstreamSettings]],
) -> AsyncIterator[Fleet]:
    """Run a node and a stand-in upstream for each place."""
    async with AsyncExitStack() as stack:
        starting = [
            stack.enter_async_context(
                _running_node(directory, platform_url, place, settings)
            )
            for place, settings in upstreams
        ]
        nodes = [await start for start in starting]
        by_id = {node.place.node_id: node for node in nodes}
        yield Fleet(platform_url, directory, by_id)


@asynccontextmanager
async def _running_node(
    directory: Path, platform_url: str, place: Place, settings: UpstreamSettings
) -> AsyncIterator[RunningNode]:
    path = directory / f"{place.node_id}.toml"
    path.write_text(tomli_w.dumps(_node_settings(place, platform_url)))
    arguments = ["ibisspoke_node.main", str(path)]
    async with running_child(place.node_id, arguments, directory) as child:
        ports = await child.read_ready_message()
        async with running_upstream(settings) as (state, port):
            await announce(ports["status"], settings, port)
            yield RunningNode(
                place, child, ports["entry"], ports["status"], state, port
            )


def _node_settings(place: Place, platform_url: str) -> dict[str, Any]:
    return {
        "node": {
            "id": place.node_id,
            "region": place.region,
            "data_centre": place.data_centre,
            "host": "127.0.0.1",
        },
        "platform": {"url": platform_url},
        "fleet": {"secrets": [FLEET_SECRET]},
    }
