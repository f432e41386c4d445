"""Requests newer configurations from other nodes."""

from ibisspoke_policy.clock import Clock

from .config_state import ConfigState
from .fleet import Peer

REQUEST_TIMEOUT_MS = 250.0  # a few round trips in the region and 100 KB of document
# Time to wait for a node of the own region; traffic between regions is costly.
REMOTE_DELAY_MS = 400.0


class ConfigRequester:
    """Requests from one node at a time, preferably one of the own region."""

    def __init__(self, config: ConfigState, clock: Clock) -> None:
        self._config = config
        self._clock = clock
        self._requested_ms = float("-inf")
        self._version_at_request = 0
        self._newest = 0
        self._newest_ms = 0.0

    def __repr__(self) -> str:
        return f"ConfigRequester(newest={self._newest})"

    def on_version_reported(self, peer: Peer, version: int) -> None:
        """Handle the report that a node has a version in force."""
        if version <= self._config.version:
            return
        now_ms = self._clock.now_ms()
        if version > self._newest:
            self._newest, self._newest_ms = version, now_ms
        if not peer.distance.same_region and now_ms - self._newest_ms < REMOTE_DELAY_MS:
            return
        is_answered = self._config.version > self._version_at_request
        if not is_answered and now_ms - self._requested_ms < REQUEST_TIMEOUT_MS:
            return
        self.request(peer)

    def request(self, peer: Peer) -> None:
        """Request a newer version than the one in force from a node."""
        self._requested_ms = self._clock.now_ms()
        self._version_at_request = self._config.version
        peer.link.request_config(self._config.version)
