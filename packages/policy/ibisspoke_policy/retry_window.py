"""Limits on retries as a share of recent requests, by service."""

from collections import deque

BUCKET_MS = 500.0
# Of the configured retries, for those that add one arrival: of requests that did not
# run, or whose route is known to make no calls.
RESEND_SHARE = 0.68
RERUN_SHARE = 0.08  # less, as a rerun repeats nested calls, up to 3 deep
# Share of the retries that is left to the most urgent requests, as a multiple of their
# share of the requests.
URGENT_RESERVE_FACTOR = 2.0
# The same for reruns of requests that make no calls. Up to 5 in 100 answers are lost.
# This leaves the urgent ones 10 retries for 100 of their requests at a ratio of 0.2; a
# larger reserve would stay unused while whole trees fail for want of one answer.
LEAF_RESERVE_FACTOR = 0.75


class _Bucket:
    """Counts of a short time."""

    __slots__ = ("n_requests", "n_retries", "n_urgent", "start_ms")

    def __init__(self, start_ms: float) -> None:
        self.start_ms = start_ms
        self.n_requests = 0
        self.n_urgent = 0
        self.n_retries = 0


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
        self._buckets_by_service: dict[str, deque[_Bucket]] = {}

    def __repr__(self) -> str:
        return f"RetryWindow(ratio={self.ratio}, slack={self.slack:.1f})"

    def count_request(self, service: str, now_ms: float) -> None:
        """Count the first attempt of a request."""
        self._bucket(service, now_ms).n_requests += 1

    def count_urgent(self, service: str, now_ms: float) -> None:
        """Count a request, counted before, as one of the most urgent ones."""
        self._bucket(service, now_ms).n_urgent += 1

    def try_acquire(
        self,
        service: str,
        is_urgent: bool,
        now_ms: float,
        reserve_factor: float = URGENT_RESERVE_FACTOR,
    ) -> bool:
        """Count a retry, unless that would exceed the share.

        Requests that are not urgent leave a part of the share to those that are.

        :param reserve_factor: that part, as a multiple of the share of urgent requests.
        """
        if self.available(service, now_ms, is_urgent, reserve_factor) < 1.0:
            return False
        self._bucket(service, now_ms).n_retries += 1
        return True

    def available(
        self,
        service: str,
        now_ms: float,
        is_urgent: bool = True,
        reserve_factor: float = URGENT_RESERVE_FACTOR,
    ) -> float:
        """Return how many retries are allowed now."""
        self._bucket(service, now_ms)
        n_requests = n_urgent = n_retries = 0
        window_start_ms = now_ms - self.window_ms
        for bucket in self._buckets_by_service[service]:
            n_retries += bucket.n_retries
            if bucket.start_ms > window_start_ms:
                n_requests += bucket.n_requests
                n_urgent += bucket.n_urgent
        allowed = self.ratio * n_requests + self.slack
        if not is_urgent and n_requests:
            allowed *= 1.0 - min(1.0, reserve_factor * n_urgent / n_requests)
        return allowed - n_retries

    def _bucket(self, service: str, now_ms: float) -> _Bucket:
        buckets = self._buckets_by_service.setdefault(service, deque())
        while buckets and buckets[0].start_ms <= now_ms - self.window_ms - BUCKET_MS:
            buckets.popleft()
        start_ms = now_ms - now_ms % BUCKET_MS
        if not buckets or buckets[-1].start_ms != start_ms:
            buckets.append(_Bucket(start_ms))
        return buckets[-1]


class RetryBudget:
    """The share of one node in the retries that all nodes together may make.

    Resending a request that did not run adds one request, and so does rerunning one
    that makes no calls: both are taken from the larger part. Rerunning any other
    repeats all its nested calls too, so these reruns get a smaller part.

    :param window_ms: length of the window in which retries are counted.
    """

    def __init__(self, window_ms: float) -> None:
        self._resends = RetryWindow(0.0, 0.0, window_ms)
        self._reruns = RetryWindow(0.0, 0.0, window_ms)

    def __repr__(self) -> str:
        return f"RetryBudget(resends={self._resends}, reruns={self._reruns})"

    def configure(self, ratio: float, slack: float, n_nodes: int) -> None:
        """Apply the ratio and slack of the whole fleet."""
        self._resends.ratio = ratio * RESEND_SHARE
        self._resends.slack = slack / n_nodes * RESEND_SHARE
        self._reruns.ratio = ratio * RERUN_SHARE
        self._reruns.slack = slack / n_nodes * RERUN_SHARE

    def count_request(self, service: str, now_ms: float) -> None:
        """Count the first attempt of a request."""
        self._resends.count_request(service, now_ms)
        self._reruns.count_request(service, now_ms)

    def count_urgent(self, service: str, now_ms: float) -> None:
        """Count a request, counted before, as one of the most urgent ones."""
        self._resends.count_urgent(service, now_ms)
        self._reruns.count_urgent(service, now_ms)

    def available(self, service: str, now_ms: float) -> float:
        """Return how many requests that did not run may be resent now."""
        return self._resends.available(service, now_ms)

    def try_acquire(
        self,
        service: str,
        has_run: bool,
        is_urgent: bool,
        now_ms: float,
        is_leaf: bool = False,
    ) -> bool:
        """Count a retry, unless that would exceed the share.

        :param is_leaf: whether the request is known to make no calls.
        """
        if not has_run:
            return self._resends.try_acquire(service, is_urgent, now_ms)
        if is_leaf:
            return self._resends.try_acquire(
                service, is_urgent, now_ms, LEAF_RESERVE_FACTOR
            )
        return self._reruns.try_acquire(service, is_urgent, now_ms)
