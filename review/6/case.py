"""The key of the only tenant is taken away from connected clients."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab2"))

from lab import (  # noqa: E402
    KeptConnection,
    Lab,
    Machine,
    caller_headers,
    configuration,
    route,
    run_case,
    start_machines,
    tenant,
)

KEY = "kept-key"
AFTER_S = 3.0  # for which requests are sent once the key must no longer work
PAUSE_S = 0.2


async def case(lab: Lab, has_trouble: bool) -> bool:
    """Return whether nothing ran with the key later than ``revokeMs``."""
    machines = [Machine(lab, number, "sv-a", "catalogue") for number in (1, 2)]
    routes = [route("lookup", "safe", "catalogue")]
    tenants = [tenant("counter", KEY)]
    lab.store.put("op", "config", configuration(3, routes, ["catalogue"], tenants))
    servers = await start_machines(lab, machines, slots=8)
    connections = [KeptConnection(machine) for machine in machines]
    for connection in connections:
        await connection.open()
    n_sent = 0

    async def send_all(key: str) -> dict[str, float]:
        nonlocal n_sent
        sent_s = {}
        for connection in connections:
            n_sent += 1
            request_id = f"q{n_sent}"
            sent_s[request_id] = time.monotonic()
            headers = caller_headers(request_id, key, 3000)
            answer = await connection.request("GET", "/lookup/lid", headers)
            status = answer.status if answer is not None else "none"
            lab.record.write(f"{request_id} with {key}: answer {status}")
        await asyncio.sleep(PAUSE_S)
        return sent_s

    for _ in range(5):
        await send_all(KEY)
    await send_all("key-that-nobody-holds")
    # The operator takes the tenant out of the configuration; in the control the tenant
    # stays, and only the version changes.
    latest = configuration(5, routes, ["catalogue"], [] if has_trouble else tenants)
    lab.store.put("op", "config", latest)
    acknowledged_s = time.monotonic()
    lab.record.write("r5 is acknowledged" + (": no tenants" if has_trouble else ""))
    bound_s = acknowledged_s + lab.bounds["revokeMs"] / 1000.0
    sent_s: dict[str, float] = {}
    while time.monotonic() < bound_s + AFTER_S:
        sent_s.update(await send_all(KEY))
    for connection in connections:
        connection.close()
    if not has_trouble:
        return True
    late = {request_id for request_id, at_s in sent_s.items() if at_s > bound_s}
    ran = [run for server in servers for run in server.runs if run.id in late]
    lab.record.write(
        f"{len(late)} requests with the key were sent more than revokeMs after the "
        f"acknowledgement; {len(ran)} of them ran, "
        f"{sum('x-tenant-id' in run.headers for run in ran)} with X-Tenant-Id"
    )
    return not ran


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER, n_machines=2))
