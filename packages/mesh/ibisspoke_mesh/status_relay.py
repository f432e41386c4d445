"""Passes the statuses of a data centre on to the others, in few datagrams."""

from collections.abc import Callable

from ibisspoke_policy.clock import Clock

from .fleet import Fleet, Peer
from .node_ranks import N_RELAYS, NodeRanks
from .status_intake import StatusIntake
from .status_messages import Digest, NodeStatus

NEAR_INTERVAL_MS = 500.0  # of one relay; with two, statuses come twice as often
FAR_INTERVAL_MS = 1_000.0  # bytes between regions are dear
NEAR_NEWS_MS = 200.0  # while the rate of an organisation is nearly used up
FAR_NEWS_MS = 400.0
MAX_STATUSES = 16  # of a datagram, which then fits the usual packet of 1,500 bytes
KEPT_MS = 2_500.0  # older statuses tell nothing; the node has probably ended

Send = Callable[[Peer, Digest], None]


class StatusRelay:
    """Send digests to a node of each other data centre, which passes them on.

    The first nodes of a data centre by rank do so, each to another node, so that the
    loss of one leaves a way.

    :param send: sends a digest to a node.
    :param on_unknown: called when a digest names a node that nothing is known of.
    """

    def __init__(
        self,
        fleet: Fleet,
        intake: StatusIntake,
        ranks: NodeRanks,
        clock: Clock,
        send: Send,
        on_unknown: Callable[[], None],
    ) -> None:
        self._fleet = fleet
        self._intake = intake
        self._ranks = ranks
        self._clock = clock
        self._send = send
        self._on_unknown = on_unknown
        self._latest_by_node: dict[str, tuple[NodeStatus, float]] = {}
        self._sent_ms_by_data_centre: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"StatusRelay({self._ranks!r})"

    def note(self, status: NodeStatus) -> None:
        """Take in the status that a node of this data centre has told."""
        self._latest_by_node[status.node] = (status, self._clock.now_ms())

    def tick(self, own_status: Callable[[], NodeStatus], is_tight: bool) -> None:
        """Send digests where they are due, if this node is to.

        :param own_status: returns what this node tells of itself.
        :param is_tight: whether nodes must soon agree on what is left of a rate.
        """
        rank = self._ranks.relay_rank
        if rank >= N_RELAYS:
            return
        now_ms = self._clock.now_ms()
        for data_centre, peers in self._ranks.relays_by_data_centre.items():
            sent_ms = self._sent_ms_by_data_centre.get(data_centre, float("-inf"))
            if now_ms - sent_ms >= _interval_ms(peers[0], is_tight):
                self._sent_ms_by_data_centre[data_centre] = now_ms
                target = peers[min(rank, len(peers) - 1)]
                self._send_digests(target, own_status(), now_ms)

    def take(self, digest: Digest) -> None:
        """Take in a digest, and pass it on if it came from another data centre."""
        own = self._fleet.own
        for age_ms, status in digest.statuses:
            is_own = own is not None and status.node == own.node
            if not is_own and self._intake.take(status, float(age_ms)) is None:
                self._on_unknown()
        if not digest.passes_on:
            return
        copy = Digest(digest.node, False, digest.statuses)
        for peer in self._fleet.peers_by_id.values():
            if peer.distance.same_data_centre:
                self._send(peer, copy)

    def _send_digests(self, peer: Peer, own: NodeStatus, now_ms: float) -> None:
        statuses = [(0, own)]
        for node, (status, told_ms) in list(self._latest_by_node.items()):
            if now_ms - told_ms > KEPT_MS:
                del self._latest_by_node[node]
            else:
                statuses.append((int(now_ms - told_ms), status))
        for start in range(0, len(statuses), MAX_STATUSES):
            part = statuses[start : start + MAX_STATUSES]
            self._send(peer, Digest(own.node, True, part))


def _interval_ms(peer: Peer, is_tight: bool) -> float:
    if peer.distance.same_region:
        return NEAR_NEWS_MS if is_tight else NEAR_INTERVAL_MS
    return FAR_NEWS_MS if is_tight else FAR_INTERVAL_MS
