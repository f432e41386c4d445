"""Membership messages between nodes in authenticated UDP datagrams."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import cast

import msgspec

from ibisspoke_policy.membership_messages import MembershipMessage

from ._codec import AuthenticatedCodec, MessageAuthError

Address = tuple[str, int]
Receive = Callable[[MembershipMessage, Address], None]

logger = logging.getLogger(__name__)


class DatagramSocket(asyncio.DatagramProtocol):
    """Send and receive membership messages; drop those from outside this fleet.

    :param secrets: fleet secrets; the first authenticates sent messages, all are
        accepted.
    """

    def __init__(self, secrets: tuple[bytes, ...]) -> None:
        self._codec = AuthenticatedCodec(secrets)
        self._receive: Receive | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self.n_sent_bytes = 0
        self.n_received_bytes = 0
        self.n_dropped = 0

    def __repr__(self) -> str:
        return f"DatagramSocket({self.n_sent_bytes} sent, {self.n_dropped} dropped)"

    def set_receiver(self, receive: Receive) -> None:
        """Call ``receive`` with each message and its source."""
        self._receive = receive

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Decode one datagram and pass its message on."""
        self.n_received_bytes += len(data)
        try:
            message = self._codec.decode(data, MembershipMessage)
        except (MessageAuthError, msgspec.DecodeError):
            self.n_dropped += 1
            return
        if self._receive is not None:
            self._receive(message, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore an ICMP error; the failure detector notices a peer that is silent."""
        logger.debug("datagram was not delivered", extra={"reason": str(exc)})

    def send(self, message: MembershipMessage, address: Address) -> int:
        """Send a message.

        :returns: its size in bytes.
        """
        data = self._codec.encode(message, MembershipMessage)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, address)
        self.n_sent_bytes += len(data)
        return len(data)


@asynccontextmanager
async def datagram_socket(
    secrets: tuple[bytes, ...], host: str, port: int
) -> AsyncIterator[tuple[DatagramSocket, int]]:
    """Yield a bound socket and close it at the end.

    :returns: the socket and the port in use; if ``port`` is 0, the one that the
        kernel chose.
    """
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.create_datagram_endpoint(
        lambda: DatagramSocket(secrets), local_addr=(host, port)
    )
    try:
        yield protocol, int(transport.get_extra_info("sockname")[1])
    finally:
        transport.close()
