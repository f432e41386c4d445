"""Queue of requests of one organisation that wait for a token."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable

from ibisspoke_policy.local_tokens import LocalTokens

# More requests without a token at the end of a round mean overload, unless the round
# served even more.
MAX_UNSERVED_REQUESTS = 8

SlotQuery = Callable[[str], AsyncIterator[None]]


class TokenQueue:
    """Query other nodes once per round on behalf of all waiting requests.

    A request is refused after two full rounds, or after one under overload.

    :param query_slots: queries other nodes and yields whenever tokens may have arrived.
    :param refuse: refuses further requests for some time.
    :param return_surplus: returns tokens that no request waits for.
    """

    def __init__(
        self,
        organisation: str,
        tokens: LocalTokens,
        query_slots: SlotQuery,
        refuse: Callable[[str], None],
        return_surplus: Callable[[str], None],
    ) -> None:
        self._organisation = organisation
        self._tokens = tokens
        self._query_slots = query_slots
        self._refuse = refuse
        self._return_surplus = return_surplus
        self._n_served = 0
        self._n_waited_one_round = 0
        self._waiting: deque[asyncio.Future[bool]] = deque()
        self._task: asyncio.Task[None] | None = None

    def __repr__(self) -> str:
        return f"TokenQueue({self._organisation!r}, {len(self._waiting)} waiting)"

    async def wait(self, within_ms: float) -> bool:
        """Return whether a token was spent for this request."""
        waiter: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        self._tokens.add_waiting(self._organisation, 1)
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._run())
        try:
            async with asyncio.timeout(within_ms / 1000.0):
                return await waiter
        except TimeoutError:
            return False
        finally:
            self._tokens.add_waiting(self._organisation, -1)
            self._return_surplus(self._organisation)

    async def _run(self) -> None:
        try:
            while self._waiting:
                n_before = len(self._waiting)
                n_served = await self._run_round()
                n_unserved = max(0, n_before - n_served)
                self._end_round(n_unserved, self._is_overloaded(n_served, n_unserved))
        finally:
            while self._waiting:
                self._resolve_first(False)

    def _is_overloaded(self, n_served: int, n_unserved: int) -> bool:
        if n_unserved > max(n_served, MAX_UNSERVED_REQUESTS):
            return True
        return n_served == 0 and self._tokens.is_overloaded(self._organisation)

    def _end_round(self, n_unserved: int, overloaded: bool) -> None:
        """Refuse the requests that waited for the maximum time, oldest first."""
        n_waited_twice = (
            n_unserved if overloaded else min(n_unserved, self._n_waited_one_round)
        )
        for _ in range(n_waited_twice):
            self._resolve_first(False)
        if n_waited_twice:
            self._refuse(self._organisation)
        self._n_waited_one_round = n_unserved - n_waited_twice

    async def _run_round(self) -> int:
        self._n_served = 0
        async for _ in self._query_slots(self._organisation):
            self.serve()
            if not self._waiting:
                self._tokens.record_queue_served(self._organisation)
                break
        self._n_waited_one_round = max(0, self._n_waited_one_round - self._n_served)
        return self._n_served

    def serve(self) -> None:
        """Grant available tokens to the waiting requests, oldest first."""
        while self._waiting:
            if self._waiting[0].done():
                self._waiting.popleft()
            elif self._tokens.take_for_waiting(self._organisation):
                self._resolve_first(True)
            else:
                break
            self._n_served += 1

    def _resolve_first(self, granted: bool) -> None:
        if self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(granted)
