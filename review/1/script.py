"""A machine is stopped as planned, while its clients go on sending requests."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import scene as scenes  # noqa: E402
from standins.client import Answer  # noqa: E402
from standins.machine import GRACE_S  # noqa: E402
from standins.record import Record  # noqa: E402

SERVICE = "returns"
PLACES = [("a", "north", SERVICE), ("b", "north", SERVICE), ("c", "south", SERVICE)]
ROUTES = [
    scenes.route(
        "return-record",
        "safe",
        SERVICE,
        timeoutMs=5000,
        targetLatencyMs=2500,
        priority=2,
    )
]
WORK_S = 2.2
DEADLINE_MS = 10_000
PER_S = 5.0
LOST_S = 0.2
EXCUSED_UNTIL_S = 3.0  # requests sent no later than this after the SIGTERM
LAST_SIXTH_S = GRACE_S * 5 / 6
CALM_S = scenes.CONTACT_S + 1.0  # between two stops


def is_lost(answer: Answer, stopped_s: float, arrived: set[str]) -> bool:
    """Return whether a request counts as lost around a SIGTERM, as LOST says it."""
    if answer.status or not answer.was_sent or answer.sent_s < stopped_s:
        return False
    if answer.ended_s > stopped_s + GRACE_S + 1.0:
        return False
    took_s = answer.ended_s - answer.sent_s
    was_read = answer.id in arrived or took_s > LOST_S
    is_over = took_s >= 5.0  # the route's timeout, which is before the deadline
    was_at_work = answer.ended_s - stopped_s >= LAST_SIXTH_S
    is_excused = was_at_work and answer.sent_s - stopped_s <= EXCUSED_UNTIL_S
    return was_read and not is_over and not is_excused


async def script(record: Record) -> int:
    """Stop the machines in turn, and count the requests that were lost."""
    stops: list[float] = []
    async with scenes.deployment(
        record, PLACES, ROUTES, lambda request: WORK_S
    ) as scene:
        for machine in scene.machines:

            async def send(address: tuple[str, int] = machine.outbound) -> None:
                path = "/return-record/1"
                await scene.clients.send(address, "GET", path, DEADLINE_MS)

            sending = asyncio.ensure_future(scenes.send_steadily(send, PER_S, 8.0))
            await asyncio.sleep(1.0)
            if scenes.has_trouble():
                stops.append(record.now())
                await machine.stop()
                await asyncio.sleep(0.5)
                await machine.start()
            await sending
            await asyncio.sleep(CALM_S)
        arrived = {name for server in scene.servers for _, name in server.arrivals}
        lost = {
            answer.id: round(answer.sent_s - stopped_s, 2)
            for stopped_s in stops
            for answer in scene.clients.answers
            if is_lost(answer, stopped_s, arrived)
        }
        n_served = sum(answer.status == 200 for answer in scene.clients.answers)
    record.write("counted", sent=len(scene.clients.answers), served=n_served)
    record.write("lost", requests_and_when_sent_after_sigterm=lost)
    if not n_served:
        return scenes.COULD_NOT_RUN
    return scenes.BROKEN if lost else scenes.HOLDS


scenes.run(FOLDER, script)
