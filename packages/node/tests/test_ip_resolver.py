"""Tests of the resolution of IP addresses and host names."""

import socket
import threading

import pytest

from ibisspoke_node.ip_resolver import IpResolver


@pytest.mark.parametrize(
    ("host", "expected"),
    [
        ("10.0.0.5", (socket.AF_INET, ("10.0.0.5", 80))),
        ("::1", (socket.AF_INET6, ("::1", 80, 0, 0))),
    ],
)
async def test_ip_address_is_resolved_without_a_thread(host, expected):
    n_threads = threading.active_count()
    assert await IpResolver().resolve(host, 80) == [expected]
    assert threading.active_count() == n_threads


async def test_name_is_looked_up():
    addresses = await IpResolver().resolve("localhost", 80)
    assert ("127.0.0.1", 80) in [address for _, address in addresses]
