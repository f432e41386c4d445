"""Retries as a share of recent requests, by service."""

from collections import deque

BUCKET_MS = 500.0


class RetryWindow:
    """Allow retries while they stay below a share of the requests in a window.

    :param ratio: retries for each request.
    :param slack: retries in a window whatever the number of requests.
    :param window_ms: the length of the window.
    """

    def __init__(self, ratio: float, slack: float, window_ms: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms
        self._buckets_by_service: dict[str, deque[list[float]]] = {}

    def __repr__(self) -> str:
        return f"RetryWindow(ratio={self.ratio}, slack={self.slack:.1f})"

    def count_request(self, service: str, now_ms: float) -> None:
        """Count the first attempt of a request."""
        self._bucket(service, now_ms)[1] += 1

    def take(self, service: str, now_ms: float) -> bool:
        """Count a retry, unless that would exceed the share."""
        bucket = self._bucket(service, now_ms)
        buckets = self._buckets_by_service[service]
        n_requests = sum(entry[1] for entry in buckets)
        n_retries = sum(entry[2] for entry in buckets)
        if n_retries + 1 > self.ratio * n_requests + self.slack:
            return False
        bucket[2] += 1
        return True

    def _bucket(self, service: str, now_ms: float) -> list[float]:
        buckets = self._buckets_by_service.setdefault(service, deque())
        while buckets and buckets[0][0] <= now_ms - self.window_ms:
            buckets.popleft()
        start_ms = now_ms - now_ms % BUCKET_MS
        if not buckets or buckets[-1][0] != start_ms:
            buckets.append([start_ms, 0.0, 0.0])
        return buckets[-1]
