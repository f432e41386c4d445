"""Starts nodes and stand-in upstreams as child processes on loopback for benchmarks.

Every child prints one JSON line when it is ready and reads JSON lines on standard
input. A child is stopped through its own process when its context manager ends.
"""

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Iterator, Mapping, Sequence
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import psutil

from ibisspoke_policy.catalogue import (
    Call,
    Catalogue,
    Importance,
    Key,
    Organisation,
    digest_key,
    encode_catalogue,
)
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.member import Member, MemberState
from ibisspoke_storage.config_store import ChangeMetadata, ConfigStore
from ibisspoke_storage.http_store import HttpStore

SCRIPT_DIR = Path(__file__).parent
PYCACHE_DIR = Path(tempfile.gettempdir()) / "ibisspoke-benchmarks-compiled"
SECRET = "benchmark fleet secret"
KEY = "benchmark-key"
STOP_TIMEOUT_S = 10.0
READY_TIMEOUT_S = 60.0
MAX_BODY_BYTES = 8_388_608
UNLIMITED_PER_S = 1e9
BYTES_PER_MB = 1_048_576


class NodeSpec(NamedTuple):
    """A node to start, and the service of the upstream on its VM.

    :param service: empty starts no upstream.
    """

    id: str
    service: str = ""
    region: str = "svealand"
    data_centre: str = "svea-1"


class Child(NamedTuple):
    """A running child process.

    :param ready: the JSON object that it printed when it was ready.
    """

    process: subprocess.Popen[str]
    ready: Any

    @property
    def pid(self) -> int:
        """Process id."""
        return self.process.pid

    def request(self, command: Mapping[str, Any]) -> Any:
        """Send one command and return its JSON reply."""
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        self.process.stdin.write(json.dumps(command) + "\n")
        self.process.stdin.flush()
        return json.loads(self.process.stdout.readline())


class Usage(NamedTuple):
    """Processor time and memory that a process has used so far.

    :param cpu_s: processor time of its only thread since the start.
    """

    cpu_s: float
    rss_mb: float
    pss_mb: float
    peak_rss_mb: float


class Fleet(NamedTuple):
    """Running nodes and upstreams.

    :param nodes_by_id: one child a node; several nodes may share a child.
    :param ports_by_id: ports of each node by name.
    :param upstream_by_id: the upstream on the VM of each node that has one.
    :param platform_url: empty where there is no platform.
    """

    nodes_by_id: dict[str, Child]
    ports_by_id: dict[str, dict[str, int]]
    upstream_by_id: dict[str, Child]
    platform_url: str = ""

    def entry_port(self, node_id: str) -> int:
        """Return the port for callers of a node."""
        return self.ports_by_id[node_id]["entry"]

    def upstream_port(self, node_id: str) -> int:
        """Return the port of the upstream on the VM of a node."""
        return int(self.upstream_by_id[node_id].ready["port"])

    def pids(self) -> list[int]:
        """Return the process ids of the nodes."""
        return sorted({child.pid for child in self.nodes_by_id.values()})

    def status(self, node_id: str) -> dict[str, Any]:
        """Return the status page of a node."""
        url = f"http://127.0.0.1:{self.ports_by_id[node_id]['status']}/status"
        with urllib.request.urlopen(url, timeout=5) as response:
            page: dict[str, Any] = json.load(response)
        return page


def _environment() -> dict[str, str]:
    """Return an environment with a bytecode cache, as an installed package has one."""
    environment = {**os.environ, "PYTHONPYCACHEPREFIX": str(PYCACHE_DIR)}
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    return environment


