"""HTTP server for callers."""

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from http import HTTPStatus
from typing import Any, NamedTuple

from result import Err, Ok
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.refusal import Ran, Refusal, RefusalKind, outcome_unknown

from ._link_protocol import out_of_memory
from .acceptance import Acceptance, Accepted
from .buffer_budget import BufferBudget
from .dispatch import Dispatcher, Request
from .eager_task import EagerTask
from .head_writer import BODILESS, keep_nodelay, write_answer
from .headers import IDEMPOTENCY_HEADER, to_upstream
from .messages import Answer
from .metrics import Metrics
from .problem import to_answer

_REASON_BY_STATUS = {status.value: status.phrase for status in HTTPStatus}
REQUEST_ID_HEADER = "Ibisspoke-Request-Id"
NO_START_LINE = RequestStartLine("", "", "")
NO_HEADERS = HTTPHeaders()
MAX_DISCARDED_BYTES = 65_536
IDLE_TIMEOUT_MS = 75_000
BODY_TIMEOUT_MS = 60_000
SWEEP_MS = 1_000
LISTEN_BACKLOG = 4_096

logger = logging.getLogger(__name__)


class EntryLimits(NamedTuple):
    """Bounds on what one caller may send."""

    max_body_bytes: int
    max_header_bytes: int


