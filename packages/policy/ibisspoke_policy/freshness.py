"""Proof that a configuration was current a short while ago."""

from typing import NamedTuple


class Proof(NamedTuple):
    """A moment at which ``version`` was the newest configuration.

    :param at_ms: in the suspension-aware time of this process.
    """

    version: int
    at_ms: float


class Freshness:
    """Keep the latest proof that the configuration in force is current.

    A proof is as old as the *start* of the read that gave it. A relayed proof is as
    old as the question that it answers, plus the age that the answer names, so that
    delays on the way can only make it look older.
    """

    def __init__(self) -> None:
        self._proof = Proof(0, float("-inf"))
        self._relayed = Proof(0, float("-inf"))

    def __repr__(self) -> str:
        return f"Freshness({self._proof})"

    def prove(self, version: int, started_ms: float) -> None:
        """Take in a read of the store that started at ``started_ms``."""
        self._take(Proof(version, started_ms))

    def relay(self, version: int, asked_ms: float, age_ms: float) -> None:
        """Take in another node's proof, ``age_ms`` old when it was told."""
        self._take(Proof(version, asked_ms - age_ms))

    def age_ms(self, version: int, now_ms: float) -> float:
        """Return how old the proof is that ``version`` covers the newest one.

        :returns: infinity where there is no proof.
        """
        proofs = [p for p in (self._proof, self._relayed) if p.version <= version]
        return now_ms - max((p.at_ms for p in proofs), default=float("-inf"))

    def _take(self, proof: Proof) -> None:
        if proof.version >= self._proof.version and proof.at_ms > self._proof.at_ms:
            self._relayed, self._proof = self._proof, proof
