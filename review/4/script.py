"""A server leaves while the store is down, and the program beside it is killed."""

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
STORE_DOWN_S = 4.5
KILLED_AFTER_S = 0.5  # after the acknowledgement
RESTARTS_AFTER_S = 0.3
BEAT_LATE_S = 2.5  # the last heartbeat before the departure arrives so much late
SERVES_ON_S = 12.0  # after the acknowledgement
SENDS_FOR_S = 15.0


async def script(record: Record) -> int:
    """Kill the program, and count what reaches its server after it left."""
    async with scenes.deployment(
        record, PLACES, ROUTES, lambda request: WORK_S
    ) as scene:
        machine, server = scene.machines[0], scene.servers[0]

        async def send() -> None:
            address = scene.machines[1].outbound
            await scene.clients.send(
                address, "POST", "/stock-order/1", DEADLINE_MS, b"lids"
            )

        async def restart() -> None:
            await asyncio.sleep(KILLED_AFTER_S)
            await machine.kill()
            await asyncio.sleep(RESTARTS_AFTER_S)
            await machine.start()

        async def interrupt_store() -> float:
            scene.store.is_silent = True
            record.write("store down")
            await asyncio.sleep(STORE_DOWN_S)
            scene.store.is_silent = False
            record.write("store up")
            return record.now()

        sending = asyncio.ensure_future(scenes.send_steadily(send, PER_S, SENDS_FOR_S))
        await asyncio.sleep(0.3)
        server.stop_beats()
        beat = server.next_beat()
        disrupted = []
        if scenes.has_trouble():
            disrupted.append(asyncio.ensure_future(interrupt_store()))
        await asyncio.sleep(0.1)
        if not await server.leave():
            return scenes.COULD_NOT_RUN
        left_s = record.now()
        record.write("departure acknowledged", server=server.instance)
        if scenes.has_trouble():
            disrupted.append(asyncio.ensure_future(restart()))
        await asyncio.sleep(max(0.0, left_s + BEAT_LATE_S - record.now()))
        status = await server.deliver(beat)
        record.write("late heartbeat delivered", status=status)
        in_touch_s = 0.0
        if disrupted:
            await asyncio.gather(*disrupted)
            in_touch_s = record.now() + scenes.CONTACT_S
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
