"""Requests newer configurations and evacuations from other nodes."""

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.evacuations import UNKNOWN_POSITION, EvacuationPosition

from .config_state import ConfigState
from .peer import Peer

REQUEST_TIMEOUT_MS = 250.0  # a few round trips in the region and 100 KB of document
# Time to wait for a node of the own region; traffic between regions is costly.
REMOTE_DELAY_MS = 400.0


class ConfigRequester:
    """Requests from one node at a time, preferably one of the own region."""

    def __init__(self, config: ConfigState, clock: Clock) -> None:
        self._config = config
        self._clock = clock
        self._requested_ms = float("-inf")
        self._known_at_request = (0, UNKNOWN_POSITION)
        self._newest = 0
        self._newest_evacuations = UNKNOWN_POSITION
        self._newest_ms = 0.0

    def __repr__(self) -> str:
        return f"ConfigRequester(newest={self._newest})"

    def on_version_reported(
        self, peer: Peer, version: int, evacuations: EvacuationPosition | None = None
    ) -> None:
        """Handle the report of what a node has in force.

        :param evacuations: position up to which it knows the evacuations, if any.
        """
        position = evacuations or UNKNOWN_POSITION
        has_evacuations = self._config.evacuations.lacks(position)
        if version <= self._config.version and not has_evacuations:
            return
        now_ms = self._clock.now_ms()
        if version > self._newest:
            self._newest, self._newest_ms = version, now_ms
        if self._newest_evacuations.lacks(position):
            self._newest_evacuations, self._newest_ms = position, now_ms
        if not peer.distance.same_region and now_ms - self._newest_ms < REMOTE_DELAY_MS:
            return
        is_answered = self._config.known != self._known_at_request
        if not is_answered and now_ms - self._requested_ms < REQUEST_TIMEOUT_MS:
            return
        self.request(peer)

    def request(self, peer: Peer) -> None:
        """Request what is newer than what is in force from a node."""
        self._requested_ms = self._clock.now_ms()
        self._known_at_request = self._config.known
        peer.link.request_config(*self._known_at_request)
