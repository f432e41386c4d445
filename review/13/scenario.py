"""Requests that take longer than usual, while the machine that took them stops."""

# As in tests, signatures are not typed, and loops wait for processes.
# ruff: noqa: ANN001, ANN201, ANN202, D102, D103

import asyncio
import math
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab3"))
from lab import BOUNDS, configuration, main, read_answer, request, route

FRONT, PROFILES = "huvo11a", "kafi81c"
PLACES = [
    ("sv-a", "svealand", FRONT),
    ("sv-a", "svealand", PROFILES),
    ("no-a", "svealand", PROFILES),
]
TIMEOUT_MS = 1500
ROUTES = [
    route("profile", "safe", PROFILES, timeoutMs=TIMEOUT_MS, targetLatencyMs=300),
    route("report", "safe", PROFILES, timeoutMs=5000, targetLatencyMs=2500),
]
# Of `slot-search` in the site file: 58 ms on average, spread 0.3, 610 ms at most.
MEAN_S, SPREAD, LONGEST_S = 0.058, 0.3, 0.61
PACE = 1.5  # of the machines when these run; neighbours slow them for a moment
REPORT_S = 2.0
SLOTS = 8
N_TRAINING = 60
N_LONG = 6
N_ROUNDS = 3  # of reports, before
SIGTERM_AFTER_S = 0.02


def worker(server):
    """Return a handler that works as long as the path says, and tells its load."""
    running = [0]
    rng = random.Random(7)

    async def handle(method, target, headers, reader, writer):
        server.note_run(headers)
        seconds = min(LONGEST_S, rng.lognormvariate(math.log(MEAN_S), SPREAD))
        if target.startswith("/report/"):
            seconds = REPORT_S
        elif target.endswith("/long"):
            seconds = PACE * LONGEST_S
        running[0] += 1
        left = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait([left], timeout=seconds)
        running[0] -= 1
        if done:  # the connection was closed
            server.record.write(
                f"{server.instance}: {headers['x-request-id']} was broken off"
            )
            return False
        left.cancel()
        await asyncio.wait([left])
        # With the figure for the pace of the machine, 100 as usual.
        pace = 100 * PACE if target.endswith("/long") else 100
        server.reply(headers, writer, load=f"{running[0]},0,{SLOTS},{pace:.0f}")
        await writer.drain()
        return True

    return handle


class Client:
    """A client's kept connection to a machine."""

    async def open(self, lab, machine):
        self.lab = lab
        host, port = machine.host, machine.ports["outbound"]
        self.reader, self.writer = await asyncio.open_connection(host, port)
        return self

    async def get(self, path, request_id):
        self.writer.write(request("GET", path, request_id, 5000))
        sent_s = self.lab.record.now()
        status, headers, _ = await read_answer(self.reader)
        took_s = self.lab.record.now() - sent_s
        return status, "x-server-stamp" not in headers, sent_s, took_s


async def train(lab, entry):
    """Let the entry learn how long the usual requests take."""
    client = await Client().open(lab, entry)
    for n in range(N_TRAINING):
        await client.get("/profile/1", f"usual-{n}")
        await asyncio.sleep(0.02)
    client.writer.close()


async def scenario(lab, is_troubled):
    record = lab.record
    await lab.start(PLACES, configuration(1, ROUTES, [FRONT, PROFILES]))
    entry, _, third = lab.machines
    for server in lab.servers[1:]:
        server.slots = SLOTS
        server.handle = worker(server)
    await asyncio.sleep(2.0)  # until the heartbeats have told the slots
    await train(lab, entry)
    busy = [await Client().open(lab, third) for _ in range(SLOTS)]
    for n in range(N_ROUNDS):
        await asyncio.gather(
            *(c.get("/report/1", f"earlier-{n}-{k}") for k, c in enumerate(busy))
        )
    await asyncio.sleep(BOUNDS["contactMs"] / 1000)
    clients = [await Client().open(lab, entry) for _ in range(N_LONG)]
    for n, client in enumerate(clients):
        await client.get("/profile/1", f"first-{n}")
    # The callers of the third machine keep its server busy.
    reports = [
        asyncio.ensure_future(client.get("/report/1", f"report-{n}"))
        for n, client in enumerate(busy)
    ]
    await asyncio.sleep(0.6)
    asked = [
        asyncio.ensure_future(client.get("/profile/long", f"long-{n}"))
        for n, client in enumerate(clients)
    ]
    await asyncio.sleep(SIGTERM_AFTER_S)
    stopped_s = record.now()
    if is_troubled:
        entry.is_wanted = False
        entry.signal(signal.SIGTERM)
    answers = await asyncio.gather(*asked)
    await asyncio.gather(*reports)
    run_ids = {name for server in lab.servers for _, name in server.runs}
    n_lost = 0
    for n, (status, is_own, sent_s, took_s) in enumerate(answers):
        request_id = f"long-{n}"
        record.write(
            f"client: {request_id} answered {status} after {took_s * 1000:.0f} ms, "
            f"{'no server stamp' if is_own else 'with server stamp'}"
        )
        is_late = took_s * 1000 >= TIMEOUT_MS - 100
        is_last_sixth = sent_s + took_s - stopped_s >= BOUNDS["graceS"] * 5 / 6
        is_lost = status == 0 or (is_own and status not in (429, 503))
        if is_lost and request_id in run_ids and not is_late and not is_last_sixth:
            n_lost += 1
            record.write(f"broken off while its server was at work: {request_id}")
    record.write(f"{n_lost} of {N_LONG} requests were broken off")
    # The rule counts this around planned work only.
    return is_troubled and n_lost > 0


if __name__ == "__main__":
    main(Path(__file__).parent, scenario)
