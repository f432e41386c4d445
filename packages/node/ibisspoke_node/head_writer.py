"""Writes HTTP heads and bodies with a single write on tornado connections.

``HTTP1Connection.write_headers`` validates and encodes each header separately. Headers
that tornado has parsed are well formed, so one check of the whole head is enough. Other
cases use ``write_headers``.
"""

from collections.abc import Sequence

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, RequestStartLine, ResponseStartLine
from tornado.iostream import IOStream

from .messages import Header

BODILESS_STATUSES = (204, 304)
MAX_JOINED_BYTES = 65_536


def write_request(
    connection: HTTP1Connection,
    start_line: RequestStartLine,
    headers: Sequence[Header],
    body: bytes,
) -> None:
    """Write a complete request.

    :raises ValueError: when a header contains a line break.
    """
    if start_line.method == "HEAD":
        connection.write_headers(start_line, _collect(headers), body)
        return
    first_line = f"{start_line.method} {start_line.path} HTTP/1.1"
    _write(connection, _encode(first_line, headers), body)


def write_answer(
    connection: HTTP1Connection,
    request_line: RequestStartLine,
    start_line: ResponseStartLine,
    headers: Sequence[Header],
    body: bytes,
) -> None:
    """Write a complete answer to the request that starts with ``request_line``.

    :raises ValueError: when a header contains a line break.
    """
    is_plain = request_line.version == "HTTP/1.1" and request_line.method != "HEAD"
    if not is_plain or start_line.code in BODILESS_STATUSES:
        connection.write_headers(start_line, _collect(headers), body)
        return
    first_line = f"HTTP/1.1 {start_line.code} {start_line.reason}"
    _write(connection, _encode(first_line, headers), body)


def set_permanent_nodelay(stream: IOStream) -> None:
    """Set TCP_NODELAY for good; tornado sets it with two system calls per message."""
    stream.set_nodelay(True)
    stream.set_nodelay = _ignore_nodelay  # type: ignore[method-assign]


def _write(connection: HTTP1Connection, head: bytes, body: bytes) -> None:
    if len(body) <= MAX_JOINED_BYTES:
        connection.write(head + body)
        return
    connection.write(head)
    connection.write(body)


def _encode(first_line: str, headers: Sequence[Header]) -> bytes:
    lines = [first_line]
    for name, value in headers:
        lines.append(f"{name}: {value}")
    lines.append("\r\n")
    head = "\r\n".join(lines)
    if head.count("\n") != len(lines) or head.count("\r") != len(lines):
        raise ValueError("a header contains a line break; remove it")
    return head.encode("latin-1")


def _collect(headers: Sequence[Header]) -> HTTPHeaders:
    collected = HTTPHeaders()
    for name, value in headers:
        collected.add(name, value)
    return collected


def _ignore_nodelay(value: bool) -> None:
    """Ignore the changes that tornado makes for each message."""
