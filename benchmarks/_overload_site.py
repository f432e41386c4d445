"""The two sites, scaled down, and clients that retry."""

import asyncio
import itertools
import random
from enum import StrEnum
from typing import NamedTuple

from ibisspoke_node.buffer_budget import BufferBudget
from ibisspoke_node.upstream_client import UpstreamClient, UpstreamRequest
from ibisspoke_policy.catalogue import (
    Call,
    Catalogue,
    Importance,
    Key,
    Organisation,
    digest_key,
)
from ibisspoke_policy.clock import Clock
from ibisspoke_standins.chain_upstream import NUMBER_HEADER

HOST = "127.0.0.1"
MAX_ANSWER_BYTES = 16_777_216
CHAIN = ("front", "middle", "back")
PATH_BY_SERVICE = {"front": "/deep", "middle": "/deep", "back": "/leaf"}
N_SERVERS = 4
N_RETRIES = 3
TIMEOUT_MS = 1_000
RETRY_PAUSE_MS = 50.0
N_ORGANISATIONS = 8
UNLIMITED_PER_S = 1_000_000.0


class Mode(StrEnum):
    """How callers reach the upstreams."""

    IBISSPOKE = "ibisspoke"
    UNCONTROLLED = "uncontrolled"
    FIXED_LIMIT = "fixed_limit"


class Site(NamedTuple):
    """One site; the last service of the chain is its bottleneck.

    :param n_back_slots: slots of each server of the last service.
    :param back_ms: time that the last service takes for one request.
    """

    name: str
    n_back_slots: int
    back_ms: float

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that the last service can execute."""
        return N_SERVERS * self.n_back_slots / self.back_ms * 1000.0

    def n_slots(self, depth: int) -> int:
        """Slots of each server of a service."""
        return self.n_back_slots * (8, 5, 1)[depth]

    def service_ms(self, depth: int) -> float:
        """Time for one request without its nested request."""
        return self.back_ms * (0.25, 0.25, 1.0)[depth]


SITE_BY_NAME = {
    "lockbacken": Site("lockbacken", 2, 80.0),
    "harmattan": Site("harmattan", 4, 160.0),
}
IMPORTANCE_BY_NAME = {importance.name.lower(): importance for importance in Importance}


def _calls() -> dict[str, Call]:
    calls = {}
    for service in CHAIN:
        for name, importance in IMPORTANCE_BY_NAME.items():
            call_id = f"{service}.{name}"
            path = f"{PATH_BY_SERVICE[service]}/{name}"
            calls[call_id] = _call(call_id, service, "GET", path, importance, True)
        path = PATH_BY_SERVICE[service]
        call_id = f"{service}.nested"
        calls[call_id] = _call(call_id, service, "GET", path, Importance.LOW, True)
    calls["back.order"] = _call(
        "back.order", "back", "POST", "/leaf/order", Importance.HIGH, False
    )
    return calls


def _call(
    call_id: str,
    service: str,
    method: str,
    path: str,
    importance: Importance,
    idempotent: bool,
) -> Call:
    return Call(
        call_id,
        service,
        method,
        path,
        "benchmark",
        importance,
        idempotent,
        timeout_ms=TIMEOUT_MS,
        max_retries=N_RETRIES,
    )


def _organisations() -> dict[str, Organisation]:
    return {
        f"o{i}": Organisation(f"o{i}", UNLIMITED_PER_S, UNLIMITED_PER_S)
        for i in range(N_ORGANISATIONS)
    }


def _keys() -> dict[str, Key]:
    digests = {digest_key(f"key-{name}"): name for name in _organisations()}
    return {digest: Key(digest, name, "", 0) for digest, name in digests.items()}


CATALOGUE = Catalogue(1, _calls(), _organisations(), _keys())


class Reply(NamedTuple):
    """Last answer to a caller.

    :param status: 0 if no answer arrived in time.
    """

    status: int
    body: bytes = b""


class DirectCaller:
    """Calls the servers of one service without admission control, with retries."""

    def __init__(self, ports: list[int]) -> None:
        clock = Clock()
        self._clients = [
            UpstreamClient(HOST, port, clock, BufferBudget(MAX_ANSWER_BYTES))
            for port in ports
        ]
        self._round_robin = itertools.cycle(self._clients)

    async def call(self, target: str, number: str) -> int:
        """Return the status of the last attempt, or 504 if it was not answered."""
        status = 504
        for _ in range(1 + N_RETRIES):
            reply = await fetch(
                next(self._round_robin), "GET", target, [(NUMBER_HEADER, number)]
            )
            if reply.status == 200:
                return 200
            status = reply.status or 504
            await asyncio.sleep(RETRY_PAUSE_MS / 1000.0 * random.random())
        return status


async def fetch(
    client: UpstreamClient,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
) -> Reply:
    """Send one request and give up after the timeout of the caller."""
    request = UpstreamRequest(method, target, headers, body, 65_536)
    try:
        result = await asyncio.wait_for(client.fetch(request), TIMEOUT_MS / 1000.0)
    except TimeoutError:
        return Reply(0)
    if result.is_err():
        return Reply(0)
    return Reply(result.ok_value.status, result.ok_value.body)
