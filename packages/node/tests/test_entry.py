"""Callers that send slowly or not at all."""

import asyncio

from ibisspoke_node.entry import (
    BODY_TIMEOUT_MS,
    IDLE_TIMEOUT_MS,
    SWEEP_MS,
    EntryLimits,
    entry_server,
)
from ibisspoke_node.node import Node
from ibisspoke_node.settings import NodeSettings
from ibisspoke_policy.clock import ManualClock

LIMITS = EntryLimits(1_000_000, 16_384)
SETTINGS = NodeSettings("n1", "r", "d", "127.0.0.1", "", (b"fleet secret",))


class _Caller:
    def __init__(self, reader, writer) -> None:
        self._reader = reader
        self._writer = writer

    async def send(self, data: bytes) -> None:
        self._writer.write(data)
        for _ in range(50):
            await asyncio.sleep(0.001)

    async def is_closed(self) -> bool:
        try:
            return await asyncio.wait_for(self._reader.read(1), 0.2) == b""
        except TimeoutError:
            return False

    def close(self) -> None:
        self._writer.close()


async def _is_closed_after(data: bytes, after_ms: float) -> bool:
    clock = ManualClock()
    node = Node(SETTINGS, clock, None)
    async with entry_server(node.entry, LIMITS, "127.0.0.1", 0) as port:
        caller = _Caller(*await asyncio.open_connection("127.0.0.1", port))
        await caller.send(data)
        node.entry.tick()
        clock.advance(after_ms)
        node.entry.tick()
        closed = await caller.is_closed()
        caller.close()
    return closed


async def test_idle_connection_is_closed_after_its_time():
    assert not await _is_closed_after(b"", IDLE_TIMEOUT_MS - SWEEP_MS)
    assert await _is_closed_after(b"", IDLE_TIMEOUT_MS + SWEEP_MS)


async def test_slow_head_is_closed_after_the_idle_time():
    assert await _is_closed_after(b"GET / HTT", IDLE_TIMEOUT_MS + SWEEP_MS)


async def test_slow_body_is_closed_after_its_time():
    head = b"POST /a/b HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc"
    assert not await _is_closed_after(head, BODY_TIMEOUT_MS - SWEEP_MS)
    assert await _is_closed_after(head, BODY_TIMEOUT_MS + SWEEP_MS)
