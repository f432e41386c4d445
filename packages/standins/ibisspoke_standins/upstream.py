"""Stand-in upstream: executes requests, announces itself, misbehaves on demand."""

import argparse
import asyncio
import json
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

MAX_BODY_BYTES = 16_777_216


class UpstreamSettings(NamedTuple):
    """What the stand-in is.

    :param service_ms: time to execute one request.
    """

    service: str
    n_slots: int = 50
    n_connections: int = 400
    service_ms: float = 1.0


class UpstreamState:
    """What happened at the stand-in, and the faults in force."""

    def __init__(self, settings: UpstreamSettings) -> None:
        self.settings = settings
        self.slots = asyncio.Semaphore(settings.n_slots)
        self.n_runs_by_request: Counter[str] = Counter()
        self.seen_headers: list[dict[str, str]] = []
        self.stuck = asyncio.Event()
        self.stuck.set()
        self.extra_ms = 0.0
        self.draining = False


class _CallHandler(RequestHandler):
    def initialize(self, state: UpstreamState) -> None:
        self._state = state

    async def prepare(self) -> None:
        self._state.seen_headers.append(dict(self.request.headers.get_all()))

    async def get(self) -> None:
        await self._execute_call()

    async def post(self) -> None:
        await self._execute_call()

    put = post

    async def _execute_call(self) -> None:
        state = self._state
        number = self.request.headers.get("X-Request-Number", "")
        async with state.slots:
            await state.stuck.wait()
            state.n_runs_by_request[number] += 1
            await asyncio.sleep((state.settings.service_ms + state.extra_ms) / 1000.0)
        self.set_header("X-Request-Number", number)
        self.finish(self.request.body or b"ok")


class _FaultHandler(RequestHandler):
    def initialize(self, state: UpstreamState) -> None:
        self._state = state

    def post(self) -> None:
        faults = json.loads(self.request.body)
        self._state.extra_ms = float(faults.get("extra_ms", 0.0))
        if faults.get("stuck", False):
            self._state.stuck.clear()
        else:
            self._state.stuck.set()
        self.set_status(204)


class _StatsHandler(RequestHandler):
    def initialize(self, state: UpstreamState) -> None:
        self._state = state

    def get(self) -> None:
        state = self._state
        doubled = [n for n, runs in state.n_runs_by_request.items() if runs > 1]
        self.finish(
            {
                "n_runs": sum(state.n_runs_by_request.values()),
                "n_runs_by_request": dict(state.n_runs_by_request),
                "doubled": doubled,
            }
        )


@asynccontextmanager
async def running_upstream(
    settings: UpstreamSettings, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[tuple[UpstreamState, int]]:
    """Run a stand-in while the context is open; give its state and port."""
    state = UpstreamState(settings)
    arguments = {"state": state}
    application = Application(
        [
            ("/_faults", _FaultHandler, arguments),
            ("/_stats", _StatsHandler, arguments),
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
        state.stuck.set()
        server.stop()
        await server.close_all_connections()


async def announce(
    status_port: int, settings: UpstreamSettings, port: int, draining: bool = False
) -> None:
    """Announce the stand-in to the node on its VM."""
    body = {
        "service": settings.service,
        "host": "127.0.0.1",
        "port": port,
        "n_slots": settings.n_slots,
        "n_connections": settings.n_connections,
        "draining": draining,
    }
    await AsyncHTTPClient().fetch(
        f"http://127.0.0.1:{status_port}/announce",
        method="POST",
        body=json.dumps(body),
    )


async def _run(settings: UpstreamSettings, port: int, status_port: int) -> None:
    async with running_upstream(settings, port=port) as (_, bound):
        await announce(status_port, settings, bound)
        print(json.dumps({"port": bound}), flush=True)
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
    arguments = parser.parse_args()
    settings = UpstreamSettings(
        arguments.service,
        arguments.slots,
        arguments.connections,
        arguments.service_ms,
    )
    asyncio.run(_run(settings, arguments.port, arguments.status_port))


if __name__ == "__main__":
    main()
