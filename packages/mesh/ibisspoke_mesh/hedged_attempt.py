"""An attempt that is given up for a second one if its answer seems lost."""

import asyncio
from collections.abc import Awaitable, Callable

from ibisspoke_policy.hedge_delay import HedgePlan

from .frames import Outcome, OutcomeKind


async def hedged(
    sent: Awaitable[Outcome],
    plan: HedgePlan,
    is_queueing: Callable[[], bool],
    try_replace: Callable[[], bool],
) -> Outcome:
    """Return the outcome of an attempt, or a failure if it is given up.

    :param sent: the attempt, which is cancelled when it is given up.
    :param is_queueing: whether the attempt may be waiting for a slot.
    :param try_replace: whether another attempt may be made, and counts it if so. If it
        may not, the first has all the time that is left.
    """
    loop = asyncio.get_running_loop()
    sent_s = loop.time()
    time_limit = asyncio.timeout(None)

    def give_up() -> None:
        if try_replace():
            time_limit.reschedule(loop.time())

    def check() -> None:
        if is_queueing():
            timers.append(loop.call_at(sent_s + plan.queued_ms / 1000.0, give_up))
        else:
            give_up()

    timers = [loop.call_at(sent_s + plan.running_ms / 1000.0, check)]
    try:
        async with time_limit:
            return await sent
    except TimeoutError:
        if not time_limit.expired():
            raise
        reason = "no answer within the time limit of an attempt"
        return Outcome(OutcomeKind.FAILED, reason=reason)
    finally:
        for timer in timers:
            timer.cancel()
