"""Timeouts of connections on which callers send slowly or not at all."""

import asyncio
from contextlib import suppress

from ibisspoke_node.entry import SWEEP_INTERVAL_MS, EntryLimits, entry_server
from ibisspoke_node.exchange import BODY_TIMEOUT_MS, IDLE_TIMEOUT_MS
from ibisspoke_node.node import Node
from ibisspoke_node.settings import NodeSettings
from ibisspoke_policy.clock import ManualClock

LIMITS = EntryLimits(1_000_000, 16_384)
SETTINGS = NodeSettings("n1", "r", "d", "127.0.0.1", "", (b"fleet secret",))


async def _wait_until(condition) -> None:
    for _ in range(10_000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError("condition did not become true in time")


async def _is_closed_after(data: bytes, after_ms: float) -> bool:
    clock = ManualClock()
    node = Node(SETTINGS, clock, None)
    async with entry_server(node.entry, LIMITS, "127.0.0.1", 0) as port:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        await _wait_until(lambda: len(node.entry._exchange_by_connection) == 1)
        await _wait_until(lambda: node.entry.n_open == data.count(b"\r\n\r\n"))
        node.entry.tick()
        clock.advance(after_ms)
        node.entry.tick()
        node.metrics.flush()
        is_closed = node.metrics.totals_by_name["caller_slow"] == 1
        if is_closed:
            with suppress(ConnectionResetError):
                assert await reader.read() == b""
        writer.close()
    return is_closed


async def test_idle_connection_is_closed_after_its_time():
    assert not await _is_closed_after(b"", IDLE_TIMEOUT_MS - SWEEP_INTERVAL_MS)
    assert await _is_closed_after(b"", IDLE_TIMEOUT_MS + SWEEP_INTERVAL_MS)


async def test_slow_head_is_closed_after_the_idle_time():
    assert await _is_closed_after(b"GET / HTT", IDLE_TIMEOUT_MS + SWEEP_INTERVAL_MS)


async def test_slow_body_is_closed_after_its_time():
    head = b"POST /a/b HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc"
    assert not await _is_closed_after(head, BODY_TIMEOUT_MS - SWEEP_INTERVAL_MS)
    assert await _is_closed_after(head, BODY_TIMEOUT_MS + SWEEP_INTERVAL_MS)
