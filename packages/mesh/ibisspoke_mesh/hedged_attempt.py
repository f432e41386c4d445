"""An attempt that gets a second one beside it if its answer seems lost."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

from ibisspoke_policy.hedge_delay import HedgePlan

from ._request_progress import has_failed, preferred_outcome
from .frames import Outcome

Start = Callable[[], asyncio.Task[Outcome] | None]


class _SecondAttempt:
    """The second attempt, once it is made.

    :param start: starts it, or returns None if it may not be made.
    :param on_usable: called when it has a usable answer, until it is closed.
    """

    def __init__(self, start: Start, on_usable: Callable[[], None]) -> None:
        self.task: asyncio.Task[Outcome] | None = None
        self._start = start
        self._on_usable = on_usable
        self._is_closed = False

    def start(self) -> None:
        """Make the attempt, if it may be made."""
        self.task = self._start()
        if self.task is not None:
            self.task.add_done_callback(self._on_done)

    async def close(self) -> None:
        """Cancel the attempt if it is open, and wait until it has ended."""
        self._is_closed = True
        if self.task is not None and not self.task.done():
            self.task.cancel()
            await asyncio.wait([self.task])

    def _on_done(self, task: asyncio.Task[Outcome]) -> None:
        if self._is_closed or task.cancelled():
            return
        if not has_failed(task.result()):
            self._on_usable()


async def hedged(
    sent: Awaitable[Outcome],
    plan: HedgePlan,
    is_queueing: Callable[[], bool],
    start_second: Start,
) -> Outcome:
    """Return the first usable outcome of an attempt and a second one.

    The first attempt is cancelled only once the second one has a usable answer: until
    then its upstream may be at work, and the second one may fail.

    :param sent: the first attempt.
    :param is_queueing: whether the attempt may be waiting for a slot.
    :param start_second: starts another attempt, or returns None if it may not be made.
    """
    loop = asyncio.get_running_loop()
    time_limit = asyncio.timeout(None)
    first: Outcome | None = None

    def end_first() -> None:
        if first is None and not time_limit.expired():
            time_limit.reschedule(loop.time())

    async with _owned(_SecondAttempt(start_second, end_first)) as second:
        try:
            with _scheduled(second, plan, is_queueing):
                async with time_limit:
                    first = await sent
        except TimeoutError:
            if not time_limit.expired() or second.task is None:
                raise
            return second.task.result()
        if second.task is None or not has_failed(first):
            return first
        return preferred_outcome(first, await second.task)


@asynccontextmanager
async def _owned(second: _SecondAttempt) -> AsyncIterator[_SecondAttempt]:
    """Close the second attempt at the end."""
    try:
        yield second
    finally:
        await second.close()


@contextmanager
def _scheduled(
    second: _SecondAttempt, plan: HedgePlan, is_queueing: Callable[[], bool]
) -> Iterator[None]:
    """Start the second attempt by the plan, unless the context ends before."""
    loop = asyncio.get_running_loop()
    sent_s = loop.time()

    def check() -> None:
        if is_queueing():
            queued_s = sent_s + plan.queued_ms / 1000.0
            timers.append(loop.call_at(queued_s, second.start))
        else:
            second.start()

    timers = [loop.call_at(sent_s + plan.running_ms / 1000.0, check)]
    try:
        yield
    finally:
        for timer in timers:
            timer.cancel()
