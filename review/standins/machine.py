"""A machine: the project's program as a process, started as the deploy file says."""

import asyncio
import json
import os
import re
import resource
import secrets
import signal
import socket
import tomllib
from pathlib import Path
from typing import Any

from .http import encode, exchange
from .record import Record

ROOT = Path(__file__).resolve().parents[2]
GRACE_S = 6
BOUNDS = {
    "drainMs": 2500,
    "graceS": GRACE_S,
    "configApplyMs": 2500,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 48,
}
READY_TIMEOUT_S = 20.0
PLACEHOLDER = re.compile(r"\{\{([\w.]+)\|json\}\}")


def free_network(n_hosts: int, n_ports: int) -> tuple[list[str], list[int]]:
    """Return loopback addresses, and ports that are free on all of them."""
    net = f"127.{64 + secrets.randbelow(128)}.{1 + secrets.randbelow(250)}"
    hosts = [f"{net}.{number}" for number in range(1, n_hosts + 1)]
    ports: list[int] = []
    while len(ports) < n_ports:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        if port not in ports and all(_is_free(host, port) for host in hosts):
            ports.append(port)
    return hosts, ports


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Ports:
    """Ports that are the same on all machines."""

    def __init__(self, ports: list[int]) -> None:
        self.outbound, self.inbound, self.ready, self.control = ports[:4]
        self.status, self.metrics, self.app, self.store = ports[4:8]


class Machine:
    """A machine with the project's program."""

    def __init__(
        self,
        name: str,
        host: str,
        zone: str,
        region: str,
        service: str,
        ports: Ports,
        store: tuple[str, int],
        directory: Path,
        record: Record,
    ) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self.outbound = (host, ports.outbound)
        self.control = (host, ports.control)
        self.app = (host, ports.app)
        self._ready = (host, ports.ready)
        self._record = record
        self._settings = directory / f"{name}.toml"
        self._log = directory / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self._settings.write_text(
            _rendered(
                {
                    "node": name,
                    "ip": host,
                    "zone": zone,
                    "region": region,
                    "service": service,
                    "listen": {
                        "outbound": f"{host}:{ports.outbound}",
                        "inbound": f"{host}:{ports.inbound}",
                        "ready": f"{host}:{ports.ready}",
                        "control": f"{host}:{ports.control}",
                    },
                    "portRange": [ports.status, ports.metrics],
                    "appAddr": f"{host}:{ports.app}",
                    "heartbeatMs": 1500,
                    "bounds": BOUNDS,
                    "provider": {"address": f"{store[0]}:{store[1]}"},
                }
            )
        )

    async def start(self) -> None:
        """Start the program, and wait until it is ready."""
        run = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = run["roles"]["node"]["run"].split(" ")
        passed = [name for name in ("PATH", "HOME", "LANG") if name in os.environ]
        env = {name: os.environ[name] for name in passed}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["IBISSPOKE_CONFIG"] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._record.write("started", machine=self.name, pid=self.process.pid)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        self._record.write("ready", machine=self.name)

    async def is_ready(self) -> bool:
        """Ask whether the program is ready for clients."""
        call = encode("GET /api/readiness HTTP/1.1", {"Host": self.host})
        answer = await exchange(self._ready, call, 1.0)
        return answer is not None and answer.start[1] == "200"

    async def limit_memory(self, limit_mb: int, until_s: float) -> int:
        """Kill the program when it exceeds a limit, as the platform does.

        :returns: the most that was seen, in MB.
        """
        most = 0
        while self._record.now() < until_s and self.process is not None:
            most = max(most, _resident_mb(self.process.pid))
            if most > limit_mb:
                self._record.write("over its memory", machine=self.name, mb=most)
                await self.kill()
            await asyncio.sleep(0.005)
        return most

    async def stop(self) -> float:
        """Send SIGTERM, and SIGKILL after the grace time; return how long it took."""
        assert self.process is not None
        started_s = self._record.now()
        self._record.write("SIGTERM", machine=self.name)
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
        except TimeoutError:
            self._record.write("SIGKILL", machine=self.name)
        await self.kill()
        return self._record.now() - started_s

    async def kill(self) -> None:
        """Kill the program if it runs."""
        process, self.process = self.process, None
        if process is None:
            return
        if process.returncode is None:
            process.kill()
            await process.wait()
        self._record.write("ended", machine=self.name, code=process.returncode)


def _resident_mb(pid: int) -> int:
    try:
        fields = Path(f"/proc/{pid}/statm").read_text().split()
    except OSError:  # the process has just ended
        return 0
    return int(fields[1]) * resource.getpagesize() // 2**20


def _rendered(fields: dict[str, Any]) -> str:
    """Return the settings of the template in the deploy folder."""

    def value(found: re.Match[str]) -> str:
        node: Any = fields
        for word in found[1].split("."):
            node = node[int(word)] if isinstance(node, list) else node[word]
        return json.dumps(node)

    template = (ROOT / "deploy" / "node.toml").read_text()
    return PLACEHOLDER.sub(value, template)
