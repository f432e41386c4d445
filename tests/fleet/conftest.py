"""Fleets for the tests of this folder."""

from collections.abc import AsyncIterator

import pytest
from fleet_harness import Fleet, running_fleet


@pytest.fixture
async def pair() -> AsyncIterator[Fleet]:
    """Two VMs of one service."""
    async with running_fleet(2) as fleet:
        yield fleet


@pytest.fixture
async def single() -> AsyncIterator[Fleet]:
    """One VM."""
    async with running_fleet(1) as fleet:
        yield fleet
