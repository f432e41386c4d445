"""Distribution of datagrams to many nodes of a data centre, through a few of them."""

import random
from collections.abc import Callable, Sequence

from ibisspoke_policy.clock import Clock

from .fleet import Fleet
from .peer import Peer
from .status_messages import ForwardedDigest, encode
from .status_timeouts import MAX_DIRECT

MIN_PARTS = 12  # of a larger group, each of which one of its nodes sends to

Address = tuple[str, int]


class DigestSpread:
    """Sends a digest to nodes, so that no node sends it to more than a few.

    In large groups, random nodes that are alive pass it on. The sender names the nodes
    to pass it on to, so that nothing depends on views of the fleet that differ. Other
    nodes pass it on each time, so that one that fails is missed once, and all bear the
    same load.

    :param write: sends a datagram to an address.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        rng: random.Random,
        write: Callable[[bytes, Address], None],
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._write = write

    def __repr__(self) -> str:
        return f"DigestSpread({self._fleet!r})"

    def send(self, digest: bytes, peers: Sequence[Peer]) -> None:
        """Send an encoded digest to nodes."""
        if len(peers) <= MAX_DIRECT:
            for peer in peers:
                self._write(digest, _address(peer))
            return
        now_ms = self._clock.now_ms()
        shuffled = self._rng.sample(peers, len(peers))
        shuffled.sort(key=lambda peer: not peer.is_alive(now_ms))
        n_parts = max(MIN_PARTS, -(-len(peers) // (MAX_DIRECT + 1)))
        for part in (shuffled[start::n_parts] for start in range(n_parts)):
            nodes = [peer.record.node for peer in part[1:]]
            self._write(encode(ForwardedDigest(digest, nodes)), _address(part[0]))

    def pass_on(self, message: ForwardedDigest) -> None:
        """Send a received digest to the nodes that its sender named.

        Names that are not of this data centre are passed over.
        """
        peers = [self._fleet.peers_by_id.get(node) for node in message.nodes]
        self.send(
            message.digest,
            [
                peer
                for peer in peers
                if peer is not None and peer.distance.same_data_centre
            ],
        )


def _address(peer: Peer) -> Address:
    return (peer.record.node, peer.record.status_port)
