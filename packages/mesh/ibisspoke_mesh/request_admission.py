"""Admission of requests: route, key, rate limit, early refusal on overload."""

import random
from collections.abc import Callable
from typing import NamedTuple

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.dependency_shedding import DependencyShedder
from ibisspoke_policy.freshness import ConfigFreshness
from ibisspoke_policy.retry_window import RetryBudget
from ibisspoke_policy.route_table import (
    KeyOwner,
    Regions,
    Route,
    RouteTable,
    common_regions,
)
from ibisspoke_policy.shared_rate import Admission, SharedRates
from ibisspoke_policy.weighted_split import WeightedSplitter

from .caller_messages import CallerRequest
from .dialect import Dialect
from .fleet import Fleet
from .rate_homes import RateHomes
from .settings import NodeSettings

NO_CONFIG_RETRY_MS = 500.0
MAX_RETRY_SHARE = 0.3  # of the time left; callers wait for at most a third of it
MIN_RETRY_AFTER_MS = 100.0
NO_DEADLINE_MS = 2_000.0  # for callers that send no deadline
BEARER = b"bearer "


class Refusal(NamedTuple):
    """A response that this node sends without asking an upstream.

    :param reason: for the log and the metrics.
    :param retry_after_ms: when the caller may retry; 0 if it should not.
    :param organisation: the one whose rate was exceeded, if any.
    :param route: name of the request's route, if it was admitted or shed.
    """

    status: int
    reason: str
    retry_after_ms: float = 0.0
    organisation: str = ""
    route: str = ""


class RateCheckNeeded(NamedTuple):
    """The home node of the organisation must decide whether the rate allows it."""

    organisation: str


class AdmittedRequest(NamedTuple):
    """A request that may be sent to an upstream.

    :param deadline_ms: end of the caller's or the route's timeout, on the monotonic
        clock.
    :param caller_deadline_ms: end of the caller's timeout, on the monotonic clock.
    :param regions: where it may be served; None for all regions.
    """

    id: bytes
    route: Route
    owner: KeyOwner | None
    service: str
    deadline_ms: float
    caller_deadline_ms: float
    regions: Regions | None = None

    @property
    def is_nested(self) -> bool:
        """Whether the caller is an upstream; see :func:`is_nested`."""
        return is_nested(self.route, self.owner)


