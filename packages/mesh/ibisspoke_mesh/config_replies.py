"""Replies to nodes that request the configuration."""

import math
from typing import Protocol

import msgspec

from .config_state import ConfigState
from .frames import ConfigReply, ConfigRequest


class Requester(Protocol):
    """The connection of a node that requests the configuration."""

    def send(self, frame: ConfigReply) -> None:
        """Send a reply."""


class ConfigReplies:
    """Replies now, or as soon as a newer configuration is in force.

    After a failure of all nodes, those that read the store first are asked before they
    know the configuration.
    """

    def __init__(self, config: ConfigState) -> None:
        self._config = config
        self._waiting: dict[Requester, ConfigRequest] = {}

    def __repr__(self) -> str:
        return f"ConfigReplies(n_waiting={len(self._waiting)})"

    def request(self, requester: Requester, request: ConfigRequest) -> None:
        """Reply to a request, or keep it until there is something to reply."""
        self._waiting[requester] = request
        self._reply(requester)

    def send_waiting(self) -> None:
        """Reply to the requests that wait for the configuration in force."""
        for requester in list(self._waiting):
            self._reply(requester)

    def forget(self, requester: Requester) -> None:
        """Drop the request of a connection that has ended."""
        self._waiting.pop(requester, None)

    def _reply(self, requester: Requester) -> None:
        request = self._waiting[requester]
        reply = self._config.reply_to(request)
        if reply is None:
            return
        del self._waiting[requester]
        age_ms = self._config.proof_age_ms()
        proof_age_ms = int(age_ms) + 1 if math.isfinite(age_ms) else None
        requester.send(
            msgspec.structs.replace(
                reply, echo=request.nonce, proof_age_ms=proof_age_ms
            )
        )
