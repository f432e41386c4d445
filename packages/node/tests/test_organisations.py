"""Keys, rate limits and slots of a running node with an in-memory platform."""

import asyncio
import json
from contextlib import AsyncExitStack, asynccontextmanager

from ibisspoke_node.node import running_node
from ibisspoke_node.organisations import PlatformStores
from ibisspoke_node.settings import NodeSettings
from ibisspoke_policy.catalogue import (
    EMPTY_CATALOGUE,
    Call,
    Importance,
    Key,
    Organisation,
    digest_key,
)
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.slot_lease import decode_row
from ibisspoke_standins.memory_store import MemoryStore
from ibisspoke_standins.upstream import UpstreamSettings, announce, running_upstream
from ibisspoke_storage.config_store import ChangeMetadata, ConfigStore

KEY = "lid-key"
CALL = Call("lids.look", "lids", "GET", "/lids", "lids", Importance.LOW, True)
CATALOGUE = EMPTY_CATALOGUE._replace(
    calls_by_id={CALL.id: CALL},
    organisations_by_id={"svea": Organisation("svea", 0.0, 4.0)},
    keys_by_digest={digest_key(KEY): Key(digest_key(KEY), "svea", "one", 0)},
    n_slots_by_data_centre={"svea-1": 1},
)
SETTINGS = NodeSettings("n1", "svealand", "svea-1", "127.0.0.1", "", (b"secret",))
REQUEST = f"GET /lids/lids HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n\r\n"


@asynccontextmanager
async def _running():
    store = MemoryStore()
    config = ConfigStore(store, store, Clock())
    await config.publish(EMPTY_CATALOGUE, CATALOGUE, ChangeMetadata("1", "me", "test"))
    async with AsyncExitStack() as stack:
        node = await stack.enter_async_context(
            running_node(SETTINGS, Clock(), stores=PlatformStores(store, store))
        )
        upstream = UpstreamSettings("lids")
        state, port = await stack.enter_async_context(running_upstream(upstream))
        await announce(node.ports.status, upstream, port)
        for _ in range(3):
            await node.organisations.quota.holder.step()
        yield node, config, state


async def _send(reader, writer):
    writer.write(REQUEST.encode())
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    length = int(head.split("content-length: ")[1].split("\r\n")[0])
    body = await reader.readexactly(length)
    return int(head.split(" ")[1]), body


async def test_a_withdrawn_key_stops_on_an_open_connection():
    async with _running() as (node, config, state):
        reader, writer = await asyncio.open_connection("127.0.0.1", node.ports.entry)
        assert (await _send(reader, writer))[0] == 200
        base = (await config.read_current_catalogue()).ok_value
        without = base._replace(keys_by_digest={})
        await config.publish(base, without, ChangeMetadata("2", "me", "withdraw"))
        await node.organisations.config.poll()
        status, body = await _send(reader, writer)
        assert (status, json.loads(body)["kind"]) == (401, "unknown_key")
        assert len(state.seen_headers) == 1
        writer.close()


async def test_a_burst_is_spent_once_over_the_fleet():
    async with _running() as (node, _, state):
        reader, writer = await asyncio.open_connection("127.0.0.1", node.ports.entry)
        statuses = [(await _send(reader, writer))[0] for _ in range(6)]
        assert statuses == [200, 200, 200, 200, 429, 429]
        assert len(state.seen_headers) == 4
        writer.close()


async def test_a_stopped_node_releases_its_slot():
    async with _running() as (node, config, _):
        holder = node.organisations.quota.holder
        assert len(holder.slots) == 1
    assert holder.slots == []
    rows = (await config._table.scan("quota/slot/")).ok_value
    assert [decode_row(row.value).holder for row in rows] == [""]
