"""Bytes of the HTTP heads and bodies that are written with one write."""

import asyncio
import socket

import pytest
from tornado.http1connection import HTTP1Connection
from tornado.httputil import RequestStartLine, ResponseStartLine
from tornado.iostream import IOStream

from ibisspoke_node.head_writer import (
    set_permanent_nodelay,
    write_answer,
    write_request,
)

REQUEST_LINE = RequestStartLine("GET", "/", "HTTP/1.1")
STATUS_LINE = ResponseStartLine("HTTP/1.1", 200, "OK")


class _Pair:
    def __init__(self, is_client: bool) -> None:
        local, self._peer = socket.socketpair()
        self.connection = HTTP1Connection(IOStream(local), is_client)

    def received(self) -> bytes:
        self.connection.stream.close()
        data = self._peer.recv(65_536)
        self._peer.close()
        return data


async def test_request_is_one_head_and_its_body():
    pair = _Pair(is_client=True)
    headers = [("Host", "h"), ("Content-Length", "3")]
    write_request(pair.connection, REQUEST_LINE, headers, b"abc")
    assert pair.received() == (
        b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
    )


async def test_answer_is_one_head_and_its_body():
    pair = _Pair(is_client=False)
    write_answer(
        pair.connection, REQUEST_LINE, STATUS_LINE, [("Content-Length", "2")], b"ok"
    )
    assert pair.received() == b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.mark.parametrize("value", ["a\r\nX: y", "a\nX: y", "a\rX: y"])
async def test_line_break_in_a_header_is_refused(value):
    pair = _Pair(is_client=False)
    with pytest.raises(ValueError, match="line break"):
        write_answer(pair.connection, REQUEST_LINE, STATUS_LINE, [("X", value)], b"")
    with pytest.raises(ValueError, match="line break"):
        write_request(pair.connection, REQUEST_LINE, [("X", value)], b"")
    pair.received()


async def test_nodelay_stays_on():
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    raw = socket.create_connection(server.sockets[0].getsockname())
    stream = IOStream(raw)
    set_permanent_nodelay(stream)
    stream.set_nodelay(False)
    assert raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) != 0
    stream.close()
    server.close()
    await server.wait_closed()
