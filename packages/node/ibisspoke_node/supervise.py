"""Background loops that are restarted after an exception."""

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

RESTART_DELAY_MS = 1_000.0

Loop = Callable[[], Awaitable[None]]

logger = logging.getLogger(__name__)


@asynccontextmanager
async def running_loops(
    *loops: Loop, restart_delay_ms: float = RESTART_DELAY_MS
) -> AsyncIterator[None]:
    """Run ``loops`` while the context is open.

    :param restart_delay_ms: delay before a loop that raised is restarted.
    """
    tasks = [
        asyncio.ensure_future(_keep_running(loop, restart_delay_ms)) for loop in loops
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _keep_running(loop: Loop, restart_delay_ms: float) -> None:
    while True:
        try:
            await loop()
            return
        except Exception:
            name = getattr(loop, "__qualname__", repr(loop))
            logger.exception("loop failed; restarting it", extra={"loop": name})
        await asyncio.sleep(restart_delay_ms / 1000.0)
