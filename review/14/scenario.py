"""A server leaves while the store is away; all processes are killed after that."""

# As in tests, signatures are not typed, and loops wait for processes.
# ruff: noqa: ANN001, ANN201, ANN202, D103

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab3"))
from lab import BOUNDS, configuration, exchange, main, request, route

SERVICE = "huvo11a"
PLACES = [(zone, "svealand", SERVICE) for zone in ("sv-a", "no-a", "sv-a", "no-a")]
ROUTES = [route("order", "non_idempotent", SERVICE)]
N_CLIENTS = 4  # on each machine
WORK_S = 0.3
# Since the store went away.
LEAVE_S = 0.2
KILL_S, DOWN_S = 1.2, 0.5
STORE_BACK_S = 2.0
LATE_S = (3.5, 3.7)  # when the last two heartbeats before the departure arrive
SERVER_EXITS_S = 12.0


async def send_orders(lab, machine, client, end_s, answers):
    """Send orders to a machine, one after the other."""
    n = 0
    while lab.record.now() < end_s:
        n += 1
        request_id = f"order-{machine.number}-{client}-{n}"
        data = request("POST", "/order/1", request_id, 5000, body=b"lid")
        status = 0
        try:
            async with asyncio.timeout(5.0):
                answer = await exchange(machine.host, machine.ports["outbound"], data)
                status = answer[0]
        except (OSError, TimeoutError):
            pass
        answers[request_id] = status
        await asyncio.sleep(0.1)


async def leave(lab, server, start_s):
    """Let a server leave; its last two heartbeats arrive late."""
    record, machine = lab.record, server.machine
    beat = f"/api/Instances.Heartbeat/{server.instance}"
    late = [server.message(), server.message()]  # the first one 1.5 s before
    await until(lab, start_s + LEAVE_S)
    sent_s = record.now()
    target = f"/api/Instances.Leave/{server.instance}"
    status = await machine.control(target, {"born": server.born})
    record.write(f"{server.instance}: Leave answered {status}")
    if status != 200:
        raise RuntimeError("the departure was not acknowledged")
    acknowledged_s = record.now()
    for message, at_s in zip(late, LATE_S, strict=True):
        await until(lab, start_s + at_s)
        status = await machine.control(beat, message)
        record.write(f"{server.instance}: a late heartbeat answered {status}")
    record.write(f"acknowledged {acknowledged_s - sent_s:.2f} s after Leave")
    return acknowledged_s


async def until(lab, at_s):
    await asyncio.sleep(max(0.0, at_s - lab.record.now()))


async def disturb(lab, start_s):
    """Let the store go away, and kill all processes meanwhile."""
    lab.store.go_away()
    await until(lab, start_s + KILL_S)
    for machine in lab.machines:
        machine.is_wanted = False
        machine.signal(signal.SIGKILL)
    await until(lab, start_s + KILL_S + DOWN_S)
    for machine in lab.machines:
        machine.start()
    lab.record.write("the processes are started again")
    await until(lab, start_s + STORE_BACK_S)
    await lab.store.start()
    lab.record.write("store: back, nothing is lost")


async def scenario(lab, is_troubled):
    record = lab.record
    await lab.start(PLACES, configuration(1, ROUTES, [SERVICE]))
    leaving = lab.servers[0]
    for server in lab.servers:
        server.work_s = WORK_S
    # The next heartbeat of the server would be due now: it is the first that is late.
    leaving.beats.cancel()
    await asyncio.sleep(1.5)
    start_s = record.now()
    answers = {}
    end_s = start_s + SERVER_EXITS_S + 1.0
    tasks = [
        asyncio.ensure_future(send_orders(lab, machine, client, end_s, answers))
        for machine in lab.machines
        for client in range(N_CLIENTS)
    ]
    if is_troubled:
        tasks.append(asyncio.ensure_future(disturb(lab, start_s)))
    acknowledged_s = await leave(lab, leaving, start_s)
    await until(lab, start_s + SERVER_EXITS_S)
    leaving.server.close()
    record.write(f"{leaving.instance} exits")
    await asyncio.gather(*tasks)
    # In touch are machines contactMs after they were started and the store was back.
    contact_s = BOUNDS["contactMs"] / 1000
    in_touch_s = start_s + max(KILL_S + DOWN_S, STORE_BACK_S) + contact_s
    bound_s = max(acknowledged_s + BOUNDS["drainMs"] / 1000, in_touch_s)
    late = [run for run in leaving.runs if run[0] > bound_s]
    counts = {}
    for status in answers.values():
        counts[status] = counts.get(status, 0) + 1
    record.write(f"answers {counts}")
    for at_s, request_id in late:
        record.write(
            f"{request_id} reached {leaving.instance} {at_s - acknowledged_s:.2f} s "
            f"after the acknowledgement, answered {answers.get(request_id)}"
        )
    record.write(f"{len(late)} orders reached it too late, by machines in touch")
    return len(late) > 0


if __name__ == "__main__":
    main(Path(__file__).parent, scenario)
