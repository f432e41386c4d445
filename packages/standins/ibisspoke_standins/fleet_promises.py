"""What must hold in the soak of the node on the users' platform."""

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

LEAVE_MS = (
    2_000.0  # after its departure an upstream gets nothing new; users bound 2.5 s
)
WITHDRAWN_MS = 5_000.0  # until a withdrawn key stops working everywhere
CALM_SHARE = 0.99  # of the requests that are answered once all faults are over
FINAL_STATUSES = {200, 429, 500, 502, 503, 504}


class Request(NamedTuple):
    """One request of a caller and its answer.

    :param was_up: whether one process of the node was there all the time.
    :param status: 0 where there was no answer.
    """

    id: str
    path: str
    key: str
    sent_ms: float
    was_up: bool
    status: int
    body: bytes


class Arrival(NamedTuple):
    """One request at an upstream.

    :param ran: whether the upstream worked on it.
    """

    id: str
    instance: str
    at_ms: float
    ran: bool


def broken_promises(
    requests: Iterable[Request],
    arrivals: Iterable[Arrival],
    departed_ms_by_instance: dict[str, float],
    withdrawn_ms_by_key: dict[str, float],
) -> list[str]:
    """Return what was broken, one line for each request."""
    runs_by_id: dict[str, int] = defaultdict(int)
    broken = []
    for arrival in arrivals:
        runs_by_id[arrival.id] += arrival.ran
        departed_ms = departed_ms_by_instance.get(arrival.instance)
        if departed_ms is not None and arrival.at_ms > departed_ms + LEAVE_MS:
            late_ms = arrival.at_ms - departed_ms
            broken.append(f"{arrival.id} reached {arrival.instance} {late_ms:.0f} ms")
    for request in requests:
        broken += _broken(request, runs_by_id[request.id], withdrawn_ms_by_key)
    return broken


def _broken(
    request: Request, n_runs: int, withdrawn_ms_by_key: dict[str, float]
) -> list[str]:
    broken = []
    if request.status == 200 and not request.body.startswith(f"{request.id}@".encode()):
        broken.append(f"{request.id} got {request.body[:40]!r}")
    if request.status == 200 and not n_runs:
        broken.append(f"{request.id} was answered and never ran")
    if request.status in (401, 429, 503) and n_runs:
        broken.append(f"{request.id} got {request.status} and ran")
    if request.path.startswith("/order/") and n_runs > 1:
        broken.append(f"{request.id} ran {n_runs} times")
    if request.was_up and not request.status:
        broken.append(f"{request.id} got no answer")
    withdrawn_ms = withdrawn_ms_by_key.get(request.key)
    is_late = withdrawn_ms is not None and request.sent_ms > withdrawn_ms + WITHDRAWN_MS
    if is_late and request.status == 200:
        broken.append(f"{request.id} ran for a key that was withdrawn")
    may_be_unknown = withdrawn_ms is not None and request.status == 401
    if request.status and request.status not in FINAL_STATUSES and not may_be_unknown:
        broken.append(f"{request.id} got {request.status}")
    return broken


def answered_share(requests: Iterable[Request], since_ms: float) -> float:
    """Return the share of the requests after a moment that were answered."""
    statuses = [request.status for request in requests if request.sent_ms >= since_ms]
    return statuses.count(200) / max(1, len(statuses))
