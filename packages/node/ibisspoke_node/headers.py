"""Which HTTP headers pass from callers to upstreams and back."""

from collections.abc import Iterable
from functools import lru_cache

from .messages import Header

CONTEXT_HEADER = "Ibisspoke-Context"
TIMEOUT_HEADER = "Ibisspoke-Timeout-Ms"
ATTEMPT_HEADER = "Ibisspoke-Attempt"
NOT_RUN_HEADER = "Ibisspoke-Not-Run"
IDEMPOTENCY_HEADER = "Idempotency-Key"
INTERNAL_PREFIX = "ibisspoke-"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
MAX_KNOWN_NAMES = 512
SECRET = frozenset({"authorization", "cookie", "x-api-key"})


def to_upstream(headers: Iterable[Header]) -> list[Header]:
    """Return the headers of a request without keys and internal headers."""
    return [header for header in headers if _passes_up(header[0])]


def to_caller(headers: Iterable[Header]) -> list[Header]:
    """Return the headers of an answer without internal headers."""
    return [header for header in headers if _passes_down(header[0])]


@lru_cache(maxsize=MAX_KNOWN_NAMES)
def _passes_up(name: str) -> bool:
    return _passes(name.lower()) and name.lower() not in SECRET


@lru_cache(maxsize=MAX_KNOWN_NAMES)
def _passes_down(name: str) -> bool:
    return _passes(name.lower())


def _passes(lower_name: str) -> bool:
    return lower_name not in HOP_BY_HOP and not lower_name.startswith(INTERNAL_PREFIX)
