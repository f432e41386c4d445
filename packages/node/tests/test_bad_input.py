"""Malformed input must not stop a node or leave a connection open."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest

from ibisspoke_node.frames import FrameKind, encode_frame
from ibisspoke_node.node import running_node
from ibisspoke_node.settings import NodeSettings
from ibisspoke_policy.catalogue import Call, Catalogue, Importance
from ibisspoke_policy.clock import Clock
from ibisspoke_standins.upstream import UpstreamSettings, announce, running_upstream

CALL = Call(
    "shop.echo",
    "shop",
    "POST",
    "/echo",
    "shop-team",
    Importance.NORMAL,
    True,
    is_open=True,
    max_body_bytes=100_000,
    open_rate_per_s=10_000.0,
    open_burst=10_000.0,
)
GOOD = b"POST /shop/echo HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
READ_TIMEOUT_S = 20.0
N_RANDOM = 40


@asynccontextmanager
async def running_shop():
    settings = NodeSettings(
        "n1", "svealand", "svealand-1", "127.0.0.1", "", (b"fleet secret",)
    )
    upstream_settings = UpstreamSettings("shop")
    async with (
        running_node(settings, Clock()) as node,
        running_upstream(upstream_settings) as (state, port),
    ):
        node.catalogue_in_force.adopt(Catalogue(1, {CALL.id: CALL}, {}, {}))
        await announce(node.ports.status, upstream_settings, port)
        yield node, state


async def send_and_read(port, data, half_close=True):
    """Send bytes and return everything received until the node closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        if half_close:
            writer.write_eof()
        return await asyncio.wait_for(reader.read(), READ_TIMEOUT_S)
    except (ConnectionError, BrokenPipeError):
        return b""
    finally:
        writer.close()


async def is_serving(node):
    """Return whether the node still answers a valid request."""
    closing = GOOD.replace(b"Host: x", b"Host: x\r\nConnection: close")
    answer = await send_and_read(node.ports.entry, closing, half_close=False)
    return answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"abc")


MALFORMED = {
    "no request line": b"\r\n\r\n",
    "one word": b"hello\r\n\r\n",
    "wrong version": GOOD.replace(b"HTTP/1.1", b"HTTP/9.9"),
    "no colon": GOOD.replace(b"Host: x", b"Host x"),
    "control bytes": GOOD.replace(b"Host: x", b"Host: \x00\x01"),
    "length is a word": GOOD.replace(b": 3", b": three"),
    "length is negative": GOOD.replace(b": 3", b": -3"),
    "two lengths": GOOD.replace(b"Host: x", b"Content-Length: 2"),
    "length and chunks": GOOD.replace(b"Host: x", b"Transfer-Encoding: chunked"),
    "bad chunk": GOOD.replace(b"Content-Length: 3", b"Transfer-Encoding: chunked"),
    "cut body": GOOD.replace(b": 3", b": 300"),
    "cut headers": GOOD[:40],
    "large headers": GOOD.replace(b"Host: x", b"A: " + b"x" * 100_000),
    "many headers": GOOD.replace(b"Host: x", b"\r\n".join([b"A: x"] * 20_000)),
    "tls": bytes.fromhex("16030100c8010000c4030300") + b"\x00" * 200,
}


@pytest.mark.parametrize("data", MALFORMED.values(), ids=MALFORMED.keys())
async def test_malformed_http_runs_nothing_and_stops_nothing(data):
    async with running_shop() as (node, state):
        answer = await send_and_read(node.ports.entry, data)
        assert not answer.startswith(b"HTTP/1.1 2")
        assert not state.n_runs_by_request
        assert await is_serving(node)
        assert node.budget.n_bytes == 0
        assert node.entry.n_open == 0


