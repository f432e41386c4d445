"""A server leaves while the store is down, and all processes are killed after that."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab2"))

from lab import (  # noqa: E402
    CannotRunError,
    Lab,
    Machine,
    Message,
    Server,
    caller_headers,
    configuration,
    route,
    run_case,
    start_machines,
    tenant,
)

KEY = "kept-key"
N_MACHINES = 4
N_CLIENTS = 4  # on each machine
WORK_S = 0.5  # on an order
# Since the store went down.
HEARTBEAT_S, HEARTBEAT_ARRIVES_S = 0.05, 3.0
LEAVE_S = 0.2
KILL_S, RESTART_S = 1.2, 1.7
STORE_BACK_S = 4.5
SERVER_EXITS_S = 13.0
END_S = 14.0


async def work(server: Server, message: Message) -> bytes:
    """Work on an order."""
    await asyncio.sleep(WORK_S)
    return b"ordered"


class Scene:
    """The machines of the case, with the server that leaves and the clients.

    :ivar n_lost: orders that ran at it and got no answer, after the store was back.
    """

    def __init__(self, lab: Lab, machines: list[Machine], leaving: Server) -> None:
        self.lab = lab
        self.machines = machines
        self.leaving = leaving
        self.n_lost = 0
        self.started_s = time.monotonic()

    async def until(self, at_s: float) -> None:
        """Wait until a time since the start."""
        await asyncio.sleep(max(0.0, self.started_s + at_s - time.monotonic()))

    async def disturb(self) -> None:
        """Silence the store; meanwhile kill all processes, and start them again."""
        store = self.lab.store
        store.is_silent = True
        self.lab.record.write("the store is silent")
        await self.until(KILL_S)
        for machine in self.machines:
            machine.kill()
        await self.until(RESTART_S)
        for machine in self.machines:
            machine.start()
        await self.until(STORE_BACK_S)
        store.is_silent = False
        self.lab.record.write("the store is back")

    async def leave(self) -> float:
        """Let the server leave and exit, and return when that was acknowledged.

        A heartbeat that it sent before arrives late.
        """
        leaving = self.leaving
        await self.until(HEARTBEAT_S)
        heartbeat = leaving.encode_heartbeat()
        leaving.is_announcing = False
        await self.until(LEAVE_S)
        status = await leaving.leave()
        acknowledged_s = time.monotonic()
        if status != 200:
            raise CannotRunError(f"the departure was answered with {status}")
        await self.until(HEARTBEAT_ARRIVES_S)
        status = await leaving.send(heartbeat)
        self.lab.record.write(f"late heartbeat: answer {status}")
        await self.until(SERVER_EXITS_S)
        await leaving.stop()
        self.lab.record.write(f"{leaving.instance} exits")
        return acknowledged_s

    async def send_orders(self, machine: Machine, client: int) -> None:
        """Send orders to a machine, one after the other, until the end."""
        n_sent = 0
        while (at_s := time.monotonic() - self.started_s) < END_S:
            n_sent += 1
            request_id = f"{machine.name}-{client}-{n_sent}"
            headers = caller_headers(request_id, KEY, 5000)
            answer = await machine.request("POST", "/order/lids", headers, b"lid")
            if answer is None or answer.status != 200:
                has_run = any(run.id == request_id for run in self.leaving.runs)
                self.n_lost += has_run and at_s > STORE_BACK_S
            await asyncio.sleep(0.1)


async def case(lab: Lab, has_trouble: bool) -> bool:
    """Return whether nothing reached the server that had left."""
    zones = ["sv-a", "no-a"]
    lab.zones = zones
    machines = [
        Machine(lab, number, zones[number % 2], "ordering")
        for number in range(1, N_MACHINES + 1)
    ]
    routes = [route("order", "non_idempotent", "ordering")]
    tenants = [tenant("counter", KEY)]
    lab.store.put("op", "config", configuration(3, routes, ["ordering"], tenants))
    servers = await start_machines(lab, machines, slots=54)
    for server in servers:
        server.work = work
    scene = Scene(lab, machines, servers[0])
    tasks = [
        asyncio.create_task(scene.send_orders(machine, client))
        for machine in machines
        for client in range(N_CLIENTS)
    ]
    if has_trouble:
        tasks.append(asyncio.create_task(scene.disturb()))
    acknowledged_s = await scene.leave()
    await asyncio.gather(*tasks)
    # Machines are in touch contactMs after the store was back and they were started.
    in_touch_s = scene.started_s + STORE_BACK_S + lab.bounds["contactMs"] / 1000.0
    bound_s = max(acknowledged_s + lab.bounds["drainMs"] / 1000.0, in_touch_s)
    late = [run for run in scene.leaving.runs if run.at_s > bound_s]
    lab.record.write(
        f"{len(late)} orders ran at {scene.leaving.instance} after it had left, sent "
        f"by machines in touch; {scene.n_lost} orders were lost as it exited"
    )
    return not late


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER, n_machines=N_MACHINES))
