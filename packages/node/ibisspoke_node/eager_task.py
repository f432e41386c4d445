"""Tasks that run immediately up to their first wait, as eager tasks in Python 3.12."""

import asyncio
import logging
from asyncio import tasks
from collections.abc import Coroutine
from typing import Any

logger = logging.getLogger(__name__)


class EagerTask:
    """Run a coroutine; the constructor executes it up to its first wait.

    The task can be cancelled, and ``asyncio.current_task`` returns it inside the
    coroutine, so that ``asyncio.timeout`` works. It can't be awaited: the coroutine
    passes on its result itself.

    :param coroutine: the coroutine to run; its exceptions are logged.
    """

    def __init__(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._coroutine = coroutine
        self._loop = asyncio.get_running_loop()
        self._awaited: asyncio.Future[Any] | None = None
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
        """Raise ``CancelledError`` in the coroutine at its current wait."""
        if self._done:
            return False
        self._n_cancels += 1
        awaited = self._awaited
        if awaited is None or not awaited.cancel():
            self._must_cancel = True
        return True

    def cancelling(self) -> int:
        """Return the number of cancellations not undone by :meth:`uncancel`."""
        return self._n_cancels

    def uncancel(self) -> int:
        """Undo one cancellation and return how many are left."""
        self._n_cancels = max(0, self._n_cancels - 1)
        return self._n_cancels

    def _wake(self, waited: "asyncio.Future[Any] | None" = None) -> None:
        self._awaited = None
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
        self._awaited = awaited
        if self._must_cancel and awaited.cancel():
            self._must_cancel = False