@contextmanager
def running_child(script: str, *arguments: str) -> Iterator[Child]:
    """Run ``script`` of this directory, or a module after ``-m``, and stop it."""
    program = [script] if script == "-m" else [str(SCRIPT_DIR / script)]
    process = subprocess.Popen(
        [sys.executable, *program, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        env=_environment(),
    )
    try:
        assert process.stdout is not None
        line = process.stdout.readline()
        if not line:
            raise RuntimeError(
                f"{script} exited before it was ready; see its output above"
            )
        yield Child(process, json.loads(line))
    finally:
        process.terminate()
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


@contextmanager
def running_fleet(
    specs: Sequence[NodeSpec],
    catalogue: Catalogue,
    n_nodes_per_process: int = 1,
    settings: Mapping[str, Mapping[str, Any]] | None = None,
    with_platform: bool = True,
) -> Iterator[Fleet]:
    """Run nodes and upstreams that know each other and ``catalogue``.

    :param settings: sections that go into every settings file.
    :param with_platform: whether to run a platform, from which nodes get the
        catalogue and their share of each rate; otherwise members and catalogue
        are sent to them.
    """
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        settings = {**(settings or {})}
        flags = [] if with_platform else ["--alone"]
        if with_platform:
            url = stack.enter_context(running_platform(catalogue))
            settings["platform"] = {"url": url}
        nodes_by_id: dict[str, Child] = {}
        ports_by_id: dict[str, dict[str, int]] = {}
        for start in range(0, len(specs), n_nodes_per_process):
            group = specs[start : start + n_nodes_per_process]
            paths = [_write_settings(folder, spec, settings) for spec in group]
            process = stack.enter_context(
                running_child("_node_process.py", *flags, *paths)
            )
            ports_by_id.update(process.ready)
            nodes_by_id.update({spec.id: process for spec in group})
        upstream_by_id = {
            spec.id: _start_upstream(stack, spec, ports_by_id[spec.id])
            for spec in specs
            if spec.service
        }
        fleet = Fleet(
            nodes_by_id,
            ports_by_id,
            upstream_by_id,
            settings.get("platform", {}).get("url", ""),
        )
        if not with_platform:
            members = [_member(spec, ports_by_id[spec.id]) for spec in specs]
            push_state(fleet, members, catalogue)
        _wait_until_ready(fleet)
        yield fleet


@contextmanager
def running_platform(catalogue: Catalogue) -> Iterator[str]:
    """Run a stand-in platform that holds ``catalogue`` and yield its URL."""
    with running_child("-m", "ibisspoke_standins.platform") as platform:
        url = f"http://127.0.0.1:{platform.ready['port']}"
        asyncio.run(publish(url, catalogue))
        yield url


async def publish(url: str, catalogue: Catalogue) -> int:
    """Publish ``catalogue`` and return its version."""
    store = HttpStore(url)
    config = ConfigStore(store, store, Clock())
    base = (await config.read_current_catalogue()).unwrap()
    metadata = ChangeMetadata(f"benchmark-{base.version}", "benchmark", "measure")
    version = (await config.publish(base, catalogue, metadata)).unwrap().version
    store.close()
    return version


def _wait_until_ready(fleet: Fleet) -> None:
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    for node_id in fleet.nodes_by_id:
        while not _is_ready(fleet, node_id):
            if time.monotonic() > deadline_s:
                page = fleet.status(node_id)
                raise RuntimeError(
                    f"{node_id} was not ready in time; its status page: {page}"
                )
            time.sleep(0.05)


def _is_ready(fleet: Fleet, node_id: str) -> bool:
    page = fleet.status(node_id)
    knows_all = page["n_members"] >= len(fleet.nodes_by_id)
    return bool(page["catalogue_version"]) and knows_all


@contextmanager
def settings_file(spec: NodeSpec, platform_url: str) -> Iterator[str]:
    """Write a temporary settings file and yield its path."""
    with tempfile.TemporaryDirectory() as folder:
        settings = {"platform": {"url": platform_url}}
        yield _write_settings(Path(folder), spec, settings)


def bytes_by_mechanism(fleet: Fleet) -> dict[str, int]:
    """Return the bytes that all nodes sent and received so far, by mechanism.

    Bytes that one node writes to a connection are received by another, so they
    count twice.
    """
    totals = {"membership": 0, "connections": 0}
    for process in {node.pid: node for node in fleet.nodes_by_id.values()}.values():
        totals["connections"] += 2 * process.request({})["n_written_bytes"]
    for node_id in fleet.nodes_by_id:
        page = fleet.status(node_id).get("membership", {})
        totals["membership"] += page.get("n_sent_bytes", 0)
        totals["membership"] += page.get("n_received_bytes", 0)
    return totals


def push_state(
    fleet: Fleet, members: Sequence[Member], catalogue: Catalogue | None
) -> None:
    """Send the members and, if given, the catalogue to every node."""
    command: dict[str, Any] = {"members": msgspec.to_builtins(list(members))}
    if catalogue is not None:
        command["catalogue"] = json.loads(encode_catalogue(catalogue))
    for process in {node.pid: node for node in fleet.nodes_by_id.values()}.values():
        process.request(command)


def benchmark_catalogue(
    services: Sequence[str],
    version: int = 1,
    n_organisations: int = 1,
    data_centres: Sequence[str] = ("svea-1",),
) -> Catalogue:
    """Return a catalogue with one idempotent call per service; ``KEY`` gives access."""
    calls = [
        Call(
            f"{service}.any",
            service,
            "POST",
            "/*",
            "benchmarks",
            Importance.NORMAL,
            True,
            timeout_ms=30_000,
            max_body_bytes=MAX_BODY_BYTES,
            max_answer_bytes=MAX_BODY_BYTES,
        )
        for service in services
    ]
    organisations = [
        Organisation(f"org-{number}", UNLIMITED_PER_S, UNLIMITED_PER_S)
        for number in range(n_organisations)
    ]
    key = Key(digest_key(KEY), "org-0", "benchmark", 0)
    return Catalogue(
        version,
        {call.id: call for call in calls},
        {organisation.id: organisation for organisation in organisations},
        {key.digest: key},
        dict.fromkeys(data_centres, 1),
    )


def process_usage(pid: int) -> Usage:
    """Return the processor time and memory of a process so far."""
    memory = psutil.Process(pid).memory_full_info()
    return Usage(
        _cpu_s(pid),
        memory.rss / BYTES_PER_MB,
        memory.pss / BYTES_PER_MB,
        _peak_rss_mb(pid),
    )


def machine_info() -> dict[str, Any]:
    """Return properties of the machine that affect the figures."""
    return {
        "n_cores": os.cpu_count(),
        "load_1min": round(os.getloadavg()[0], 2),
        "python": sys.version.split()[0],
    }


def _cpu_s(pid: int) -> float:
    nanoseconds = Path(f"/proc/{pid}/schedstat").read_text().split()[0]
    return int(nanoseconds) / 1e9


def _peak_rss_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024.0
    return 0.0


def _start_upstream(stack: ExitStack, spec: NodeSpec, ports: dict[str, int]) -> Child:
    return stack.enter_context(
        running_child(
            "_upstream_process.py",
            spec.service,
            str(ports["status"]),
            str(ports["entry"]),
        )
    )


def _member(spec: NodeSpec, ports: dict[str, int]) -> Member:
    return Member(
        spec.id,
        0,
        spec.region,
        spec.data_centre,
        "127.0.0.1",
        ports["call"],
        ports["control"],
        ports["entry"],
        spec.service,
        1_000,
        False,
        MemberState.ALIVE,
        1,
    )


def _write_settings(
    folder: Path, spec: NodeSpec, settings: Mapping[str, Mapping[str, Any]]
) -> str:
    sections: dict[str, dict[str, Any]] = {
        "node": {
            "id": spec.id,
            "region": spec.region,
            "data_centre": spec.data_centre,
            "host": "127.0.0.1",
        },
        "platform": {"url": "http://127.0.0.1:1"},
        "fleet": {"secrets": [SECRET]},
        "log": {"level": "WARNING"},
    }
    for name, section in settings.items():
        sections.setdefault(name, {}).update(section)
    path = folder / f"{spec.id}.toml"
    path.write_bytes(msgspec.toml.encode(sections))
    return str(path)


def send_to_all(children: Sequence[Child], command: Any) -> None:
    """Send one command to every child without waiting for replies."""
    line = msgspec.json.encode(command).decode() + "\n"
    for process in children:
        assert process.process.stdin is not None
        process.process.stdin.write(line)
        process.process.stdin.flush()


def read_replies(children: Sequence[Child]) -> list[Any]:
    """Return the next reply of every child."""
    replies = []
    for process in children:
        assert process.process.stdout is not None
        replies.append(json.loads(process.process.stdout.readline()))
    return replies
