"""Stand-in upstream for benchmarks: echoes bodies or makes a nested call.

Usage: ``python _upstream_process.py SERVICE STATUS_PORT ENTRY_PORT``. Paths are
``/hops/N/S1/S2/...``: with N above 1 the upstream calls service S1 with N - 1, through
its own node if the request has a context header, otherwise directly. An input line
``{"ports_by_service": {...}}`` sets the ports of the other upstreams. The query
``sleep_ms=N`` delays the answer.
"""

import asyncio
import gc
import json
import signal
import sys

from _caller import Caller
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from ibisspoke_standins.upstream import UpstreamSettings, announce

CONTEXT_HEADER = "Ibisspoke-Context"
N_SLOTS = 2_000
MAX_BODY_BYTES = 16_777_216


class Upstream:
    """Answers the requests of benchmarks."""

    def __init__(self, entry_port: int) -> None:
        self.ports_by_service: dict[str, int] = {}
        self._entry_port = entry_port
        self._caller_by_port: dict[int, Caller] = {}

    def serve(self, request: HTTPServerRequest) -> None:
        _, _, n_hops, *services = request.path.split("/")
        sleep_ms = float(request.query[9:] or 0) if request.query else 0.0
        if int(n_hops) <= 1 and not sleep_ms:
            _answer(request, 200, request.body)
            return
        asyncio.ensure_future(self._call_next(request, int(n_hops), services, sleep_ms))

    async def _call_next(
        self,
        request: HTTPServerRequest,
        n_hops: int,
        services: list[str],
        sleep_ms: float,
    ) -> None:
        await asyncio.sleep(sleep_ms / 1000.0)
        if n_hops <= 1:
            _answer(request, 200, request.body)
            return
        target = f"/hops/{n_hops - 1}/" + "/".join(services[1:])
        headers = {}
        token = request.headers.get(CONTEXT_HEADER)
        port = self.ports_by_service.get(services[0], 0)
        if token is not None:
            port = self._entry_port
            target = f"/{services[0]}{target}"
            headers[CONTEXT_HEADER] = token
        caller = self._caller_by_port.setdefault(port, Caller(port))
        answer = await caller.post(target, headers, request.body)
        _answer(request, answer.status, answer.body)


def _answer(request: HTTPServerRequest, status: int, body: bytes) -> None:
    headers = HTTPHeaders({"Content-Length": str(len(body))})
    connection = request.connection
    assert connection is not None
    try:
        connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, "OK"), headers, body
        )
        connection.finish()
    except StreamClosedError:
        return


async def _run(service: str, status_port: int, entry_port: int) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    upstream = Upstream(entry_port)

    def on_input() -> None:
        line = sys.stdin.readline()
        if not line:
            stop.set()
            return
        upstream.ports_by_service = json.loads(line)["ports_by_service"]
        print("{}", flush=True)

    server = HTTPServer(upstream.serve, max_body_size=MAX_BODY_BYTES)
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    port = int(sockets[0].getsockname()[1])
    settings = UpstreamSettings(service, N_SLOTS, N_SLOTS, 0.0)
    await announce(status_port, settings, port)
    loop.add_reader(sys.stdin, on_input)
    print(json.dumps({"port": port}), flush=True)
    await stop.wait()
    server.stop()
    await server.close_all_connections()


if __name__ == "__main__":
    gc.freeze()
    gc.set_threshold(50_000)
    asyncio.run(_run(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])))
