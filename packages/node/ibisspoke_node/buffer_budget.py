"""Bound on the bytes of bodies that a process holds."""

import asyncio
from collections import deque
from typing import NamedTuple


class _Waiter(NamedTuple):
    """Somebody who waits for room."""

    n_bytes: int
    granted: "asyncio.Future[None]"


class BufferBudget:
    """Bound the bytes of bodies that this process holds.

    Answers have a budget of their own: requests that wait for their answers must not
    keep the answers out.

    :param max_bytes: the bound.
    :param answers: the budget of answers; the same one where there is none.
    """

    def __init__(self, max_bytes: int, answers: "BufferBudget | None" = None) -> None:
        self.max_bytes = max_bytes
        self.n_bytes = 0
        self.answers = answers or self
        self._waiters: deque[_Waiter] = deque()

    def __repr__(self) -> str:
        return f"BufferBudget({self.n_bytes} of {self.max_bytes} bytes)"

    def reserve(self, n_bytes: int) -> bool:
        """Take ``n_bytes`` if they fit."""
        if self.n_bytes + n_bytes > self.max_bytes:
            return False
        self.n_bytes += n_bytes
        return True

    def hold(self, n_bytes: int) -> None:
        """Take ``n_bytes`` that are here already."""
        self.n_bytes += n_bytes

    async def wait_for(self, n_bytes: int) -> None:
        """Take ``n_bytes`` when they fit, in order of arrival.

        More than the bound is taken alone.
        """
        if not self._waiters and self._fits(n_bytes):
            self.n_bytes += n_bytes
            return
        waiter = _Waiter(n_bytes, asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        try:
            await waiter.granted
        except asyncio.CancelledError:
            self._forget(waiter)
            raise

    def release(self, n_bytes: int) -> None:
        """Give ``n_bytes`` back."""
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

    def _forget(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            self._grant()
        elif not waiter.granted.cancelled():
            self.release(waiter.n_bytes)
