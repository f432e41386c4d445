"""Resolver that handles IP addresses without a thread."""

import ipaddress
import socket
from typing import Any

from tornado.netutil import DefaultLoopResolver


class IpResolver(DefaultLoopResolver):
    """Return IP addresses as they are; resolve names in the event loop's threads."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Return the addresses of ``host``."""
        try:
            version = ipaddress.ip_address(host).version
        except ValueError:
            return await super().resolve(host, port, family)
        if version == 4:
            return [(socket.AF_INET, (host, port))]
        return [(socket.AF_INET6, (host, port, 0, 0))]
