"""Enforcement of evacuations at the node beside the upstream."""

from .config_state import ConfigState
from .fleet import Fleet
from .settings import NodeSettings
from .upstream_dispatcher import UpstreamDispatcher

# Why the upstream of this VM gets no requests, for callers' nodes and the log.
UNKNOWN_REASON = "evacuations_unknown"
EVACUATED_REASON = "evacuated"


class EvacuationGate:
    """Lets the dispatcher refuse attempts while the upstream may get no requests.

    That is so while the own data centre is evacuated. Where the settings state by when
    an evacuation must be in force, it is so after a start, too, until the configuration
    and the evacuations are known.
    """

    def __init__(
        self,
        config: ConfigState,
        dispatcher: UpstreamDispatcher,
        fleet: Fleet,
        settings: NodeSettings,
    ) -> None:
        self._config = config
        self._dispatcher = dispatcher
        self._fleet = fleet
        self._data_centre = settings.data_centre
        is_bounded = settings.evacuation_ms is not None
        self._is_known = not (config.evacuations.is_enabled and is_bounded)
        if not self._is_known:
            dispatcher.block(UNKNOWN_REASON)

    def __repr__(self) -> str:
        return f"EvacuationGate({self._dispatcher.blocked_reason!r})"

    def update(self) -> None:
        """Apply what is known of the configuration and the evacuations."""
        self._is_known |= self._config.is_complete
        if not self._is_known:
            return
        was_evacuated = self._dispatcher.blocked_reason == EVACUATED_REASON
        is_evacuated = self._data_centre in self._config.evacuations.in_force
        if was_evacuated and not is_evacuated:
            self._dispatcher.expect_cold()
        self._dispatcher.block(EVACUATED_REASON if is_evacuated else "")

    def tick(self) -> None:
        """Check the evacuations against the data centres of the fleet."""
        if not self._config.evacuations.needs_checks:
            return
        records = [peer.record for peer in self._fleet.peers_by_id.values()]
        if self._fleet.own is not None:
            records.append(self._fleet.own)
        self._config.evacuations.tick(
            [self._data_centre, *self._fleet.data_centres],
            frozenset(record.data_centre for record in records if record.instance),
        )
