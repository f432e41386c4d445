"""Periods of the membership protocol and numbers of peers."""

from typing import NamedTuple


class MembershipTimes(NamedTuple):
    """Periods in milliseconds, and numbers of peers.

    :param heartbeat_ms: between heartbeats to the nodes that monitor this one.
    :param far_heartbeat_ms: between pings of a relay to another region.
    :param ping_after_ms: silence after which a monitored node is pinged.
    :param suspect_after_ms: silence after which a node is checked directly.
    :param remove_after_ms: silence after which a node may be removed.
    :param remove_hung_after_ms: the same if it still accepts connections.
    :param vote_ms: how long an accusation counts.
    :param lost_after_ms: time without a round trip after which another data
        centre is unreachable.
    :param sync_ms: between two comparisons of views.
    :param retry_dead_ms: between heartbeats of a relay to dead members.
    :param n_watchers: nodes that monitor one node.
    :param n_max_watched: nodes that one node monitors when many are silent.
    :param n_relays: nodes of a data centre that exchange messages with other data
        centres.
    :param n_far_relays: relays of another data centre that each relay pings.
    :param fan_out: random peers to which a new row is sent.
    :param n_repeats: heartbeats on which a new row is repeated.
    :param n_sample: random peers tracked while a member is suspected.
    """

    heartbeat_ms: float = 500.0
    far_heartbeat_ms: float = 1_000.0
    ping_after_ms: float = 750.0
    suspect_after_ms: float = 1_000.0
    remove_after_ms: float = 2_000.0
    remove_hung_after_ms: float = 2_300.0
    vote_ms: float = 2_000.0
    lost_after_ms: float = 2_500.0
    sync_ms: float = 2_000.0
    retry_dead_ms: float = 1_000.0
    n_watchers: int = 3
    n_max_watched: int = 16
    n_relays: int = 3
    n_far_relays: int = 2
    fan_out: int = 4
    n_repeats: int = 2
    n_sample: int = 8
