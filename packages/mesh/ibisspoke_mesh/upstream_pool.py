"""Pool of persistent connections to the upstream of this VM."""

import asyncio
from collections.abc import Callable

from ibisspoke_policy.clock import Clock

from .dialect import Dialect
from .memory_budget import SMALL_BYTES, MemoryBudget, Need, Part
from .upstream_connection import UpstreamConnection, UpstreamFailure, UpstreamRequest

CONNECT_TIMEOUT_MS = 500  # the upstream is on this VM; connecting takes about 1 ms
MAX_IDLE_CONNECTIONS = 64  # any further idle connections are closed
# Of all unfinished answers together; leaves room in the smallest memory of a node.
MAX_BUFFERED_BYTES = 48 * 1024 * 1024


class UpstreamPool:
    """Connections to one upstream; the most recently used is reused first.

    :param host: IP address of the upstream.
    :ivar n_buffered_bytes: size of the bodies of all unfinished answers.
    :ivar on_all_reset: called when the upstream closes the last open connection, which
        happens when its process ends.
    """

    def __init__(
        self,
        host: str,
        port: int,
        dialect: Dialect,
        clock: Clock,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.dialect = dialect
        self.memory = MemoryBudget() if memory is None else memory
        self.n_buffered_bytes = 0
        self._host = host
        self._port = port
        self._clock = clock
        self._idle: list[UpstreamConnection] = []
        self._busy: dict[object, UpstreamConnection] = {}
        self._opening: dict[object, asyncio.Task[None]] = {}
        self._open: set[UpstreamConnection] = set()
        self.on_all_reset: Callable[[], None] = lambda: None
        self.n_opened = 0

    def __repr__(self) -> str:
        return f"UpstreamPool({self._host}:{self._port}, n_idle={len(self._idle)})"

    def send(self, token: object, request: UpstreamRequest) -> None:
        """Send a request on an idle connection, or on a new one.

        :param token: identifies the request to :meth:`cancel`.
        """
        connection = self._pop_idle()
        if connection is not None:
            self._busy[token] = connection
            connection.send(request)
            return
        task = asyncio.ensure_future(self._open_and_send(token, request))
        self._opening[token] = task

    def cancel(self, token: object) -> bool:
        """Cancel a request; the upstream stops when its connection closes.

        :returns: whether any bytes of the request may have been sent.
        """
        task = self._opening.pop(token, None)
        if task is not None:
            task.cancel()
            return False
        connection = self._busy.pop(token, None)
        if connection is not None:
            connection.abort()
        return True

    def release(self, token: object) -> None:
        """Remove a request that has ended."""
        self._busy.pop(token, None)

    def add_idle(self, connection: UpstreamConnection, idle_ms: float) -> None:
        """Add a connection to the idle ones, for later requests."""
        connection.idle_until_ms = self._clock.now_ms() + idle_ms
        self._idle.append(connection)
        if len(self._idle) > MAX_IDLE_CONNECTIONS:
            self._idle.pop(0).abort()

    def add_open(self, connection: UpstreamConnection) -> None:
        """Add a connection that has been opened."""
        self._open.add(connection)

    def remove(self, connection: UpstreamConnection, is_reset: bool) -> None:
        """Remove a closed connection.

        :param is_reset: whether the upstream closed it, other than to end an answer.
        """
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if is_reset and not self._open:
            self.on_all_reset()

    def count_buffered(self, n_bytes: int) -> None:
        """Count bytes of unfinished answers that were received, or dropped."""
        self.n_buffered_bytes += n_bytes
        self.memory.add(Part.UPSTREAM_ANSWERS, n_bytes)

    def limit_buffered_bytes(self, grown: UpstreamConnection) -> None:
        """Cut off the largest unfinished answers while they take too much memory.

        :param grown: the connection whose answer has just grown.
        """
        need = Need(0, grown.n_buffered_bytes, is_answer=True)
        is_full = self.memory.is_full and not self.memory.make_room(need)
        if self.n_buffered_bytes <= MAX_BUFFERED_BYTES and not is_full:
            return
        if self.n_buffered_bytes <= MAX_BUFFERED_BYTES and self.memory.will_fit(need):
            grown.pause_reading()
            return
        by_size = sorted(self._busy.values(), key=lambda busy: -busy.n_buffered_bytes)
        for connection in by_size:
            is_small = connection.n_buffered_bytes <= SMALL_BYTES
            is_full = self.memory.is_exhausted if is_small else self.memory.is_full
            if self.n_buffered_bytes <= MAX_BUFFERED_BYTES and not is_full:
                return
            connection.cut_off()

    def close_idle(self) -> None:
        """Close all idle connections, for example because the upstream has changed."""
        while self._idle:
            self._idle.pop().abort()

    def tick(self) -> None:
        """Close connections that have been idle for too long."""
        now_ms = self._clock.now_ms()
        while self._idle and self._idle[0].idle_until_ms <= now_ms:
            self._idle.pop(0).abort()

    def _pop_idle(self) -> UpstreamConnection | None:
        now_ms = self._clock.now_ms()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open and connection.idle_until_ms > now_ms:
                return connection
            connection.abort()
        return None

    async def _open_and_send(self, token: object, request: UpstreamRequest) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000.0):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(self), self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            self._opening.pop(token, None)
            reason = f"no connection to the upstream: {error or 'timed out'}"
            request.on_result(UpstreamFailure(reason, was_sent=False))
            return
        self.n_opened += 1
        if self._opening.pop(token, None) is None:
            connection.abort()
            return
        self._busy[token] = connection
        connection.send(request)
