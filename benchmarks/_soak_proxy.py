"""TCP proxy on a loopback address whose connections can be disturbed."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

CHUNK_BYTES = 64 * 1024
CLOSED_POLL_S = 0.05
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER, on and of no time


class Disturbance:
    """How a proxy treats the bytes of its connections.

    :ivar delay_s: by which bytes are late, in both directions.
    :ivar holds_requests: whether bytes towards the server are held back.
    :ivar holds_answers: whether bytes towards the client are held back.
    """

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.holds_requests = False
        self.holds_answers = False

    def __repr__(self) -> str:
        return f"Disturbance({vars(self)})"


class LoopbackProxy:
    """Forwards connections from one address to another."""

    def __init__(self, address: tuple[str, int], target: tuple[str, int]) -> None:
        self.disturbance = Disturbance()
        self._address = address
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._held_before = 0
        self._n_connections = 0

    def __repr__(self) -> str:
        return f"LoopbackProxy({self._address}, {self.disturbance})"

    def silence_open_connections(self) -> None:
        """Hold back all bytes of the connections that are open now, for good."""
        self._held_before = self._n_connections

    def reset_connections(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            _reset(writer)

    @asynccontextmanager
    async def running(self) -> AsyncIterator["LoopbackProxy"]:
        """Accept connections while the context is open."""
        server = await asyncio.start_server(self._accept, *self._address)
        try:
            yield self
        finally:
            server.close()
            self.reset_connections()
            for task in list(self._tasks):
                task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._n_connections += 1
        number = self._n_connections
        try:
            server_reader, server_writer = await asyncio.open_connection(*self._target)
        except OSError:
            _reset(writer)  # the server is down, as the client should see
            return
        self._writers |= {writer, server_writer}
        pumps = [
            asyncio.ensure_future(self._pump(number, reader, server_writer, True)),
            asyncio.ensure_future(self._pump(number, server_reader, writer, False)),
        ]
        try:
            await asyncio.wait(pumps)
        except asyncio.CancelledError:
            pass  # the proxy ends, which is no error of the connection
        finally:
            for pump in pumps:
                pump.cancel()
            for end in (writer, server_writer):
                self._writers.discard(end)
                end.close()

    async def _pump(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        """Forward the bytes of one direction until either end closes."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.disturbance.delay_s:
                    await asyncio.sleep(self.disturbance.delay_s)
                while self._holds(number, is_request):
                    await asyncio.sleep(CLOSED_POLL_S)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            _reset(writer)  # pass it on

    def _holds(self, number: int, is_request: bool) -> bool:
        if number <= self._held_before:
            return True
        disturbance = self.disturbance
        return disturbance.holds_requests if is_request else disturbance.holds_answers


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset.

    An ordinary close would be the valid end of an answer without a stated length.
    """
    sock: socket.socket = writer.get_extra_info("socket")
    if sock.fileno() != -1:  # not closed yet
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    writer.transport.abort()
