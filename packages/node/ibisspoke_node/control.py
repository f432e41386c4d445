"""Control messages between nodes: unary gRPC calls, authenticated by fleet secrets."""

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from enum import StrEnum
from typing import Any, Generic, NamedTuple, TypeVar, cast

import msgspec
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server, Stream
from result import Err, Ok, Result

from ._codec import AuthenticatedCodec, MessageAuthError

SERVICE_PREFIX = "/ibisspoke.Control/"
MAX_CACHED_CHANNELS = 64

logger = logging.getLogger(__name__)

Q = TypeVar("Q")
A = TypeVar("A")


class ControlErrorKind(StrEnum):
    """Why a control call failed."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    REJECTED = "rejected"


class ControlError(NamedTuple):
    """A control call that failed; the peer may have handled it nevertheless."""

    kind: ControlErrorKind
    detail: str
    remedy: str


class Method(NamedTuple, Generic[Q, A]):
    """One control method.

    :param name: unique within the protocol of the fleet.
    :param request_type: a ``NamedTuple`` class.
    :param reply_type: a ``NamedTuple`` class.
    """

    name: str
    request_type: type[Q]
    reply_type: type[A]

    @property
    def route(self) -> str:
        """The gRPC path of the method."""
        return SERVICE_PREFIX + self.name


class ControlService:
    """Handlers of the control methods that this node serves."""

    def __init__(self) -> None:
        self._handlers_by_route: dict[str, Handler] = {}

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by route, as grpclib requires."""
        return self._handlers_by_route

    def register(
        self, method: Method[Q, A], handle: Callable[[Q], Awaitable[A]]
    ) -> None:
        """Serve ``method`` with ``handle``."""

        async def serve(stream: Stream[Q, A]) -> None:
            try:
                request = await stream.recv_message()
            except (MessageAuthError, msgspec.DecodeError) as error:
                raise GRPCError(Status.UNAUTHENTICATED, str(error)) from None
            if request is None:
                raise GRPCError(Status.INVALID_ARGUMENT, "the call carries no message")
            await stream.send_message(await handle(request))

        self._handlers_by_route[method.route] = Handler(
            serve, Cardinality.UNARY_UNARY, method.request_type, method.reply_type
        )


@asynccontextmanager
async def control_server(
    service: ControlService, secrets: tuple[bytes, ...], host: str, port: int
) -> AsyncIterator[int]:
    """Serve control methods while the context is open.

    :returns: the port in use; if ``port`` is 0, the one that the kernel chose.
    """
    server = Server([service], codec=AuthenticatedCodec(secrets))
    await server.start(host, port)
    asyncio_server = cast(Any, server)._server
    try:
        yield int(asyncio_server.sockets[0].getsockname()[1])
    finally:
        server.close()
        await server.wait_closed()


class ControlClient:
    """Call control methods of other nodes over cached channels.

    :param secrets: fleet secrets; the first authenticates sent messages, all are
        accepted.
    """

    def __init__(self, secrets: tuple[bytes, ...]) -> None:
        self._secrets = secrets
        self._channels_by_address: dict[tuple[str, int], Channel] = {}

    def __repr__(self) -> str:
        return f"ControlClient({len(self._channels_by_address)} channels)"

    async def call(
        self,
        host: str,
        port: int,
        method: Method[Q, A],
        request: Q,
        timeout_ms: float,
    ) -> Result[A, ControlError]:
        """Send ``request`` and wait for its reply."""
        channel = self._channel(host, port)
        unary: UnaryUnaryMethod[Q, A] = UnaryUnaryMethod(
            channel, method.route, method.request_type, method.reply_type
        )
        try:
            return Ok(await unary(request, timeout=timeout_ms / 1000.0))
        except TimeoutError:
            return Err(_timeout(host, port, timeout_ms))
        except (GRPCError, MessageAuthError, msgspec.DecodeError) as error:
            return Err(_rejected(host, port, error))
        except (OSError, StreamTerminatedError, ProtocolError) as error:
            self._discard_channel(host, port)
            return Err(_unreachable(host, port, error))

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels_by_address.values():
            channel.close()
        self._channels_by_address.clear()

    def _channel(self, host: str, port: int) -> Channel:
        address = (host, port)
        channel = self._channels_by_address.pop(address, None)
        if channel is None:
            channel = Channel(host, port, codec=AuthenticatedCodec(self._secrets))
        self._channels_by_address[address] = channel
        if len(self._channels_by_address) > MAX_CACHED_CHANNELS:
            oldest = next(iter(self._channels_by_address))
            self._channels_by_address.pop(oldest).close()
        return channel

    def _discard_channel(self, host: str, port: int) -> None:
        channel = self._channels_by_address.pop((host, port), None)
        if channel is not None:
            channel.close()


@asynccontextmanager
async def control_client(secrets: tuple[bytes, ...]) -> AsyncIterator[ControlClient]:
    """Yield a client and close its channels at the end."""
    client = ControlClient(secrets)
    try:
        yield client
    finally:
        client.close()
        await asyncio.sleep(0)


def _timeout(host: str, port: int, timeout_ms: float) -> ControlError:
    return ControlError(
        ControlErrorKind.TIMEOUT,
        f"{host}:{port} did not reply within {timeout_ms:.0f} ms",
        "try another node; check the network between the VMs",
    )


def _rejected(host: str, port: int, error: Exception) -> ControlError:
    return ControlError(
        ControlErrorKind.REJECTED,
        f"{host}:{port} rejected the message: {error}",
        "check that both nodes run the same release and fleet secret",
    )


def _unreachable(host: str, port: int, error: Exception) -> ControlError:
    return ControlError(
        ControlErrorKind.UNREACHABLE,
        f"{host}:{port} cannot be reached: {error}",
        "try another node; check that the process runs",
    )
