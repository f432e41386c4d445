"""A small deployment for a script: machines with servers, the store and clients."""

import asyncio
import os
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

from .client import Clients
from .http import Message
from .machine import Machine, Ports, free_network
from .record import Record
from .server import Server
from .store import Store

HOLDS, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "shop.example"
KEY = "k3y0f0ne"
TIME_LIMIT_S = 115
CONTACT_S = 3.0
SETTLE_S = 4.0  # all machines are in touch after it


class Scene:
    """The parts of a deployment that is running."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.machines: list[Machine] = []
        self.servers: list[Server] = []
        self.clients = Clients(record, HOST, KEY)


def has_trouble() -> bool:
    """Return whether the script brings its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    fields = {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 1500,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
        "public": False,
    }
    return {**fields, **changes}


def configuration(routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration with one tenant, which has no limit."""
    names = sorted({route["service"] for route in routes})
    return {
        "version": "r7",
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthCheckPath": "/health",
                "maxConnections": 424,
                "protocol": "h1",
                "tls": False,
            }
            for name in names
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "one", "apiKeys": [KEY], "priority": 1}],
        "baseVersion": "r0",
    }


@asynccontextmanager
async def deployment(
    record: Record,
    places: list[tuple[str, str, str]],
    routes: list[dict[str, Any]],
    work_s: Callable[[Message], float],
) -> AsyncIterator[Scene]:
    """Run machines with their servers until the context ends.

    :param places: zone, region and service of each machine.
    """
    scene = Scene(record)
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        stack.push_async_callback(asyncio.sleep, 0.2)  # open connections end in it
        hosts, numbers = free_network(len(places) + 1, 8)
        ports = Ports(numbers)
        store = (hosts[-1], ports.store)
        listener = await scene.store.start(store)
        stack.callback(listener.close)
        await scene.store.write_config(configuration(routes))
        for number, (zone, region, service) in enumerate(places, 1):
            machine = Machine(
                f"machine-{number}",
                hosts[number - 1],
                zone,
                region,
                service,
                ports,
                store,
                Path(folder),
                record,
            )
            server = Server(
                f"i-{number}",
                service,
                zone,
                machine.app,
                machine.control,
                record,
                work_s,
            )
            scene.machines.append(machine)
            scene.servers.append(server)
            stack.push_async_callback(machine.kill)
            stack.callback(server.end)
        await asyncio.gather(*(machine.start() for machine in scene.machines))
        await asyncio.gather(*(server.start() for server in scene.servers))
        await asyncio.sleep(SETTLE_S)
        yield scene


async def send_steadily(
    send: Callable[[], Awaitable[Any]], per_s: float, for_s: float
) -> None:
    """Start ``send`` at a steady rate, and wait until all have ended."""
    async with asyncio.TaskGroup() as group:
        for _ in range(int(per_s * for_s)):
            group.create_task(_ended(send()))
            await asyncio.sleep(1 / per_s)


async def _ended(sending: Awaitable[Any]) -> None:
    await sending


def run(folder: Path, script: Callable[[Record], Awaitable[int]]) -> None:
    """Run a script, and exit with its result."""
    record = Record(folder / "record.txt")
    record.write("begins", trouble=int(has_trouble()))

    async def limited() -> int:
        async with asyncio.timeout(TIME_LIMIT_S):
            return await script(record)

    try:
        result = asyncio.run(limited())
    except Exception as error:  # a failure of the script is no broken rule
        record.write("could not run", error=repr(error))
        result = COULD_NOT_RUN
    record.write("ends", result=result)
    record.close()
    print({HOLDS: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[result])
    sys.exit(result)
