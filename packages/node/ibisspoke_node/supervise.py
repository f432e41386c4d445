"""Loops that run as long as the node and survive their own faults."""

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

RESTART_MS = 1_000.0

Loop = Callable[[], Awaitable[None]]

logger = logging.getLogger(__name__)


@asynccontextmanager
async def running_loops(
    *loops: Loop, restart_ms: float = RESTART_MS
) -> AsyncIterator[None]:
    """Run ``loops`` while the context is open.

    :param restart_ms: pause after a fault, before the loop is started again.
    """
    tasks = [asyncio.ensure_future(_keep_running(loop, restart_ms)) for loop in loops]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _keep_running(loop: Loop, restart_ms: float) -> None:
    while True:
        try:
            await loop()
            return
        except Exception:
            name = getattr(loop, "__qualname__", repr(loop))
            logger.exception("loop failed and starts again", extra={"loop": name})
        await asyncio.sleep(restart_ms / 1000.0)
