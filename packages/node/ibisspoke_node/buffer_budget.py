"""Limit on the bytes of bodies that a process holds in memory."""

import asyncio
from collections import deque
from typing import NamedTuple


class _Waiter(NamedTuple):
    """A task that waits for bytes of the budget."""

    n_bytes: int
    granted: "asyncio.Future[None]"


class BufferBudget:
    """Limit the bytes of bodies that this process holds in memory.

    Answers have a separate budget, so that requests waiting for their answers can't
    prevent the answers from being read.

    :param max_bytes: the limit.
    :param answers: the budget for answers; None to use this one.
    """

    def __init__(self, max_bytes: int, answers: "BufferBudget | None" = None) -> None:
        self.max_bytes = max_bytes
        self.n_bytes = 0
        self.answers = answers or self
        self._waiters: deque[_Waiter] = deque()

    def __repr__(self) -> str:
        return f"BufferBudget({self.n_bytes} of {self.max_bytes} bytes)"

    def reserve(self, n_bytes: int) -> bool:
        """Reserve ``n_bytes`` if they fit, and return whether they do."""
        if self.n_bytes + n_bytes > self.max_bytes:
            return False
        self.n_bytes += n_bytes
        return True

    def hold(self, n_bytes: int) -> None:
        """Count ``n_bytes`` that are in memory already, even above the limit."""
        self.n_bytes += n_bytes

    async def wait_for(self, n_bytes: int) -> None:
        """Wait until ``n_bytes`` fit and reserve them, in order of arrival.

        More than the limit is granted when nothing else is held.
        """
        if not self._waiters and self._fits(n_bytes):
            self.n_bytes += n_bytes
            return
        waiter = _Waiter(n_bytes, asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        try:
            await waiter.granted
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise

    def release(self, n_bytes: int) -> None:
        """Release ``n_bytes`` and grant them to waiting tasks."""
        self.n_bytes -= n_bytes
        self._grant()

    def _fits(self, n_bytes: int) -> bool:
        return self.n_bytes == 0 or self.n_bytes + n_bytes <= self.max_bytes

    def _grant(self) -> None:
        while self._waiters and self._fits(self._waiters[0].n_bytes):
            waiter = self._waiters.popleft()
            if not waiter.granted.done():
                self.n_bytes += waiter.n_bytes
                waiter.granted.set_result(None)

    def _withdraw(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            self._grant()
        elif not waiter.granted.cancelled():
            self.release(waiter.n_bytes)
