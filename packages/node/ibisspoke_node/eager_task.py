"""Tasks that run up to their first wait at once, without a turn of the event loop."""

import asyncio
import logging
from asyncio import tasks
from collections.abc import Coroutine
from typing import Any

logger = logging.getLogger(__name__)


class EagerTask:
    """Run a coroutine, whose first step is taken by the constructor.

    It can be cancelled and is what ``asyncio.current_task`` returns inside, so that
    ``asyncio.timeout`` works. Nothing can await it: the coroutine hands its result on.

    :param coroutine: what is run; its exceptions are logged.
    """

    def __init__(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._coroutine = coroutine
        self._loop = asyncio.get_running_loop()
        self._waits_for: asyncio.Future[Any] | None = None
        self._n_cancels = 0
        self._must_cancel = False
        self._done = False
        self._step()

    def __repr__(self) -> str:
        state = "done" if self._done else "pending"
        name = getattr(self._coroutine, "__qualname__", "coroutine")
        return f"EagerTask({name}, {state})"

    def done(self) -> bool:
        """Return whether the coroutine has ended."""
        return self._done

    def get_loop(self) -> asyncio.AbstractEventLoop:
        """Return the event loop that the coroutine runs in."""
        return self._loop

    def cancel(self, msg: Any = None) -> bool:
        """Raise ``CancelledError`` in the coroutine at its present wait."""
        if self._done:
            return False
        self._n_cancels += 1
        waits_for = self._waits_for
        if waits_for is None or not waits_for.cancel():
            self._must_cancel = True
        return True

    def cancelling(self) -> int:
        """Return the number of cancellations that were not taken back."""
        return self._n_cancels

    def uncancel(self) -> int:
        """Take back one cancellation and return how many are left."""
        self._n_cancels = max(0, self._n_cancels - 1)
        return self._n_cancels

    def _wake(self, waited: "asyncio.Future[Any] | None" = None) -> None:
        self._waits_for = None
        self._step()

    def _step(self) -> None:
        outer = asyncio.current_task(self._loop)
        if outer is not None:
            tasks._leave_task(self._loop, outer)
        tasks._enter_task(self._loop, self)  # type: ignore[arg-type]
        try:
            self._resume()
        finally:
            tasks._leave_task(self._loop, self)  # type: ignore[arg-type]
            if outer is not None:
                tasks._enter_task(self._loop, outer)

    def _resume(self) -> None:
        try:
            if self._must_cancel:
                self._must_cancel = False
                awaited = self._coroutine.throw(asyncio.CancelledError())
            else:
                awaited = self._coroutine.send(None)
        except (StopIteration, asyncio.CancelledError):
            self._done = True
        except Exception:
            self._done = True
            logger.exception("task failed", extra={"task": repr(self)})
        else:
            self._wait_for(awaited)

    def _wait_for(self, awaited: "asyncio.Future[Any] | None") -> None:
        if awaited is None:
            self._loop.call_soon(self._wake)
            return
        awaited._asyncio_future_blocking = False
        awaited.add_done_callback(self._wake)
        self._waits_for = awaited
        if self._must_cancel and awaited.cancel():
            self._must_cancel = False
