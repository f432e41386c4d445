"""Time since this data centre last reached the platform or another data centre."""

from .clock import Clock


class IsolationWatch:
    """Track the last contact with anything outside this data centre.

    Nodes without such contact of their own get its age from their peers.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_contact_elapsed_ms = clock.elapsed_ms()

    def __repr__(self) -> str:
        return f"IsolationWatch({self.isolated_ms:.0f} ms)"

    @property
    def isolated_ms(self) -> float:
        """Time since the last contact."""
        return self._clock.elapsed_ms() - self._last_contact_elapsed_ms

    def record_contact(self) -> None:
        """Record contact with the platform or another data centre."""
        self._last_contact_elapsed_ms = self._clock.elapsed_ms()

    def record_peer_contact(self, isolated_ms: float, sent_elapsed_ms: float) -> None:
        """Apply the age of the last contact of a peer.

        :param sent_elapsed_ms: elapsed time of this node before the peer was asked.
        """
        contact_ms = sent_elapsed_ms - max(0.0, isolated_ms)
        self._last_contact_elapsed_ms = max(self._last_contact_elapsed_ms, contact_ms)
