"""Stand-in upstream that executes requests, announces itself and injects faults."""

import argparse
import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from .upstream_state import FaultsMessage, UpstreamSettings, UpstreamState

__all__ = ["UpstreamSettings", "UpstreamState", "announce", "running_upstream"]

MAX_BODY_BYTES = 16_777_216
NUMBER_HEADER = "X-Request-Number"
ATTEMPT_HEADER = "Ibisspoke-Attempt"
CONTEXT_HEADER = "Ibisspoke-Context"
NOT_RUN_HEADER = "Ibisspoke-Not-Run"
TIMEOUT_HEADER = "Ibisspoke-Timeout-Ms"


class _Handler(RequestHandler):
    def initialize(self, state: UpstreamState) -> None:
        self._state = state


class _CallHandler(_Handler):
    _task: asyncio.Task[None] | None = None

    async def prepare(self) -> None:
        self._state.seen_headers.append(dict(self.request.headers.get_all()))

    async def get(self) -> None:
        await self._serve()

    async def post(self) -> None:
        await self._serve()

    put = post

    def on_connection_close(self) -> None:
        """Cancel the execution when the caller disconnects."""
        if self._task is not None:
            self._task.cancel()

    async def _serve(self) -> None:
        if self._state.draining or self._state.is_full:
            self._state.n_shed += 1
            self.set_header(NOT_RUN_HEADER, "1")
            self.set_status(503)
            return
        self._task = asyncio.ensure_future(self._execute_call())
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _execute_call(self) -> None:
        state = self._state
        number = self.request.headers.get(NUMBER_HEADER, "")
        timeout_ms = int(self.request.headers.get(TIMEOUT_HEADER, "600000"))
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                async with state.execution(number):
                    await asyncio.sleep(state.service_ms / 1000.0)
                    if not await self._make_nested_call(number):
                        self.set_status(500)
                        return
        except TimeoutError:
            self.set_status(504)
            return
        self.set_header(NUMBER_HEADER, number)
        attempt = self.request.headers.get(ATTEMPT_HEADER)
        if attempt is not None:
            self.set_header(ATTEMPT_HEADER, attempt)
        await self._answer(self.request.body or b"ok")

    async def _answer(self, body: bytes) -> None:
        if not self._state.cut_answers:
            self.finish(body)
            return
        self.set_header("Content-Length", str(len(body)))
        self.write(body[: len(body) // 2])
        await self.flush()
        self.detach().close()

    async def _make_nested_call(self, number: str) -> bool:
        if self._state.nested_call is None:
            return True
        context = self.request.headers.get(CONTEXT_HEADER, "")
        return await self._state.nested_call(number, context)


class _FaultHandler(_Handler):
    def post(self) -> None:
        self._state.set_faults(
            msgspec.json.decode(self.request.body, type=FaultsMessage)
        )
        self.set_status(204)


class _StatsHandler(_Handler):
    def get(self) -> None:
        state = self._state
        doubled = [n for n, runs in state.n_runs_by_request.items() if runs > 1]
        self.finish(
            {
                "n_runs": sum(state.n_runs_by_request.values()),
                "n_runs_by_request": dict(state.n_runs_by_request),
                "n_cancelled": state.n_cancelled,
                "n_shed": state.n_shed,
                "doubled": doubled,
            }
        )


class _HealthHandler(_Handler):
    def get(self) -> None:
        state = self._state
        self.set_status(200 if state.is_healthy else 503)
        self.finish({"healthy": state.is_healthy, "load": state.load})


@asynccontextmanager
async def running_upstream(
    settings: UpstreamSettings, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[tuple[UpstreamState, int]]:
    """Run a stand-in while the context is open; yield its state and port."""
    state = UpstreamState(settings)
    arguments = {"state": state}
    application = Application(
        [
            ("/_faults", _FaultHandler, arguments),
            ("/_stats", _StatsHandler, arguments),
            ("/_health", _HealthHandler, arguments),
            ("/.*", _CallHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
    server = HTTPServer(application, max_body_size=MAX_BODY_BYTES)
    sockets = bind_sockets(port, host)
    server.add_sockets(sockets)
    try:
        yield state, int(sockets[0].getsockname()[1])
    finally:
        state.can_progress.set()
        server.stop()
        await server.close_all_connections()


async def announce(
    status_port: int,
    settings: UpstreamSettings,
    port: int,
    draining: bool = False,
    cold: bool = False,
) -> None:
    """Announce the stand-in to the node on its VM."""
    body = {
        "service": settings.service,
        "host": "127.0.0.1",
        "port": port,
        "n_slots": settings.n_slots,
        "n_connections": settings.n_connections,
        "draining": draining,
        "cold": cold,
    }
    await AsyncHTTPClient().fetch(
        f"http://127.0.0.1:{status_port}/announce",
        method="POST",
        body=json.dumps(body),
    )


async def _run(settings: UpstreamSettings, port: int, status_port: int) -> None:
    async with running_upstream(settings, port=port) as (_, bound_port):
        await announce(status_port, settings, bound_port, cold=settings.cold_ms > 0)
        print(json.dumps({"port": bound_port}), flush=True)
        await asyncio.Event().wait()


def main() -> None:
    """Run a stand-in upstream and announce it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("service")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--status-port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=50)
    parser.add_argument("--connections", type=int, default=400)
    parser.add_argument("--service-ms", type=float, default=1.0)
    parser.add_argument("--cold-ms", type=float, default=0.0)
    arguments = parser.parse_args()
    settings = UpstreamSettings(
        arguments.service,
        arguments.slots,
        arguments.connections,
        arguments.service_ms,
        arguments.cold_ms,
    )
    asyncio.run(_run(settings, arguments.port, arguments.status_port))


if __name__ == "__main__":
    main()
