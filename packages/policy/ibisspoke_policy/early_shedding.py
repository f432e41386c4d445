"""Early refusal of requests that a service further down the call chain would refuse.

Every hop derives the same rank from the request id. A request that one service admits
is not refused by the next, so that little work is spent on requests that fail later.
"""

import math
import zlib
from typing import NamedTuple

from .admission import AdmissionLevel
from .catalogue import Importance
from .fair_share import FairShare, max_min_cap
from .shed_level import MAX_SHED

LEVEL_FRESH_MS = 300.0
LEVEL_DECAY_PER_MS = 3.0 / 1_000.0
LEVEL_TIME_CONSTANT_MS = 150.0
MIN_LEVEL_GAIN = 0.2
NESTED_SHARE_GAIN = 0.05
MIN_NESTED_SHARE = 0.5
NESTED_CALL_EXPIRY_MS = 10_000.0
PROBE_INTERVAL_MS = 400.0


def rank(request_id: str) -> float:
    """Return the rank of a request within its importance, from 0 up to 1."""
    return zlib.crc32(request_id.encode()) / 2**32


class KnownLevel(NamedTuple):
    """The shed level that answers reported last."""

    level: float
    reported_ms: float

    def at(self, now_ms: float) -> float:
        """Return the level, which decays when no recent answer has confirmed it."""
        if not self.level:
            return 0.0
        age_ms = max(0.0, now_ms - self.reported_ms - LEVEL_FRESH_MS)
        return max(0.0, self.level - age_ms * LEVEL_DECAY_PER_MS)

    def updated(self, level: float, now_ms: float) -> "KnownLevel":
        """Return the average with a new report, weighted by the age of this one."""
        before = self.at(now_ms)
        gain = 1.0 - math.exp(-(now_ms - self.reported_ms) / LEVEL_TIME_CONSTANT_MS)
        gain = max(MIN_LEVEL_GAIN, gain)
        return KnownLevel(before + gain * (level - before), now_ms)


UNKNOWN_LEVEL = KnownLevel(0.0, float("-inf"))


class Candidate(NamedTuple):
    """A request that early shedding admits or refuses.

    :param request_id: id of the root request.
    """

    call_id: str
    service: str
    organisation: str
    importance: Importance
    request_id: str


class EarlyShedder:
    """Track the shed levels of services and calls, and refuse requests below them.

    Where an importance is shed in part, what is admitted is divided among
    organisations. One that uses less than its max-min share is not refused.
    """

    def __init__(self) -> None:
        self._level_by_service: dict[str, KnownLevel] = {}
        self._chain_level_by_call: dict[str, KnownLevel] = {}
        self._offered_by_class: dict[tuple[str, Importance], FairShare] = {}
        self._probe_ms_by_service: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"EarlyShedder({len(self._level_by_service)} services)"

    def level(self, call_id: str, service: str, now_ms: float) -> float:
        """Return the current shed level of a call."""
        known = self._level_by_service.get(service, UNKNOWN_LEVEL)
        chain = self._chain_level_by_call.get(call_id, UNKNOWN_LEVEL)
        return max(known.at(now_ms), chain.at(now_ms))

    def call_chain_level(self, call_id: str, now_ms: float) -> float:
        """Return the shed level of the services further down the chain of a call."""
        return self._chain_level_by_call.get(call_id, UNKNOWN_LEVEL).at(now_ms)

    def report(
        self, call_id: str, service: str, level: AdmissionLevel, now_ms: float
    ) -> None:
        """Record the admission level on an answer."""
        known = self._level_by_service.get(service, UNKNOWN_LEVEL)
        self._level_by_service[service] = known.updated(level.shed, now_ms)
        chain = self._chain_level_by_call.get(call_id, UNKNOWN_LEVEL)
        chain = chain.updated(level.call_chain_shed, now_ms)
        self._chain_level_by_call[call_id] = chain

    def refuses(self, candidate: Candidate, level: float, now_ms: float) -> bool:
        """Return whether to refuse a request before any work is done for it.

        Without a recent answer that reports the level, one request is sent as a probe.

        :param level: the shed level that applies to it.
        """
        call_id, importance = candidate.call_id, candidate.importance
        self._count_offered(call_id, candidate.organisation, importance, now_ms)
        if level <= importance:
            return False
        if level < importance + 1:
            organisation = candidate.organisation
            share = self._refused_share(call_id, organisation, importance, level)
            refused = rank(candidate.request_id) < share
        else:
            refused = True
        return refused and not self._starts_probe(candidate, now_ms)

    def _count_offered(
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

    def _starts_probe(self, candidate: Candidate, now_ms: float) -> bool:
        known = self._level_by_service.get(candidate.service, UNKNOWN_LEVEL)
        chain = self._chain_level_by_call.get(candidate.call_id, UNKNOWN_LEVEL)
        last_report_ms = max(
            known.reported_ms,
            chain.reported_ms,
            self._probe_ms_by_service.get(candidate.service, float("-inf")),
        )
        if now_ms - last_report_ms < PROBE_INTERVAL_MS:
            return False
        self._probe_ms_by_service[candidate.service] = now_ms
        return True


class _NestedUse(NamedTuple):
    """Share of the attempts of a call that make a nested call."""

    share: float
    service: str
    used_ms: float


class CallChainLevels:
    """Derive the shed level of a call from the levels of its nested calls.

    :param shedder: source of the levels of the nested calls.
    """

    def __init__(self, shedder: EarlyShedder) -> None:
        self._shedder = shedder
        self._nested_by_call: dict[str, dict[str, _NestedUse]] = {}

    def __repr__(self) -> str:
        return f"CallChainLevels({len(self._nested_by_call)} calls)"

    def level(self, call_id: str, now_ms: float) -> float:
        """Return the highest level among the calls usually nested in a call."""
        levels = [
            self._shedder.level(nested_call_id, use.service, now_ms)
            for nested_call_id, use in self._nested_by_call.get(call_id, {}).items()
            if use.share >= MIN_NESTED_SHARE
        ]
        return min(MAX_SHED, max(levels, default=0.0))

    def nested(
        self, call_id: str, nested_call_id: str, service: str, now_ms: float
    ) -> None:
        """Record that an attempt of a call makes a nested call."""
        nested = self._nested_by_call.setdefault(call_id, {})
        use = nested.get(nested_call_id, _NestedUse(1.0, service, now_ms))
        nested[nested_call_id] = use._replace(used_ms=now_ms)

    def ended(self, call_id: str, made: set[str], now_ms: float) -> None:
        """Record which nested calls an ended attempt of a call has made."""
        nested = self._nested_by_call.get(call_id)
        if nested is None:
            return
        for nested_call_id, use in list(nested.items()):
            if now_ms - use.used_ms > NESTED_CALL_EXPIRY_MS:
                del nested[nested_call_id]
                continue
            target = 1.0 if nested_call_id in made else 0.0
            share = use.share + NESTED_SHARE_GAIN * (target - use.share)
            nested[nested_call_id] = use._replace(share=share)
