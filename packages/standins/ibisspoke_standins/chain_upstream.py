"""Stand-in upstream that calls deeper, keeps account of its work, and misbehaves."""

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from enum import StrEnum
from typing import Any, NamedTuple

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

NUMBER_HEADER = "X-Request-Number"
CONTEXT_HEADER = "Ibisspoke-Context"
ATTEMPT_HEADER = "Ibisspoke-Attempt"
NOT_RUN_HEADER = "Ibisspoke-Not-Run"
HANG_CLEARS_BELOW = 2
HANG_CLEARS_AFTER_MS = 300.0


class AnswerFault(StrEnum):
    """What is wrong with the answers."""

    NONE = "none"
    SILENT = "silent"
    SILENT_AFTER_ONE_BYTE = "silent_after_one_byte"
    SILENT_AFTER_HALF = "silent_after_half"
    TRUNCATED = "truncated"
    CROSSED = "crossed"
    DOUBLED = "doubled"
    SHED = "shed"


class ChainSettings(NamedTuple):
    """What the stand-in is.

    :param service_ms: time to execute one request, without its nested call.
    """

    service: str
    n_slots: int
    service_ms: float


Deeper = Callable[[HTTPHeaders, str], Awaitable[int]]


class ChainState:
    """What happened at the stand-in, and the faults in force.

    :param deeper: makes the nested call of a path and gives its status; None for a
        service that calls nothing.
    """

    def __init__(self, settings: ChainSettings, deeper: Deeper | None = None) -> None:
        self.settings = settings
        self.deeper = deeper
        self.slots = asyncio.Semaphore(settings.n_slots)
        self.n_held = 0
        self.extra_ms = 0.0
        self.fault = AnswerFault.NONE
        self.n_runs_by_number: Counter[str] = Counter()
        self.work_ms_by_number: dict[str, float] = {}
        self.n_cancelled = 0
        self._released = asyncio.Event()
        self._released.set()

    @property
    def is_hung(self) -> bool:
        """Whether requests make no progress."""
        return not self._released.is_set()

    def hang(self) -> None:
        """Make no progress from now on."""
        self._released.clear()

    def release(self) -> None:
        """Make progress again."""
        self._released.set()

    async def release_when_idle(self) -> None:
        """Stay hung until nearly all work has been taken away for a while."""
        idle_ms = 0.0
        while idle_ms < HANG_CLEARS_AFTER_MS:
            await asyncio.sleep(0.01)
            idle_ms = idle_ms + 10.0 if self.n_held < HANG_CLEARS_BELOW else 0.0
        self.release()

    async def execute(self, number: str) -> None:
        """Execute the request's own part in a slot that the caller holds."""
        await self._released.wait()
        self.n_runs_by_number[number] += 1
        started = time.monotonic()
        try:
            await asyncio.sleep((self.settings.service_ms + self.extra_ms) / 1000.0)
        finally:
            spent_ms = (time.monotonic() - started) * 1000.0
            before_ms = self.work_ms_by_number.get(number, 0.0)
            self.work_ms_by_number[number] = before_ms + spent_ms


class _ChainHandler(RequestHandler):
    def initialize(self, state: ChainState) -> None:
        self._state = state
        self._task: asyncio.Task[Any] | None = None

    def on_connection_close(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def get(self) -> None:
        self._task = asyncio.ensure_future(self._execute_call())
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    post = get

    async def _execute_call(self) -> None:
        state = self._state
        if state.fault is AnswerFault.SHED:
            self.set_status(503)
            self.set_header(NOT_RUN_HEADER, "1")
            self.finish(b"shed")
            return
        state.n_held += 1
        try:
            async with state.slots:
                status = await self._run()
        except asyncio.CancelledError:
            state.n_cancelled += 1
            raise
        finally:
            state.n_held -= 1
        await self._reply(status)

    async def _run(self) -> int:
        state = self._state
        headers = self.request.headers
        await state.execute(headers.get(NUMBER_HEADER, ""))
        path = self.request.path
        if state.deeper is None or not path.startswith("/deep"):
            return 200
        return await state.deeper(headers, path)

    async def _reply(self, status: int) -> None:
        fault = self._state.fault
        number = self.request.headers.get(NUMBER_HEADER, "")
        body = f"answer to {number}".encode()
        attempt = self.request.headers.get(ATTEMPT_HEADER, "")
        if fault in (AnswerFault.NONE, AnswerFault.SHED):
            self.set_status(status)
            self.set_header(ATTEMPT_HEADER, attempt)
            self.finish(body)
            return
        await self._reply_badly(fault, body, attempt)

    async def _reply_badly(self, fault: AnswerFault, body: bytes, attempt: str) -> None:
        if fault is AnswerFault.CROSSED:
            attempt = attempt + "9"
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Content-Length: {len(body)}\r\n{ATTEMPT_HEADER}: {attempt}\r\n\r\n"
        )
        whole = head.encode() + body
        n_bytes_by_fault = {
            AnswerFault.SILENT: 0,
            AnswerFault.SILENT_AFTER_ONE_BYTE: 1,
            AnswerFault.SILENT_AFTER_HALF: len(whole) - len(body) // 2,
            AnswerFault.TRUNCATED: len(whole) - len(body) // 2,
        }
        raw = whole[: n_bytes_by_fault.get(fault, len(whole))]
        if fault is AnswerFault.DOUBLED:
            raw = whole + whole
        connection: Any = self.request.connection
        stream = connection.stream
        if raw:
            await stream.write(raw)
        if fault is AnswerFault.TRUNCATED:
            stream.close()
        await asyncio.Event().wait()


@asynccontextmanager
async def running_chain_upstream(
    state: ChainState, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[int]:
    """Run a stand-in while the context is open; give its port."""
    application = Application(
        [("/.*", _ChainHandler, {"state": state})],
        log_function=lambda handler: None,
    )
    server = HTTPServer(application)
    sockets = bind_sockets(port, host)
    server.add_sockets(sockets)
    try:
        yield int(sockets[0].getsockname()[1])
    finally:
        state.release()
        server.stop()
        await server.close_all_connections()
