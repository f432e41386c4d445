"""Converts refusals to HTTP answers with a JSON problem body."""

from typing import TypedDict

import msgspec

from ibisspoke_policy.refusal import Refusal, RefusalKind

from .messages import Answer

CONTENT_TYPE = "application/problem+json"

STATUS_BY_KIND = {
    RefusalKind.BAD_REQUEST: 400,
    RefusalKind.MISSING_KEY: 401,
    RefusalKind.UNKNOWN_KEY: 401,
    RefusalKind.UNKNOWN_ROUTE: 404,
    RefusalKind.BODY_TOO_LARGE: 413,
    RefusalKind.RATE_EXCEEDED: 429,
    RefusalKind.OVERLOADED: 503,
    RefusalKind.OUT_OF_MEMORY: 503,
    RefusalKind.DRAINING: 503,
    RefusalKind.NO_UPSTREAM: 503,
    RefusalKind.NO_CATALOGUE: 503,
    RefusalKind.DEADLINE_EXCEEDED: 504,
    RefusalKind.CANCELLED: 499,
    RefusalKind.UPSTREAM_FAILED: 502,
    RefusalKind.ANSWER_TOO_LARGE: 502,
    RefusalKind.OUTCOME_UNKNOWN: 502,
    RefusalKind.ISOLATED: 503,
}


class Problem(TypedDict):
    """Body of a refusal; ``ran`` is ``not_run`` or ``unknown``."""

    kind: str
    ran: str
    detail: str
    remedy: str
    retry_after_ms: int | None
    request_id: str


def to_answer(refusal: Refusal, request_id: str) -> Answer:
    """Return the HTTP answer for ``refusal``."""
    body = msgspec.json.encode(
        Problem(
            kind=refusal.kind.value,
            ran=refusal.ran.value,
            detail=refusal.detail,
            remedy=refusal.remedy,
            retry_after_ms=refusal.retry_after_ms,
            request_id=request_id,
        )
    )
    headers = [("Content-Type", CONTENT_TYPE)]
    if refusal.retry_after_ms is not None:
        seconds = -(-refusal.retry_after_ms // 1000)
        headers.append(("Retry-After", str(seconds)))
    return Answer(STATUS_BY_KIND[refusal.kind], "", headers, body)
