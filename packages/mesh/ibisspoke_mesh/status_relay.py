"""Relay of node statuses between data centres, in digests."""

from collections.abc import Callable

from ibisspoke_policy.clock import Clock

from .fleet import Fleet, Peer
from .node_ranks import N_RELAYS, NodeRanks
from .status_messages import Digest, NodeStatus
from .status_receiver import StatusReceiver

REGION_INTERVAL_MS = 500.0  # of each relay; with two, statuses arrive twice as often
OTHER_REGION_INTERVAL_MS = 1_000.0  # traffic between regions is costly
REGION_SHORT_INTERVAL_MS = 200.0  # while an organisation's rate is nearly used up
OTHER_REGION_SHORT_INTERVAL_MS = 400.0
MAX_STATUSES_PER_DIGEST = 16  # fit the usual packet of 1,500 bytes
MAX_STATUS_AGE_MS = 2_500.0  # older statuses are dropped; the node has probably ended

Send = Callable[[Peer, Digest], None]


class StatusRelay:
    """Sends digests to a node of each other data centre, which forwards them there.

    The highest-ranked nodes of a data centre are its relays. Each sends to a different
    node, so that statuses still arrive if one of them fails.

    :param send: sends a digest to a node.
    :param on_unknown: called when a digest contains an unknown node.
    """

    def __init__(
        self,
        fleet: Fleet,
        receiver: StatusReceiver,
        ranks: NodeRanks,
        clock: Clock,
        send: Send,
        on_unknown: Callable[[], None],
    ) -> None:
        self._fleet = fleet
        self._receiver = receiver
        self._ranks = ranks
        self._clock = clock
        self._send = send
        self._on_unknown = on_unknown
        self._latest_by_node: dict[str, tuple[NodeStatus, float]] = {}
        self._sent_ms_by_data_centre: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"StatusRelay({self._ranks!r})"

    def store(self, status: NodeStatus) -> None:
        """Store the latest status of a node of this data centre."""
        self._latest_by_node[status.node] = (status, self._clock.now_ms())

    def tick(self, own_status: Callable[[], NodeStatus], is_rate_low: bool) -> None:
        """Send the digests that are due, if this node is a relay.

        :param own_status: returns the status of this node.
        :param is_rate_low: whether an organisation's rate is nearly used up, so that
            nodes need recent totals.
        """
        rank = self._ranks.relay_rank
        if rank >= N_RELAYS:
            return
        now_ms = self._clock.now_ms()
        for data_centre, peers in self._ranks.relays_by_data_centre.items():
            sent_ms = self._sent_ms_by_data_centre.get(data_centre, float("-inf"))
            if now_ms - sent_ms >= _interval_ms(peers[0], is_rate_low):
                self._sent_ms_by_data_centre[data_centre] = now_ms
                target = peers[min(rank, len(peers) - 1)]
                self._send_digests(target, own_status(), now_ms)

    def receive(self, digest: Digest) -> None:
        """Apply a digest, and forward it if it came from another data centre."""
        own = self._fleet.own
        for age_ms, status in digest.statuses:
            is_own = own is not None and status.node == own.node
            if not is_own and self._receiver.apply(status, float(age_ms)) is None:
                self._on_unknown()
        if not digest.passes_on:
            return
        copy = Digest(digest.node, False, digest.statuses)
        for peer in self._fleet.peers_by_id.values():
            if peer.distance.same_data_centre:
                self._send(peer, copy)

    def _send_digests(self, peer: Peer, own: NodeStatus, now_ms: float) -> None:
        statuses = [(0, own)]
        for node, (status, received_ms) in list(self._latest_by_node.items()):
            if now_ms - received_ms > MAX_STATUS_AGE_MS:
                del self._latest_by_node[node]
            else:
                statuses.append((int(now_ms - received_ms), status))
        for start in range(0, len(statuses), MAX_STATUSES_PER_DIGEST):
            part = statuses[start : start + MAX_STATUSES_PER_DIGEST]
            self._send(peer, Digest(own.node, True, part))


def _interval_ms(peer: Peer, is_rate_low: bool) -> float:
    if peer.distance.same_region:
        return REGION_SHORT_INTERVAL_MS if is_rate_low else REGION_INTERVAL_MS
    return OTHER_REGION_SHORT_INTERVAL_MS if is_rate_low else OTHER_REGION_INTERVAL_MS
