"""Times after which a node that is not heard of counts as failed."""

LOADS_PER_DIGEST = 48  # of the own data centre; with records, a few packets
REMOTE_LOADS_PER_DIGEST = 24  # of other data centres, which are needed less often
DIGEST_INTERVAL_MS = 500.0  # of each relay; with two, a digest arrives twice as often
DATA_CENTRE_TIMEOUT_MS = 1_700.0  # a bit more than three intervals
REMOTE_TIMEOUT_MS = 2_700.0  # a relay may be replaced
MISSED_ROUNDS = 2.5  # of digests until each node was named once


class StatusTimeouts:
    """Timeouts by distance, longer where a digest names only some of the nodes.

    :ivar data_centre_ms: for nodes of the own data centre.
    :ivar remote_ms: for other nodes.
    """

    def __init__(self) -> None:
        self.data_centre_ms = DATA_CENTRE_TIMEOUT_MS
        self.remote_ms = REMOTE_TIMEOUT_MS

    def __repr__(self) -> str:
        return f"StatusTimeouts({self.data_centre_ms:.0f}, {self.remote_ms:.0f})"

    def set_sizes(self, n_data_centre: int, n_remote: int) -> None:
        """Set the number of other nodes in the own data centre and elsewhere."""
        self.data_centre_ms = max(
            DATA_CENTRE_TIMEOUT_MS, _rounds_ms(n_data_centre, LOADS_PER_DIGEST)
        )
        self.remote_ms = max(
            REMOTE_TIMEOUT_MS, _rounds_ms(n_remote, REMOTE_LOADS_PER_DIGEST)
        )


def _rounds_ms(n_nodes: int, n_per_digest: int) -> float:
    """Return the time in which each node is named several times by two relays."""
    n_digests = n_nodes / n_per_digest / 2.0
    return MISSED_ROUNDS * n_digests * DIGEST_INTERVAL_MS
