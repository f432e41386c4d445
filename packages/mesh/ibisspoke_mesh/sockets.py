"""Socket options that close dead connections."""

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Iterator
from contextlib import contextmanager

# Of data that the peer's kernel has not taken, also while its program does not read;
# some round trips of the slowest link.
USER_TIMEOUT_MS = 1_200
NO_USER_TIMEOUT = 0
RECEIVE_WINDOW_BYTES = 16 * 1024  # that any peer's kernel takes of what is not read
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
CLOSING_S = 0.01  # until a closed transport has freed what it held

_TCP_OPTIONS = (
    (socket.TCP_NODELAY, 1),
    (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def enable_liveness_checks(transport: asyncio.BaseTransport) -> None:
    """Let the kernel close the connection when its peer stops responding.

    Connections of callers do not need this, since callers run on the same VM.
    """
    with _real_socket(transport) as sock:
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            for option, value in _TCP_OPTIONS:
                sock.setsockopt(socket.IPPROTO_TCP, option, value)


def set_user_timeout(transport: asyncio.BaseTransport, timeout_ms: int) -> None:
    """Set how long the kernel keeps data that the peer's kernel does not take.

    :param timeout_ms: 0 for the default of the operating system, which is minutes.
    """
    with _real_socket(transport) as sock:
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


@contextmanager
def _real_socket(transport: asyncio.BaseTransport) -> Iterator[socket.socket | None]:
    """Yield the socket of a transport; None if it has been closed.

    The pseudo-sockets of uvloop create a real socket object for each call.
    """
    shared: socket.socket | None = transport.get_extra_info("socket")
    if shared is None or shared.fileno() < 0:
        yield None
        return
    sock = socket.socket(fileno=shared.fileno())
    try:
        yield sock
    finally:
        sock.detach()


def n_unacknowledged_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Return how much of what was written the peer's kernel has not received yet.

    :returns: None if the operating system does not tell.
    """
    shared: socket.socket | None = transport.get_extra_info("socket")
    if shared is None or shared.fileno() < 0:
        return None
    buffer = struct.pack("i", 0)
    try:  # on a socket, the size of the send queue in bytes
        result = fcntl.ioctl(shared.fileno(), termios.TIOCOUTQ, buffer)
    except OSError:
        return None
    (n_bytes,) = struct.unpack("i", result)
    return int(n_bytes)


def pause_reading(transport: asyncio.Transport | None) -> None:
    """Read nothing from a connection until others that were closed are free."""
    if transport is None or transport.is_closing() or not transport.is_reading():
        return
    transport.pause_reading()
    asyncio.get_running_loop().call_later(CLOSING_S, _resume_reading, transport)


def _resume_reading(transport: asyncio.Transport) -> None:
    if not transport.is_closing():
        transport.resume_reading()
