"""Structured, non-blocking log of decisions, rate-limited by event."""

import logging
import os
from typing import Any

from pythonjsonlogger.msgspec import MsgspecFormatter

from ibisspoke_policy.clock import Clock

LINES_PER_S = 4.0  # per event; bounds the cost of logging in a burst of failures
BURST_LINES = 12.0
SUMMARY_INTERVAL_MS = 5_000.0

logger = logging.getLogger("ibisspoke")


class PipeHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking, and counts lost ones."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self.n_lost = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as lost if the pipe is full or closed."""
        line = (self.format(record) + "\n").encode()
        try:
            n_written = os.write(self._descriptor, line)
        except OSError:  # full or closed pipe; the count is in the metrics
            self.n_lost += 1
            return
        if n_written < len(line):
            self.n_lost += 1


def line_formatter(node_id: str) -> logging.Formatter:
    """Return the JSON formatter for the log lines of a node."""
    return MsgspecFormatter(
        "%(levelname)s %(message)s",
        static_fields={"node": node_id},
        rename_fields={"levelname": "level", "message": "event"},
    )


def configure_logging(node_id: str) -> PipeHandler:
    """Log JSON lines to standard output."""
    handler = PipeHandler(1)
    handler.setFormatter(line_formatter(node_id))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    return handler


class _TokenBucket:
    __slots__ = ("filled_ms", "level", "n_left_out")

    def __init__(self, now_ms: float) -> None:
        self.level = BURST_LINES
        self.filled_ms = now_ms
        self.n_left_out = 0


class DecisionLog:
    """Writes one line for each decision, up to a rate for each event.

    Lines beyond the rate are counted, and a summary line lists the counts.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buckets_by_event: dict[str, _TokenBucket] = {}
        self._summary_ms = clock.now_ms()

    def __repr__(self) -> str:
        return f"DecisionLog(n_events={len(self._buckets_by_event)})"

    def write(self, event: str, **fields: Any) -> None:
        """Write a line unless ``event`` has exceeded its rate."""
        now_ms = self._clock.now_ms()
        bucket = self._buckets_by_event.get(event)
        if bucket is None:
            bucket = self._buckets_by_event[event] = _TokenBucket(now_ms)
        elapsed_s = (now_ms - bucket.filled_ms) / 1000.0
        bucket.level = min(BURST_LINES, bucket.level + elapsed_s * LINES_PER_S)
        bucket.filled_ms = now_ms
        if bucket.level < 1.0:
            bucket.n_left_out += 1
            return
        bucket.level -= 1.0
        logger.info(event, extra={"at_ms": int(self._clock.wall_ms()), **fields})

    def tick(self) -> None:
        """Log from time to time how many lines were left out."""
        now_ms = self._clock.now_ms()
        if now_ms - self._summary_ms < SUMMARY_INTERVAL_MS:
            return
        self._summary_ms = now_ms
        n_by_event = {}
        for event, bucket in self._buckets_by_event.items():
            if bucket.n_left_out:
                n_by_event[event] = bucket.n_left_out
                bucket.n_left_out = 0
        if n_by_event:
            logger.info("lines left out", extra={"n_by_event": n_by_event})
