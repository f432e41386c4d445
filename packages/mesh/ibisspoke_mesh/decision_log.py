"""Structured logs of decisions, bounded by kind, that never block."""

import logging
import os
from typing import Any

from pythonjsonlogger.msgspec import MsgspecFormatter

from ibisspoke_policy.clock import Clock

LINES_PER_S = 4.0  # of one kind; a burst of failures must not cost the call path
BURST_LINES = 12.0
SUMMARY_MS = 5_000.0

logger = logging.getLogger("ibisspoke")


class PipeHandler(logging.Handler):
    """Write lines to a descriptor without waiting, and count those that are lost."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self.n_lost = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as lost where the reader is slow."""
        line = (self.format(record) + "\n").encode()
        try:
            n_written = os.write(self._descriptor, line)
        except OSError:  # a full or closed pipe: the count is in the metrics
            self.n_lost += 1
            return
        if n_written < len(line):
            self.n_lost += 1


def line_formatter(node_id: str) -> logging.Formatter:
    """Return the format of a node's lines."""
    return MsgspecFormatter(
        "%(levelname)s %(message)s",
        static_fields={"node": node_id},
        rename_fields={"levelname": "level", "message": "event"},
    )


def configure_logging(node_id: str) -> PipeHandler:
    """Send JSON lines to standard output."""
    handler = PipeHandler(1)
    handler.setFormatter(line_formatter(node_id))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    return handler


class _Budget:
    __slots__ = ("filled_ms", "level", "n_left_out")

    def __init__(self, now_ms: float) -> None:
        self.level = BURST_LINES
        self.filled_ms = now_ms
        self.n_left_out = 0


class DecisionLog:
    """One line for each decision, up to a rate by kind.

    What is left out is counted, and a line tells the counts.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._budgets_by_event: dict[str, _Budget] = {}
        self._summary_ms = clock.now_ms()

    def __repr__(self) -> str:
        return f"DecisionLog(n_events={len(self._budgets_by_event)})"

    def write(self, event: str, **fields: Any) -> None:
        """Write a line, unless ``event`` has used up its rate."""
        now_ms = self._clock.now_ms()
        budget = self._budgets_by_event.get(event)
        if budget is None:
            budget = self._budgets_by_event[event] = _Budget(now_ms)
        elapsed_s = (now_ms - budget.filled_ms) / 1000.0
        budget.level = min(BURST_LINES, budget.level + elapsed_s * LINES_PER_S)
        budget.filled_ms = now_ms
        if budget.level < 1.0:
            budget.n_left_out += 1
            return
        budget.level -= 1.0
        logger.info(event, extra={"at_ms": int(self._clock.wall_ms()), **fields})

    def tick(self) -> None:
        """Tell from time to time how many lines were left out."""
        now_ms = self._clock.now_ms()
        if now_ms - self._summary_ms < SUMMARY_MS:
            return
        self._summary_ms = now_ms
        n_by_event = {}
        for event, budget in self._budgets_by_event.items():
            if budget.n_left_out:
                n_by_event[event] = budget.n_left_out
                budget.n_left_out = 0
        if n_by_event:
            logger.info("lines left out", extra={"n_by_event": n_by_event})
