"""When an attempt without an answer is given up for a second one.

Addresses answers that are lost without a reset of their connection (2.5 to 5 in 100
for some seconds, at most upstreams). The attempt would otherwise last until its
deadline, and all requests above a call that ends so fail with it. Meant for safe
requests that cause no calls: a second attempt of theirs costs one arrival.
"""

import math
from typing import NamedTuple

from .offer import MAX_WAIT_SHARE
from .route_profile import MIN_LOG_STDDEV, RouteProfile

MIN_ANSWERS = 20  # of the route; with fewer, its usual time is not known
# Standard deviations of the logarithm of the time. 1 answer in 4,000 takes longer where
# the deviation is known; with 3.0 it was 5 in 1,000, as it is estimated from about the
# last 20 answers.
LATE_DEVIATIONS = 3.5
SLOW_PACE = 2.5  # other programs slow a VM by up to this factor for half a second
SLOWEST_USUAL_PACE = 1.6  # of an upstream of which no recent answers are known
MIN_DELAY_MS = 60.0  # shorter silence may be a pause of a busy node
MIN_SECOND_ATTEMPT_MS = 100.0  # that must be left to the second attempt


class HedgePlan(NamedTuple):
    """Times since an attempt was sent.

    :param running_ms: by then, nearly every attempt that was started at once has its
        answer.
    :param queued_ms: the same for one that had to wait for a slot.
    """

    running_ms: float
    queued_ms: float


def hedge_plan(
    profile: RouteProfile,
    pace: float | None,
    rtt_ms: float,
    objective_ms: float,
    left_ms: float,
) -> HedgePlan | None:
    """Return when to give up an attempt, or None if it should have all the time.

    :param pace: recent latency of the upstream as a multiple of the usual one.
    :param left_ms: time until the request's deadline.
    """
    if profile.n_answers < MIN_ANSWERS:
        return None
    usual_pace = SLOWEST_USUAL_PACE if pace is None else max(1.0, pace)
    log_stddev = max(MIN_LOG_STDDEV, profile.log_stddev)
    slow_ms = profile.median_ms * math.exp(LATE_DEVIATIONS * log_stddev)
    running_ms = max(MIN_DELAY_MS, rtt_ms + SLOW_PACE * usual_pace * slow_ms)
    second_ms = max(MIN_SECOND_ATTEMPT_MS, rtt_ms + usual_pace * profile.median_ms)
    if running_ms + second_ms > left_ms:
        return None
    queued_ms = min(running_ms + MAX_WAIT_SHARE * objective_ms, left_ms - second_ms)
    return HedgePlan(running_ms, queued_ms)
