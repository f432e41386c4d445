"""Worker processes of the membership benchmark."""

import asyncio
import contextlib
import json
import signal
import sys
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

SCRIPT = Path(__file__).with_name("_membership_worker.py")
MAX_LINE_BYTES = 64 * 1024 * 1024
JOIN_TIMEOUT_S = 60.0


class Worker:
    """One process that runs nodes."""

    def __init__(self, process: asyncio.subprocess.Process, ids: list[str]) -> None:
        self.process = process
        self.ids = ids
        self.ports_by_id: dict[str, dict[str, int]] = {}

    async def request(self, command: str, **fields: Any) -> dict[str, Any]:
        """Send a command and return the reply."""
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        self.process.stdin.write(json.dumps({"do": command, **fields}).encode() + b"\n")
        await self.process.stdin.drain()
        line = await self.process.stdout.readline()
        reply: dict[str, Any] = json.loads(line)
        return reply

    def signal(self, signal_number: signal.Signals) -> float:
        """Send a signal.

        :returns: seconds since the epoch when it was sent.
        """
        at_s = time.time()
        self.process.send_signal(signal_number)
        return at_s

    async def kill(self) -> None:
        """Kill the process if it is still running."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
        await self.process.wait()


async def start_worker(
    nodes: list[dict[str, Any]], seeds: Sequence[str], **options: Any
) -> Worker:
    """Start a process that runs ``nodes``."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(SCRIPT),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=MAX_LINE_BYTES,
    )
    worker = Worker(process, [node["id"] for node in nodes])
    reply = await worker.request("start", nodes=nodes, seeds=seeds, **options)
    worker.ports_by_id = reply["ports"]
    return worker


class Fleet:
    """All workers of one fleet."""

    def __init__(self) -> None:
        self.workers: list[Worker] = []
        self.all_workers: list[Worker] = []
        self.seeds: list[str] = []
        self._seeded_data_centres: set[str] = set()

    @property
    def n_nodes(self) -> int:
        """Nodes of all running workers."""
        return sum(len(worker.ids) for worker in self.workers)

    async def add(self, nodes: list[dict[str, Any]], **options: Any) -> Worker:
        """Start a worker that joins the fleet."""
        worker = await start_worker(nodes, self.seeds, **options)
        self.workers.append(worker)
        self.all_workers.append(worker)
        data_centre = nodes[0]["data_centre"]
        if data_centre not in self._seeded_data_centres:
            self._seeded_data_centres.add(data_centre)
            port = next(iter(worker.ports_by_id.values()))["control_port"]
            self.seeds.append(f"127.0.0.1:{port}")
        return worker

    async def request_all(self, command: str, **fields: Any) -> list[dict[str, Any]]:
        """Send a command to every worker and return the replies."""
        return list(
            await asyncio.gather(*(w.request(command, **fields) for w in self.workers))
        )

    async def wait_until_complete(self) -> None:
        """Wait until every node sees all nodes."""
        replies = await self.request_all(
            "wait_members", n=self.n_nodes, timeout_s=JOIN_TIMEOUT_S
        )
        if not all(reply["complete"] for reply in replies):
            raise RuntimeError(f"nodes did not discover each other in time: {replies}")

    async def events(self) -> list[dict[str, Any]]:
        """Return all changes of member rows since the last call."""
        replies = await self.request_all("events")
        return [event for reply in replies for event in reply["events"]]

    def remove(self, worker: Worker) -> None:
        """Send no more commands to a worker."""
        self.workers.remove(worker)


@asynccontextmanager
async def running_fleet() -> AsyncIterator[Fleet]:
    """Yield an empty fleet and kill its processes at the end."""
    fleet = Fleet()
    try:
        yield fleet
    finally:
        await asyncio.gather(*(worker.kill() for worker in fleet.all_workers))
