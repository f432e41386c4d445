"""Requests and responses of callers, as they are passed to and from a handler."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    403: b"Forbidden",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class CallerRequest(NamedTuple):
    """A complete request.

    :param headers: names in lower case, with their spelling, and values.
    :param is_dropped: whether the body was dropped, since other bodies took the memory.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes, bytes]]
    body: bytes
    arrived_ms: float
    is_dropped: bool = False


class CallerResponse(NamedTuple):
    """A response to write.

    :param headers: encoded header lines without content-length and connection.
    """

    status: int
    headers: bytes
    body: bytes


Handler = Callable[[CallerRequest], Awaitable[CallerResponse]]


def response_head(response: CallerResponse, closes: bool) -> bytes:
    """Return the encoded status line and headers of a response.

    :param closes: whether the connection is closed after it.
    """
    reason = REASONS.get(response.status, b"Unknown")
    connection = b"connection: close\r\n" if closes else b""
    return b"HTTP/1.1 %d %b\r\n%bcontent-length: %d\r\n%b\r\n" % (
        response.status,
        reason,
        response.headers,
        len(response.body),
        connection,
    )
