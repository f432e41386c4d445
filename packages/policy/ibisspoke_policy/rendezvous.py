"""Rendezvous hashing: an order of names for a key, the same on every node."""

import hashlib
from collections.abc import Iterable

SCORE_BYTES = 8


def score(key: str, name: str) -> bytes:
    """Return the rank score of ``name`` for ``key``; the highest is preferred."""
    text = f"{key}\x00{name}".encode()
    return hashlib.blake2b(text, digest_size=SCORE_BYTES).digest()


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` from most to least preferred for ``key``."""
    return sorted(names, key=lambda name: (score(key, name), name), reverse=True)


def preferred(key: str, names: Iterable[str]) -> str:
    """Return the most preferred of ``names``, at least one, for ``key``."""
    return max(names, key=lambda name: (score(key, name), name))


def rank_of(key: str, name: str, names: Iterable[str]) -> int:
    """Return how many of ``names`` are preferred to ``name`` for ``key``."""
    own = (score(key, name), name)
    return sum((score(key, other), other) > own for other in names)
