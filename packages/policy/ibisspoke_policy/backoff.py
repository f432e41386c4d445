"""Limits on requests to the platform: backoff with jitter, and a request budget."""

import random

from .quota import TokenBucket

FIRST_DELAY_MS = 1_000.0
MAX_DELAY_MS = 60_000.0


class Backoff:
    """Exponential backoff with random jitter.

    :param rng: source of the jitter.
    """

    def __init__(
        self,
        rng: random.Random,
        first_ms: float = FIRST_DELAY_MS,
        max_ms: float = MAX_DELAY_MS,
    ) -> None:
        self._rng = rng
        self._first_ms = first_ms
        self._max_ms = max_ms
        self.n_failures = 0

    def __repr__(self) -> str:
        return f"Backoff({self.n_failures} failures)"

    def succeeded(self) -> None:
        """Reset the delay to the first one."""
        self.n_failures = 0

    def next_delay_ms(self) -> float:
        """Count a failure and return the delay before the next try."""
        ceiling = min(self._max_ms, self._first_ms * 2.0**self.n_failures)
        self.n_failures = min(self.n_failures + 1, 32)
        return ceiling * (0.5 + self._rng.random() / 2.0)

    def jittered_ms(self, interval_ms: float) -> float:
        """Return ``interval_ms`` with a random jitter of up to 25 % either way."""
        return interval_ms * (0.75 + self._rng.random() / 2.0)


class RequestBudget:
    """Limit the rate of requests of one node to the platform.

    :param rate_per_s: requests per second.
    :param burst: requests that may be sent at once.
    """

    def __init__(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        self._bucket = TokenBucket(rate_per_s, burst, now_ms, burst)

    def __repr__(self) -> str:
        return f"RequestBudget({self._bucket!r})"

    def take(self, now_ms: float) -> bool:
        """Return whether one more request may be sent now."""
        return self._bucket.take(1.0, now_ms)
