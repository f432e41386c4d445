"""Loopback server for announcements of the upstream and the status page."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import NamedTuple, TypedDict

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

from ibisspoke_policy.admission import Capacity

from .executor import Announcement

MAX_BODY_BYTES = 65_536


class AnnouncementBody(TypedDict, total=False):
    """Body that an upstream sends to ``POST /announce``, at start and on change."""

    service: str
    host: str
    port: int
    n_slots: int
    n_connections: int
    draining: bool
    cold: bool


class MembershipPage(TypedDict, total=False):
    """Membership section of the status page."""

    n_members_by_state: dict[str, int]
    unreachable_data_centres: list[str]
    is_cut_off: bool
    is_relay: bool
    n_sent_bytes: int
    n_received_bytes: int
    n_link_bytes_by_traffic: dict[str, int]


class StatusPage(TypedDict):
    """Body of the reply to ``GET /status``."""

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


ANNOUNCEMENT_REMEDY = "see docs/INTERFACE.md, Upstreams"
REQUIRED_FIELDS = ("service", "host", "port", "n_slots", "n_connections")


class _Reply(NamedTuple):
    """Reply to a request."""

    status: HTTPStatus
    body: bytes = b""


class _Page:
    """Handle the requests to the loopback server.

    :param announce: receives the announcements of the upstream.
    :param describe: returns the status page.
    """

    def __init__(
        self,
        announce: Callable[[Announcement], None],
        describe: Callable[[], StatusPage],
    ) -> None:
        self._announce = announce
        self._describe = describe

    def serve(self, request: HTTPServerRequest) -> None:
        """Answer one request."""
        reply = self._reply(request)
        headers = HTTPHeaders({"Content-Type": "application/json"})
        if reply.status is not HTTPStatus.NO_CONTENT:
            headers["Content-Length"] = str(len(reply.body))
        start_line = ResponseStartLine(
            "HTTP/1.1", reply.status.value, reply.status.phrase
        )
        connection = request.connection
        assert connection is not None
        connection.write_headers(start_line, headers, reply.body)
        connection.finish()

    def _reply(self, request: HTTPServerRequest) -> _Reply:
        route = (request.method, request.path)
        if route == ("GET", "/status"):
            return _Reply(HTTPStatus.OK, msgspec.json.encode(self._describe()))
        if route == ("POST", "/announce"):
            return self._handle_announcement(request.body)
        detail = f"there is no {request.method} {request.path}"
        remedy = "ask for GET /status or POST /announce"
        return _problem(HTTPStatus.NOT_FOUND, detail, remedy)

    def _handle_announcement(self, data: bytes) -> _Reply:
        try:
            body = msgspec.json.decode(data, type=AnnouncementBody)
        except msgspec.DecodeError as error:
            return _problem(HTTPStatus.BAD_REQUEST, str(error), ANNOUNCEMENT_REMEDY)
        missing = [name for name in REQUIRED_FIELDS if name not in body]
        if missing:
            detail = f"missing {', '.join(missing)}"
            return _problem(HTTPStatus.BAD_REQUEST, detail, ANNOUNCEMENT_REMEDY)
        capacity = Capacity(
            body["n_slots"],
            body["n_connections"],
            body.get("draining", False),
            body.get("cold", False),
        )
        self._announce(
            Announcement(body["service"], body["host"], body["port"], capacity)
        )
        return _Reply(HTTPStatus.NO_CONTENT)


def _problem(status: HTTPStatus, detail: str, remedy: str) -> _Reply:
    return _Reply(status, msgspec.json.encode({"detail": detail, "remedy": remedy}))


@asynccontextmanager
async def status_server(
    announce: Callable[[Announcement], None],
    describe: Callable[[], StatusPage],
    port: int,
) -> AsyncIterator[int]:
    """Serve on the loopback interface while the context is open.

    :returns: the port in use; if ``port`` is 0, the one that the kernel chose.
    """
    page = _Page(announce, describe)
    server = HTTPServer(page.serve, max_body_size=MAX_BODY_BYTES)
    sockets = bind_sockets(port, "127.0.0.1")
    server.add_sockets(sockets)
    try:
        yield int(sockets[0].getsockname()[1])
    finally:
        server.stop()
        await server.close_all_connections()
