"""Asks other nodes for a configuration that they have told of."""

from ibisspoke_policy.clock import Clock

from .config_state import ConfigState
from .fleet import Peer

ASK_AGAIN_MS = 250.0  # a few round trips of the region, and a document of 100 KB
FAR_WAIT_MS = 400.0  # for a node of the own region: bytes between regions are dear


class ConfigAsker:
    """Ask one node at a time, those of the own region first."""

    def __init__(self, config: ConfigState, clock: Clock) -> None:
        self._config = config
        self._clock = clock
        self._asked_ms = float("-inf")
        self._asked_with = 0
        self._newest = 0
        self._newest_ms = 0.0

    def __repr__(self) -> str:
        return f"ConfigAsker(newest={self._newest})"

    def heard(self, peer: Peer, version: int) -> None:
        """Take in that a node has a version in force."""
        if version <= self._config.version:
            return
        now_ms = self._clock.now_ms()
        if version > self._newest:
            self._newest, self._newest_ms = version, now_ms
        if not peer.distance.same_region and now_ms - self._newest_ms < FAR_WAIT_MS:
            return
        is_answered = self._config.version > self._asked_with
        if not is_answered and now_ms - self._asked_ms < ASK_AGAIN_MS:
            return
        self.ask(peer)

    def ask(self, peer: Peer) -> None:
        """Ask a node for a newer version than the one in force."""
        self._asked_ms = self._clock.now_ms()
        self._asked_with = self._config.version
        peer.link.ask_config(self._config.version)
