"""Notices silent members of the own data centre and decides on their removal."""

import random
from typing import NamedTuple

from .attention import AttentiveTime
from .life_tracker import LifeTracker
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
from .suspicion import Decision, Situation, Suspicion
from .watch_plan import WatchPlan

ASK_PERIOD_MS = 250.0
CHECK_PERIOD_MS = 500.0
MIN_CUT_OFF = 2
CUT_OFF_SHARE = 1 / 3


class Findings(NamedTuple):
    """Rows that the detector decided on, and what else to do."""

    rows: list[Member]
    actions: list[Action]


class FailureDetector:
    """Watch a few peers; remove one on the evidence of two nodes.

    :param view: rows of the fleet.
    :param attention: time during which this process was running.
    :param plan: who watches whom.
    :param rng: source of random samples.
    """

    def __init__(
        self,
        view: MemberView,
        writer: MessageWriter,
        attention: AttentiveTime,
        plan: WatchPlan,
        times: MembershipTimes,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._writer = writer
        self._attention = attention
        self._plan = plan
        self._times = times
        self._rng = rng
        self._life = LifeTracker()
        self._sample: set[str] = set()
        self._suspicion_by_id: dict[str, Suspicion] = {}

    def __repr__(self) -> str:
        return f"FailureDetector({list(self._suspicion_by_id)})"

    @property
    def _ring(self) -> MemberRing:
        return self._view.ring(self._writer.own.data_centre)

    @property
    def is_deaf(self) -> bool:
        """Whether none of several peers was heard for long."""
        ids = self._life.ids()
        limit_ms = self._times.suspect_after_ms
        return len(ids) >= MIN_CUT_OFF and all(
            self._silence_ms(member_id) >= limit_ms for member_id in ids
        )

    @property
    def is_cut_off(self) -> bool:
        """Whether a large part of the data centre went silent together."""
        ids = self._life.ids()
        n_silent = sum(
            self._is_quiet(member_id) and not self._is_proved_gone(member_id)
            for member_id in ids
        )
        limit = (len(ids) + 1) * CUT_OFF_SHARE
        return n_silent >= MIN_CUT_OFF and n_silent >= limit

    def hear(self, message: MembershipMessage) -> None:
        """Take a message as a sign of life of its sender."""
        if message.is_deaf:
            return
        if not self._life.is_repeated(
            message.sender, message.incarnation, message.sequence
        ):
            self.note_life(message.sender)

    def note_life(self, member_id: str) -> None:
        """Note a sign of life of a member."""
        self._life.hear(member_id, self._attention.ms)
        self._suspicion_by_id.pop(member_id, None)

    def tick(self) -> Findings:
        """Ask silent peers, check them and decide."""
        self._watch()
        actions: list[Action] = []
        rows: list[Member] = []
        for member_id in self._life.ids():
            member = self._view.present(member_id)
            if member is None:
                self._forget(member_id)
                continue
            actions.extend(self._attend(member))
        for member_id in list(self._suspicion_by_id):
            rows.extend(self._judge(member_id))
        return Findings(rows, actions)

    def doubt(self, member_id: str) -> list[Action]:
        """Check a member at once, since a connection to it broke."""
        member = self._view.present(member_id)
        if member is None or member.data_centre != self._writer.own.data_centre:
            return []
        self._life.track(member_id, self._attention.ms)
        return self._check(member)

    def accused(self, message: MembershipMessage) -> list[Action]:
        """Answer another node's accusation of a member."""
        subject = self._view.present(message.subject)
        accuser = self._view.present(message.sender)
        own = self._writer.own
        if subject is None or accuser is None or subject.id == own.id:
            return []
        if subject.incarnation != message.subject_incarnation:
            return self._correct(accuser, subject, message)
        if subject.data_centre != own.data_centre:
            return []
        if self._heard_lately(subject) and message.evidence is not Evidence.REFUSED:
            return [self._vouch(accuser.id, subject)]
        self._life.track(subject.id, self._attention.ms)
        suspicion = self._suspect(subject)
        suspicion.vote(accuser.id, message.evidence, self._attention.ms)
        actions = self._check(subject)
        evidence = suspicion.evidence_of(own.id)
        if evidence is not None and accuser.id not in self._recipients(subject):
            actions.append(self._accuse(accuser.id, subject, evidence))
        return actions

    def vouched(self, message: MembershipMessage) -> None:
        """Take another node's word that a member lives."""
        subject = self._view.present(message.subject)
        if subject is not None and subject.incarnation == message.subject_incarnation:
            self.note_life(subject.id)

    def checked(
        self, member_id: str, evidence: Evidence, started_ms: float
    ) -> list[Action]:
        """Take in the result of a direct check that began at ``started_ms``."""
        member = self._view.present(member_id)
        suspicion = self._suspicion_by_id.get(member_id)
        if member is None or suspicion is None:
            return []
        suspicion.is_checking = False
        suspicion.checked_ms = self._attention.ms
        if self._attention.was_paused_since(started_ms):
            return []
        if evidence is Evidence.ANSWERED:
            voters = suspicion.voters
            self.note_life(member_id)
            return [
                self._vouch(voter, member)
                for voter in voters
                if voter != self._writer.own.id
            ]
        suspicion.vote(self._writer.own.id, evidence, self._attention.ms)
        if self.is_cut_off:
            return []
        return [
            self._accuse(recipient, member, evidence)
            for recipient in self._recipients(member)
        ]

    def _watch(self) -> None:
        watched = self._plan.watched(self._writer.own.id, self._ring, self._is_quiet)
        for member_id in watched:
            is_new = self._life.track(member_id, self._attention.ms)
            if is_new and self._plan.asks_at_once:
                self._sample.add(member_id)
        if not self._suspicion_by_id:
            self._sample.difference_update(
                id for id in list(self._sample) if id not in watched
            )
        keep = self._sample.union(watched, self._suspicion_by_id)
        for member_id in self._life.ids():
            if member_id not in keep:
                self._life.untrack(member_id)

    def _attend(self, member: Member) -> list[Action]:
        actions: list[Action] = []
        silence_ms = self._silence_ms(member.id)
        must_ask = member.id in self._sample or member.id in self._suspicion_by_id
        if (must_ask or silence_ms >= self._times.ask_after_ms) and self._life.may_ask(
            member.id, self._attention.ms, ASK_PERIOD_MS
        ):
            ping = self._writer.write(MessageKind.PING)
            actions.append(Send(member.id, ping))
        if silence_ms >= self._times.suspect_after_ms:
            actions.extend(self._check(member))
        return actions

    def _check(self, member: Member) -> list[Action]:
        suspicion = self._suspect(member)
        since_ms = self._attention.ms - suspicion.checked_ms
        if suspicion.is_checking or since_ms < CHECK_PERIOD_MS:
            return []
        suspicion.is_checking = True
        return [Check(member.id)]

    def _suspect(self, member: Member) -> Suspicion:
        suspicion = self._suspicion_by_id.get(member.id)
        if suspicion is None or suspicion.incarnation != member.incarnation:
            if not self._suspicion_by_id:
                self._take_sample()
            suspicion = Suspicion(member.incarnation)
            self._suspicion_by_id[member.id] = suspicion
        return suspicion

    def _take_sample(self) -> None:
        """Track some other peers, to tell their failure from being cut off."""
        ring = self._ring
        n_tries = min(len(ring), self._times.n_sample)
        for _ in range(n_tries):
            member_id = ring[self._rng.randrange(len(ring))]
            if member_id == self._writer.own.id:
                continue
            if self._life.track(member_id, self._attention.ms):
                self._sample.add(member_id)

    def _judge(self, member_id: str) -> list[Member]:
        suspicion = self._suspicion_by_id[member_id]
        member = self._view.present(member_id)
        if member is None or member.incarnation != suspicion.incarnation:
            self._forget(member_id)
            return []
        suspicion.expire(self._times, self._attention.ms)
        situation = Situation(
            self._silence_ms(member_id), max(0, len(self._ring) - 2), self.is_cut_off
        )
        decision = suspicion.decide(self._writer.own.id, situation, self._times)
        if decision is Decision.REMOVE:
            self._forget(member_id)
            return [member._replace(state=MemberState.DEAD)]
        if decision is Decision.MARK_SUSPECT:
            return [member._replace(state=MemberState.SUSPECT)]
        return []

    def _recipients(self, subject: Member) -> list[str]:
        """Return the nodes that can confirm an accusation of ``subject``."""
        watchers = self._plan.heartbeat_targets(subject.id, self._ring)
        suspicion = self._suspicion_by_id.get(subject.id)
        voters = suspicion.voters if suspicion is not None else []
        recipients = dict.fromkeys([*watchers, *voters])
        recipients.pop(self._writer.own.id, None)
        heard = [id for id in recipients if not self._is_quiet(id)]
        if heard:
            return heard[: self._times.n_watchers * 2]
        others = self._ring.predecessors(subject.id, self._times.n_max_watched)
        return [id for id in others if id != self._writer.own.id]

    def _correct(
        self, accuser: Member, subject: Member, message: MembershipMessage
    ) -> list[Action]:
        if message.subject_incarnation > subject.incarnation:
            return []
        update = self._writer.write(MessageKind.UPDATE, rows=(subject,))
        return [Send(accuser.id, update)]

    def _accuse(self, recipient: str, subject: Member, evidence: Evidence) -> Send:
        message = self._writer.about(MessageKind.ACCUSE, subject, evidence)
        return Send(recipient, message)

    def _vouch(self, recipient: str, subject: Member) -> Send:
        message = self._writer.about(MessageKind.VOUCH, subject, Evidence.ANSWERED)
        return Send(recipient, message)

    def _heard_lately(self, member: Member) -> bool:
        return member.id in self._life and not self._is_quiet(member.id)

    def _is_proved_gone(self, member_id: str) -> bool:
        suspicion = self._suspicion_by_id.get(member_id)
        if suspicion is None:
            return False
        return suspicion.evidence_of(self._writer.own.id) is Evidence.REFUSED

    def _is_quiet(self, member_id: str) -> bool:
        return self._silence_ms(member_id) >= self._times.ask_after_ms

    def _silence_ms(self, member_id: str) -> float:
        return self._life.silence_ms(member_id, self._attention.ms)

    def _forget(self, member_id: str) -> None:
        self._life.untrack(member_id)
        self._sample.discard(member_id)
        self._suspicion_by_id.pop(member_id, None)