class RequestAdmission:
    """Admits the requests that the configuration in force allows.

    :ivar must_end_by_ms: end of this node, on the monotonic clock; requests whose time
        limit is later are refused. None while no stop is near its end.
    :param table: returns the configuration in force.
    """

    def __init__(
        self,
        settings: NodeSettings,
        dialect: Dialect,
        table: Callable[[], RouteTable | None],
        freshness: ConfigFreshness,
        fleet: Fleet,
        rates: SharedRates,
        homes: RateHomes,
        retries: RetryBudget,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.splitter = WeightedSplitter(rng)
        self.must_end_by_ms: float | None = None
        self._shedder = DependencyShedder(rng)
        self._dialect = dialect
        self._table = table
        self._freshness = freshness
        self._fleet = fleet
        self._rates = rates
        self._homes = homes
        self._retries = retries
        self._clock = clock
        self._rng = rng

    def __repr__(self) -> str:
        return f"RequestAdmission({self._table()})"

    @property
    def version(self) -> int:
        """The configuration version in force; 0 before any is known."""
        table = self._table()
        return table.version if table is not None else 0

    def refund_if_not_run(self, admitted: AdmittedRequest, may_have_run: bool) -> None:
        """Refund the rate token of a request that did not run."""
        if admitted.owner is not None and not may_have_run:
            organisation = admitted.owner.organisation
            self._rates.refund(organisation, self._clock.now_ms())

    def admit(
        self,
        request: CallerRequest,
        headers: dict[bytes, bytes],
        request_id: bytes,
        is_granted: bool = False,
    ) -> AdmittedRequest | Refusal | RateCheckNeeded:
        """Return the admitted request, a refusal, or that its rate must be checked.

        :param is_granted: whether the home node has already admitted it.
        """
        table = self._table()
        if table is None:
            return Refusal(503, "no_configuration", NO_CONFIG_RETRY_MS)
        now_ms = self._clock.boot_ms()
        age_ms = self._freshness.age_ms(table.version, now_ms)
        is_fresh = age_ms < self.settings.key_proof_ms
        host = headers.get(b"host", b"").decode("latin-1")
        path = request.target.decode("latin-1").partition("?")[0]
        route = table.find(host, path)
        if route is None:
            return self._refuse_unknown("route_unknown", 404, is_fresh)
        owner: KeyOwner | None = None
        if table.has_organisations and not route.is_public:
            owner = self._key_owner(table, headers)
            if owner is None:
                return self._refuse_unknown("key_unknown", 401, is_fresh)
            if not is_fresh:
                return Refusal(503, "keys_not_proven", NO_CONFIG_RETRY_MS)
            if not is_granted:
                name = owner.organisation
                admission = self._rates.admit(
                    name, lambda: self._homes.role(name), self._clock.now_ms()
                )
                if admission is Admission.ASK:
                    return RateCheckNeeded(name)
                if admission is Admission.REFUSED:
                    return self.refuse_over_rate(request, headers, name)
        regions: Regions | None = None
        if route.regions is not None or table.has_restricted_owners:
            # A public route needs no key, but a key that is sent may be restricted.
            key_owner = owner or self._key_owner(table, headers)
            regions = common_regions(route, key_owner)
        return self._admit(request, headers, request_id, route, owner, regions)

    def _key_owner(
        self, table: RouteTable, headers: dict[bytes, bytes]
    ) -> KeyOwner | None:
        key = _bearer_token(headers, self._dialect)
        return table.owners_by_key.get(key) if key is not None else None

    def refuse_over_rate(
        self, request: CallerRequest, headers: dict[bytes, bytes], organisation: str
    ) -> Refusal:
        """Return the refusal of a request that exceeds its organisation's rate."""
        caller_ms = _parse_number(headers.get(self._dialect.deadline)) or NO_DEADLINE_MS
        wait_ms = caller_ms * MAX_RETRY_SHARE * self._rng.random()
        wait_ms = max(MIN_RETRY_AFTER_MS, wait_ms)
        return Refusal(429, "rate_exceeded", wait_ms, organisation)

    def _refuse_unknown(self, reason: str, status: int, is_fresh: bool) -> Refusal:
        """Refuse permanently only if the configuration is known to be current."""
        if is_fresh:
            return Refusal(status, reason)
        return Refusal(503, f"{reason}_not_proven", NO_CONFIG_RETRY_MS)

    def _admit(
        self,
        request: CallerRequest,
        headers: dict[bytes, bytes],
        request_id: bytes,
        route: Route,
        owner: KeyOwner | None,
        regions: Regions | None,
    ) -> AdmittedRequest | Refusal:
        now_ms = self._clock.now_ms()
        stated_ms = _parse_number(headers.get(self._dialect.deadline))
        caller_ms = stated_ms if stated_ms is not None else route.timeout_ms
        deadline_ms = request.arrived_ms + min(caller_ms, route.timeout_ms)
        if self.must_end_by_ms is not None and deadline_ms > self.must_end_by_ms:
            if owner is not None:
                self._rates.refund(owner.organisation, now_ms)
            # Another process takes requests on this VM once this one has ended.
            wait_ms = min(self.must_end_by_ms - now_ms, caller_ms * MAX_RETRY_SHARE)
            wait_ms = max(MIN_RETRY_AFTER_MS, wait_ms)
            return Refusal(503, "stopping", wait_ms, route=route.name)
        service = self.splitter.pick(route)
        self._retries.count_request(service, now_ms)
        if not is_nested(route, owner):
            pressure = self._fleet.pressure(service, route.name, regions)
            if not self._shedder.admits(route.name, route.priority, pressure, now_ms):
                if owner is not None:
                    self._rates.refund(owner.organisation, now_ms)
                wait_ms = caller_ms * MAX_RETRY_SHARE * self._rng.uniform(0.5, 1.0)
                return Refusal(503, "dependency_overloaded", wait_ms, route=route.name)
        return AdmittedRequest(
            request_id,
            route,
            owner,
            service,
            deadline_ms,
            request.arrived_ms + caller_ms,
            regions,
        )


def is_nested(route: Route, owner: KeyOwner | None) -> bool:
    """Return whether an upstream sent the request.

    Requests to public routes without a key are taken for such nested calls, since few
    other callers use these routes.
    """
    return owner is None and route.is_public


def _bearer_token(headers: dict[bytes, bytes], dialect: Dialect) -> str | None:
    """Return the key of a request, or None if it has none, which is no empty key."""
    value = headers.get(dialect.credentials, b"")
    if not value.lower().startswith(BEARER):
        return None
    return value[len(BEARER) :].strip().decode("latin-1")


def _parse_number(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0.0 <= number < 1e9 else None
