"""Stand-in upstream that makes nested calls, records its work and injects faults."""

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
# A hang ends once fewer than 2 requests have been open for 300 ms without a break.
HANG_ENDS_BELOW_REQUESTS = 2
HANG_ENDS_AFTER_IDLE_MS = 300.0


class AnswerFault(StrEnum):
    """What is wrong with the answers.

    The silent faults keep the connection open after none, one byte or part of the
    answer. ``TRUNCATED`` closes it within the body, ``CROSSED`` sends the id of
    another attempt, ``DOUBLED`` sends the answer twice, and ``SHED`` refuses the
    request without running it.
    """

    NONE = "none"
    SILENT = "silent"
    SILENT_AFTER_ONE_BYTE = "silent_after_one_byte"
    SILENT_AFTER_HALF = "silent_after_half"
    TRUNCATED = "truncated"
    CROSSED = "crossed"
    DOUBLED = "doubled"
    SHED = "shed"


class ChainSettings(NamedTuple):
    """Settings of a stand-in upstream.

    :param service_ms: execution time of one request, without its nested call.
    """

    service: str
    n_slots: int
    service_ms: float


NestedCall = Callable[[HTTPHeaders, str], Awaitable[int]]


class ChainState:
    """Recorded requests and active faults of the stand-in.

    :param nested_call: makes the nested call for a path and returns its status; None
        for a service without nested calls.
    """

    def __init__(
        self, settings: ChainSettings, nested_call: NestedCall | None = None
    ) -> None:
        self.settings = settings
        self.nested_call = nested_call
        self.slots = asyncio.Semaphore(settings.n_slots)
        self.n_open_requests = 0
        self.extra_ms = 0.0
        self.fault = AnswerFault.NONE
        self.n_runs_by_number: Counter[str] = Counter()
        self.work_ms_by_number: dict[str, float] = {}
        self.n_cancelled = 0
        self._can_progress = asyncio.Event()
        self._can_progress.set()

    @property
    def is_hung(self) -> bool:
        """Whether requests make no progress."""
        return not self._can_progress.is_set()

    def hang(self) -> None:
        """Stop making progress on requests."""
        self._can_progress.clear()

    def resume(self) -> None:
        """Resume making progress on requests."""
        self._can_progress.set()

    async def resume_when_idle(self) -> None:
        """Resume once nearly all requests have been cancelled for some time."""
        idle_ms = 0.0
        while idle_ms < HANG_ENDS_AFTER_IDLE_MS:
            await asyncio.sleep(0.01)
            idle_ms = (
                idle_ms + 10.0
                if self.n_open_requests < HANG_ENDS_BELOW_REQUESTS
                else 0.0
            )
        self.resume()

    async def execute(self, number: str) -> None:
        """Execute the request without its nested call; the caller holds a slot."""
        await self._can_progress.wait()
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
        state.n_open_requests += 1
        try:
            async with state.slots:
                status = await self._run_with_nested_call()
        except asyncio.CancelledError:
            state.n_cancelled += 1
            raise
        finally:
            state.n_open_requests -= 1
        await self._send_answer(status)

    async def _run_with_nested_call(self) -> int:
        state = self._state
        headers = self.request.headers
        await state.execute(headers.get(NUMBER_HEADER, ""))
        path = self.request.path
        if state.nested_call is None or not path.startswith("/deep"):
            return 200
        return await state.nested_call(headers, path)

    async def _send_answer(self, status: int) -> None:
        fault = self._state.fault
        number = self.request.headers.get(NUMBER_HEADER, "")
        body = f"answer to {number}".encode()
        attempt = self.request.headers.get(ATTEMPT_HEADER, "")
        if fault in (AnswerFault.NONE, AnswerFault.SHED):
            self.set_status(status)
            self.set_header(ATTEMPT_HEADER, attempt)
            self.finish(body)
            return
        await self._send_faulty_answer(fault, body, attempt)

    async def _send_faulty_answer(
        self, fault: AnswerFault, body: bytes, attempt: str
    ) -> None:
        if fault is AnswerFault.CROSSED:
            attempt = attempt + "9"
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Content-Length: {len(body)}\r\n{ATTEMPT_HEADER}: {attempt}\r\n\r\n"
        )
        complete = head.encode() + body
        n_bytes_by_fault = {
            AnswerFault.SILENT: 0,
            AnswerFault.SILENT_AFTER_ONE_BYTE: 1,
            AnswerFault.SILENT_AFTER_HALF: len(complete) - len(body) // 2,
            AnswerFault.TRUNCATED: len(complete) - len(body) // 2,
        }
        sent_bytes = complete[: n_bytes_by_fault.get(fault, len(complete))]
        if fault is AnswerFault.DOUBLED:
            sent_bytes = complete + complete
        connection: Any = self.request.connection
        stream = connection.stream
        if sent_bytes:
            await stream.write(sent_bytes)
        if fault is AnswerFault.TRUNCATED:
            stream.close()
        await asyncio.Event().wait()


@asynccontextmanager
async def running_chain_upstream(
    state: ChainState, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[int]:
    """Run a stand-in while the context is open; yield its port."""
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
        state.resume()
        server.stop()
        await server.close_all_connections()
