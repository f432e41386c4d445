"""Record of what a script sent, what was answered and what ran."""

import time
from pathlib import Path


class Record:
    """Writes one line for each event, with the time since the start in seconds.

    :param path: the file; an earlier one is replaced.
    """

    def __init__(self, path: Path) -> None:
        self._started_s = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_s

    def write(self, event: str, **fields: object) -> None:
        """Write an event."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
