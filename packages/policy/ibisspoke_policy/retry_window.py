"""Limits on retries as a share of recent requests, by service."""

from collections import deque

BUCKET_MS = 500.0
RESEND_RATIO_SHARE = 0.4  # of the configured ratio, for requests that did not run
RERUN_RATIO_SHARE = 0.15  # less, as a rerun repeats nested calls, up to 3 deep
RESEND_SLACK_SHARE = 0.6
RERUN_SLACK_SHARE = 0.1


class RetryWindow:
    """Allow retries while they stay below a share of the requests in a window.

    :param ratio: retries allowed per request.
    :param slack: retries allowed in a window regardless of the number of requests.
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

    def try_acquire(self, service: str, now_ms: float) -> bool:
        """Count a retry, unless that would exceed the share."""
        if self.available(service, now_ms) < 1.0:
            return False
        self._bucket(service, now_ms)[2] += 1
        return True

    def available(self, service: str, now_ms: float) -> float:
        """Return how many retries are allowed now."""
        self._bucket(service, now_ms)
        buckets = self._buckets_by_service[service]
        n_requests = sum(entry[1] for entry in buckets)
        n_retries = sum(entry[2] for entry in buckets)
        return self.ratio * n_requests + self.slack - n_retries

    def _bucket(self, service: str, now_ms: float) -> list[float]:
        buckets = self._buckets_by_service.setdefault(service, deque())
        while buckets and buckets[0][0] <= now_ms - self.window_ms:
            buckets.popleft()
        start_ms = now_ms - now_ms % BUCKET_MS
        if not buckets or buckets[-1][0] != start_ms:
            buckets.append([start_ms, 0.0, 0.0])
        return buckets[-1]


class RetryBudget:
    """The share of one node in the retries that all nodes together may make.

    Resending a request that did not run adds one request. Rerunning a request repeats
    all its nested calls too, so reruns get a smaller part.

    :param window_ms: length of the window in which retries are counted.
    """

    def __init__(self, window_ms: float) -> None:
        self._resends = RetryWindow(0.0, 0.0, window_ms)
        self._reruns = RetryWindow(0.0, 0.0, window_ms)

    def __repr__(self) -> str:
        return f"RetryBudget(resends={self._resends}, reruns={self._reruns})"

    def configure(self, ratio: float, slack: float, n_nodes: int) -> None:
        """Apply the ratio and slack of the whole fleet."""
        self._resends.ratio = ratio * RESEND_RATIO_SHARE
        self._resends.slack = slack / n_nodes * RESEND_SLACK_SHARE
        self._reruns.ratio = ratio * RERUN_RATIO_SHARE
        self._reruns.slack = slack / n_nodes * RERUN_SLACK_SHARE

    def count_request(self, service: str, now_ms: float) -> None:
        """Count the first attempt of a request."""
        self._resends.count_request(service, now_ms)
        self._reruns.count_request(service, now_ms)

    def available(self, service: str, now_ms: float) -> float:
        """Return how many requests that did not run may be resent now."""
        return self._resends.available(service, now_ms)

    def try_acquire(self, service: str, has_run: bool, now_ms: float) -> bool:
        """Count a retry, unless that would exceed the share."""
        window = self._reruns if has_run else self._resends
        return window.try_acquire(service, now_ms)
