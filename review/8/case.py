"""A planned stop, while clients read answers slowly and send requests behind them."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab2"))

from lab import (  # noqa: E402
    KeptConnection,
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
N_CLIENTS = 6
ANSWER_BYTES = 30_000
READ_BYTES_PER_S = 15_000
RECEIVE_BUFFER_BYTES = 2_304
NEXT_REQUEST_S = 1.0  # after the first bytes of the answer
STOP_S = 0.5  # after the requests were sent


async def work(server: Server, message: Message) -> bytes:
    """Work for 200 ms, and answer."""
    await asyncio.sleep(0.2)
    return b"c" * ANSWER_BYTES


async def read_slowly(lab: Lab, machine: Machine, client: int) -> tuple[int, int]:
    """Send a request, read its answer slowly, and send another one meanwhile.

    :returns: how many bytes the answer has, and how many of them were received.
    """
    connection = KeptConnection(machine, RECEIVE_BUFFER_BYTES)
    await connection.open()
    reader = connection.reader
    assert reader is not None
    connection.send("GET", "/lookup/pitches", caller_headers(f"a{client}", KEY, 5000))
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    n_bytes = int(head.partition("content-length:")[2].split("\r\n")[0])
    started_s = time.monotonic()
    n_read, has_sent_next, end = 0, False, "whole"
    try:
        while n_read < n_bytes:
            data = await reader.read(min(1_500, n_bytes - n_read))
            if not data:
                end = "closed"
                break
            n_read += len(data)
            await asyncio.sleep(len(data) / READ_BYTES_PER_S)
            if not has_sent_next and time.monotonic() - started_s > NEXT_REQUEST_S:
                has_sent_next = True
                headers = caller_headers(f"b{client}", KEY, 5000)
                connection.send("GET", "/lookup/pitches", headers)
    except ConnectionError:
        end = "reset"
    connection.close()
    took_s = time.monotonic() - started_s
    lab.record.write(
        f"a{client}: {n_read} of {n_bytes} bytes in {took_s:.2f} s, {end}; "
        f"announced a close: {'connection: close' in head}"
    )
    return n_bytes, n_read


async def case(lab: Lab, has_trouble: bool) -> bool:
    """Return whether the requests that were read whole got whole answers."""
    machines = [Machine(lab, number, "gondar-a", "pitchfinder") for number in (1, 2)]
    routes = [route("lookup", "safe", "pitchfinder")]
    tenants = [tenant("lodge", KEY)]
    lab.store.put("op", "config", configuration(3, routes, ["pitchfinder"], tenants))
    servers = await start_machines(lab, machines, slots=36)
    for server in servers:
        server.work = work
    clients = [
        asyncio.create_task(read_slowly(lab, machines[0], client))
        for client in range(N_CLIENTS)
    ]
    await asyncio.sleep(STOP_S)
    if has_trouble:
        machines[0].signal(signal.SIGTERM)
    results = await asyncio.gather(*clients)
    n_cut = sum(n_read < n_bytes for n_bytes, n_read in results)
    lab.record.write(f"{n_cut} of {N_CLIENTS} answers were cut off")
    return not n_cut


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER, n_machines=2))
