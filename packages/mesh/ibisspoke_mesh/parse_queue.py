"""Queue of connections whose input is costly to parse."""

import asyncio
from typing import Protocol

from ibisspoke_policy.clock import Clock

MAX_RUN_MS = 2.0  # holds up other callers; an ordinary request takes 0.3 ms


class Parsing(Protocol):
    """A connection with input that is not parsed yet."""

    def parse_slice(self) -> bool:
        """Parse a part of the input, and return whether to go on with it later."""


class ParseQueue:
    """Lets connections with costly input take turns.

    Parsing takes at most about half of the loop's time, in short runs, so that other
    callers are served meanwhile. The time is measured, as the cost of a slice depends
    on how it is split into chunks.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: dict[Parsing, None] = {}
        self._is_scheduled = False

    def __repr__(self) -> str:
        return f"ParseQueue(n={len(self._waiting)})"

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, connection: Parsing) -> None:
        """Add a connection, unless it waits already."""
        self._waiting.setdefault(connection)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def remove(self, connection: Parsing) -> None:
        """Remove a connection, if it waits."""
        self._waiting.pop(connection, None)

    def _run(self) -> None:
        started_ms = now_ms = self._clock.now_ms()
        while self._waiting and now_ms - started_ms < MAX_RUN_MS:
            connection = next(iter(self._waiting))
            del self._waiting[connection]
            if connection.parse_slice():
                self._waiting[connection] = None
            now_ms = self._clock.now_ms()
        self._is_scheduled = bool(self._waiting)
        if self._is_scheduled:
            pause_s = (now_ms - started_ms) / 1000.0
            asyncio.get_running_loop().call_later(pause_s, self._run)
