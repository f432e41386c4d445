"""Age of the latest evidence that the configuration in force is current."""

from typing import NamedTuple


class Proof(NamedTuple):
    """A time at which ``version`` was known to be the newest configuration.

    :param at_ms: time on a clock of this process that includes suspension.
    """

    version: int
    at_ms: float


class ConfigFreshness:
    """Keep the latest proof that the configuration in force is current.

    The age of a proof counts from the *start* of the read from the store. The age
    of a proof relayed by another node counts from the request to that node, plus
    the age stated in its reply, so that network delays can only make it look older.
    """

    def __init__(self) -> None:
        self._proof = Proof(0, float("-inf"))
        self._earlier = Proof(0, float("-inf"))

    def __repr__(self) -> str:
        return f"ConfigFreshness({self._proof})"

    def record_read(self, version: int, started_ms: float) -> None:
        """Record a read from the store that started at ``started_ms``."""
        self._update(Proof(version, started_ms))

    def record_relayed(self, version: int, asked_ms: float, age_ms: float) -> None:
        """Record another node's proof, which was ``age_ms`` old when it replied."""
        self._update(Proof(version, asked_ms - age_ms))

    def age_ms(self, version: int, now_ms: float) -> float:
        """Return the age of the latest proof that no version exceeded ``version``.

        :returns: infinity if there is no proof.
        """
        proofs = [p for p in (self._proof, self._earlier) if p.version <= version]
        return now_ms - max((p.at_ms for p in proofs), default=float("-inf"))

    def _update(self, proof: Proof) -> None:
        if proof.version < self._proof.version or proof.at_ms <= self._proof.at_ms:
            return
        if proof.version > self._proof.version:
            # It still counts until the newer version is in force.
            self._earlier = self._proof
        self._proof = proof
