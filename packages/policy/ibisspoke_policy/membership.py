"""Fleet membership on one node, updated by messages from peers and by ticks."""

import random
from collections.abc import Iterable
from typing import Any

from .active_clock import ActiveClock
from .failure_detector import FailureDetector
from .member import Member, MemberState, MemberTable
from .member_view import MemberView
from .membership_messages import (
    MAX_ROWS_PER_MESSAGE,
    Action,
    Changed,
    Evidence,
    MembershipMessage,
    MessageKind,
    ReachabilityReport,
    ReachChanged,
    Reply,
    Send,
    Synchronise,
)
from .membership_times import MembershipTimes
from .message_writer import MessageWriter
from .relay_reachability import RelayReachability
from .view_comparison import ViewComparison
from .watch_plan import RingWatch, WatchPlan

SWEEP_PERIOD_MS = 60_000.0  # between two removals of expired tombstones
MAX_IMMEDIATE_SPREADS = 3  # between two ticks; further rows wait for the next tick


class Membership:
    """Maintain the member table.

    Methods return the actions that the caller must perform.

    :param own: row of this node; its incarnation must exceed that of any earlier
        process with the same id.
    :param members: the table to maintain.
    :param rng: chooses random peers.
    :param now_ms: time of creation.
    :param times: periods and numbers of peers.
    :param plan: which members monitor which others; the ring by default.
    """

    def __init__(
        self,
        own: Member,
        members: MemberTable,
        rng: random.Random,
        now_ms: float,
        times: MembershipTimes = MembershipTimes(),  # noqa: B008
        plan: WatchPlan | None = None,
    ) -> None:
        self._times = times
        self._rng = rng
        self._plan = plan or RingWatch(times.n_watchers, times.n_max_watched)
        self._active_clock = ActiveClock(now_ms)
        self.view = MemberView(members)
        self.view.apply(own, now_ms)
        self._writer = MessageWriter(own, self.view, times.n_repeats)
        self._detector = FailureDetector(
            self.view, self._writer, self._active_clock, self._plan, times, rng
        )
        self._reachability = RelayReachability(
            self.view, self._writer, self._active_clock, times, rng
        )
        self._unreachable: frozenset[str] = frozenset()
        self._next_heartbeat_ms = now_ms + rng.uniform(0.0, times.heartbeat_ms)
        self._next_sweep_ms = now_ms + SWEEP_PERIOD_MS
        self._next_retry_ms = now_ms
        self._comparison = ViewComparison(times.sync_ms, rng)
        self._n_immediate_spreads = 0
        self._deferred_ids: dict[str, None] = {}

    def __repr__(self) -> str:
        return f"Membership({self.own.id!r}, {len(self.view.members)} members)"

    @property
    def own(self) -> Member:
        """The row of this node."""
        return self._writer.own

    @property
    def unreachable(self) -> frozenset[str]:
        """The data centres that cannot be reached from this one."""
        return self._unreachable

    @property
    def is_cut_off(self) -> bool:
        """Whether many tracked peers in the data centre are silent at once."""
        return self._detector.is_cut_off

    @property
    def is_relay(self) -> bool:
        """Whether this node talks to other data centres."""
        return self._reachability.is_relay

    def tick(self, now_ms: float) -> list[Action]:
        """Send due messages and decide on silent members."""
        self._active_clock.advance(now_ms)
        findings = self._detector.tick()
        self._writer.is_deaf = self._detector.is_deaf
        actions = [*findings.actions, *self._apply_and_spread(findings.rows, now_ms)]
        actions.extend(self._spread_deferred())
        actions.extend(self._heartbeats(now_ms))
        pings, reports = self._reachability.tick()
        actions.extend(pings)
        actions.extend(self._retry_dead(now_ms))
        actions.extend(self._apply_reports(reports))
        actions.extend(self._reachability_changes())
        if now_ms >= self._next_sweep_ms:
            self._next_sweep_ms = now_ms + SWEEP_PERIOD_MS
            self.view.drop_tombstones(now_ms)
        return actions

    def receive(self, message: MembershipMessage, now_ms: float) -> list[Action]:
        """Process a message from another node."""
        self._active_clock.advance(now_ms)
        if message.sender == self.own.id:
            return []
        incarnation = self.own.incarnation
        actions = self._apply_and_spread(message.rows, now_ms)
        if self.own.incarnation != incarnation:
            update = self._writer.write(MessageKind.UPDATE, rows=(self.own,))
            actions.append(Reply(update))
        actions.extend(self._check_sender(message))
        actions.extend(self._handle(message))
        if message.reaches:
            actions.extend(self._apply_reports(message.reaches))
            actions.extend(self._reachability_changes())
        actions.extend(self._request_comparison(message, now_ms))
        return actions

    def announce(self, now_ms: float, **fields: Any) -> list[Action]:
        """Change fields of the own row and send it to the fleet."""
        row = self.own._replace(incarnation=self.own.incarnation + 1, **fields)
        return self._update_own(row, now_ms)

    def set_catalogue_version(self, catalogue_version: int) -> None:
        """Set the version in the own row without sending it to the fleet."""
        if self.own.catalogue_version == catalogue_version:
            return
        self._writer.own = self.own._replace(catalogue_version=catalogue_version)
        self.view.members.put(self.own.id, self.own)

    def leave(self, now_ms: float) -> list[Action]:
        """Announce that this process is stopping."""
        return self.announce(now_ms, state=MemberState.LEFT, draining=True)

    def merge(self, rows: Iterable[Member], now_ms: float) -> list[Action]:
        """Apply rows of another view.

        New rows are passed on to peers if all ``rows`` fit in one message.
        """
        new_rows = list(rows)
        if len(new_rows) <= MAX_ROWS_PER_MESSAGE:
            return self._apply_and_spread(new_rows, now_ms)
        changed, actions = self._apply(new_rows, now_ms)
        return [*actions, *(Changed(row.id) for row in changed)]

    def record_sign_of_life(self, member_id: str) -> None:
        """Record a response of a member to a call as a sign of life."""
        self._detector.record_sign_of_life(member_id)

    def connection_lost(self, member_id: str, now_ms: float) -> list[Action]:
        """Check a member after a connection to it broke."""
        self._active_clock.advance(now_ms)
        return self._detector.check_now(member_id)

    def handle_check_result(
        self, member_id: str, evidence: Evidence, started_ms: float, now_ms: float
    ) -> list[Action]:
        """Process the result of a direct check."""
        self._active_clock.advance(now_ms)
        return self._detector.handle_check_result(member_id, evidence, started_ms)

    def _update_own(self, row: Member, now_ms: float) -> list[Action]:
        self._writer.own = row
        self.view.apply(row, now_ms)
        return [Changed(row.id), *self._spread((row,), is_own=True)]

    def _apply_and_spread(self, rows: Iterable[Member], now_ms: float) -> list[Action]:
        changed, actions = self._apply(rows, now_ms)
        actions.extend(Changed(row.id) for row in changed)
        if changed:
            actions.extend(self._spread_or_defer(tuple(changed)))
        return actions

    def _spread_or_defer(self, rows: tuple[Member, ...]) -> list[Action]:
        """Pass rows on at once, or with the next tick if many have arrived."""
        if self._n_immediate_spreads >= MAX_IMMEDIATE_SPREADS:
            self._deferred_ids.update((row.id, None) for row in rows)
            return []
        self._n_immediate_spreads += 1
        return self._spread(rows)

    def _spread_deferred(self) -> list[Action]:
        self._n_immediate_spreads = 0
        if not self._deferred_ids:
            return []
        found = (self.view.members.get(id) for id in self._deferred_ids)
        rows = tuple(row for row in found if row is not None)
        self._deferred_ids.clear()
        return self._spread(rows)

    def _apply(
        self, rows: Iterable[Member], now_ms: float
    ) -> tuple[list[Member], list[Action]]:
        changed: list[Member] = []
        actions: list[Action] = []
        for row in rows:
            if row.id == self.own.id:
                actions.extend(self._refute(row, now_ms))
            elif self.view.apply(row, now_ms):
                changed.append(row)
        return changed, actions

    def _refute(self, row: Member, now_ms: float) -> list[Action]:
        """Announce a higher incarnation if ``row`` is newer than the own row."""
        if not row.supersedes(self.own) or not self.own.is_present:
            return []
        own = self.own._replace(incarnation=row.incarnation + 1)
        return self._update_own(own, now_ms)

    def _spread(self, rows: tuple[Member, ...], is_own: bool = False) -> list[Action]:
        for row in rows:
            self._writer.repeat_row(row.id)
        targets = self._random_peers()
        if is_own:
            targets.update(
                dict.fromkeys(self._reachability.relays(self.own.data_centre))
            )
            targets.update(dict.fromkeys(self._heartbeat_targets()))
        actions = self._send_rows(targets, rows)
        if self.is_relay:
            local_rows = [
                row for row in rows if row.data_centre == self.own.data_centre
            ]
            remote_relays = dict.fromkeys(self._reachability.far_relays())
            actions.extend(self._send_rows(remote_relays, tuple(local_rows)))
        return actions

    def _send_rows(
        self, targets: dict[str, None], rows: tuple[Member, ...]
    ) -> list[Action]:
        actions: list[Action] = []
        targets.pop(self.own.id, None)
        for start in range(0, len(rows), MAX_ROWS_PER_MESSAGE):
            part = rows[start : start + MAX_ROWS_PER_MESSAGE]
            message = self._writer.write(MessageKind.UPDATE, rows=part)
            actions.extend(Send(target, message) for target in targets)
        return actions

    def _random_peers(self) -> dict[str, None]:
        ring = self.view.ring(self.own.data_centre)
        if not len(ring):
            return {}
        n_peers = self._times.fan_out
        picks = (ring[self._rng.randrange(len(ring))] for _ in range(n_peers))
        return dict.fromkeys(picks)

    def _heartbeat_targets(self) -> list[str]:
        ring = self.view.ring(self.own.data_centre)
        return self._plan.heartbeat_targets(self.own.id, ring)

    def _heartbeats(self, now_ms: float) -> list[Action]:
        if now_ms < self._next_heartbeat_ms or not self.own.is_present:
            return []
        period_ms = self._times.heartbeat_ms
        self._next_heartbeat_ms = max(now_ms, self._next_heartbeat_ms + period_ms)
        rows = self._writer.repeated_rows()
        message = self._writer.write(MessageKind.HEARTBEAT, rows=rows)
        return [Send(target, message) for target in self._heartbeat_targets()]

    def _retry_dead(self, now_ms: float) -> list[Action]:
        """Send a heartbeat to a dead member, as it may only have been partitioned."""
        if now_ms < self._next_retry_ms or not self.is_relay:
            return []
        self._next_retry_ms = now_ms + self._times.retry_dead_ms
        dead = self.view.dead_in(self.own.data_centre)
        if not dead:
            return []
        message = self._writer.write(MessageKind.HEARTBEAT)
        return [Send(self._rng.choice(dead).id, message)]

    def _check_sender(self, message: MembershipMessage) -> list[Action]:
        """Record a sign of life, or reply to correct an outdated row of the sender."""
        row = self.view.members.get(message.sender)
        if row is None or message.incarnation > row.incarnation:
            return [Reply(self._writer.write(MessageKind.INTRODUCE))]
        if row.state is not MemberState.ALIVE:
            return [Reply(self._writer.write(MessageKind.UPDATE, rows=(row,)))]
        if message.incarnation == row.incarnation:
            self._detector.record_message(message)
        return []

    def _handle(self, message: MembershipMessage) -> list[Action]:
        if message.kind is MessageKind.PING:
            return [Reply(self._writer.write(MessageKind.ACK))]
        if message.kind is MessageKind.INTRODUCE:
            update = self._writer.write(MessageKind.UPDATE, rows=(self.own,))
            return [Reply(update)]
        if message.kind is MessageKind.ACCUSE:
            if message.subject == self.own.id:
                return [Reply(self._writer.write(MessageKind.ACK))]
            return self._detector.handle_accusation(message)
        if message.kind is MessageKind.VOUCH:
            self._detector.handle_vouch(message)
        elif message.kind is MessageKind.ACK:
            row = self.view.members.get(message.sender)
            if row is not None and row.data_centre != self.own.data_centre:
                self._reachability.record_round_trip(row.data_centre)
        return []

    def _apply_reports(self, reports: Iterable[ReachabilityReport]) -> list[Action]:
        new_reports = tuple(
            report for report in reports if self._reachability.apply(report)
        )
        if not new_reports:
            return []
        message = self._writer.write(MessageKind.UPDATE, reaches=new_reports)
        targets = self._random_peers()
        targets.update(dict.fromkeys(self._heartbeat_targets()))
        targets.pop(self.own.id, None)
        return [Send(target, message) for target in targets]

    def _reachability_changes(self) -> list[Action]:
        unreachable = self._reachability.unreachable
        if unreachable == self._unreachable:
            return []
        self._unreachable = unreachable
        return [ReachChanged(unreachable)]

    def handle_comparison_result(self, is_answered: bool, now_ms: float) -> None:
        """Record whether the peer answered a comparison of views."""
        self._comparison.record_result(is_answered, now_ms)

    def _request_comparison(
        self, message: MembershipMessage, now_ms: float
    ) -> list[Action]:
        """Request a comparison of views if they have differed for some time."""
        if self.view.present(message.sender) is None:
            return []
        if not self._comparison.is_due(message, self.view.digest.total, now_ms):
            return []
        return [Synchronise(message.sender)]
