"""Refusal at the first entry of requests that a service deeper down would refuse.

Every hop ranks a request alike, by a digest of its id: what one service admits is
not refused by the next, and little work is done for requests that fail later.
"""

import math
import zlib
from typing import NamedTuple

from .admission import AdmissionLevel
from .catalogue import Importance
from .fair_share import FairShare, max_min_cap
from .shed_level import MAX_SHED

LEVEL_FRESH_MS = 300.0
LEVEL_FADE_PER_MS = 3.0 / 1_000.0
TIME_CONSTANT_MS = 150.0
MIN_GAIN = 0.2
SHARE_GAIN = 0.05
MIN_NESTED_SHARE = 0.5
FORGET_NESTED_MS = 10_000.0
PROBE_INTERVAL_MS = 400.0


def rank(request_id: str) -> float:
    """Return the rank of a request within its importance, from 0 up to 1."""
    return zlib.crc32(request_id.encode()) / 2**32


class KnownLevel(NamedTuple):
    """The shed level that answers reported last."""

    level: float
    reported_ms: float

    def at(self, now_ms: float) -> float:
        """Return the level, fading when no answer has confirmed it lately."""
        if not self.level:
            return 0.0
        age_ms = max(0.0, now_ms - self.reported_ms - LEVEL_FRESH_MS)
        return max(0.0, self.level - age_ms * LEVEL_FADE_PER_MS)

    def updated(self, level: float, now_ms: float) -> "KnownLevel":
        """Return the mean of this and a new report, by their age."""
        before = self.at(now_ms)
        gain = 1.0 - math.exp(-(now_ms - self.reported_ms) / TIME_CONSTANT_MS)
        gain = max(MIN_GAIN, gain)
        return KnownLevel(before + gain * (level - before), now_ms)


NOTHING_KNOWN = KnownLevel(0.0, float("-inf"))


class Candidate(NamedTuple):
    """A request that early shedding decides on.

    :param request_id: of the root request.
    """

    call_id: str
    service: str
    organisation: str
    importance: Importance
    request_id: str


class EarlyShedder:
    """Keep the shed level of services and calls, and refuse requests below it.

    An importance that is shed in part is shared out among organisations: one with
    less than its max-min share is not refused.
    """

    def __init__(self) -> None:
        self._level_by_service: dict[str, KnownLevel] = {}
        self._chain_level_by_call: dict[str, KnownLevel] = {}
        self._offered_by_class: dict[tuple[str, Importance], FairShare] = {}
        self._probe_ms_by_service: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"EarlyShedder({len(self._level_by_service)} services)"

    def level(self, call_id: str, service: str, now_ms: float) -> float:
        """Return the present shed level of a call."""
        known = self._level_by_service.get(service, NOTHING_KNOWN)
        chain = self._chain_level_by_call.get(call_id, NOTHING_KNOWN)
        return max(known.at(now_ms), chain.at(now_ms))

    def chain_level(self, call_id: str, now_ms: float) -> float:
        """Return the shed level of what a call leads to."""
        return self._chain_level_by_call.get(call_id, NOTHING_KNOWN).at(now_ms)

    def report(
        self, call_id: str, service: str, level: AdmissionLevel, now_ms: float
    ) -> None:
        """Take in the admission level on an answer."""
        known = self._level_by_service.get(service, NOTHING_KNOWN)
        self._level_by_service[service] = known.updated(level.shed, now_ms)
        chain = self._chain_level_by_call.get(call_id, NOTHING_KNOWN)
        chain = chain.updated(level.chain_shed, now_ms)
        self._chain_level_by_call[call_id] = chain

    def refuses(self, candidate: Candidate, level: float, now_ms: float) -> bool:
        """Return whether to refuse a request before any work is done for it.

        One is let through where no answer has told the level lately.

        :param level: the shed level that applies to it.
        """
        call_id, importance = candidate.call_id, candidate.importance
        self._offer(call_id, candidate.organisation, importance, now_ms)
        if level <= importance:
            return False
        if level < importance + 1:
            organisation = candidate.organisation
            share = self._refused_share(call_id, organisation, importance, level)
            refused = rank(candidate.request_id) < share
        else:
            refused = True
        return refused and not self._probes(candidate, now_ms)

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

    def _probes(self, candidate: Candidate, now_ms: float) -> bool:
        known = self._level_by_service.get(candidate.service, NOTHING_KNOWN)
        chain = self._chain_level_by_call.get(candidate.call_id, NOTHING_KNOWN)
        told_ms = max(
            known.reported_ms,
            chain.reported_ms,
            self._probe_ms_by_service.get(candidate.service, float("-inf")),
        )
        if now_ms - told_ms < PROBE_INTERVAL_MS:
            return False
        self._probe_ms_by_service[candidate.service] = now_ms
        return True


class _NestedUse(NamedTuple):
    """How often a call makes a nested call."""

    share: float
    service: str
    used_ms: float


class ChainLevels:
    """Derive the shed level of a call from those of the calls that it leads to.

    :param shedder: knows the levels of the nested calls.
    """

    def __init__(self, shedder: EarlyShedder) -> None:
        self._shedder = shedder
        self._nested_by_call: dict[str, dict[str, _NestedUse]] = {}

    def __repr__(self) -> str:
        return f"ChainLevels({len(self._nested_by_call)} calls)"

    def level(self, call_id: str, now_ms: float) -> float:
        """Return the highest level among the usual nested calls of a call."""
        levels = [
            self._shedder.level(nested_call_id, use.service, now_ms)
            for nested_call_id, use in self._nested_by_call.get(call_id, {}).items()
            if use.share >= MIN_NESTED_SHARE
        ]
        return min(MAX_SHED, max(levels, default=0.0))

    def nested(
        self, call_id: str, nested_call_id: str, service: str, now_ms: float
    ) -> None:
        """Note that an attempt of a call makes a nested call."""
        nested = self._nested_by_call.setdefault(call_id, {})
        use = nested.get(nested_call_id, _NestedUse(1.0, service, now_ms))
        nested[nested_call_id] = use._replace(used_ms=now_ms)

    def ended(self, call_id: str, made: set[str], now_ms: float) -> None:
        """Note which nested calls an ended attempt of a call has made."""
        nested = self._nested_by_call.get(call_id)
        if nested is None:
            return
        for nested_call_id, use in list(nested.items()):
            if now_ms - use.used_ms > FORGET_NESTED_MS:
                del nested[nested_call_id]
                continue
            target = 1.0 if nested_call_id in made else 0.0
            share = use.share + SHARE_GAIN * (target - use.share)
            nested[nested_call_id] = use._replace(share=share)
