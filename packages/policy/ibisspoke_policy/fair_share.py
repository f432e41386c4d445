"""Recent use of a resource by organisation, and max-min shares of it."""

from collections.abc import Mapping

USE_HALF_LIFE_MS = 1_000.0
MIN_KEPT_USE = 1e-3  # smaller values are dropped
DECAY_STEP_MS = 20.0


class FairShare:
    """Track the use of a resource by organisation, with exponential decay."""

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
        """Decay the recorded use, in steps of at least ``DECAY_STEP_MS``."""
        elapsed_ms = now_ms - self._decayed_ms
        if elapsed_ms < DECAY_STEP_MS:
            return
        self._decayed_ms = now_ms
        factor = 0.5 ** (elapsed_ms / USE_HALF_LIFE_MS)
        self._use_by_organisation = {
            organisation: use * factor
            for organisation, use in self._use_by_organisation.items()
            if use * factor > MIN_KEPT_USE
        }


def max_min_cap(demands: Mapping[str, float], capacity: float) -> float:
    """Return the cap on each demand at which all of them fit into ``capacity``.

    :returns: infinity if all demands fit without a cap.
    """
    remaining = capacity
    ascending = sorted(demands.values())
    for i, demand in enumerate(ascending):
        equal_share = remaining / (len(ascending) - i)
        if demand > equal_share:
            return max(0.0, equal_share)
        remaining -= demand
    return float("inf")
