"""Listeners and background tasks of a running node."""

import asyncio
import hashlib
import logging
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager

from .allocator import trim_after_peaks
from .caller_server import SOCKET_BUFFER_BYTES, CallerConnection
from .node import TICK_MS, Node
from .peer_link import NodeIncarnation
from .peer_server import PeerConnection
from .server_state import ServerState

BACKLOG_CONNECTIONS = 1_024  # callers open many connections at once after an outage

logger = logging.getLogger("ibisspoke")


@asynccontextmanager
async def running_node(node: Node) -> AsyncIterator[Node]:
    """Run a node while the context is open."""
    settings = node.settings
    loop = asyncio.get_running_loop()
    async with AsyncExitStack() as stack:
        host = settings.host
        await _listen_http(stack, node.server(node.readiness), settings.readiness)
        await _listen_http(
            stack, node.server(node.announcements), settings.announcements
        )
        await _listen_privately(stack, node)
        metrics = node.server(node.serve_metrics)
        await _listen_http(stack, metrics, (host, settings.metrics_port))
        peers = await loop.create_server(
            lambda: PeerConnection(node.calls),
            *settings.peers,
            backlog=BACKLOG_CONNECTIONS,
        )
        stack.callback(peers.close)
        transport, _ = await loop.create_datagram_endpoint(
            lambda: node.status, local_addr=(host, settings.status_port)
        )
        stack.callback(transport.close)
        await _listen_http(stack, node.callers, settings.callers)
        jobs: list[Callable[[], Awaitable[None]]] = [
            node.run_ticks,
            node.rows.publish_changes,
            node.rows.poll,
            node.follow_config,
            node.config_verifier.run,
            lambda: trim_after_peaks(node.memory),
        ]
        for job in jobs:
            task = asyncio.ensure_future(_supervised(job))
            stack.callback(task.cancel)
        stack.callback(node.close)
        logger.info(
            "node started",
            extra={"service": settings.service, "memory_mb": settings.memory_mb},
        )
        yield node


async def _listen_http(
    stack: AsyncExitStack, state: ServerState, address: tuple[str, int]
) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: CallerConnection(state),
        sock=_listening_socket(address),
        backlog=BACKLOG_CONNECTIONS,
    )
    stack.callback(server.close)


async def _listen_privately(stack: AsyncExitStack, node: Node) -> None:
    """Listen for heartbeats at an address that no earlier process has named."""
    host, port = private_host(node.process), node.settings.announcements[1]
    try:
        await _listen_http(stack, node.server(node.private_announcements), (host, port))
    except OSError as error:
        logger.warning("no private address", extra={"detail": str(error)})
    else:
        node.dispatcher.private_address = f"{host}:{port}"


def private_host(process: NodeIncarnation) -> str:
    """Return the loopback address of a process.

    Of two processes on one VM, 1 in 16 million pairs have the same.
    """
    name = f"{process.node} {process.incarnation}".encode()
    return ".".join(map(str, (127, *hashlib.blake2b(name, digest_size=3).digest())))


def _listening_socket(address: tuple[str, int]) -> socket.socket:
    """Return a bound socket, whose buffer sizes its connections inherit."""
    host = address[0]
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            listening.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        listening.setblocking(False)
        listening.bind(address)
    except OSError:
        listening.close()
        raise
    return listening


async def _supervised(job: Callable[[], Awaitable[None]]) -> None:
    """Run a background task, and restart it after an exception, which is logged."""
    while True:
        try:
            await job()
        except asyncio.CancelledError:
            raise
        except Exception:
            logger.exception("loop failed", extra={"job": repr(job)})
            await asyncio.sleep(TICK_MS / 1000.0)
