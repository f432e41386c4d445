"""A server leaves while the program beside it is stopped and started as planned."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import scene as scenes  # noqa: E402
from standins.record import Record  # noqa: E402

SERVICE = "ordering"
ZONES = [("a", "north"), ("b", "south"), ("c", "north"), ("d", "south")]
PLACES = [(zone, region, SERVICE) for zone, region in ZONES for _ in range(2)]
ROUTES = [scenes.route("stock-order", "non_idempotent", SERVICE, targetLatencyMs=2000)]
WORK_S = 0.29
DEADLINE_MS = 5_000
PER_S = 15.0
DRAIN_S = 2.5
BEAT_LATE_S = 2.4  # the last heartbeat before the departure arrives so much late
LEAVES_AFTER_S = 2.6  # after the SIGTERM
SERVES_ON_S = 10.0  # after the acknowledgement
SENDS_FOR_S = 16.0


async def script(record: Record) -> int:
    """Stop and start a program, and count what reaches its server after it left."""
    async with scenes.deployment(
        record, PLACES, ROUTES, lambda request: WORK_S
    ) as scene:
        machine, server = scene.machines[0], scene.servers[0]

        async def send() -> None:
            address = scene.machines[1].outbound
            await scene.clients.send(
                address, "POST", "/stock-order/1", DEADLINE_MS, b"lids"
            )

        async def restart() -> float:
            await machine.stop()
            await asyncio.sleep(0.3)
            started_s = record.now()
            await machine.start()
            return started_s

        sending = asyncio.ensure_future(scenes.send_steadily(send, PER_S, SENDS_FOR_S))
        restarting = None
        in_touch_s = 0.0
        if scenes.has_trouble():
            restarting = asyncio.ensure_future(restart())
        await asyncio.sleep(LEAVES_AFTER_S - 0.1)
        server.stop_beats()
        beat = server.next_beat()
        await asyncio.sleep(0.1)
        if not await server.leave():
            return scenes.COULD_NOT_RUN
        left_s = record.now()
        record.write("departure acknowledged", server=server.instance)
        if restarting is not None:
            in_touch_s = await restarting + scenes.CONTACT_S
        await asyncio.sleep(max(0.0, left_s + BEAT_LATE_S - record.now()))
        status = await server.deliver(beat)
        record.write("late heartbeat delivered", status=status)
        await asyncio.sleep(max(0.0, left_s + SERVES_ON_S - record.now()))
        server.end()
        await sending
        after_s = max(left_s + DRAIN_S, in_touch_s)
        late = [name for at_s, name in server.arrivals if at_s > after_s]
        cut = [a for a in scene.clients.answers if a.id in late and a.status != 200]
        n_served = sum(answer.status == 200 for answer in scene.clients.answers)
    record.write("counted", sent=len(scene.clients.answers), served=n_served)
    record.write("reached the server after its departure", n=len(late), requests=late)
    record.write("of these without a success", answers=[(a.id, a.status) for a in cut])
    if not n_served:
        return scenes.COULD_NOT_RUN
    return scenes.BROKEN if late else scenes.HOLDS


scenes.run(FOLDER, script)
