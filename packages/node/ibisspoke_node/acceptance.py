"""Checks whether a request is accepted: route, key or context, and rate limit."""

import itertools
import os
from typing import NamedTuple

from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders

from ibisspoke_policy.catalogue import Call
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.context import MAX_HOPS, ContextSigner, RequestContext
from ibisspoke_policy.isolation import IsolationWatch
from ibisspoke_policy.quota import QuotaDecision, TokenSource
from ibisspoke_policy.refusal import Ran, Refusal, RefusalKind, deadline_exceeded
from ibisspoke_policy.slot_lease import open_call_name

from .headers import CONTEXT_HEADER, TIMEOUT_HEADER
from .in_force import CatalogueInForce

BEARER_PREFIX = "bearer "
NO_CATALOGUE_RETRY_AFTER_MS = 1_000
ISOLATED_RETRY_AFTER_MS = 5_000
# Shorter isolation never causes a refusal, whatever the organisation has set.
MIN_ISOLATION_MS = 10_000.0


class Accepted(NamedTuple):
    """A request that passed the checks.

    :param target: path and query relative to the service.
    :param quota_name: set when a token must still be acquired from other nodes.
    """

    call: Call
    context: RequestContext
    target: str
    deadline_ms: float
    quota_name: str = ""


class Acceptance:
    """Check requests against the catalogue in force.

    :param node_id: included in request ids to make them unique in the fleet.
    """

    def __init__(
        self,
        node_id: str,
        catalogue_in_force: CatalogueInForce,
        tokens: TokenSource,
        signer: ContextSigner,
        clock: Clock,
        isolation: IsolationWatch | None = None,
    ) -> None:
        self._isolation = isolation or IsolationWatch(clock)
        self._id_prefix = f"{node_id}-{os.urandom(4).hex()}-"
        self._ids = itertools.count(1)
        self._catalogue_in_force = catalogue_in_force
        self._tokens = tokens
        self._signer = signer
        self._clock = clock

    def check(
        self, method: str, uri: str, headers: HTTPHeaders
    ) -> Result[Accepted, Refusal]:
        """Return the accepted request, or the reason for its refusal."""
        service, _, rest = uri.lstrip("/").partition("/")
        target = "/" + rest
        path = target.partition("?")[0]
        call = self._catalogue_in_force.routes.find(service, method, path)
        if call is None:
            return Err(self._route_refusal(method, service, path))
        token = headers.get(CONTEXT_HEADER)
        if token is not None:
            return self._check_nested(call, target, token)
        return self._check_root(call, target, headers)

    async def acquire(self, accepted: Accepted) -> Refusal | None:
        """Acquire the missing token from other nodes, or return a refusal."""
        name = accepted.quota_name
        decision = await self._tokens.acquire(name, accepted.deadline_ms)
        return None if decision.granted else _rate_exceeded(name, decision)

    def next_id(self) -> str:
        """Return a unique request id."""
        return self._id_prefix + str(next(self._ids))

    def _check_root(
        self, call: Call, target: str, headers: HTTPHeaders
    ) -> Result[Accepted, Refusal]:
        organisation = ""
        quota_name = open_call_name(call.id)
        if not call.is_open:
            found = self._authenticate(headers)
            if isinstance(found, Err):
                return found
            organisation = quota_name = found.ok_value
        timeout_ms = _timeout_ms(call, headers)
        if isinstance(timeout_ms, Err):
            return timeout_ms
        now_ms = self._clock.now_ms()
        decision = self._tokens.take(quota_name, now_ms)
        if not decision.granted and not decision.may_ask_other_nodes:
            return Err(_rate_exceeded(quota_name, decision))
        wall_ms = self._clock.wall_ms()
        context = RequestContext(
            self.next_id(),
            organisation,
            call.importance,
            wall_ms + timeout_ms.ok_value,
            wall_ms,
            call.max_retries,
            0,
            "",
        )
        deadline_ms = now_ms + timeout_ms.ok_value
        pending = "" if decision.granted else quota_name
        return Ok(Accepted(call, context, target, deadline_ms, pending))

    def _check_nested(
        self, call: Call, target: str, token: str
    ) -> Result[Accepted, Refusal]:
        context = self._signer.decode(token)
        if context is None:
            return Err(_bad_context())
        remaining_ms = context.deadline_wall_ms - self._clock.wall_ms()
        if remaining_ms <= 0:
            detail = "the deadline of the root request has passed"
            return Err(deadline_exceeded(Ran.NOT_RUN, detail))
        if context.n_hops + 1 >= MAX_HOPS:
            return Err(_chain_too_deep())
        timeout_ms = min(remaining_ms, call.timeout_ms)
        nested_context = context._replace(n_hops=context.n_hops + 1)
        deadline_ms = self._clock.now_ms() + timeout_ms
        return Ok(Accepted(call, nested_context, target, deadline_ms))

    def _authenticate(self, headers: HTTPHeaders) -> Result[str, Refusal]:
        value = headers.get("Authorization", "")
        if not value.lower().startswith(BEARER_PREFIX):
            return Err(_missing_key())
        key = value[len(BEARER_PREFIX) :].strip()
        organisation = self._catalogue_in_force.catalogue.organisation_of_key(key)
        if organisation is None:
            return Err(_unknown_key())
        limit_s = organisation.serve_when_isolated_s
        if self._isolation.isolated_ms > max(MIN_ISOLATION_MS, limit_s * 1000.0):
            return Err(_isolated(limit_s))
        return Ok(organisation.id)

    def _route_refusal(self, method: str, service: str, path: str) -> Refusal:
        if self._catalogue_in_force.version == 0:
            return Refusal(
                RefusalKind.NO_CATALOGUE,
                Ran.NOT_RUN,
                "this node has not received a catalogue yet",
                "retry after the time given; apply a catalogue if there is none",
                NO_CATALOGUE_RETRY_AFTER_MS,
            )
        return Refusal(
            RefusalKind.UNKNOWN_ROUTE,
            Ran.NOT_RUN,
            f"the catalogue has no call {method} {path} of {service!r}",
            "correct the URL, or add the call to the catalogue",
        )


