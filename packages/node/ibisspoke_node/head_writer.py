"""Writing of HTTP heads and bodies in one piece on tornado's connections.

``HTTP1Connection.write_headers`` checks and encodes each header by itself. Headers that
tornado has parsed are well formed, so that one check over the whole head is enough;
what needs more than that is left to ``write_headers``.
"""

from collections.abc import Sequence

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, RequestStartLine, ResponseStartLine
from tornado.iostream import IOStream

from .messages import Header

BODILESS = (204, 304)
MAX_JOINED_BYTES = 65_536


def write_request(
    connection: HTTP1Connection,
    start_line: RequestStartLine,
    headers: Sequence[Header],
    body: bytes,
) -> None:
    """Write a whole request.

    :raises ValueError: when a header holds a line break.
    """
    if start_line.method == "HEAD":
        connection.write_headers(start_line, _collect(headers), body)
        return
    first = f"{start_line.method} {start_line.path} HTTP/1.1"
    _write(connection, _encode(first, headers), body)


def write_answer(
    connection: HTTP1Connection,
    asked: RequestStartLine,
    start_line: ResponseStartLine,
    headers: Sequence[Header],
    body: bytes,
) -> None:
    """Write a whole answer to the request that ``asked`` begins.

    :raises ValueError: when a header holds a line break.
    """
    plain = asked.version == "HTTP/1.1" and asked.method != "HEAD"
    if not plain or start_line.code in BODILESS:
        connection.write_headers(start_line, _collect(headers), body)
        return
    first = f"HTTP/1.1 {start_line.code} {start_line.reason}"
    _write(connection, _encode(first, headers), body)


def keep_nodelay(stream: IOStream) -> None:
    """Send small segments at once, without two system calls a message to say so."""
    stream.set_nodelay(True)
    stream.set_nodelay = _unchanged  # type: ignore[method-assign]


def _write(connection: HTTP1Connection, head: bytes, body: bytes) -> None:
    if len(body) <= MAX_JOINED_BYTES:
        connection.write(head + body)
        return
    connection.write(head)
    connection.write(body)


def _encode(first: str, headers: Sequence[Header]) -> bytes:
    lines = [first]
    for name, value in headers:
        lines.append(f"{name}: {value}")
    lines.append("\r\n")
    head = "\r\n".join(lines)
    if head.count("\n") != len(lines) or head.count("\r") != len(lines):
        raise ValueError("a header holds a line break; remove it")
    return head.encode("latin-1")


def _collect(headers: Sequence[Header]) -> HTTPHeaders:
    collected = HTTPHeaders()
    for name, value in headers:
        collected.add(name, value)
    return collected


def _unchanged(value: bool) -> None:
    """Ignore tornado's switching for each message."""
