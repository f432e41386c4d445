"""For how long this data centre has reached neither the platform nor another one."""

from .clock import Clock


class IsolationWatch:
    """Remember the last contact beyond the own data centre.

    Nodes that have no such contact of their own learn the age of that of others.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._contact_elapsed_ms = clock.elapsed_ms()

    def __repr__(self) -> str:
        return f"IsolationWatch({self.isolated_ms:.0f} ms)"

    @property
    def isolated_ms(self) -> float:
        """Time since the last contact."""
        return self._clock.elapsed_ms() - self._contact_elapsed_ms

    def reached(self) -> None:
        """Note contact with the platform or another data centre."""
        self._contact_elapsed_ms = self._clock.elapsed_ms()

    def learn(self, isolated_ms: float, sent_elapsed_ms: float) -> None:
        """Take in the age of a peer's contact.

        :param sent_elapsed_ms: elapsed time here before the peer was asked.
        """
        contact_ms = sent_elapsed_ms - max(0.0, isolated_ms)
        self._contact_elapsed_ms = max(self._contact_elapsed_ms, contact_ms)
