"""A request at work is given up only for a better answer that is in hand (LOST)."""

import asyncio

import pytest

from ibisspoke_mesh.frames import Outcome, OutcomeKind
from ibisspoke_mesh.hedged_attempt import hedged
from ibisspoke_policy.hedge_delay import HedgePlan

PLAN = HedgePlan(running_ms=10.0, queued_ms=30.0)
ANSWER = Outcome(OutcomeKind.ANSWERED, 200)
OTHER_ANSWER = Outcome(OutcomeKind.ANSWERED, 204)
ERROR = Outcome(OutcomeKind.ANSWERED, 500)
REFUSED = Outcome(OutcomeKind.REFUSED, reason="queue is full")
FAILED = Outcome(OutcomeKind.FAILED, reason="connection lost")


class Attempts:
    """Attempts that end after a time, and what became of them."""

    def __init__(self) -> None:
        self.cancelled: list[str] = []
        self.n_seconds = 0

    async def run(self, name: str, after_s: float, outcome: Outcome) -> Outcome:
        try:
            await asyncio.sleep(after_s)
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise
        return outcome

    async def race(self, first, second, is_queueing=lambda: False) -> Outcome:
        """Run both; each is a time in seconds and an outcome, the second may be None.

        :returns: the outcome of the hedged attempt.
        """

        def start_second():
            self.n_seconds += 1
            if second is None:
                return None
            return asyncio.ensure_future(self.run("second", *second))

        sent = self.run("first", *first)
        return await hedged(sent, PLAN, is_queueing, start_second)


@pytest.mark.parametrize("failure", [REFUSED, FAILED, ERROR])
async def test_a_second_attempt_without_an_answer_does_not_end_the_first(failure):
    attempts = Attempts()
    assert await attempts.race((0.06, ANSWER), (0.01, failure)) is ANSWER
    assert attempts.n_seconds == 1
    assert not attempts.cancelled


@pytest.mark.parametrize("failure", [REFUSED, FAILED, ERROR])
async def test_a_first_attempt_that_fails_leaves_the_second(failure):
    attempts = Attempts()
    assert await attempts.race((0.02, failure), (0.04, ANSWER)) is ANSWER
    assert not attempts.cancelled


async def test_the_answer_of_the_second_attempt_ends_the_first():
    """Guards against answers lost without a reset that take the whole time."""
    attempts = Attempts()
    assert await attempts.race((5.0, ANSWER), (0.01, OTHER_ANSWER)) is OTHER_ANSWER
    assert attempts.cancelled == ["first"]


async def test_the_answer_of_the_first_attempt_ends_the_second():
    attempts = Attempts()
    assert await attempts.race((0.03, ANSWER), (5.0, OTHER_ANSWER)) is ANSWER
    assert attempts.cancelled == ["second"]


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        (FAILED, REFUSED, FAILED),
        (REFUSED, FAILED, FAILED),
        (ERROR, FAILED, ERROR),
        (FAILED, ERROR, ERROR),
    ],
)
async def test_without_an_answer_the_more_telling_outcome_is_kept(
    first, second, expected
):
    outcome = await Attempts().race((0.02, first), (0.02, second))
    assert outcome is expected


async def test_no_second_attempt_is_made_after_the_first_has_ended():
    attempts = Attempts()
    assert await attempts.race((0.001, FAILED), (0.01, ANSWER)) is FAILED
    await asyncio.sleep(0.05)
    assert not attempts.n_seconds


async def test_the_first_attempt_has_all_the_time_if_no_second_may_be_made():
    attempts = Attempts()
    assert await attempts.race((0.06, ANSWER), None) is ANSWER
    assert attempts.n_seconds == 1


async def test_an_attempt_that_queues_waits_longer_for_a_second():
    attempts = Attempts()
    outcome = await attempts.race((0.02, ANSWER), (0.0, OTHER_ANSWER), lambda: True)
    assert outcome is ANSWER
    assert not attempts.n_seconds


@pytest.mark.parametrize("first", [(5.0, ANSWER), (0.02, FAILED)])
async def test_a_caller_that_leaves_ends_both_attempts(first):
    attempts = Attempts()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.05):
            await attempts.race(first, (5.0, ANSWER))
    assert "second" in attempts.cancelled
    assert ("first" in attempts.cancelled) is (first[1] is ANSWER)
