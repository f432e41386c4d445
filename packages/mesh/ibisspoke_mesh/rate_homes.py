"""Home nodes, which admit the requests of organisations whose bucket is low."""

import asyncio
import itertools

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.rendezvous import preferred
from ibisspoke_policy.shared_rate import Home, SharedRates

from .fleet import Fleet
from .peer import Peer

REFRESH_MS = 250.0  # half of the status interval
REGION_TIMEOUT_MS = 100.0  # a reply takes a few milliseconds in the region
OTHER_REGION_TIMEOUT_MS = 250.0  # a reply takes 42 ms from another region
DENIAL_MS = 50.0  # requests are refused for this time after a denial


class RateHomes:
    """Finds the home nodes of organisations, and asks them to admit requests.

    All nodes that consider the same nodes alive agree on a home node. If they do not,
    two nodes may act as home, and each counts the admissions that the other reports a
    moment later.
    """

    def __init__(self, fleet: Fleet, rates: SharedRates, clock: Clock) -> None:
        self._fleet = fleet
        self._rates = rates
        self._clock = clock
        self._streams = itertools.count(1)
        self._refreshed_ms = float("-inf")
        self._alive: frozenset[str] = frozenset()
        self._home_by_organisation: dict[str, str] = {}
        self._denied_until_ms_by_organisation: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"RateHomes(n_alive={len(self._alive)})"

    def role(self, organisation: str) -> Home:
        """Return whether this node is the home node of an organisation."""
        own = self._fleet.own
        if own is None or not self._fleet.peers_by_id:
            return Home.UNREACHABLE
        return Home.OWN if self._home(organisation) == own.node else Home.OTHER

    async def ask(self, organisation: str) -> bool:
        """Ask the home node to admit a request; use the own share without a reply."""
        now_ms = self._clock.now_ms()
        if now_ms < self._denied_until_ms_by_organisation.get(organisation, 0.0):
            return False
        peer = self._fleet.peers_by_id.get(self._home(organisation))
        answer = await self._request(peer, organisation) if peer is not None else None
        now_ms = self._clock.now_ms()
        if answer is None:
            return self._rates.admit_by_share(organisation, now_ms)
        if not answer:
            self._denied_until_ms_by_organisation[organisation] = now_ms + DENIAL_MS
        return answer

    def grant(self, organisation: str) -> bool:
        """Return whether to admit a request, as the home node, for another node."""
        return self._rates.grant(organisation, self._clock.now_ms())

    async def _request(self, peer: Peer, organisation: str) -> bool | None:
        same_region = peer.distance.same_region
        timeout_ms = REGION_TIMEOUT_MS if same_region else OTHER_REGION_TIMEOUT_MS
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                return await peer.link.ask_rate(next(self._streams), organisation)
        except TimeoutError:
            return None

    def _home(self, organisation: str) -> str:
        self._refresh()
        home = self._home_by_organisation.get(organisation)
        if home is None:
            home = preferred(organisation, self._alive)
            self._home_by_organisation[organisation] = home
        return home

    def _refresh(self) -> None:
        """Correct the known home nodes if the set of alive nodes has changed."""
        now_ms = self._clock.now_ms()
        own = self._fleet.own
        if own is None or now_ms - self._refreshed_ms < REFRESH_MS:
            return
        self._refreshed_ms = now_ms
        alive = frozenset(
            peer.record.node
            for peer in self._fleet.peers_by_id.values()
            if peer.is_alive(now_ms) and peer.link.unreachable_until_ms <= now_ms
        )
        alive |= {own.node}
        if alive == self._alive:
            return
        joined = alive - self._alive
        self._alive = alive
        homes = self._home_by_organisation
        for organisation, home in list(homes.items()):
            if home not in alive:
                del homes[organisation]
            elif joined:
                homes[organisation] = preferred(organisation, [home, *joined])
