"""State of the upstream of this VM, derived from heartbeats and departures."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from .decoding import Name, UnixMs

# Of the upstreams of one VM. Heartbeats of an earlier one are seconds late at most.
MAX_DEPARTURES = 4


class UpstreamState(StrEnum):
    """Whether an upstream accepts new requests."""

    READY = "ready"
    DRAINING = "draining"
    ABSENT = "absent"


class Announcement(NamedTuple):
    """One heartbeat of an upstream.

    :param start_ms: Unix time of its start; distinguishes processes with the same id.
    :param sequence: increases with each heartbeat of one process.
    :param cold_ms: remaining time for which it is slow after its start.
    """

    instance: str
    start_ms: int
    service: str
    address: str
    n_slots: int
    is_draining: bool
    sequence: int
    cold_ms: float


class UpstreamProcess(NamedTuple):
    """One process of an upstream; a later one may have the same id."""

    instance: Name
    start_ms: UnixMs


def merge_departures(
    *groups: Iterable[UpstreamProcess],
) -> tuple[UpstreamProcess, ...]:
    """Return the latest departures of all groups, by start.

    Departures are final, so that copies that differ can be merged in any order.
    """
    start_ms_by_instance: dict[str, int] = {}
    for group in groups:
        for instance, start_ms in group:
            known_ms = start_ms_by_instance.get(instance, start_ms)
            start_ms_by_instance[instance] = max(known_ms, start_ms)
    processes = [UpstreamProcess(*item) for item in start_ms_by_instance.items()]
    processes.sort(key=lambda process: (process.start_ms, process.instance))
    return tuple(processes[-MAX_DEPARTURES:])


def has_departed(
    process: UpstreamProcess, departures: Iterable[UpstreamProcess]
) -> bool:
    """Return whether a process, or a later one with its id, has departed."""
    return any(
        process.instance == departed.instance and process.start_ms <= departed.start_ms
        for departed in departures
    )


class UpstreamTracker:
    """Track the upstream of one VM from heartbeats and departures that may be late.

    An upstream that started later replaces an earlier one. For one upstream process, a
    higher sequence replaces a lower one, draining is final, and all heartbeats after a
    departure are ignored.

    A heartbeat of another writer may claim a later start or a higher sequence. While
    the latest upstream is in doubt, another one takes its place with two heartbeats in
    a row, whatever its start; the one that lost its place does not return by its start.

    A node that has just started does not know which departures its predecessor has
    acknowledged. A delayed heartbeat may come from an upstream that has left since.
    Until :meth:`restore_departures` is called, an upstream is therefore ready only by a
    heartbeat that it has sent since this node started: one that has left sends none.
    How many heartbeats arrive tells nothing, as several may be delayed.
    """

    def __init__(self) -> None:
        self.latest: Announcement | None = None
        self.state = UpstreamState.ABSENT
        self._is_history_known = False
        self._accepts_unproven = False
        self._departures: tuple[UpstreamProcess, ...] = ()
        self._contender: Announcement | None = None
        self._displaced: UpstreamProcess | None = None

    def __repr__(self) -> str:
        return f"UpstreamTracker({self.state}, {self.latest})"

    @property
    def is_history_known(self) -> bool:
        """Whether all departures of earlier processes are known, or none can matter."""
        return self._is_history_known

    @property
    def is_leaving(self) -> bool:
        """Whether the latest upstream is draining or has departed."""
        return self.state is UpstreamState.DRAINING

    @property
    def departures(self) -> tuple[UpstreamProcess, ...]:
        """The processes that have departed or are draining."""
        if self.latest is None or not self.is_leaving:
            return self._departures
        process = _process_of(self.latest)
        merged = merge_departures(self._departures, [process])
        if has_departed(process, merged):
            return merged
        # Departures of processes that were never heard of do not displace it.
        return (process, *merged[1:])

    def add_departures(self, departures: Iterable[UpstreamProcess]) -> bool:
        """Apply departures that an earlier node process on this VM acknowledged.

        :returns: whether any of them was not known.
        """
        known = self.departures
        self._departures = merge_departures(self._departures, departures)
        if self.latest is not None and self._is_departed(self.latest):
            self.state = UpstreamState.DRAINING
        return self.departures != known

    def restore_departures(self, departures: Iterable[UpstreamProcess]) -> bool:
        """Apply all departures that earlier node processes on this VM acknowledged.

        :returns: whether the state of the latest upstream changed.
        """
        state = self.state
        self._is_history_known = True
        self.add_departures(departures)
        if self.latest is not None and self.state is not UpstreamState.DRAINING:
            self.state = UpstreamState.READY
        return self.state is not state

    def accept_unproven(self, is_accepted: bool) -> bool:
        """Set whether any heartbeat makes an upstream ready.

        It holds as long as the departures of earlier processes are not known.

        :returns: whether the state of the latest upstream changed.
        """
        state = self.state
        self._accepts_unproven = is_accepted
        if state is UpstreamState.READY and not self._has_evidence:
            self.state = UpstreamState.ABSENT
        elif state is UpstreamState.ABSENT:
            self._update_readiness()
        return self.state is not state

    @property
    def _has_evidence(self) -> bool:
        """Whether the upstream is known not to have left, as far as can be told."""
        return self._is_history_known or self._accepts_unproven

    def _update_readiness(self) -> None:
        if self.latest is not None and self._has_evidence:
            self.state = UpstreamState.READY

    def announce(
        self,
        announcement: Announcement,
        is_in_doubt: bool = False,
        is_recent: bool = False,
    ) -> bool:
        """Apply a heartbeat.

        :param is_in_doubt: whether the latest upstream has fallen silent, or has turned
            out not to be the one that answers.
        :param is_recent: whether it was sent after this node started, so that no
            earlier node process has known its upstream to have left.
        :returns: whether it was applied; False if it is outdated, or names another
            service than the same process did before, as only another writer would.
        """
        if self._is_departed(announcement):
            return False
        latest = self.latest
        is_takeover = False
        if latest is not None and not self._replaces(announcement, latest):
            is_takeover = is_in_doubt and self._is_next_of_contender(announcement)
            if not is_takeover:
                return False
            self._displaced = _process_of(latest)
        if not is_in_doubt or is_takeover:
            self._contender = None
        is_same_process = latest is not None and _process_of(latest) == _process_of(
            announcement
        )
        was_draining = is_same_process and self.state is UpstreamState.DRAINING
        self._departures = self.departures
        self.latest = announcement
        self._is_history_known |= is_recent
        if was_draining or announcement.is_draining:
            self.state = UpstreamState.DRAINING
        else:
            self.state = UpstreamState.ABSENT
            self._update_readiness()
        return True

    def record_departure(
        self, instance: str, start_ms: int | None, wall_ms: float
    ) -> bool:
        """Record the departure of an upstream.

        :param start_ms: start of the process that departs; None for the running one.
        :param wall_ms: the current wall time, an upper bound on that start time.
        :returns: whether the latest upstream has departed.
        """
        latest = self.latest
        is_known = latest is not None and latest.instance == instance
        if start_ms is None:
            start_ms = latest.start_ms if latest and is_known else int(wall_ms)
        process = UpstreamProcess(instance, start_ms)
        self._departures = merge_departures(self._departures, [process])
        if latest is None or not has_departed(
            _process_of(latest), (process, *self._departures)
        ):
            return False
        self.state = UpstreamState.DRAINING
        return True

    def mark_absent(self) -> None:
        """Record that the upstream does not answer."""
        if self.state is UpstreamState.READY:
            self.state = UpstreamState.ABSENT

    def _is_departed(self, announcement: Announcement) -> bool:
        return has_departed(_process_of(announcement), self._departures)

    def _replaces(self, new: Announcement, latest: Announcement) -> bool:
        if _process_of(new) == _process_of(latest):
            return new.sequence > latest.sequence and new.service == latest.service
        return new.start_ms >= latest.start_ms and _process_of(new) != self._displaced

    def _is_next_of_contender(self, announcement: Announcement) -> bool:
        """Return whether an upstream has sent its second heartbeat in a row."""
        earlier, self._contender = self._contender, announcement
        return (
            earlier is not None
            and _process_of(earlier) == _process_of(announcement)
            and earlier.service == announcement.service
            and earlier.sequence < announcement.sequence
        )


def _process_of(announcement: Announcement) -> UpstreamProcess:
    return UpstreamProcess(announcement.instance, announcement.start_ms)
