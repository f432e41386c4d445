"""Read interest is kept between messages and removed when unwanted data arrives."""

import asyncio
import socket

from tornado.ioloop import IOLoop

from ibisspoke_node.lazy_io_loop import LazyIOLoop


class _RegisteredSocket:
    def __init__(self) -> None:
        self.loop = LazyIOLoop()
        self.local, self.peer = socket.socketpair()
        self.local.setblocking(False)
        self.n_events = 0
        self.loop.add_handler(self.local, self._on_event, IOLoop.READ | IOLoop.ERROR)

    def _on_event(self, source: socket.socket, events: int) -> None:
        assert events == IOLoop.READ
        self.n_events += 1
        source.recv(100)

    async def receive(self, data: bytes) -> int:
        self.peer.send(data)
        await self.run_loop()
        return self.n_events

    async def run_loop(self) -> None:
        for _ in range(5):
            await asyncio.sleep(0.001)

    @property
    def is_registered(self) -> bool:
        return self.local.fileno() in self.loop.readers

    def close(self) -> None:
        self.loop.remove_handler(self.local)
        self.local.close()
        self.peer.close()


def _run(check) -> None:
    async def run() -> None:
        pair = _RegisteredSocket()
        await check(pair)
        pair.close()

    asyncio.run(run())


def test_socket_stays_registered_while_nothing_arrives():
    async def check(pair: _RegisteredSocket) -> None:
        pair.loop.update_handler(pair.local, IOLoop.ERROR)
        assert pair.is_registered
        pair.loop.update_handler(pair.local, IOLoop.READ | IOLoop.ERROR)
        assert await pair.receive(b"a") == 1

    _run(check)


def test_unwanted_data_removes_read_interest_until_it_is_wanted():
    async def check(pair: _RegisteredSocket) -> None:
        pair.loop.update_handler(pair.local, IOLoop.ERROR)
        assert await pair.receive(b"a") == 0
        assert not pair.is_registered
        pair.loop.update_handler(pair.local, IOLoop.READ | IOLoop.ERROR)
        await pair.run_loop()
        assert pair.n_events == 1

    _run(check)


def test_write_interest_is_dropped_at_once():
    async def check(pair: _RegisteredSocket) -> None:
        pair.loop.update_handler(pair.local, IOLoop.WRITE | IOLoop.READ)
        pair.loop.update_handler(pair.local, IOLoop.READ)
        assert pair.local.fileno() not in pair.loop.writers

    _run(check)