@pytest.mark.parametrize("n_bytes", [100_001, 20_000_000])
async def test_body_above_the_limit_is_refused_before_it_is_sent(n_bytes):
    async with running_shop() as (node, state):
        head = GOOD[: GOOD.index(b"\r\n\r\n") + 4].replace(b": 3", b": %d" % n_bytes)
        answer = await send_and_read(node.ports.entry, head, half_close=False)
        assert answer.startswith(b"HTTP/1.1 413")
        assert b"body_too_large" in answer
        assert not state.n_runs_by_request
        assert await is_serving(node)
        assert node.budget.n_bytes == 0


async def test_body_of_unknown_length_is_cut_off_at_the_limit():
    head = GOOD[: GOOD.index(b"\r\n\r\n") + 4]
    chunked = head.replace(b"Content-Length: 3", b"Transfer-Encoding: chunked")
    part = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
    async with running_shop() as (node, state):
        answer = await send_and_read(
            node.ports.entry, chunked + part * 5, half_close=False
        )
        assert b"body_too_large" in answer
        assert not state.n_runs_by_request
        assert await is_serving(node)
        assert node.budget.n_bytes == 0


@pytest.mark.parametrize("port_name", ["entry", "call", "control", "status"])
async def test_random_bytes_on_any_port(port_name):
    rng = random.Random(20261204)
    async with running_shop() as (node, state):
        port = getattr(node.ports, port_name)
        for _ in range(N_RANDOM):
            await send_and_read(port, rng.randbytes(rng.randrange(1, 2_000)))
        assert not state.n_runs_by_request
        assert await is_serving(node)
        assert node.budget.n_bytes == 0
        assert node.entry.n_open == 0


FRAMES = {
    "no proof": encode_frame(FrameKind.CALL, 1, b"\x00\x00\x00\x01\x90"),
    "cut frame": encode_frame(FrameKind.PROOF, 0, b"x" * 100)[:50],
    "wrong checksum": encode_frame(FrameKind.PROOF, 0, b"x" * 100)[:-1] + b"y",
    "bad proof": encode_frame(FrameKind.PROOF, 0, b"\x00\x00\x00\x01\x90"),
    "wrong proof": encode_frame(
        FrameKind.PROOF, 0, b"\x00\x00\x00\x09\x93\xa1n\xc4\x01x\xc4\x01y"
    ),
    "length lies": b"\xff\xff\xff\xff" + b"\x01" * 100,
    "unknown kind": encode_frame(FrameKind.PING, 0, b"").replace(b"\x09", b"\xee", 1),
}


@pytest.mark.parametrize("data", FRAMES.values(), ids=FRAMES.keys())
async def test_bad_frames_close_the_connection_and_run_nothing(data):
    async with running_shop() as (node, state):
        await send_and_read(
            node.ports.call, data, half_close=data == FRAMES["cut frame"]
        )
        assert not state.n_runs_by_request
        assert node.executor.n_open == 0
        assert await is_serving(node)


async def test_forged_internal_headers_reach_no_upstream():
    forged = GOOD.replace(
        b"Host: x",
        b"Host: x\r\nIbisspoke-Attempt: a\r\nIbisspoke-Not-Run: 1\r\n"
        b"X-Api-Key: secret\r\nCookie: secret\r\nConnection: close",
    )
    async with running_shop() as (node, state):
        answer = await send_and_read(node.ports.entry, forged, half_close=False)
        assert answer.startswith(b"HTTP/1.1 200")
        (seen,) = state.seen_headers
        assert "secret" not in str(seen)
        assert "Ibisspoke-Not-Run" not in seen
        assert seen["Ibisspoke-Attempt"] != "a"


async def test_forged_context_is_refused():
    forged = GOOD.replace(
        b"Host: x", b"Host: x\r\nIbisspoke-Context: QUFBQUFB\r\nConnection: close"
    )
    async with running_shop() as (node, state):
        answer = await send_and_read(node.ports.entry, forged, half_close=False)
        assert answer.startswith(b"HTTP/1.1 401")
        assert not state.n_runs_by_request
