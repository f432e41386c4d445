"""Functions that inspect outcomes of attempts and turn failures into refusals."""

from result import Err, Ok

from ibisspoke_policy.admission import AdmissionLevel
from ibisspoke_policy.member import Member
from ibisspoke_policy.refusal import (
    Ran,
    Refusal,
    RefusalKind,
    outcome_unknown,
    overloaded,
)

from .headers import NOT_RUN_HEADER
from .messages import Answer, Outcome, Refused
from .upstream_client import UpstreamAnswer, UpstreamFailure

UPSTREAM_RETRY_AFTER_MS = 1_000


def unused_retries(outcome: Outcome, n_allotted: int) -> int:
    """Return how many of the allotted retries an attempt did not use."""
    if isinstance(outcome, Ok):
        return outcome.ok_value.n_retries_unused
    refused = outcome.err_value
    if refused.refusal.ran is Ran.NOT_RUN:
        return n_allotted
    return refused.n_retries_unused


def with_unused_retries(outcome: Outcome, n_unused: int) -> Outcome:
    """Return ``outcome`` with the number of unused retries."""
    if isinstance(outcome, Ok):
        return Ok(outcome.ok_value._replace(n_retries_unused=n_unused))
    return Err(outcome.err_value._replace(n_retries_unused=n_unused))


def combine_outcomes(earlier: Outcome | None, latest: Outcome) -> Outcome:
    """Return the latest outcome, marked unknown if an earlier attempt may have run.

    :param earlier: combined outcome of the earlier attempts; None before the first.
    """
    if not (isinstance(earlier, Err) and isinstance(latest, Err)):
        return latest
    if earlier.err_value.refusal.ran is Ran.NOT_RUN:
        return latest
    refused = latest.err_value
    refusal = refused.refusal._replace(ran=Ran.UNKNOWN)
    return Err(refused._replace(refusal=refusal))


def may_ask_owner_again(refused: Refused) -> bool:
    """Return whether the owner of the key did not report an outcome."""
    is_unknown = refused.refusal.kind is RefusalKind.OUTCOME_UNKNOWN
    return refused.level is None and is_unknown


def accepts_nothing(level: AdmissionLevel | None) -> bool:
    """Return whether a node accepts no attempts at all."""
    return level is None or level.limit == 0


def outcome_level(outcome: Outcome | None) -> AdmissionLevel | None:
    """Return the admission level reported with an outcome."""
    if outcome is None:
        return None
    ended: Answer | Refused = (
        outcome.ok_value if isinstance(outcome, Ok) else outcome.err_value
    )
    return ended.level


def unreachable(member: Member) -> Refusal:
    """Return the refusal of an attempt that could not be sent."""
    return overloaded(f"node {member.id} cannot be reached", 100)


def parent_ended(ran: Ran = Ran.NOT_RUN) -> Refusal:
    """Return the refusal of a call nested in a request that has ended."""
    return Refusal(
        RefusalKind.CANCELLED,
        ran,
        "the request that this call belongs to has ended",
        "stop working for a request when its caller has left",
    )


def was_shed(answer: UpstreamAnswer) -> bool:
    """Return whether the upstream refused a request without running it."""
    if answer.status != 503:
        return False
    return any(name.lower() == NOT_RUN_HEADER.lower() for name, _ in answer.headers)


def upstream_failed(failure: UpstreamFailure) -> Refusal:
    """Return the refusal of a request without a complete answer."""
    if failure.too_large:
        return Refusal(
            RefusalKind.ANSWER_TOO_LARGE,
            Ran.UNKNOWN,
            "the answer is larger than the call allows",
            "raise max_answer_bytes of the call in the catalogue",
        )
    if failure.sent:
        return outcome_unknown(f"the upstream gave no whole answer: {failure.detail}")
    return Refusal(
        RefusalKind.UPSTREAM_FAILED,
        Ran.NOT_RUN,
        f"the upstream was not reached: {failure.detail}",
        "retry after the time given; check that the upstream runs",
        UPSTREAM_RETRY_AFTER_MS,
    )
