"""Which requests may be passed on: route, key, rate, early refusal."""

import random
from collections.abc import Callable
from typing import NamedTuple

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.dependency_shedding import DependencyShedder
from ibisspoke_policy.freshness import Freshness
from ibisspoke_policy.retry_window import RetryBudget
from ibisspoke_policy.route_table import KeyHolder, Route, RouteTable
from ibisspoke_policy.shared_rate import Admission, SharedRates
from ibisspoke_policy.weighted_split import WeightedSplitter

from .caller_server import CallerRequest
from .dialect import Dialect
from .fleet import Fleet
from .rate_homes import RateHomes
from .settings import NodeSettings

NO_CONFIG_RETRY_MS = 500.0
MAX_RETRY_SHARE = 0.3  # of the time left: callers wait for at most a third of it
MIN_RETRY_AFTER_MS = 100.0
NO_DEADLINE_MS = 2_000.0  # of callers that state none
BEARER = b"bearer "


class Refusal(NamedTuple):
    """A final answer of this node's own.

    :param reason: for the log.
    :param retry_after_ms: when to come back; 0 for never.
    :param organisation: whose rate was exceeded.
    """

    status: int
    reason: str
    retry_after_ms: float = 0.0
    organisation: str = ""


class RateQuestion(NamedTuple):
    """Whether a request is within its organisation's rate is for its home to say."""

    organisation: str


class Accepted(NamedTuple):
    """A request that may be passed on.

    :param deadline_ms: when its caller or its route gives up, in process time.
    :param caller_deadline_ms: when its caller gives up, in process time.
    """

    id: bytes
    route: Route
    holder: KeyHolder | None
    service: str
    deadline_ms: float
    caller_deadline_ms: float

    @property
    def is_nested(self) -> bool:
        """Whether an upstream makes the call: callers of public routes are few."""
        return is_nested(self.route, self.holder)


class Acceptance:
    """Accept the requests that the configuration in force allows.

    :param table: returns the configuration in force.
    """

    def __init__(
        self,
        settings: NodeSettings,
        dialect: Dialect,
        table: Callable[[], RouteTable | None],
        freshness: Freshness,
        fleet: Fleet,
        rates: SharedRates,
        homes: RateHomes,
        retries: RetryBudget,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.splitter = WeightedSplitter(rng)
        self.is_closing = False
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
        return f"Acceptance({self._table()})"

    @property
    def version(self) -> int:
        """The version in force; 0 before any is known."""
        table = self._table()
        return table.version if table is not None else 0

    def settle(self, accepted: Accepted, may_have_run: bool) -> None:
        """Give the token of a request back that did not run."""
        if accepted.holder is not None and not may_have_run:
            self._rates.give_back(accepted.holder.organisation)

    def accept(
        self,
        request: CallerRequest,
        headers: dict[bytes, bytes],
        request_id: bytes,
        is_granted: bool = False,
    ) -> Accepted | Refusal | RateQuestion:
        """Return what a request may become, or why it is refused at once.

        :param is_granted: whether it is known to be within its organisation's rate.
        """
        table = self._table()
        if table is None:
            return Refusal(503, "no_configuration", NO_CONFIG_RETRY_MS)
        if self.is_closing:
            return Refusal(503, "stopping", NO_CONFIG_RETRY_MS)
        now_ms = self._clock.boot_ms()
        age_ms = self._freshness.age_ms(table.version, now_ms)
        is_fresh = age_ms < self.settings.key_proof_ms
        host = headers.get(b"host", b"").decode("latin-1")
        path = request.target.decode("latin-1").partition("?")[0]
        route = table.find(host, path)
        if route is None:
            return self._unknown("route_unknown", 404, is_fresh)
        holder: KeyHolder | None = None
        if table.has_organisations and not route.is_public:
            holder = table.holders_by_key.get(_key_of(headers, self._dialect))
            if holder is None:
                return self._unknown("key_unknown", 401, is_fresh)
            if not is_fresh:
                return Refusal(503, "keys_not_proven", NO_CONFIG_RETRY_MS)
            if not is_granted:
                name = holder.organisation
                role = self._homes.role(name)
                admission = self._rates.admit(name, role, self._clock.now_ms())
                if admission is Admission.ASK:
                    return RateQuestion(name)
                if admission is Admission.REFUSED:
                    return self.over_rate(request, headers, name)
        return self._admit(request, headers, request_id, route, holder)

    def over_rate(
        self, request: CallerRequest, headers: dict[bytes, bytes], organisation: str
    ) -> Refusal:
        """Refuse a request beyond its organisation's rate."""
        caller_ms = _number(headers.get(self._dialect.deadline)) or NO_DEADLINE_MS
        wait_ms = caller_ms * MAX_RETRY_SHARE * self._rng.random()
        wait_ms = max(MIN_RETRY_AFTER_MS, wait_ms)
        return Refusal(429, "rate_exceeded", wait_ms, organisation)

    def _unknown(self, reason: str, status: int, is_fresh: bool) -> Refusal:
        """Refuse for good only by a configuration that is known to be current."""
        if is_fresh:
            return Refusal(status, reason)
        return Refusal(503, f"{reason}_not_proven", NO_CONFIG_RETRY_MS)

    def _admit(
        self,
        request: CallerRequest,
        headers: dict[bytes, bytes],
        request_id: bytes,
        route: Route,
        holder: KeyHolder | None,
    ) -> Accepted | Refusal:
        now_ms = self._clock.now_ms()
        stated_ms = _number(headers.get(self._dialect.deadline))
        caller_ms = stated_ms if stated_ms is not None else route.timeout_ms
        service = self.splitter.pick(route)
        self._retries.count_request(service, now_ms)
        if not is_nested(route, holder):
            pressure = self._fleet.pressure(service, route.name)
            if not self._shedder.admits(route.name, route.priority, pressure, now_ms):
                if holder is not None:
                    self._rates.give_back(holder.organisation)
                wait_ms = caller_ms * MAX_RETRY_SHARE * self._rng.uniform(0.5, 1.0)
                return Refusal(503, "dependency_overloaded", wait_ms)
        arrived_ms = request.arrived_ms
        return Accepted(
            request_id,
            route,
            holder,
            service,
            arrived_ms + min(caller_ms, route.timeout_ms),
            arrived_ms + caller_ms,
        )


def is_nested(route: Route, holder: KeyHolder | None) -> bool:
    """Tell whether an upstream makes the call: callers of public routes are few."""
    return holder is None and route.is_public


def _key_of(headers: dict[bytes, bytes], dialect: Dialect) -> str:
    value = headers.get(dialect.credentials, b"")
    if not value.lower().startswith(BEARER):
        return ""
    return value[len(BEARER) :].strip().decode("latin-1")


def _number(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0.0 <= number < 1e9 else None
