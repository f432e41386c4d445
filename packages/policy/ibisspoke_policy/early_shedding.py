"""Refusal at the first entry of requests that a service deeper down would refuse.

Every hop ranks a request alike, by a digest of its id: what one service admits is
not refused by the next, and little work is done for requests that fail later.
"""

import zlib
from typing import NamedTuple

from .catalogue import Importance
from .fair_share import FairShare, max_min_cap
from .shed_level import MAX_SHED
from .table import Table

LEVEL_FRESH_MS = 300.0
LEVEL_FADE_PER_MS = 1.0 / 1_000.0
SMOOTHING = 0.3
MIN_NESTED_SHARE = 0.5
FORGET_NESTED_MS = 10_000.0
PROBE_INTERVAL_MS = 200.0


def rank(request_id: str) -> float:
    """Return the rank of a request within its importance, from 0 up to 1."""
    return zlib.crc32(request_id.encode()) / 2**32


def sheds(level: float, importance: Importance, request_rank: float) -> bool:
    """Return whether a request is below a shed level."""
    return importance + request_rank < level


class KnownLevel(NamedTuple):
    """The shed level that answers reported last."""

    level: float
    reported_ms: float

    def at(self, now_ms: float) -> float:
        """Return the level, fading when no answer has confirmed it lately."""
        age_ms = max(0.0, now_ms - self.reported_ms - LEVEL_FRESH_MS)
        return max(0.0, self.level - age_ms * LEVEL_FADE_PER_MS)


class EarlyShedder:
    """Keep the shed level of each call and refuse requests below it.

    An importance that is shed in part is shared out among organisations: one with
    less than its max-min share is not refused.
    """

    def __init__(self) -> None:
        self._level_by_call: Table[str, KnownLevel] = Table("shed levels")
        self._offered_by_class: dict[tuple[str, Importance], FairShare] = {}
        self._probe_ms_by_call: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"EarlyShedder({len(self._level_by_call)} calls)"

    def level(self, call_id: str, now_ms: float) -> float:
        """Return the present shed level of a call."""
        known = self._level_by_call.get(call_id)
        return known.at(now_ms) if known is not None else 0.0

    def report(self, call_id: str, level: float, now_ms: float) -> None:
        """Take in the shed level on an answer."""
        before = self.level(call_id, now_ms)
        smooth = before + SMOOTHING * (level - before)
        self._level_by_call.put(call_id, KnownLevel(smooth, now_ms))

    def refuses(
        self,
        call_id: str,
        organisation: str,
        importance: Importance,
        request_id: str,
        now_ms: float,
    ) -> bool:
        """Return whether to refuse a request before any work is done for it.

        Now and then one is let through, so that a better level is noticed.
        """
        level = self.level(call_id, now_ms)
        self._offer(call_id, organisation, importance, now_ms)
        if level <= importance:
            return False
        if level < importance + 1:
            share = self._refused_share(call_id, organisation, importance, level)
            refused = rank(request_id) < share
        else:
            refused = True
        return refused and not self._probes(call_id, now_ms)

    def _offer(
        self, call_id: str, organisation: str, importance: Importance, now_ms: float
    ) -> None:
        shares = self._offered_by_class.get((call_id, importance))
        if shares is None:
            shares = FairShare(now_ms)
            self._offered_by_class[call_id, importance] = shares
        shares.decay(now_ms)
        shares.charge(organisation, 1.0)

    def _refused_share(
        self, call_id: str, organisation: str, importance: Importance, level: float
    ) -> float:
        demands = self._offered_by_class[call_id, importance].use_by_organisation
        admitted = sum(demands.values()) * (1.0 - (level - importance))
        cap = max_min_cap(demands, admitted)
        demand = demands[organisation]
        return max(0.0, 1.0 - cap / demand) if demand > cap else 0.0

    def _probes(self, call_id: str, now_ms: float) -> bool:
        if now_ms - self._probe_ms_by_call.get(call_id, 0.0) < PROBE_INTERVAL_MS:
            return False
        self._probe_ms_by_call[call_id] = now_ms
        return True


class _NestedUse(NamedTuple):
    """How often a call makes a nested call, and the level reported for it."""

    share: float
    level: KnownLevel


class ChainLevels:
    """Derive the shed level of a call from those of the calls that it leads to."""

    def __init__(self) -> None:
        self._nested_by_call: dict[str, dict[str, _NestedUse]] = {}

    def __repr__(self) -> str:
        return f"ChainLevels({len(self._nested_by_call)} calls)"

    def level(self, call_id: str, now_ms: float) -> float:
        """Return the highest level among the usual nested calls of a call."""
        levels = [
            use.level.at(now_ms)
            for use in self._nested_by_call.get(call_id, {}).values()
            if use.share >= MIN_NESTED_SHARE
        ]
        return min(MAX_SHED, max(levels, default=0.0))

    def nested(
        self, call_id: str, nested_call_id: str, level: float, now_ms: float
    ) -> None:
        """Note a nested call and the shed level that its answer carried."""
        nested = self._nested_by_call.setdefault(call_id, {})
        known = KnownLevel(level, now_ms)
        use = nested.get(nested_call_id)
        nested[nested_call_id] = _NestedUse(use.share if use else 1.0, known)

    def ended(self, call_id: str, made: set[str], now_ms: float) -> None:
        """Note which nested calls an ended attempt of a call has made."""
        nested = self._nested_by_call.get(call_id)
        if nested is None:
            return
        for nested_call_id, use in list(nested.items()):
            if now_ms - use.level.reported_ms > FORGET_NESTED_MS:
                del nested[nested_call_id]
                continue
            target = 1.0 if nested_call_id in made else 0.0
            share = use.share + SMOOTHING * 0.2 * (target - use.share)
            nested[nested_call_id] = use._replace(share=share)
