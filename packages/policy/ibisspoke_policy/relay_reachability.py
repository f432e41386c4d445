"""Reachability of other data centres, reported by relays."""

import random

from .active_clock import ActiveClock
from .member import Member
from .member_ring import MemberRing
from .member_view import MemberView
from .membership_messages import Action, MessageKind, ReachabilityReport, Send
from .membership_times import MembershipTimes
from .message_writer import MessageWriter


class RelayReachability:
    """Ping other data centres if this node is a relay, and keep the reports of relays.

    The first nodes on the ring of a data centre are its relays. A data centre is
    unreachable if every relay that reported on it could not reach it.
    """

    def __init__(
        self,
        view: MemberView,
        writer: MessageWriter,
        active_clock: ActiveClock,
        times: MembershipTimes,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._writer = writer
        self._active_clock = active_clock
        self._times = times
        self._rng = rng
        self._next_ping_ms_by_data_centre: dict[str, float] = {}
        self._round_trip_ms_by_data_centre: dict[str, float] = {}
        self._reported_ms_by_data_centre: dict[str, float] = {}
        self._answered: set[str] = set()
        self._report_by_key: dict[tuple[str, str], ReachabilityReport] = {}

    def __repr__(self) -> str:
        return f"RelayReachability(unreachable={sorted(self.unreachable)})"

    @property
    def _own(self) -> Member:
        return self._writer.own

    @property
    def is_relay(self) -> bool:
        """Whether this node exchanges messages with other data centres."""
        return self._own.id in self.relays(self._own.data_centre)

    @property
    def unreachable(self) -> frozenset[str]:
        """The data centres that no relay of the own data centre can reach."""
        relays = self.relays(self._own.data_centre)
        reported_by_data_centre: dict[str, list[bool]] = {}
        for report in self._report_by_key.values():
            if report.relay in relays:
                reported = reported_by_data_centre.setdefault(report.data_centre, [])
                reported.append(report.is_reachable)
        return frozenset(
            data_centre
            for data_centre, reported in reported_by_data_centre.items()
            if not any(reported)
        )

    def relays(self, data_centre: str) -> list[str]:
        """Return the relays of a data centre."""
        return self._view.ring(data_centre).first(self._times.n_relays)

    def far_relays(self) -> list[str]:
        """Return the nodes of other data centres that this relay sends to."""
        found: list[str] = []
        for data_centre in self._other_data_centres():
            ring = self._view.ring(data_centre)
            found.extend(ring.first(self._times.n_far_relays))
        return found

    def record_round_trip(self, data_centre: str) -> None:
        """Record a round trip to another data centre."""
        self._round_trip_ms_by_data_centre[data_centre] = self._active_clock.ms
        self._answered.add(data_centre)

    def apply(self, report: ReachabilityReport) -> bool:
        """Store the report of a relay.

        :returns: whether it was new.
        """
        key = (report.relay, report.data_centre)
        known = self._report_by_key.get(key)
        if known is not None and known.stamp >= report.stamp:
            return False
        self._report_by_key[key] = report
        return True

    def tick(self) -> tuple[list[Action], list[ReachabilityReport]]:
        """Ping the data centres that are due.

        :returns: pings to send, and reports to pass on.
        """
        if not self.is_relay:
            self._round_trip_ms_by_data_centre.clear()
            self._answered.clear()
            self._next_ping_ms_by_data_centre.clear()
            return [], []
        actions: list[Action] = []
        reports: list[ReachabilityReport] = []
        for data_centre in self._other_data_centres():
            self._round_trip_ms_by_data_centre.setdefault(
                data_centre, self._active_clock.ms
            )
            actions.extend(self._pings(data_centre))
            report = self._report(data_centre)
            if report is not None:
                reports.append(report)
        return actions, reports

    def _other_data_centres(self) -> list[str]:
        rings = self._view.rings_by_data_centre.items()
        own = self._own.data_centre
        return [name for name, ring in rings if len(ring) and name != own]

    def _pings(self, data_centre: str) -> list[Action]:
        at_ms = self._active_clock.ms
        if at_ms < self._next_ping_ms_by_data_centre.get(data_centre, 0.0):
            return []
        region = self._view.region_by_data_centre[data_centre]
        is_far = region != self._own.region
        period_ms = self._times.far_heartbeat_ms if is_far else self._times.heartbeat_ms
        self._next_ping_ms_by_data_centre[data_centre] = at_ms + period_ms
        targets = self._targets(data_centre, self._view.ring(data_centre))
        ping = self._writer.write(MessageKind.PING)
        return [Send(target, ping) for target in targets]

    def _targets(self, data_centre: str, ring: MemberRing) -> list[str]:
        """Return relays there, and a random node too while they do not answer."""
        targets = ring.first(self._times.n_far_relays)
        silence_ms = self._silence_ms(data_centre)
        if silence_ms > self._times.lost_after_ms / 2:
            targets.append(ring[self._rng.randrange(len(ring))])
        return targets

    def _silence_ms(self, data_centre: str) -> float:
        round_trip_ms = self._round_trip_ms_by_data_centre.get(data_centre)
        return (
            self._active_clock.ms - round_trip_ms if round_trip_ms is not None else 0.0
        )

    def _report(self, data_centre: str) -> ReachabilityReport | None:
        """Return a report on a change, and periodically while unreachable."""
        at_ms = self._active_clock.ms
        is_reachable = self._silence_ms(data_centre) < self._times.lost_after_ms
        known = self._report_by_key.get((self._own.id, data_centre))
        if is_reachable and known is None and data_centre not in self._answered:
            return None
        was_reachable = known is None or known.is_reachable
        reported_ms = self._reported_ms_by_data_centre.get(data_centre, float("-inf"))
        is_due = known is None or (
            not is_reachable and at_ms - reported_ms >= self._times.sync_ms
        )
        if is_reachable == was_reachable and not is_due:
            return None
        self._reported_ms_by_data_centre[data_centre] = at_ms
        stamp = max(self._own.incarnation, known.stamp + 1 if known else 0)
        return ReachabilityReport(self._own.id, data_centre, is_reachable, stamp)
