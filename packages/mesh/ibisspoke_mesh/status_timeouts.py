"""Interval of digests, and times after which a node that is silent counts as failed."""

LOADS_PER_DIGEST = 48  # of the own data centre; with records, a few packets
REMOTE_LOADS_PER_DIGEST = 24  # of other data centres, which are needed less often
DIGEST_INTERVAL_MS = 500.0  # of each relay; with two, a digest arrives twice as often
# Larger data centres get digests less often, as their nodes also pass them on.
FULL_RATE_NODES = 200
MAX_INTERVAL_FACTOR = 2.0
DATA_CENTRE_TIMEOUT_INTERVALS = 3.4
RELAY_TIMEOUT_INTERVALS = 2.4  # before the other nodes seem to have failed
REMOTE_TIMEOUT_MS = 2_700.0  # a relay may be replaced
MISSED_ROUNDS = 2.5  # of digests until each node was named once
# Nodes that a relay sends digests to directly; their names fit a packet. In larger data
# centres a digest passes more nodes, and is missed more often.
MAX_DIRECT = 32
MISSED_FORWARDED_ROUNDS = 4.0


class StatusTimeouts:
    """Timeouts by distance, longer where a digest names only some of the nodes.

    :ivar digest_interval_ms: between the digests of a relay to its data centre.
    :ivar relay_ms: for relays that send no digests.
    :ivar data_centre_ms: for nodes of the own data centre.
    :ivar remote_ms: for other nodes.
    """

    def __init__(self) -> None:
        self.set_sizes(0, 0)

    def __repr__(self) -> str:
        return f"StatusTimeouts({self.data_centre_ms:.0f}, {self.remote_ms:.0f})"

    def set_sizes(self, n_data_centre: int, n_remote: int) -> None:
        """Set the number of other nodes in the own data centre and elsewhere."""
        factor = min(MAX_INTERVAL_FACTOR, max(1.0, n_data_centre / FULL_RATE_NODES))
        n_rounds = MISSED_ROUNDS
        if n_data_centre > MAX_DIRECT:
            n_rounds = MISSED_FORWARDED_ROUNDS
        interval_ms = self.digest_interval_ms = factor * DIGEST_INTERVAL_MS
        self.relay_ms = RELAY_TIMEOUT_INTERVALS * interval_ms
        self.data_centre_ms = max(
            DATA_CENTRE_TIMEOUT_INTERVALS * interval_ms,
            n_rounds * _round_ms(n_data_centre, LOADS_PER_DIGEST, interval_ms),
        )
        self.remote_ms = max(
            REMOTE_TIMEOUT_MS,
            n_rounds * _round_ms(n_remote, REMOTE_LOADS_PER_DIGEST, interval_ms),
        )


def _round_ms(n_nodes: int, n_per_digest: int, interval_ms: float) -> float:
    """Return the time in which two relays name each node once."""
    return n_nodes / n_per_digest / 2.0 * interval_ms
