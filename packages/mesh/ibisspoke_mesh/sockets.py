"""Socket options that end silent connections."""

import asyncio
import socket

USER_TIMEOUT_MS = 1_200  # unacknowledged bytes; a few round trips of the slowest link
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

_TCP_OPTIONS = (
    (socket.TCP_NODELAY, 1),
    (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def watch_liveness(transport: asyncio.BaseTransport) -> None:
    """Make the kernel close a connection whose other end fell silent.

    Callers are on the same VM, so their connections need none of it.
    """
    shared: socket.socket | None = transport.get_extra_info("socket")
    if shared is None:
        return
    # uvloop makes a socket object for each call on the one that it gives out
    sock = socket.socket(fileno=shared.fileno())
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in _TCP_OPTIONS:
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
    finally:
        sock.detach()
