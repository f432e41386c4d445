"""Pool of connections to the nodes that this node sends calls to."""

import asyncio
import logging

from .buffer_budget import BufferBudget
from .client_link import ClientLink
from .frames import FrameError

CONNECT_TIMEOUT_MS = 1_000
PING_TIMEOUT_MS = 250

logger = logging.getLogger(__name__)


class LinkPool:
    """Keep one connection to each peer that calls are sent to."""

    def __init__(
        self, secrets: tuple[bytes, ...], budget: BufferBudget, node_id: str
    ) -> None:
        self._secrets = secrets
        self._budget = budget
        self._node_id = node_id
        self._link_by_address: dict[tuple[str, int], ClientLink] = {}
        self._opening_by_address: dict[
            tuple[str, int], asyncio.Task[ClientLink | None]
        ] = {}

    def __repr__(self) -> str:
        return f"LinkPool({len(self._link_by_address)} links)"

    def open_link(self, host: str, port: int) -> ClientLink | None:
        """Return the open connection to a peer, or None if there is none."""
        link = self._link_by_address.get((host, port))
        return link if link is not None and not link.closed else None

    async def connect(self, host: str, port: int) -> ClientLink | None:
        """Return a connection to a peer, or None when it cannot be reached."""
        link = self.open_link(host, port)
        if link is not None:
            return link
        address = (host, port)
        opening = self._opening_by_address.get(address)
        if opening is None:
            opening = asyncio.ensure_future(self._open(host, port))
            self._opening_by_address[address] = opening
            opening.add_done_callback(
                lambda _: self._opening_by_address.pop(address, None)
            )
        return await asyncio.shield(opening)

    async def verified_link(self, host: str, port: int) -> ClientLink | None:
        """Return a connection that recently received data or answered a ping."""
        link = self.open_link(host, port)
        if link is None:
            return await self.connect(host, port)
        if not link.is_quiet or await link.ping(PING_TIMEOUT_MS):
            return link
        if self.open_link(host, port) is link:
            self.discard(host, port)
        return await self.connect(host, port)

    def tick(self) -> None:
        """Check the connections for silent peers."""
        for link in list(self._link_by_address.values()):
            if not link.closed:
                link.tick()

    def discard(self, host: str, port: int) -> None:
        """Close the connection to a peer; its calls end as unknown."""
        link = self._link_by_address.pop((host, port), None)
        if link is not None:
            link.abort()

    def close(self) -> None:
        """Close all connections."""
        for opening in list(self._opening_by_address.values()):
            opening.cancel()
        for address in list(self._link_by_address):
            self.discard(*address)

    async def _open(self, host: str, port: int) -> ClientLink | None:
        loop = asyncio.get_running_loop()
        link = ClientLink(self._secrets, self._budget, self._node_id)
        connecting = loop.create_connection(lambda: link, host, port)
        try:
            await asyncio.wait_for(connecting, CONNECT_TIMEOUT_MS / 1000.0)
            await link.ready()
        except (OSError, FrameError, TimeoutError) as error:
            link.abort()
            logger.info(
                "node cannot be reached",
                extra={"host": host, "port": port, "reason": str(error)},
            )
            return None
        self._link_by_address[host, port] = link
        return link
