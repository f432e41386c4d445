"""Recent use of a resource by organisation, and max-min shares of it."""

from collections.abc import Mapping

HALF_LIFE_MS = 1_000.0
FORGET_BELOW = 1e-3
DECAY_STEP_MS = 20.0


class FairShare:
    """Keep exponentially decayed use by organisation."""

    def __init__(self, now_ms: float = 0.0) -> None:
        self._use_by_organisation: dict[str, float] = {}
        self._decayed_ms = now_ms

    def __repr__(self) -> str:
        return f"FairShare({len(self._use_by_organisation)} organisations)"

    def charge(self, organisation: str, amount: float) -> None:
        """Add ``amount`` to the use of ``organisation``."""
        use = self._use_by_organisation.get(organisation, 0.0)
        self._use_by_organisation[organisation] = max(0.0, use + amount)

    def use(self, organisation: str) -> float:
        """Return the recent use of ``organisation``."""
        return self._use_by_organisation.get(organisation, 0.0)

    @property
    def use_by_organisation(self) -> Mapping[str, float]:
        """Recent use by organisation."""
        return self._use_by_organisation

    def decay(self, now_ms: float) -> None:
        """Let recorded use fade with time, in steps."""
        elapsed_ms = now_ms - self._decayed_ms
        if elapsed_ms < DECAY_STEP_MS:
            return
        self._decayed_ms = now_ms
        factor = 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        self._use_by_organisation = {
            organisation: use * factor
            for organisation, use in self._use_by_organisation.items()
            if use * factor > FORGET_BELOW
        }


def max_min_cap(demands: Mapping[str, float], capacity: float) -> float:
    """Return the most that each demand gets so that all fit into ``capacity``.

    :returns: infinity when everything fits.
    """
    left = capacity
    ascending = sorted(demands.values())
    for i, demand in enumerate(ascending):
        equal = left / (len(ascending) - i)
        if demand > equal:
            return max(0.0, equal)
        left -= demand
    return float("inf")
