"""Takes in what other nodes tell of themselves."""

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.shared_rate import SharedRates, Usage

from .config_asker import ConfigAsker
from .fleet import Fleet, Peer
from .status_messages import NodeStatus, mark_of, unpacked_load

CLOCK_SKEW_MS = 3_000  # between VMs; a node that started earlier has old totals


class StatusIntake:
    """Bring peers, rates and the knowledge of versions up to date.

    Statuses may come late, twice, and over several ways.
    """

    def __init__(
        self, fleet: Fleet, rates: SharedRates, asker: ConfigAsker, clock: Clock
    ) -> None:
        self._fleet = fleet
        self._rates = rates
        self._asker = asker
        self._clock = clock
        self._names_by_mark: dict[int, str] = {}

    def __repr__(self) -> str:
        return f"StatusIntake({self._fleet!r})"

    def know_organisations(self, names: list[str]) -> None:
        """Take in the organisations whose usage nodes report."""
        self._names_by_mark = {mark_of(name): name for name in names}

    def take(self, status: NodeStatus, age_ms: float) -> Peer | None:
        """Take in a status.

        :param age_ms: how long ago the node told it, at least.
        :returns: the node, or None if it has not told who it is.
        """
        now_ms = self._clock.now_ms()
        peer = self._peer(status)
        if peer is None:
            return None
        told_ms = now_ms - age_ms
        self._report(status, told_ms)
        if peer.heard_ms is not None and told_ms < peer.heard_ms:
            return peer
        peer.take_load(unpacked_load(status.load), told_ms)
        peer.cold_until_ms = told_ms + status.cold_ms
        peer.has_lost_store = status.has_lost_store
        self._asker.heard(peer, status.version)
        return peer

    def _peer(self, status: NodeStatus) -> Peer | None:
        if status.record is not None:
            return self._fleet.learn(status.record)
        peer = self._fleet.peers_by_id.get(status.node)
        if peer is None or peer.record.incarnation != status.incarnation:
            return None
        return peer

    def _report(self, status: NodeStatus, told_ms: float) -> None:
        own = self._fleet.own
        is_baseline = (
            own is not None and status.incarnation < own.incarnation - CLOCK_SKEW_MS
        )
        usages = [
            Usage(name, n_asked, n_admitted)
            for mark, n_asked, n_admitted in status.usages
            if (name := self._names_by_mark.get(mark)) is not None
        ]
        life = f"{status.node}/{status.incarnation}"
        self._rates.report(life, usages, is_baseline, self._clock.now_ms())
        self._rates.heard(life, told_ms)
