"""Copies of this node's record at other nodes, which outlast its process."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.upstream_tracker import UpstreamProcess

from .fleet import Fleet
from .peer import Peer

Departures = tuple[UpstreamProcess, ...]

N_ASKED = 6  # nodes at a time, half of them in other data centres if possible
N_COPIES = 2  # nodes that must answer; one of them may fail as well
ASK_INTERVAL_MS = 60.0  # until an unanswered question is repeated; two round trips
KEEP_WAIT_MS = 450.0  # with the wait for the row, less than upstreams wait
RECALL_WAIT_MS = 150.0  # delays an upstream after a restart of all nodes


class RecordCopy(NamedTuple):
    """Another node's copy of this node's record.

    :param heard_incarnation: the last earlier process on this VM of which that node has
        received a status; 0 if there is none.
    """

    departures: Departures
    heard_incarnation: int


class RecordCopies:
    """Uses the records that other nodes keep in memory as copies of the own row.

    While the store cannot be written, a departure is acknowledged once other nodes have
    it in their copy of this node's record. A process that starts on this VM asks for
    these copies, since the row in the store may be older. Nodes that have started since
    know no more than the store; only those that have heard from the process before can
    tell that it had no further departures.

    :param ask: sends the own record to a node, and requests that node's copy of it.
    :param on_departures: called with the departures in each copy.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        rng: random.Random,
        ask: Callable[[Peer], None],
        on_departures: Callable[[Departures], None],
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._ask = ask
        self._on_departures = on_departures
        self._copies_by_holder: dict[str, RecordCopy] = {}
        self._received = asyncio.Event()

    def __repr__(self) -> str:
        return f"RecordCopies({self._copies_by_holder!r})"

    def receive(self, holder: str, copy: RecordCopy) -> None:
        """Handle the copy of the own record that another node has sent."""
        known = self._copies_by_holder.get(holder, copy)
        heard = max(known.heard_incarnation, copy.heard_incarnation)
        self._copies_by_holder[holder] = copy._replace(heard_incarnation=heard)
        self._received.set()
        self._on_departures(copy.departures)

    async def recall(self, incarnation: int) -> bool:
        """Ask other nodes for their copies, and wait for a short time.

        :param incarnation: of the earlier process, by its row in the store.
        :returns: whether any of them has heard from that process or a later one.
        """
        await self._wait_for_copies(set(), RECALL_WAIT_MS, incarnation)
        return any(
            self._holds(node, set(), incarnation) for node in self._copies_by_holder
        )

    async def wait_until_kept(self) -> bool:
        """Wait for a short time until other nodes have the departures.

        :returns: whether enough of them do.
        """
        own = self._fleet.own
        departures = set(own.departures) if own is not None else set()
        return await self._wait_for_copies(departures, KEEP_WAIT_MS)

    async def _wait_for_copies(
        self,
        departures: set[UpstreamProcess],
        timeout_ms: float,
        incarnation: int = 0,
    ) -> bool:
        """Ask for copies until enough nodes have sent one that has the departures."""
        self._copies_by_holder.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / 1000.0):
                while peers := self._choose_peers():
                    n_wanted = min(N_COPIES, len(peers))
                    if self._n_holders(departures, incarnation) >= n_wanted:
                        return True
                    await self._ask_once(peers, departures, incarnation)
        return False

    async def _ask_once(
        self, peers: list[Peer], departures: set[UpstreamProcess], incarnation: int
    ) -> None:
        self._received.clear()
        for peer in peers:
            if not self._holds(peer.record.node, departures, incarnation):
                self._ask(peer)
        with suppress(TimeoutError):
            async with asyncio.timeout(ASK_INTERVAL_MS / 1000.0):
                n_wanted = min(N_COPIES, len(peers))
                while self._n_holders(departures, incarnation) < n_wanted:
                    await self._received.wait()
                    self._received.clear()

    def _choose_peers(self) -> list[Peer]:
        """Return nodes that are alive, of this data centre and of others."""
        now_ms = self._clock.now_ms()
        alive = [p for p in self._fleet.peers_by_id.values() if p.is_alive(now_ms)]
        self._rng.shuffle(alive)
        near = [peer for peer in alive if peer.distance.same_data_centre]
        far = [peer for peer in alive if not peer.distance.same_data_centre]
        n_near = max(N_ASKED // 2, N_ASKED - len(far))
        chosen = near[:n_near]
        return chosen + far[: N_ASKED - len(chosen)]

    def _n_holders(self, departures: set[UpstreamProcess], incarnation: int) -> int:
        nodes = self._copies_by_holder
        return sum(self._holds(node, departures, incarnation) for node in nodes)

    def _holds(
        self, node: str, departures: set[UpstreamProcess], incarnation: int
    ) -> bool:
        copy = self._copies_by_holder.get(node)
        if copy is None or copy.heard_incarnation < incarnation:
            return False
        return departures <= set(copy.departures)
