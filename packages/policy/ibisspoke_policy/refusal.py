"""Refusals: why a request got no answer, and whether it ran."""

from enum import StrEnum
from typing import NamedTuple


class Ran(StrEnum):
    """Whether a refused request may have been executed.

    ``NOT_RUN`` is used only if the request was not sent to any upstream.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RefusalKind(StrEnum):
    """Why a request was refused."""

    BAD_REQUEST = "bad_request"
    MISSING_KEY = "missing_key"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_ROUTE = "unknown_route"
    BODY_TOO_LARGE = "body_too_large"
    RATE_EXCEEDED = "rate_exceeded"
    OVERLOADED = "overloaded"
    OUT_OF_MEMORY = "out_of_memory"
    DRAINING = "draining"
    NO_UPSTREAM = "no_upstream"
    NO_CATALOGUE = "no_catalogue"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CANCELLED = "cancelled"
    UPSTREAM_FAILED = "upstream_failed"
    ANSWER_TOO_LARGE = "answer_too_large"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ISOLATED = "isolated"


class Refusal(NamedTuple):
    """Why a request got no answer, and what the caller can do about it.

    :param kind: the reason, for programs.
    :param ran: whether an upstream may have executed the request.
    :param detail: what happened, in one sentence.
    :param remedy: what the caller or its operator can do.
    :param retry_after_ms: delay before a retry; None if a retry cannot succeed.
    """

    kind: RefusalKind
    ran: Ran
    detail: str
    remedy: str
    retry_after_ms: int | None = None

    @property
    def may_retry(self) -> bool:
        """Whether the same request may succeed if it is sent again later."""
        return self.retry_after_ms is not None


def overloaded(detail: str, retry_after_ms: int) -> Refusal:
    """Return the refusal of a request not sent to an upstream due to overload."""
    return Refusal(
        RefusalKind.OVERLOADED,
        Ran.NOT_RUN,
        detail,
        "retry after the time given, or lower the request rate",
        retry_after_ms,
    )


def deadline_exceeded(ran: Ran, detail: str) -> Refusal:
    """Return the refusal of a request whose deadline passed."""
    return Refusal(
        RefusalKind.DEADLINE_EXCEEDED,
        ran,
        detail,
        "allow more time, or retry if the call is idempotent",
        0 if ran is Ran.NOT_RUN else None,
    )


def outcome_unknown(detail: str) -> Refusal:
    """Return the refusal of a request that may have been executed."""
    return Refusal(
        RefusalKind.OUTCOME_UNKNOWN,
        Ran.UNKNOWN,
        detail,
        "look the result up before sending the request again",
    )


def no_upstream(service: str) -> Refusal:
    """Return the refusal of a request for which no upstream is known."""
    return Refusal(
        RefusalKind.NO_UPSTREAM,
        Ran.NOT_RUN,
        f"no upstream of {service} is available",
        "retry after the time given; check that an upstream has announced itself",
        1000,
    )
