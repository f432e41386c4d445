"""Read interest that is kept between messages and given up when it must be."""

import asyncio
import socket

from tornado.ioloop import IOLoop

from ibisspoke_node.lazy_io_loop import LazyIOLoop


class _Socket:
    def __init__(self) -> None:
        self.loop = LazyIOLoop()
        self.near, self.far = socket.socketpair()
        self.near.setblocking(False)
        self.n_events = 0
        self.loop.add_handler(self.near, self._on_event, IOLoop.READ | IOLoop.ERROR)

    def _on_event(self, source: socket.socket, events: int) -> None:
        assert events == IOLoop.READ
        self.n_events += 1
        source.recv(100)

    async def hear(self, data: bytes) -> int:
        self.far.send(data)
        await self.turn()
        return self.n_events

    async def turn(self) -> None:
        for _ in range(5):
            await asyncio.sleep(0.001)

    @property
    def is_registered(self) -> bool:
        return self.near.fileno() in self.loop.readers

    def close(self) -> None:
        self.loop.remove_handler(self.near)
        self.near.close()
        self.far.close()


def _run(check) -> None:
    async def run() -> None:
        pair = _Socket()
        await check(pair)
        pair.close()

    asyncio.run(run())


def test_socket_stays_registered_while_nothing_arrives():
    async def check(pair: _Socket) -> None:
        pair.loop.update_handler(pair.near, IOLoop.ERROR)
        assert pair.is_registered
        pair.loop.update_handler(pair.near, IOLoop.READ | IOLoop.ERROR)
        assert await pair.hear(b"a") == 1

    _run(check)


def test_unwanted_data_takes_it_out_and_is_read_when_wanted():
    async def check(pair: _Socket) -> None:
        pair.loop.update_handler(pair.near, IOLoop.ERROR)
        assert await pair.hear(b"a") == 0
        assert not pair.is_registered
        pair.loop.update_handler(pair.near, IOLoop.READ | IOLoop.ERROR)
        await pair.turn()
        assert pair.n_events == 1

    _run(check)


def test_write_interest_is_dropped_at_once():
    async def check(pair: _Socket) -> None:
        pair.loop.update_handler(pair.near, IOLoop.WRITE | IOLoop.READ)
        pair.loop.update_handler(pair.near, IOLoop.READ)
        assert pair.near.fileno() not in pair.loop.writers

    _run(check)
