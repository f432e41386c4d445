"""Another node, as this node sees it."""

from ibisspoke_policy.route_profile import Pace
from ibisspoke_policy.upstream_choice import Distance
from ibisspoke_policy.upstream_queue import Load
from ibisspoke_policy.vm_pace import VmPace

from .member_record import MemberRecord
from .peer_link import PeerLink
from .status_timeouts import StatusTimeouts

FIRST_STATUS_TIMEOUT_MS = 3_000.0  # until then, a node without statuses counts as alive


class Peer:
    """Another node, with its link and its latest status.

    :ivar digest_ms: when a digest of it arrived, which only relays send.
    :ivar is_heard: whether a status of this process was received, from it or a relay;
        digests do not tell which process has sent them.
    :ivar earlier_incarnation: the last earlier process on its VM of which a status was
        received, and which knew all departures before it; 0 if there is none.
    """

    def __init__(
        self,
        record: MemberRecord,
        link: PeerLink,
        distance: Distance,
        timeouts: StatusTimeouts,
        now_ms: float,
    ) -> None:
        self.record = record
        self.link = link
        self.distance = distance
        self._timeouts = timeouts
        self._is_lost = False
        self.digest_ms = float("-inf")
        self.is_heard = False
        self.earlier_incarnation = 0
        self.load = Load(0, 0, record.n_slots, 0.0, 0.0, ())
        self.pace = Pace()
        self.vm_pace = VmPace()
        self.n_pending_at_report = 0
        self.discovered_ms = now_ms
        self.last_seen_ms: float | None = None
        self.status_sent_ms = 0.0
        self.cold_until_ms = 0.0
        self.has_lost_store = False

    def __repr__(self) -> str:
        return f"Peer({self.record.node!r}, {self.record.service!r})"

    def is_alive(self, now_ms: float) -> bool:
        """Return whether a status of the node was received recently."""
        if self.last_seen_ms is None:
            is_new = now_ms - self.discovered_ms < FIRST_STATUS_TIMEOUT_MS
            return is_new and not self._is_lost
        if self._is_lost:
            return False
        is_near = self.distance.same_data_centre
        timeouts = self._timeouts
        bound_ms = timeouts.data_centre_ms if is_near else timeouts.remote_ms
        return now_ms - self.last_seen_ms < bound_ms

    @property
    def heard_incarnation(self) -> int:
        """The last process on its VM that was heard and knew all departures, or 0."""
        knows_departures = self.is_heard and not self.record.lacks_history
        return self.record.incarnation if knows_departures else self.earlier_incarnation

    def mark_seen(self, now_ms: float) -> None:
        """Record that a message of the node was received."""
        self._is_lost = False
        self.last_seen_ms = now_ms

    def mark_lost(self) -> None:
        """Record that the relays of its data centre hear nothing of the node."""
        self._is_lost = True

    def update_load(self, load: Load, sent_ms: float, vm_pace: float = 0.0) -> None:
        """Store the load that the node reported at ``sent_ms``.

        :param vm_pace: pace of its VM; 0.0 if it was not known.
        """
        self.load = load
        self.vm_pace.report(vm_pace, sent_ms - self.distance.rtt_ms / 2.0)
        self.n_pending_at_report = self.link.n_pending
        self.mark_seen(sent_ms)
