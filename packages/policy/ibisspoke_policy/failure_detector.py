"""Failure detection: finds silent members of the own data centre and removes them."""

import random
from typing import NamedTuple

from .active_clock import ActiveClock
from .liveness_tracker import LivenessTracker
from .member import Member, MemberState
from .member_ring import MemberRing
from .member_view import MemberView
from .membership_messages import (
    Action,
    Check,
    Evidence,
    MembershipMessage,
    MessageKind,
    Send,
)
from .membership_times import MembershipTimes
from .message_writer import MessageWriter
from .suspicion import Decision, LocalObservation, Suspicion
from .watch_plan import WatchPlan

PING_PERIOD_MS = 250.0
CHECK_PERIOD_MS = 500.0
MIN_SILENT_PEERS = 2
CUT_OFF_SILENT_SHARE = 1 / 3


class Findings(NamedTuple):
    """Result of a tick: rows with a new state, and actions to perform."""

    rows: list[Member]
    actions: list[Action]


class FailureDetector:
    """Monitor a few peers; remove a peer when two nodes have found it failed.

    :param view: rows of the fleet.
    :param active_clock: time during which this process was running.
    :param plan: which members monitor which others.
    :param rng: chooses the sampled peers.
    """

    def __init__(
        self,
        view: MemberView,
        writer: MessageWriter,
        active_clock: ActiveClock,
        plan: WatchPlan,
        times: MembershipTimes,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._writer = writer
        self._active_clock = active_clock
        self._plan = plan
        self._times = times
        self._rng = rng
        self._liveness = LivenessTracker()
        self._sample: set[str] = set()
        self._suspicion_by_id: dict[str, Suspicion] = {}

    def __repr__(self) -> str:
        return f"FailureDetector({list(self._suspicion_by_id)})"

    @property
    def _ring(self) -> MemberRing:
        return self._view.ring(self._writer.own.data_centre)

    @property
    def is_deaf(self) -> bool:
        """Whether all tracked peers are silent and there are at least two of them."""
        ids = self._liveness.ids()
        limit_ms = self._times.suspect_after_ms
        return len(ids) >= MIN_SILENT_PEERS and all(
            self._silence_ms(member_id) >= limit_ms for member_id in ids
        )

    @property
    def is_cut_off(self) -> bool:
        """Whether many tracked peers are silent at once.

        This node is then probably partitioned. It removes only members that refuse
        connections, and marks other silent ones as suspect.
        """
        ids = self._liveness.ids()
        n_silent = sum(
            self._is_silent(member_id) and not self._is_process_gone(member_id)
            for member_id in ids
        )
        limit = (len(ids) + 1) * CUT_OFF_SILENT_SHARE
        return n_silent >= MIN_SILENT_PEERS and n_silent >= limit

    def record_message(self, message: MembershipMessage) -> None:
        """Record a message as a sign of life of its sender, unless it is stale."""
        if message.is_deaf:
            return
        if not self._liveness.is_stale(
            message.sender, message.incarnation, message.sequence
        ):
            self.record_sign_of_life(message.sender)

    def record_sign_of_life(self, member_id: str) -> None:
        """Record a sign of life of a member and drop any suspicion of it."""
        self._liveness.mark_seen(member_id, self._active_clock.ms)
        self._suspicion_by_id.pop(member_id, None)

    def tick(self) -> Findings:
        """Ping and check silent peers, and decide on suspected ones."""
        self._update_tracked()
        actions: list[Action] = []
        rows: list[Member] = []
        for member_id in self._liveness.ids():
            member = self._view.present(member_id)
            if member is None:
                self._untrack(member_id)
                continue
            actions.extend(self._probe(member))
        for member_id in list(self._suspicion_by_id):
            rows.extend(self._decide(member_id))
        return Findings(rows, actions)

    def check_now(self, member_id: str) -> list[Action]:
        """Check a member at once, after a connection to it broke."""
        member = self._view.present(member_id)
        if member is None or member.data_centre != self._writer.own.data_centre:
            return []
        self._liveness.track(member_id, self._active_clock.ms)
        return self._start_check(member)

    def handle_accusation(self, message: MembershipMessage) -> list[Action]:
        """Confirm or refute another node's accusation of a member."""
        subject = self._view.present(message.subject)
        accuser = self._view.present(message.sender)
        own = self._writer.own
        if subject is None or accuser is None or subject.id == own.id:
            return []
        if subject.incarnation != message.subject_incarnation:
            return self._send_newer_row(accuser, subject, message)
        if subject.data_centre != own.data_centre:
            return []
        if self._heard_recently(subject) and message.evidence is not Evidence.REFUSED:
            return [self._vouch_for(accuser.id, subject)]
        self._liveness.track(subject.id, self._active_clock.ms)
        suspicion = self._suspicion_of(subject)
        suspicion.vote(accuser.id, message.evidence, self._active_clock.ms)
        actions = self._start_check(subject)
        evidence = suspicion.evidence_of(own.id)
        if evidence is not None and accuser.id not in self._recipients(subject):
            actions.append(self._accusation(accuser.id, subject, evidence))
        return actions

    def handle_vouch(self, message: MembershipMessage) -> None:
        """Record a sign of life of a member that another node reports."""
        subject = self._view.present(message.subject)
        if subject is not None and subject.incarnation == message.subject_incarnation:
            self.record_sign_of_life(subject.id)

    def handle_check_result(
        self, member_id: str, evidence: Evidence, started_ms: float
    ) -> list[Action]:
        """Process the result of a direct check that began at ``started_ms``."""
        member = self._view.present(member_id)
        suspicion = self._suspicion_by_id.get(member_id)
        if member is None or suspicion is None:
            return []
        suspicion.is_checking = False
        suspicion.checked_ms = self._active_clock.ms
        if self._active_clock.was_paused_since(started_ms):
            return []
        if evidence is Evidence.ANSWERED:
            voters = suspicion.voters
            self.record_sign_of_life(member_id)
            return [
                self._vouch_for(voter, member)
                for voter in voters
                if voter != self._writer.own.id
            ]
        suspicion.vote(self._writer.own.id, evidence, self._active_clock.ms)
        if self.is_cut_off:
            return []
        return [
            self._accusation(recipient, member, evidence)
            for recipient in self._recipients(member)
        ]

    def _update_tracked(self) -> None:
        watched = self._plan.watched(self._writer.own.id, self._ring, self._is_silent)
        for member_id in watched:
            is_new = self._liveness.track(member_id, self._active_clock.ms)
            if is_new and self._plan.pings_at_once:
                self._sample.add(member_id)
        if not self._suspicion_by_id:
            self._sample.difference_update(
                id for id in list(self._sample) if id not in watched
            )
        keep = self._sample.union(watched, self._suspicion_by_id)
        for member_id in self._liveness.ids():
            if member_id not in keep:
                self._liveness.untrack(member_id)

    def _probe(self, member: Member) -> list[Action]:
        actions: list[Action] = []
        silence_ms = self._silence_ms(member.id)
        must_ping = member.id in self._sample or member.id in self._suspicion_by_id
        if (
            must_ping or silence_ms >= self._times.ping_after_ms
        ) and self._liveness.may_ping(member.id, self._active_clock.ms, PING_PERIOD_MS):
            ping = self._writer.write(MessageKind.PING)
            actions.append(Send(member.id, ping))
        if silence_ms >= self._times.suspect_after_ms:
            actions.extend(self._start_check(member))
        return actions

    def _start_check(self, member: Member) -> list[Action]:
        suspicion = self._suspicion_of(member)
        since_ms = self._active_clock.ms - suspicion.checked_ms
        if suspicion.is_checking or since_ms < CHECK_PERIOD_MS:
            return []
        suspicion.is_checking = True
        return [Check(member.id)]

    def _suspicion_of(self, member: Member) -> Suspicion:
        suspicion = self._suspicion_by_id.get(member.id)
        if suspicion is None or suspicion.incarnation != member.incarnation:
            if not self._suspicion_by_id:
                self._sample_peers()
            suspicion = Suspicion(member.incarnation)
            self._suspicion_by_id[member.id] = suspicion
        return suspicion

    def _sample_peers(self) -> None:
        """Track random peers, to tell a failed peer from a partition of this node."""
        ring = self._ring
        n_tries = min(len(ring), self._times.n_sample)
        for _ in range(n_tries):
            member_id = ring[self._rng.randrange(len(ring))]
            if member_id == self._writer.own.id:
                continue
            if self._liveness.track(member_id, self._active_clock.ms):
                self._sample.add(member_id)

    def _decide(self, member_id: str) -> list[Member]:
        suspicion = self._suspicion_by_id[member_id]
        member = self._view.present(member_id)
        if member is None or member.incarnation != suspicion.incarnation:
            self._untrack(member_id)
            return []
        suspicion.expire(self._times, self._active_clock.ms)
        observation = LocalObservation(
            self._silence_ms(member_id), max(0, len(self._ring) - 2), self.is_cut_off
        )
        decision = suspicion.decide(self._writer.own.id, observation, self._times)
        if decision is Decision.REMOVE:
            self._untrack(member_id)
            return [member._replace(state=MemberState.DEAD)]
        if decision is Decision.MARK_SUSPECT:
            return [member._replace(state=MemberState.SUSPECT)]
        return []

    def _recipients(self, subject: Member) -> list[str]:
        """Return the nodes to which an accusation of ``subject`` is sent."""
        watchers = self._plan.heartbeat_targets(subject.id, self._ring)
        suspicion = self._suspicion_by_id.get(subject.id)
        voters = suspicion.voters if suspicion is not None else []
        recipients = dict.fromkeys([*watchers, *voters])
        recipients.pop(self._writer.own.id, None)
        heard = [id for id in recipients if not self._is_silent(id)]
        if heard:
            return heard[: self._times.n_watchers * 2]
        others = self._ring.predecessors(subject.id, self._times.n_max_watched)
        return [id for id in others if id != self._writer.own.id]

    def _send_newer_row(
        self, accuser: Member, subject: Member, message: MembershipMessage
    ) -> list[Action]:
        if message.subject_incarnation > subject.incarnation:
            return []
        update = self._writer.write(MessageKind.UPDATE, rows=(subject,))
        return [Send(accuser.id, update)]

    def _accusation(self, recipient: str, subject: Member, evidence: Evidence) -> Send:
        message = self._writer.write_about(MessageKind.ACCUSE, subject, evidence)
        return Send(recipient, message)

    def _vouch_for(self, recipient: str, subject: Member) -> Send:
        message = self._writer.write_about(
            MessageKind.VOUCH, subject, Evidence.ANSWERED
        )
        return Send(recipient, message)

    def _heard_recently(self, member: Member) -> bool:
        return member.id in self._liveness and not self._is_silent(member.id)

    def _is_process_gone(self, member_id: str) -> bool:
        suspicion = self._suspicion_by_id.get(member_id)
        if suspicion is None:
            return False
        return suspicion.evidence_of(self._writer.own.id) is Evidence.REFUSED

    def _is_silent(self, member_id: str) -> bool:
        return self._silence_ms(member_id) >= self._times.ping_after_ms

    def _silence_ms(self, member_id: str) -> float:
        return self._liveness.silence_ms(member_id, self._active_clock.ms)

    def _untrack(self, member_id: str) -> None:
        self._liveness.untrack(member_id)
        self._sample.discard(member_id)
        self._suspicion_by_id.pop(member_id, None)
