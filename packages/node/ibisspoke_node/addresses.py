"""Addresses of nodes as settings name them."""

from typing import NamedTuple


class NodeAddress(NamedTuple):
    """Where a node answers; ``host`` is an IP number."""

    host: str
    port: int


def parse_address(text: str) -> NodeAddress:
    """Return the address in ``host:port``.

    :raises ValueError: when ``text`` is no address.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{text!r} is no address; write it as host:port")
    return NodeAddress(host, int(port))
