"""HTTP server for callers."""

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any, NamedTuple

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
)
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

from ibisspoke_policy.clock import Clock

from .acceptance import Acceptance
from .buffer_budget import BufferBudget
from .dispatch import Dispatcher
from .exchange import Exchange
from .head_writer import set_permanent_nodelay
from .metrics import Metrics

SWEEP_INTERVAL_MS = 1_000
LISTEN_BACKLOG = 4_096

logger = logging.getLogger(__name__)


class EntryLimits(NamedTuple):
    """Size limits of one request."""

    max_body_bytes: int
    max_header_bytes: int


class Entry(HTTPServerConnectionDelegate):
    """Accept the requests of callers and answer them.

    :param acceptance: decides which requests may run.
    :param dispatcher: runs the accepted requests.
    :param clock: measures how long a request takes to arrive.
    """

    def __init__(
        self,
        acceptance: Acceptance,
        dispatcher: Dispatcher,
        budget: BufferBudget,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._exchange_by_connection: dict[object, Exchange] = {}
        self._next_sweep_ms = 0.0
        self.acceptance = acceptance
        self.dispatcher = dispatcher
        self.budget = budget
        self.metrics = metrics
        self.n_open = 0
        self.stopping = False
        self._server: HTTPServer | None = None
        self._idle = asyncio.Event()

    def __repr__(self) -> str:
        return f"Entry({self.n_open} open)"

    @property
    def now_ms(self) -> float:
        """Current monotonic time."""
        return self._clock.now_ms()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate that receives one request."""
        assert isinstance(request_conn, HTTP1Connection)
        self.on_close(server_conn)
        exchange = Exchange(self, request_conn, self._clock.now_ms())
        self._exchange_by_connection[server_conn] = exchange
        return exchange

    def on_close(self, server_conn: object) -> None:
        """Remove the exchange of a closed connection."""
        exchange = self._exchange_by_connection.pop(server_conn, None)
        if exchange is not None:
            exchange.release_answer()

    def tick(self) -> None:
        """Close connections whose request did not arrive in time."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_sweep_ms:
            return
        self._next_sweep_ms = now_ms + SWEEP_INTERVAL_MS
        for exchange in list(self._exchange_by_connection.values()):
            exchange.close_if_expired(now_ms)

    def attach_server(self, server: HTTPServer) -> None:
        """Set the server that is stopped when this entry drains."""
        self._server = server

    async def drain(self, timeout_ms: float) -> None:
        """Stop accepting connections and wait until the open requests have ended."""
        self.stopping = True
        if self._server is not None:
            self._server.stop()
        self.signal_if_idle()
        with suppress(TimeoutError):
            await asyncio.wait_for(self._idle.wait(), timeout_ms / 1000.0)

    def signal_if_idle(self) -> None:
        """End the wait of a drain when no request is open."""
        if self.stopping and not self.n_open:
            self._idle.set()


class _Server(HTTPServer):
    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        set_permanent_nodelay(stream)
        super().handle_stream(stream, address)


@asynccontextmanager
async def entry_server(
    entry: Entry, limits: EntryLimits, host: str, port: int
) -> AsyncIterator[int]:
    """Serve callers while the context is open.

    :returns: the port in use; differs from ``port`` when that is 0.
    """
    server = _Server(
        entry,
        max_body_size=limits.max_body_bytes,
        max_header_size=limits.max_header_bytes,
    )
    server.conn_params.header_timeout = None
    sockets = bind_sockets(port, host, backlog=LISTEN_BACKLOG)
    server.add_sockets(sockets)
    entry.attach_server(server)
    try:
        yield int(sockets[0].getsockname()[1])
    finally:
        server.stop()
        await server.close_all_connections()
