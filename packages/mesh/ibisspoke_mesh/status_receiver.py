"""Processing of statuses received from other nodes."""

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.shared_rate import SharedRates, Usage

from .config_requester import ConfigRequester
from .fleet import Fleet, Peer
from .status_messages import NodeStatus, name_checksum, unpack_load

CLOCK_SKEW_MS = 3_000  # between VMs; a node that started earlier may report old totals


class StatusReceiver:
    """Updates peers, rates and known configuration versions.

    Statuses may arrive late, more than once, and over different paths.
    """

    def __init__(
        self,
        fleet: Fleet,
        rates: SharedRates,
        config_requester: ConfigRequester,
        clock: Clock,
    ) -> None:
        self._fleet = fleet
        self._rates = rates
        self._config_requester = config_requester
        self._clock = clock
        self._names_by_checksum: dict[int, str] = {}

    def __repr__(self) -> str:
        return f"StatusReceiver({self._fleet!r})"

    def set_organisations(self, names: list[str]) -> None:
        """Set the organisations whose usage nodes report."""
        self._names_by_checksum = {name_checksum(name): name for name in names}

    def apply(self, status: NodeStatus, age_ms: float) -> Peer | None:
        """Apply a status.

        :param age_ms: minimum time since the node sent it.
        :returns: the node, or None if its record is not known.
        """
        now_ms = self._clock.now_ms()
        peer = self._peer(status)
        if peer is None:
            return None
        sent_ms = now_ms - age_ms
        self._report(status, sent_ms)
        if peer.last_seen_ms is not None and sent_ms < peer.last_seen_ms:
            return peer
        peer.update_load(unpack_load(status.load), sent_ms)
        peer.cold_until_ms = sent_ms + status.cold_ms
        peer.has_lost_store = status.has_lost_store
        self._config_requester.on_version_reported(peer, status.version)
        return peer

    def _peer(self, status: NodeStatus) -> Peer | None:
        if status.record is not None:
            return self._fleet.update_record(status.record)
        peer = self._fleet.peers_by_id.get(status.node)
        if peer is None or peer.record.incarnation != status.incarnation:
            return None
        return peer

    def _report(self, status: NodeStatus, sent_ms: float) -> None:
        own = self._fleet.own
        is_baseline = (
            own is not None and status.incarnation < own.incarnation - CLOCK_SKEW_MS
        )
        usages = [
            Usage(name, n_asked, n_admitted)
            for checksum, n_asked, n_admitted in status.usages
            if (name := self._names_by_checksum.get(checksum)) is not None
        ]
        incarnation_key = f"{status.node}/{status.incarnation}"
        self._rates.apply_report(
            incarnation_key, usages, is_baseline, self._clock.now_ms()
        )
        self._rates.record_report_time(incarnation_key, sent_ms)
