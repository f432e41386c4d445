"""One heartbeat of another writer at each machine, after all processes were killed."""

# As in tests, signatures are not typed, and loops wait for processes.
# ruff: noqa: ANN001, ANN003, ANN201, ANN202, ANN204, ANN205, ASYNC110, D102, D103

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab3"))
from lab import BOUNDS, configuration, exchange, main, request, route

SERVICE = "huvo11a"
PLACES = [("sv-a", "svealand", SERVICE), ("go-a", "gotaland", SERVICE)]
ROUTES = [
    route("lid", "safe", SERVICE),
    route("order", "non_idempotent", SERVICE, timeoutMs=1500),
]
PER_S = 20
DOWN_S = 1.0  # between the kill of all processes and their next start
STRAY_AFTER_S = 4.0  # after the machines are back
JUDGED_S = 15.0


async def traffic(lab, counts, seconds, name):
    """Send requests to the machines in turn; count the answers by status."""

    async def one(n):
        machine = lab.machines[n % len(lab.machines)]
        path = "/lid/1" if n % 3 else "/order/1"
        method = "GET" if n % 3 else "POST"
        data = request(method, path, f"{name}{n}", 5000)
        try:
            async with asyncio.timeout(5.0):
                answer = await exchange(machine.host, machine.ports["outbound"], data)
        except (OSError, TimeoutError):
            answer = (0, {}, b"")
        status = answer[0]
        if status == 200 and "x-server-stamp" not in answer[1]:
            status = 0
        counts[status] = counts.get(status, 0) + 1
        lab.record.write(f"client: {method} {name}{n} answered {status}")

    tasks = []
    for n in range(int(seconds * PER_S)):
        tasks.append(asyncio.ensure_future(one(n)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)


def stray(machine):
    """Return a heartbeat of a writer whose service no page and no route names."""
    return {
        "address": f"{machine.host}:{machine.ports['app']}",
        "details": {
            "service": "unnamed",
            "version": "v1",
            "zone": machine.zone,
            "slots": 4,
        },
        "status": {"state": "ready", "sequence": 1, "coldRemainingMs": 0},
        "born": int(time.time() * 1000),
    }


async def scenario(lab, is_troubled):
    record = lab.record
    await lab.start(PLACES, configuration(1, ROUTES, [SERVICE]))
    before = {}
    await traffic(lab, before, 6.0, "a")
    record.write(f"before the final fault: {before}")
    # The final fault: all processes are killed after a change was acknowledged.
    lab.store.configure(configuration(2, ROUTES, [SERVICE]))
    for machine in lab.machines:
        machine.is_wanted = False
        machine.signal(signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    for machine in lab.machines:
        machine.start()
    while not all([await machine.is_ready() for machine in lab.machines]):
        await asyncio.sleep(0.1)
    back_s = record.now()
    record.write("the machines are back")
    await asyncio.sleep(STRAY_AFTER_S)
    if is_troubled:
        for machine in lab.machines:
            target = "/api/Instances.Heartbeat/i-other"
            status = await machine.control(target, stray(machine))
            record.write(f"node-{machine.number}: stray heartbeat answered {status}")
    while record.now() < back_s + BOUNDS["recoveryS"]:
        await asyncio.sleep(0.1)
    after = {}
    await traffic(lab, after, JUDGED_S, "b")
    record.write(f"later than recoveryS after the machines are back: {after}")
    n_before, n_after = sum(before.values()), sum(after.values())
    if before.get(200, 0) < 0.25 * n_before:
        raise RuntimeError("less than a quarter was served before the final fault")
    for server in lab.servers:
        record.write(f"{server.instance} ran {len(server.runs)} requests")
    return after.get(200, 0) < 0.25 * n_after


if __name__ == "__main__":
    main(Path(__file__).parent, scenario)
