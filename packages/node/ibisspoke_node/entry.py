"""HTTP server for callers."""

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from http import HTTPStatus
from typing import NamedTuple

from result import Err, Ok
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from ibisspoke_policy.refusal import Ran, Refusal, RefusalKind

from .acceptance import Acceptance, Accepted
from .dispatch import Dispatcher, Request
from .eager_task import EagerTask
from .headers import IDEMPOTENCY_HEADER, to_upstream
from .messages import Answer, BufferBudget
from .metrics import Metrics
from .problem import to_answer

_REASON_BY_STATUS = {status.value: status.phrase for status in HTTPStatus}
MAX_DISCARDED_BYTES = 65_536
IDLE_TIMEOUT_S = 75
BODY_TIMEOUT_S = 60

logger = logging.getLogger(__name__)


class EntryLimits(NamedTuple):
    """Bounds on what one caller may send."""

    max_body_bytes: int
    max_header_bytes: int


class Entry(HTTPServerConnectionDelegate):
    """Take requests of callers in and answer them.

    :param acceptance: decides which requests may run.
    :param dispatcher: runs them.
    """

    def __init__(
        self,
        acceptance: Acceptance,
        dispatcher: Dispatcher,
        budget: BufferBudget,
        metrics: Metrics,
    ) -> None:
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

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the receiver of one request."""
        return _Exchange(self, request_conn)

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

    def __init__(self, entry: Entry, connection: HTTPConnection) -> None:
        self._entry = entry
        self._connection = connection
        self._accepted: Accepted | None = None
        self._refusal: Refusal | None = None
        self._headers = HTTPHeaders()
        self._parts: list[bytes] = []
        self._n_bytes = 0
        self._request_id = ""
        self._task: EagerTask | None = None
        self._answered = False
        self._open = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._open = True
        self._entry.n_open += 1
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
            self._refuse(_out_of_memory())
            return
        self._n_bytes += len(chunk)
        self._parts.append(chunk)

    def finish(self) -> None:
        if self._answered:
            return
        if self._refusal is not None:
            self._answer(to_answer(self._refusal, self._request_id))
            return
        self._connection.set_close_callback(self._caller_left)  # type: ignore[attr-defined]
        self._task = EagerTask(self._run())

    def on_connection_close(self) -> None:
        self._end()

    async def _run(self) -> None:
        accepted = self._accepted
        assert accepted is not None
        if accepted.quota_name:
            refusal = await self._entry.acceptance.acquire(accepted)
            if refusal is not None:
                self._refuse(refusal)
                self._answer(to_answer(refusal, self._request_id))
                return
        parts = self._parts
        request = Request(
            accepted.call,
            accepted.context,
            accepted.target,
            to_upstream(self._headers.get_all()),
            self._headers.get(IDEMPOTENCY_HEADER, ""),
            parts[0] if len(parts) == 1 else b"".join(parts),
            accepted.deadline_ms,
        )
        outcome = await self._entry.dispatcher.run(request)
        if isinstance(outcome, Ok):
            self._answer(outcome.ok_value)
            return
        ended = outcome.err_value.refusal
        self._entry.metrics.count(f"refused.{ended.kind.value}")
        self._answer(to_answer(ended, self._request_id))

    def _check_length(self, n_bytes: int) -> None:
        accepted = self._accepted
        if accepted is None or n_bytes <= accepted.call.max_body_bytes:
            return
        self._refuse(_body_too_large(accepted.call.max_body_bytes))
        if n_bytes > MAX_DISCARDED_BYTES:
            assert self._refusal is not None
            self._answer(to_answer(self._refusal, self._request_id))

    def _refuse(self, refusal: Refusal) -> None:
        if self._refusal is not None:
            return
        self._refusal = refusal
        if not self._request_id:
            self._request_id = self._entry.acceptance.next_id()
        self._entry.metrics.count(f"refused.{refusal.kind.value}")

    def _answer(self, answer: Answer) -> None:
        self._answered = True
        headers = HTTPHeaders()
        for name, value in answer.headers:
            headers.add(name, value)
        if answer.status not in (204, 304):
            headers["Content-Length"] = str(len(answer.body))
        headers["Ibisspoke-Request-Id"] = self._request_id
        if self._entry.stopping:
            headers["Connection"] = "close"
        reason = answer.reason or _REASON_BY_STATUS.get(answer.status, "Unknown")
        start_line = ResponseStartLine("HTTP/1.1", answer.status, reason)
        self._entry.metrics.count(f"answered.{answer.status // 100}xx")
        try:
            written = self._connection.write_headers(start_line, headers, answer.body)
            written.add_done_callback(_ignore_closed)
            self._connection.finish()
        except StreamClosedError:
            pass
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


@asynccontextmanager
async def entry_server(
    entry: Entry, limits: EntryLimits, host: str, port: int
) -> AsyncIterator[int]:
    """Serve callers while the context is open.

    :returns: the port in use, also where ``port`` is 0.
    """
    server = HTTPServer(
        entry,
        max_body_size=limits.max_body_bytes,
        max_header_size=limits.max_header_bytes,
        idle_connection_timeout=IDLE_TIMEOUT_S,
        body_timeout=BODY_TIMEOUT_S,
    )
    sockets = bind_sockets(port, host)
    server.add_sockets(sockets)
    entry.listens_on(server)
    try:
        yield int(sockets[0].getsockname()[1])
    finally:
        server.stop()
        await server.close_all_connections()


def _ignore_closed(written: "asyncio.Future[None]") -> None:
    if not written.cancelled():
        written.exception()


def _body_too_large(max_bytes: int) -> Refusal:
    return Refusal(
        RefusalKind.BODY_TOO_LARGE,
        Ran.NOT_RUN,
        f"the body is larger than the {max_bytes} bytes that the call allows",
        "send a smaller body, or raise max_body_bytes of the call",
    )


def _out_of_memory() -> Refusal:
    return Refusal(
        RefusalKind.OUT_OF_MEMORY,
        Ran.NOT_RUN,
        "the node holds as many bytes of bodies as its settings allow",
        "retry after the time given",
        1_000,
    )