def _timeout_ms(call: Call, headers: HTTPHeaders) -> Result[float, Refusal]:
    value = headers.get(TIMEOUT_HEADER)
    if value is None:
        return Ok(float(call.timeout_ms))
    if not (value.isascii() and value.isdigit() and int(value) > 0):
        return Err(
            Refusal(
                RefusalKind.BAD_REQUEST,
                Ran.NOT_RUN,
                f"{TIMEOUT_HEADER} is not a positive number of milliseconds",
                "send whole milliseconds, or leave the header out",
            )
        )
    return Ok(float(min(int(value), call.timeout_ms)))


def _rate_exceeded(organisation: str, decision: QuotaDecision) -> Refusal:
    return Refusal(
        RefusalKind.RATE_EXCEEDED,
        Ran.NOT_RUN,
        f"{organisation} is above its rate",
        "retry after the time given, or ask for a higher rate",
        decision.retry_after_ms,
    )


def _isolated(limit_s: int) -> Refusal:
    return Refusal(
        RefusalKind.ISOLATED,
        Ran.NOT_RUN,
        f"this data centre has reached no other for more than {limit_s} s",
        "send to another data centre, or raise serve_when_isolated_s",
        ISOLATED_RETRY_AFTER_MS,
    )


def _missing_key() -> Refusal:
    return Refusal(
        RefusalKind.MISSING_KEY,
        Ran.NOT_RUN,
        "the call needs a key",
        "send 'Authorization: Bearer KEY'",
    )


def _unknown_key() -> Refusal:
    return Refusal(
        RefusalKind.UNKNOWN_KEY,
        Ran.NOT_RUN,
        "the key is unknown or was withdrawn",
        "ask the operators for a key",
    )


def _bad_context() -> Refusal:
    return Refusal(
        RefusalKind.UNKNOWN_KEY,
        Ran.NOT_RUN,
        f"{CONTEXT_HEADER} was not made by this fleet",
        f"hand on {CONTEXT_HEADER} as it came, or leave it out and send a key",
    )


def _chain_too_deep() -> Refusal:
    return Refusal(
        RefusalKind.BAD_REQUEST,
        Ran.NOT_RUN,
        f"the call chain is deeper than {MAX_HOPS} hops",
        "look for a call that calls itself",
    )
