"""Recent share of an outcome, decaying with time."""


class DecayingShare:
    """Moving average of outcomes that also decays while there are none.

    :param weight: weight of one outcome.
    :param half_life_ms: time in which the share halves without outcomes.
    """

    __slots__ = ("_at_ms", "_half_life_ms", "_value", "_weight")

    def __init__(self, weight: float, half_life_ms: float) -> None:
        self._weight = weight
        self._half_life_ms = half_life_ms
        self._value = 0.0
        self._at_ms = 0.0

    def __repr__(self) -> str:
        return f"DecayingShare({self._value:.2f} at {self._at_ms:.0f} ms)"

    def add(self, outcome: bool, now_ms: float) -> None:
        """Record an outcome."""
        value = self.at(now_ms)
        self._value = value + self._weight * (outcome - value)
        self._at_ms = now_ms

    def at(self, now_ms: float) -> float:
        """Return the share at ``now_ms``."""
        elapsed_ms = max(0.0, now_ms - self._at_ms)
        return float(self._value * 0.5 ** (elapsed_ms / self._half_life_ms))
