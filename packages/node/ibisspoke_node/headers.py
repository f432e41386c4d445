"""Selects the HTTP headers that are forwarded between callers and upstreams."""

from collections.abc import Iterable
from functools import lru_cache

from .messages import Header

CONTEXT_HEADER = "Ibisspoke-Context"
TIMEOUT_HEADER = "Ibisspoke-Timeout-Ms"
ATTEMPT_HEADER = "Ibisspoke-Attempt"
NOT_RUN_HEADER = "Ibisspoke-Not-Run"
IDEMPOTENCY_HEADER = "Idempotency-Key"
INTERNAL_PREFIX = "ibisspoke-"

HOP_BY_HOP_HEADERS = frozenset(
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
NAME_CACHE_SIZE = 512
SECRET_HEADERS = frozenset({"authorization", "cookie", "x-api-key"})


def to_upstream(headers: Iterable[Header]) -> list[Header]:
    """Return the headers of a request without keys and internal headers."""
    return [header for header in headers if _is_for_upstream(header[0])]


def to_caller(headers: Iterable[Header]) -> list[Header]:
    """Return the headers of an answer without internal headers."""
    return [header for header in headers if _is_for_caller(header[0])]


@lru_cache(maxsize=NAME_CACHE_SIZE)
def _is_for_upstream(name: str) -> bool:
    return _is_forwarded(name.lower()) and name.lower() not in SECRET_HEADERS


@lru_cache(maxsize=NAME_CACHE_SIZE)
def _is_for_caller(name: str) -> bool:
    return _is_forwarded(name.lower())


def _is_forwarded(lower_name: str) -> bool:
    return lower_name not in HOP_BY_HOP_HEADERS and not lower_name.startswith(
        INTERNAL_PREFIX
    )