class Entry(HTTPServerConnectionDelegate):
    """Take requests of callers in and answer them.

    :param acceptance: decides which requests may run.
    :param dispatcher: runs them.
    :param clock: for the time that a request may take to arrive.
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
        self._exchange_by_connection: dict[object, _Exchange] = {}
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
        """Monotonic time."""
        return self._clock.now_ms()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the receiver of one request."""
        assert isinstance(request_conn, HTTP1Connection)
        self.on_close(server_conn)
        exchange = _Exchange(self, request_conn, self._clock.now_ms())
        self._exchange_by_connection[server_conn] = exchange
        return exchange

    def on_close(self, server_conn: object) -> None:
        """Forget the exchange that a connection carried."""
        exchange = self._exchange_by_connection.pop(server_conn, None)
        if exchange is not None:
            exchange.written()

    def tick(self) -> None:
        """Close connections on which no request arrives in time."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_sweep_ms:
            return
        self._next_sweep_ms = now_ms + SWEEP_MS
        for exchange in list(self._exchange_by_connection.values()):
            exchange.expire(now_ms)

    def listens_on(self, server: HTTPServer) -> None:
        """Stop ``server`` when this entry drains."""
        self._server = server

    async def drain(self, timeout_ms: float) -> None:
        """Take no new connections and wait until the open requests have ended."""
        self.stopping = True
        if self._server is not None:
            self._server.stop()
        self.note_idle()
        with suppress(TimeoutError):
            await asyncio.wait_for(self._idle.wait(), timeout_ms / 1000.0)

    def note_idle(self) -> None:
        """Let a drain go on if no request is open."""
        if self.stopping and not self.n_open:
            self._idle.set()


class _Exchange(HTTPMessageDelegate):
    """One request and its answer."""

    def __init__(
        self, entry: Entry, connection: HTTP1Connection, now_ms: float
    ) -> None:
        self._entry = entry
        self._expires_ms: float | None = now_ms + IDLE_TIMEOUT_MS
        self._connection = connection
        self._accepted: Accepted | None = None
        self._refusal: Refusal | None = None
        self._start_line = NO_START_LINE
        self._headers = NO_HEADERS
        self._parts: list[bytes] = []
        self._n_bytes = 0
        self._request_id = ""
        self._task: EagerTask | None = None
        self._answered = False
        self._n_answer_bytes = 0
        self._open = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._open = True
        self._expires_ms = self._entry.now_ms + BODY_TIMEOUT_MS
        self._entry.n_open += 1
        self._start_line = start_line
        self._headers = headers
        checked = self._entry.acceptance.check(
            start_line.method, start_line.path, headers
        )
        if isinstance(checked, Err):
            self._refuse(checked.err_value)
        else:
            self._accepted = checked.ok_value
            self._request_id = checked.ok_value.context.request_id
        length = headers.get("Content-Length", "")
        if length.isdigit():
            self._check_length(int(length))

    def data_received(self, chunk: bytes) -> None:
        if self._answered:
            return
        if self._refusal is not None:
            return
        self._check_length(self._n_bytes + len(chunk))
        if self._refusal is not None:
            return
        if not self._entry.budget.reserve(len(chunk)):
            self._release()
            self._refuse(out_of_memory(Ran.NOT_RUN))
            return
        self._n_bytes += len(chunk)
        self._parts.append(chunk)

    def finish(self) -> None:
        self._expires_ms = None
        if self._answered:
            return
        if self._refusal is not None:
            self._answer(to_answer(self._refusal, self._request_id))
            return
        self._connection.set_close_callback(self._caller_left)
        self._task = EagerTask(self._run_guarded())

    def on_connection_close(self) -> None:
        self._end()

    def expire(self, now_ms: float) -> None:
        """Close the connection if the request did not arrive in time."""
        if self._expires_ms is not None and now_ms >= self._expires_ms:
            self._entry.metrics.count("caller_slow")
            self._connection.close()

    def written(self) -> None:
        """Give the bytes of the answer back; the caller has it or has left."""
        self._entry.budget.answers.release(self._n_answer_bytes)
        self._n_answer_bytes = 0

    async def _run_guarded(self) -> None:
        try:
            await self._run()
        except Exception:
            logger.exception("request failed", extra={"request": self._request_id})
            refusal = outcome_unknown("the node failed while it handled the request")
            if not self._answered:
                self._refuse_now(refusal)

    async def _run(self) -> None:
        accepted = self._accepted
        assert accepted is not None
        if accepted.quota_name:
            refusal = await self._entry.acceptance.acquire(accepted)
            if refusal is not None:
                self._refuse_now(refusal)
                return
        body = self._take_body()
        request = Request(
            accepted.call,
            accepted.context,
            accepted.target,
            to_upstream(self._headers.get_all()),
            self._headers.get(IDEMPOTENCY_HEADER, ""),
            body,
            accepted.deadline_ms,
        )
        outcome = await self._entry.dispatcher.run(request)
        if isinstance(outcome, Ok):
            self._answer(outcome.ok_value)
            return
        ended = outcome.err_value.refusal
        self._entry.metrics.count(f"refused.{ended.kind.value}")
        self._answer(to_answer(ended, self._request_id))

    def _take_body(self) -> bytes:
        parts, self._parts = self._parts, []
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _check_length(self, n_bytes: int) -> None:
        accepted = self._accepted
        if accepted is None or n_bytes <= accepted.call.max_body_bytes:
            return
        refusal = _body_too_large(accepted.call.max_body_bytes)
        if n_bytes > MAX_DISCARDED_BYTES:
            self._refuse_now(refusal)
        else:
            self._refuse(refusal)

    def _refuse_now(self, refusal: Refusal) -> None:
        self._refuse(refusal)
        assert self._refusal is not None
        self._answer(to_answer(self._refusal, self._request_id))

    def _refuse(self, refusal: Refusal) -> None:
        if self._refusal is not None:
            return
        self._refusal = self._undelivered(refusal)
        if not self._request_id:
            self._request_id = self._entry.acceptance.next_id()
        self._entry.metrics.count(f"refused.{refusal.kind.value}")

    def _undelivered(self, refusal: Refusal) -> Refusal:
        """Leave open what an earlier request with the same key came to."""
        if not self._headers.get(IDEMPOTENCY_HEADER):
            return refusal
        return refusal._replace(ran=Ran.UNKNOWN)

    def _answer(self, answer: Answer) -> None:
        self._answered = True
        self._n_answer_bytes = len(answer.body)
        self._entry.budget.answers.hold(self._n_answer_bytes)
        self._expires_ms = self._entry.now_ms + BODY_TIMEOUT_MS
        headers = [*answer.headers, (REQUEST_ID_HEADER, self._request_id)]
        if answer.status not in BODILESS:
            headers.append(("Content-Length", str(len(answer.body))))
        if self._entry.stopping:
            headers.append(("Connection", "close"))
        reason = answer.reason or _REASON_BY_STATUS.get(answer.status, "Unknown")
        start_line = ResponseStartLine("HTTP/1.1", answer.status, reason)
        self._entry.metrics.count(f"answered.{answer.status // 100}xx")
        try:
            write_answer(
                self._connection, self._start_line, start_line, headers, answer.body
            )
            self._connection.finish()
        except StreamClosedError:
            pass
        except ValueError:
            logger.exception("answer with a malformed header")
            self._connection.close()
        finally:
            self._end()

    def _caller_left(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._entry.metrics.count("caller_left")
        self._end()

    def _release(self) -> None:
        self._entry.budget.release(self._n_bytes)
        self._n_bytes = 0
        self._parts = []

    def _end(self) -> None:
        self._release()
        if self._open:
            self._open = False
            self._entry.n_open -= 1
            self._entry.note_idle()


class _Server(HTTPServer):
    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        keep_nodelay(stream)
        super().handle_stream(stream, address)


@asynccontextmanager
async def entry_server(
    entry: Entry, limits: EntryLimits, host: str, port: int
) -> AsyncIterator[int]:
    """Serve callers while the context is open.

    :returns: the port in use, also where ``port`` is 0.
    """
    server = _Server(
        entry,
        max_body_size=limits.max_body_bytes,
        max_header_size=limits.max_header_bytes,
    )
    server.conn_params.header_timeout = None
    sockets = bind_sockets(port, host, backlog=LISTEN_BACKLOG)
    server.add_sockets(sockets)
    entry.listens_on(server)
    try:
        yield int(sockets[0].getsockname()[1])
    finally:
        server.stop()
        await server.close_all_connections()


def _body_too_large(max_bytes: int) -> Refusal:
    return Refusal(
        RefusalKind.BODY_TOO_LARGE,
        Ran.NOT_RUN,
        f"the body is larger than the {max_bytes} bytes that the call allows",
        "send a smaller body, or raise max_body_bytes of the call",
    )
