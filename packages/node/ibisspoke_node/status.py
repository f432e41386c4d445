"""Loopback page: the upstream announces itself, operators look at the node."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, TypedDict

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from ibisspoke_policy.admission import Capacity

from .executor import Announcement

MAX_BODY_BYTES = 65_536


class AnnouncementBody(TypedDict, total=False):
    """What an upstream sends to ``POST /announce``, at start and on change."""

    service: str
    host: str
    port: int
    n_slots: int
    n_connections: int
    draining: bool
    cold: bool


class MembershipPage(TypedDict, total=False):
    """What the node knows of the fleet."""

    n_members_by_state: dict[str, int]
    unreachable_data_centres: list[str]
    is_cut_off: bool
    is_relay: bool
    n_sent_bytes: int
    n_received_bytes: int
    n_link_bytes_by_traffic: dict[str, int]


class StatusPage(TypedDict):
    """What ``GET /status`` shows."""

    id: str
    region: str
    data_centre: str
    entry_port: int
    call_port: int
    control_port: int
    service: str
    catalogue_version: int
    n_open_requests: int
    n_open_attempts: int
    n_members: int
    membership: MembershipPage
    counters: dict[str, int]
    gauges: dict[str, float]


REQUIRED = ("service", "host", "port", "n_slots", "n_connections")


class _AnnounceHandler(RequestHandler):
    def initialize(self, announce: Callable[[Announcement], None]) -> None:
        self._announce = announce

    def post(self) -> None:
        try:
            body = msgspec.json.decode(self.request.body, type=AnnouncementBody)
        except msgspec.DecodeError as error:
            self._refuse(str(error))
            return
        missing = [name for name in REQUIRED if name not in body]
        if missing:
            self._refuse(f"missing {', '.join(missing)}")
            return
        capacity = Capacity(
            body["n_slots"],
            body["n_connections"],
            body.get("draining", False),
            body.get("cold", False),
        )
        self._announce(
            Announcement(body["service"], body["host"], body["port"], capacity)
        )
        self.set_status(204)

    def _refuse(self, detail: str) -> None:
        self.set_status(400)
        self.finish({"detail": detail, "remedy": "see docs/INTERFACE.md, Upstreams"})


class _StatusHandler(RequestHandler):
    def initialize(self, describe: Callable[[], StatusPage]) -> None:
        self._describe = describe

    def get(self) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(self._describe()))


@asynccontextmanager
async def status_server(
    announce: Callable[[Announcement], None],
    describe: Callable[[], StatusPage],
    port: int,
) -> AsyncIterator[int]:
    """Serve the page on loopback while the context is open.

    :returns: the port in use, also where ``port`` is 0.
    """
    routes: list[Any] = [
        ("/announce", _AnnounceHandler, {"announce": announce}),
        ("/status", _StatusHandler, {"describe": describe}),
    ]
    server = HTTPServer(Application(routes), max_body_size=MAX_BODY_BYTES)
    sockets = bind_sockets(port, "127.0.0.1")
    server.add_sockets(sockets)
    try:
        yield int(sockets[0].getsockname()[1])
    finally:
        server.stop()
        await server.close_all_connections()
