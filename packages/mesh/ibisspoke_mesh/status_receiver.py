"""Processing of statuses received from other nodes."""

from collections.abc import Callable

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.shared_rate import SharedRates
from ibisspoke_policy.usage_sums import UsageSums

from ._known_sums import KnownSums
from .config_requester import ConfigRequester
from .fleet import Fleet
from .peer import Peer
from .record_copies import RecordCopy
from .status_messages import (
    Digest,
    LostNode,
    NodeLoad,
    NodeStatus,
    Section,
    unpack_load,
    unpack_pace,
    unpack_usages,
)
from .status_messages import name_checksum as checksum

# A node that was heard of later than its relays say is not lost.
LOST_TOLERANCE_MS = 300.0


class StatusReceiver:
    """Updates peers, rates and known configuration versions.

    Statuses may arrive late, more than once, and over different paths.

    :ivar n_invalid_usages: counts of organisations that could not be applied.
    :ivar is_introduced: whether a relay of the data centre has named this node, which
        then learns of all nodes from the relays.
    :ivar on_own_copy: called with the id of a node and its copy of this node's record.
    """

    def __init__(
        self,
        fleet: Fleet,
        rates: SharedRates,
        config_requester: ConfigRequester,
        clock: Clock,
    ) -> None:
        self.n_invalid_usages = 0
        self.is_introduced = False
        self.on_own_copy: Callable[[str, RecordCopy], None] = lambda holder, _: None
        self._fleet = fleet
        self._rates = rates
        self._config_requester = config_requester
        self._clock = clock
        self._sums = UsageSums()
        self._known_sums = KnownSums()
        self._names_by_checksum: dict[int, str] = {}

    def __repr__(self) -> str:
        return f"StatusReceiver({self._fleet!r})"

    def set_organisations(self, names: list[str]) -> None:
        """Set the organisations whose usage nodes report."""
        self._names_by_checksum = {checksum(name): name for name in names}
        self._known_sums.clear()

    def apply_status(self, status: NodeStatus) -> Peer | None:
        """Apply a status that its node has sent.

        :returns: the node, or None if its record is not known.
        """
        now_ms = self._clock.now_ms()
        peer = self._peer(status)
        if peer is None:
            return None
        peer.is_heard |= peer.record.incarnation == status.incarnation
        vm_pace = unpack_pace(status.vm_pace)
        self._fleet.has_vm_paces |= vm_pace > 0.0
        peer.update_load(unpack_load(status.load), now_ms, vm_pace)
        peer.cold_until_ms = now_ms + status.cold_ms
        peer.has_lost_store = status.has_lost_store
        if peer.distance.same_data_centre and status.usages is not None:
            self._add_usages(status, now_ms)
        self._config_requester.on_version_reported(
            peer, status.version, status.evacuations
        )
        return peer

    def apply_digest(self, digest: Digest) -> list[str]:
        """Apply what a relay tells.

        :returns: the nodes in it whose records are not known.
        """
        now_ms = self._clock.now_ms()
        unknown: list[str] = []
        for section in digest.sections:
            for record in section.records:
                self._fleet.update_record(record)
                if self._fleet.is_own(record):
                    copy = RecordCopy(record.all_departures, digest.earlier_incarnation)
                    self.on_own_copy(digest.node, copy)
            for load in section.loads:
                if not self._apply_load(load, now_ms):
                    unknown.append(load.node)
            for lost in section.lost:
                self._apply_lost(lost, now_ms)
            self._apply_sums(section, now_ms)
        relay = self._fleet.peers_by_id.get(digest.node)
        if relay is not None:
            relay.mark_seen(now_ms)
            relay.digest_ms = now_ms
            self._config_requester.on_version_reported(
                relay, digest.version, digest.evacuations
            )
        return unknown

    def extend_silent(self) -> None:
        """Assume for the sums that silent nodes go on as before."""
        now_ms = self._clock.now_ms()
        changed = self._sums.extend_silent(self._rates.slot, now_ms)
        self._rates.apply_report(self._rates.source, changed, False, now_ms)

    def _peer(self, status: NodeStatus) -> Peer | None:
        if status.record is not None:
            return self._fleet.update_record(status.record)
        peer = self._fleet.peers_by_id.get(status.node)
        if peer is None or peer.record.incarnation != status.incarnation:
            return None
        return peer

    def _add_usages(self, status: NodeStatus, now_ms: float) -> None:
        """Add a node's usages to the sums of the data centre."""
        usages = unpack_usages(status.usages or [], self._names_by_checksum)
        node = f"{status.node}/{status.incarnation}"
        sums = self._sums.add(node, usages, self._rates.slot, now_ms)
        source = self._rates.source
        self.n_invalid_usages += self._rates.apply_report(source, sums, False, now_ms)
        self._rates.record_report_time(source, now_ms)

    def _apply_load(self, load: NodeLoad, now_ms: float) -> bool:
        """Apply a load, and return whether the node is known."""
        peer = self._fleet.peers_by_id.get(load.node)
        if peer is None:
            own = self._fleet.own
            is_own = own is not None and load.node == own.node
            self.is_introduced |= is_own
            return is_own
        if peer.record.incarnation != load.incarnation:
            return load.incarnation < peer.record.incarnation
        peer.is_heard = True
        sent_ms = now_ms - max(0, load.age_ms)
        if peer.last_seen_ms is None or sent_ms > peer.last_seen_ms:
            vm_pace = unpack_pace(load.vm_pace)
            self._fleet.has_vm_paces |= vm_pace > 0.0
            peer.update_load(unpack_load(load.load), sent_ms, vm_pace)
            peer.cold_until_ms = sent_ms + load.cold_ms
            peer.has_lost_store = load.has_lost_store
        return True

    def _apply_lost(self, lost: LostNode, now_ms: float) -> None:
        peer = self._fleet.peers_by_id.get(lost.node)
        if peer is None or peer.record.incarnation != lost.incarnation:
            return
        seen_ms = now_ms - lost.silent_ms
        if (peer.last_seen_ms or 0.0) <= seen_ms + LOST_TOLERANCE_MS:
            peer.mark_lost()

    def _apply_sums(self, section: Section, now_ms: float) -> None:
        source = section.data_centre
        if source not in self._rates.sources:
            self.n_invalid_usages += len(section.usages)
            return
        packed = self._known_sums.unknown(source, section.usages)
        if packed:
            usages = unpack_usages(packed, self._names_by_checksum)
            n_invalid = sum(len(entries) for _, entries in packed) - len(usages)
            has_own = source == self._rates.source
            n_invalid += self._rates.apply_report(source, usages, has_own, now_ms)
            self.n_invalid_usages += n_invalid
            if not n_invalid:
                self._known_sums.add(source, packed, self._rates.slot)
        self._rates.record_report_time(source, now_ms - max(0, section.age_ms))
