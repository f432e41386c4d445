"""Conversion of an upstream's response or failure to the outcome of an attempt."""

from .frames import Outcome, OutcomeKind
from .upstream_connection import Result, UpstreamFailure

MIN_RETRY_AFTER_MS = 100.0  # about one request's duration; a slot may be free by then


def outcome_of(result: Result) -> Outcome:
    """Return the outcome of an attempt that the upstream has answered or failed.

    An unsigned or encoded success is not taken for a response of the upstream itself.
    """
    if isinstance(result, UpstreamFailure):
        kind = OutcomeKind.FAILED if result.was_sent else OutcomeKind.REFUSED
        return Outcome(kind, reason=result.reason, retry_after_ms=MIN_RETRY_AFTER_MS)
    if result.is_not_run and not 200 <= result.status < 300:
        reason = f"the upstream turned it away with {result.status}"
        return Outcome(
            OutcomeKind.SHED,
            status=result.status,
            reason=reason,
            retry_after_ms=MIN_RETRY_AFTER_MS,
        )
    if 200 <= result.status < 300 and (not result.is_signed or result.is_encoded):
        reason = "the answer is not the upstream's own"
        return Outcome(OutcomeKind.FAILED, status=result.status, reason=reason)
    if result.status in (408, 421, 429, 503) and not result.is_signed:
        return Outcome(OutcomeKind.FAILED, status=result.status, reason="unsigned")
    return Outcome(OutcomeKind.ANSWERED, result.status, result.headers, result.body)
