"""Fixtures with running fleets."""

from collections.abc import AsyncIterator

import pytest
from fleet_harness import Fleet, running_fleet


@pytest.fixture
async def pair() -> AsyncIterator[Fleet]:
    """A fleet of two VMs with the same service."""
    async with running_fleet(2) as fleet:
        yield fleet


@pytest.fixture
async def single() -> AsyncIterator[Fleet]:
    """A fleet of one VM."""
    async with running_fleet(1) as fleet:
        yield fleet
