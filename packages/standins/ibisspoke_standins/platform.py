"""Runnable stand-in for the platform: ``python -m ibisspoke_standins.platform``."""

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Annotated, NotRequired, TypedDict, TypeVar
from urllib.parse import unquote

import msgspec
import typer
from result import Err
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from ibisspoke_storage.http_messages import (
    MAX_SCAN_ROWS,
    CommitMessage,
    RowsMessage,
    error_to_message,
    row_to_message,
)
from ibisspoke_storage.store import Check, StoreError, StoreErrorKind, Write

from .memory_store import Fault, FaultKind, FaultScope, MemoryStore

MAX_BODY_BYTES = 64 * 1024 * 1024
STATUS_BY_KIND = {
    StoreErrorKind.UNAVAILABLE: 503,
    StoreErrorKind.CONFLICT: 409,
    StoreErrorKind.INVALID: 400,
    StoreErrorKind.NOT_FOUND: 404,
}

T = TypeVar("T")


class FaultMessage(TypedDict):
    """Body of ``POST /faults``."""

    kind: FaultKind
    scope: NotRequired[FaultScope]
    n_requests: NotRequired[int | None]
    for_ms: NotRequired[float | None]
    delay_ms: NotRequired[float]


class _Handler(RequestHandler):
    """Base of the handlers, which serve the in-memory store."""

    def initialize(self, store: MemoryStore) -> None:
        self.store = store

    def decode_body(self, kind: type[T]) -> T | None:
        """Return the decoded body; send an error and return None if it is invalid."""
        try:
            return msgspec.json.decode(self.request.body, type=kind)
        except msgspec.DecodeError as error:
            detail = f"the body cannot be read: {error}"
            remedy = "send the JSON message that docs/INTERFACE.md shows"
            self.fail(StoreError(StoreErrorKind.INVALID, detail, remedy))
            return None

    def send_json(self, message: object) -> None:
        """Send ``message`` as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(message))

    def fail(self, error: StoreError) -> None:
        """Send ``error``; close the connection instead if the answer is lost."""
        if error.kind is StoreErrorKind.UNKNOWN:
            connection = self.request.connection
            if connection is not None:
                self.detach().close()
            return
        self.set_status(STATUS_BY_KIND[error.kind])
        self.send_json(error_to_message(error))


class _RowHandler(_Handler):
    async def get(self, key: str) -> None:
        answer = await self.store.read(unquote(key))
        if isinstance(answer, Err):
            return self.fail(answer.err_value)
        return self.send_json(row_to_message(answer.ok_value))


class _RowsHandler(_Handler):
    async def get(self) -> None:
        after = self.get_query_argument("after", "")
        limit = self.get_query_argument("limit", str(MAX_SCAN_ROWS))
        if not (limit.isascii() and limit.isdigit() and int(limit) > 0):
            detail, remedy = f"limit is {limit!r}", "send a whole number from 1"
            return self.fail(StoreError(StoreErrorKind.INVALID, detail, remedy))
        n_rows = min(int(limit), MAX_SCAN_ROWS)
        answer = await self.store.scan(self.get_query_argument("prefix", ""))
        if isinstance(answer, Err):
            return self.fail(answer.err_value)
        rows = [row for row in answer.ok_value if row.key > after]
        page: RowsMessage = {
            "rows": [row_to_message(row) for row in rows[:n_rows]],
            "more": len(rows) > n_rows,
        }
        return self.send_json(page)


class _CommitHandler(_Handler):
    async def post(self) -> None:
        message = self.decode_body(CommitMessage)
        if message is None:
            return None
        checks = [Check(item["key"], item["version"]) for item in message["checks"]]
        writes = [Write(item["key"], item["value"]) for item in message["writes"]]
        answer = await self.store.commit(checks, writes)
        if isinstance(answer, Err):
            return self.fail(answer.err_value)
        rows = [row_to_message(row) for row in answer.ok_value]
        return self.send_json(RowsMessage(rows=rows, more=False))


class _ObjectHandler(_Handler):
    async def get(self, name: str) -> None:
        answer = await self.store.get(unquote(name))
        if isinstance(answer, Err):
            return self.fail(answer.err_value)
        self.set_header("Content-Type", "application/octet-stream")
        await self.finish(answer.ok_value)
        return None

    async def put(self, name: str) -> None:
        answer = await self.store.put(unquote(name), self.request.body)
        if isinstance(answer, Err):
            return self.fail(answer.err_value)
        return self.send_json({})


class _StatsHandler(_Handler):
    def get(self) -> None:
        self.send_json(self.store.stats._asdict())


class _FaultsHandler(_Handler):
    def post(self) -> None:
        message = self.decode_body(FaultMessage)
        if message is None:
            return
        self.store.inject(Fault(**message))
        self.send_json({})

    def delete(self) -> None:
        self.store.clear_faults()
        self.send_json({})


def make_application(store: MemoryStore) -> Application:
    """Return the HTTP application that serves ``store``."""
    arguments = {"store": store}
    return Application(
        [
            (r"/rows/([^/]+)", _RowHandler, arguments),
            (r"/rows", _RowsHandler, arguments),
            (r"/commit", _CommitHandler, arguments),
            (r"/objects/([^/]+)", _ObjectHandler, arguments),
            (r"/stats", _StatsHandler, arguments),
            (r"/faults", _FaultsHandler, arguments),
        ],
        log_function=lambda handler: None,
    )


@asynccontextmanager
async def serve_platform(
    store: MemoryStore, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[int]:
    """Serve ``store`` while the context is open.

    :returns: the port; the kernel chooses it when ``port`` is 0.
    """
    sockets = bind_sockets(port, host)
    server = HTTPServer(make_application(store), max_body_size=MAX_BODY_BYTES)
    server.add_sockets(sockets)
    try:
        yield sockets[0].getsockname()[1]
    finally:
        server.stop()
        await server.close_all_connections()


async def _run(host: str, port: int) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop_requested.set)
    async with serve_platform(MemoryStore(), host, port) as bound_port:
        print(json.dumps({"port": bound_port}), flush=True)
        await stop_requested.wait()


def main(
    port: Annotated[int, typer.Option(help="Port; 0 lets the kernel choose.")] = 0,
    host: Annotated[str, typer.Option(help="IP number to listen on.")] = "127.0.0.1",
) -> None:
    """Run a stand-in for the platform that keeps its data in memory only."""
    asyncio.run(_run(host, port))


if __name__ == "__main__":
    typer.run(main)
