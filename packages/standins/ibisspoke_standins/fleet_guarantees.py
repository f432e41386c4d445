"""Checks of the soak test of the node on the users' platform."""

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

# An upstream gets no new request later than this after it has left; the users require
# at most 2.5 s.
RUN_ONCE_PATHS = ("/order/", "/report/")
MAX_LEAVE_MS = 2_000.0
MAX_WITHDRAWAL_MS = 5_000.0  # until a withdrawn key is rejected everywhere
MIN_ANSWERED_SHARE = 0.99  # minimum share of requests answered once all faults are over
ALLOWED_STATUSES = {200, 429, 500, 502, 503, 504}


class Request(NamedTuple):
    """One request of a caller and its response.

    :param was_up: whether the same node process ran during the whole request.
    :param status: 0 without a response.
    """

    id: str
    path: str
    key: str
    sent_ms: float
    was_up: bool
    status: int
    body: bytes


class Arrival(NamedTuple):
    """One request received by an upstream.

    :param ran: whether the upstream executed it.
    """

    id: str
    instance: str
    at_ms: float
    ran: bool


def find_violations(
    requests: Iterable[Request],
    arrivals: Iterable[Arrival],
    departed_ms_by_instance: dict[str, float],
    withdrawn_ms_by_key: dict[str, float],
) -> list[str]:
    """Return a description of each violation."""
    n_runs_by_id: dict[str, int] = defaultdict(int)
    violations = []
    for arrival in arrivals:
        n_runs_by_id[arrival.id] += arrival.ran
        departed_ms = departed_ms_by_instance.get(arrival.instance)
        if departed_ms is not None and arrival.at_ms > departed_ms + MAX_LEAVE_MS:
            late_ms = arrival.at_ms - departed_ms
            violations.append(
                f"{arrival.id} reached {arrival.instance} {late_ms:.0f} ms"
            )
    for request in requests:
        violations += _violations(
            request, n_runs_by_id[request.id], withdrawn_ms_by_key
        )
    return violations


def _violations(
    request: Request, n_runs: int, withdrawn_ms_by_key: dict[str, float]
) -> list[str]:
    violations = []
    if request.status == 200 and not request.body.startswith(f"{request.id}@".encode()):
        violations.append(f"{request.id} got {request.body[:40]!r}")
    if request.status == 200 and not n_runs:
        violations.append(f"{request.id} was answered and never ran")
    if request.status in (401, 429, 503) and n_runs:
        violations.append(f"{request.id} got {request.status} and ran")
    if request.path.startswith(RUN_ONCE_PATHS) and n_runs > 1:
        violations.append(f"{request.id} ran {n_runs} times")
    if request.was_up and not request.status:
        violations.append(f"{request.id} got no answer")
    withdrawn_ms = withdrawn_ms_by_key.get(request.key)
    is_late = (
        withdrawn_ms is not None and request.sent_ms > withdrawn_ms + MAX_WITHDRAWAL_MS
    )
    if is_late and request.status == 200:
        violations.append(f"{request.id} ran for a key that was withdrawn")
    key_may_be_unknown = withdrawn_ms is not None and request.status == 401
    if (
        request.status
        and request.status not in ALLOWED_STATUSES
        and not key_may_be_unknown
    ):
        violations.append(f"{request.id} got {request.status}")
    return violations


def answered_share(requests: Iterable[Request], since_ms: float) -> float:
    """Return the share of requests sent from ``since_ms`` on that got status 200."""
    statuses = [request.status for request in requests if request.sent_ms >= since_ms]
    return statuses.count(200) / max(1, len(statuses))
