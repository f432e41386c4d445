"""Settings of the C library's allocator, so that freed memory returns to the system."""

import asyncio
import ctypes
from collections.abc import Callable
from typing import cast

from .memory_budget import MemoryBudget

_M_TRIM_THRESHOLD = -1  # of <malloc.h>
_M_MMAP_THRESHOLD = -3
# Blocks of this size are mapped one by one, and unmapped when they are freed. Without a
# fixed value, the library raises its own to the largest block that was freed, and
# bodies then share a heap whose end is held by whatever was allocated last.
MAPPED_BLOCK_BYTES = 128 * 1024
TRIM_BYTES = 16 * 1024 * 1024  # of freed memory, until the heap is worth a trim
TRIM_INTERVAL_S = 1.0


def _function(name: str) -> Callable[..., int] | None:
    """Return a function of the C library, or None where it has none of that name."""
    return cast(Callable[..., int] | None, getattr(ctypes.CDLL(None), name, None))


def map_large_blocks() -> None:
    """Let large blocks return to the system as soon as they are freed."""
    mallopt = _function("mallopt")
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
        mallopt(_M_TRIM_THRESHOLD, MAPPED_BLOCK_BYTES)


async def trim_after_peaks(memory: MemoryBudget) -> None:
    """Return free memory within the heap to the system after peaks, until cancelled."""
    trim = _function("malloc_trim")
    n_peak_bytes = 0
    while trim is not None:
        await asyncio.sleep(TRIM_INTERVAL_S)
        n_peak_bytes = max(n_peak_bytes, memory.n_held_bytes)
        if n_peak_bytes - memory.n_held_bytes >= TRIM_BYTES:
            n_peak_bytes = memory.n_held_bytes
            trim(0)
    await asyncio.Event().wait()
