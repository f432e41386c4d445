"""Parsing of node addresses given in the settings."""

from typing import NamedTuple


class NodeAddress(NamedTuple):
    """Address of a node; ``host`` is an IP address."""

    host: str
    port: int


def parse_address(text: str) -> NodeAddress:
    """Parse an address of the form ``host:port``.

    :raises ValueError: if ``text`` is not such an address.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{text!r} is not an address; write it as host:port")
    return NodeAddress(host, int(port))
