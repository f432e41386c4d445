"""Accusations against a silent member and the decision to remove it."""

from enum import Enum
from typing import NamedTuple

from .membership_messages import Evidence
from .membership_times import MembershipTimes

N_VOTES = 2


class Vote(NamedTuple):
    """What one node's direct check found, and when."""

    evidence: Evidence
    at_ms: float


class Decision(Enum):
    """What to do with a suspected member."""

    WAIT = "wait"
    MARK_SUSPECT = "mark_suspect"
    REMOVE = "remove"


class Situation(NamedTuple):
    """What the deciding node knows besides the votes.

    :param silence_ms: attentive time without a sign of life.
    :param n_other_voters: present members that could confirm the accusation.
    :param is_cut_off: whether the node lost sight of much of its data centre.
    """

    silence_ms: float
    n_other_voters: int
    is_cut_off: bool


class Suspicion:
    """Votes on one member, this node's own among them.

    :param incarnation: of the suspected member.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.is_checking = False
        self.checked_ms = float("-inf")
        self._vote_by_voter: dict[str, Vote] = {}

    def __repr__(self) -> str:
        return f"Suspicion({self._vote_by_voter})"

    @property
    def voters(self) -> list[str]:
        """The nodes whose checks failed."""
        return list(self._vote_by_voter)

    def vote(self, voter: str, evidence: Evidence, now_ms: float) -> None:
        """Count the failed check of ``voter``."""
        self._vote_by_voter[voter] = Vote(evidence, now_ms)

    def evidence_of(self, voter: str) -> Evidence | None:
        """Return what the check of ``voter`` found, or None."""
        vote = self._vote_by_voter.get(voter)
        return vote.evidence if vote is not None else None

    def expire(self, times: MembershipTimes, now_ms: float) -> None:
        """Drop votes that are too old to count."""
        for voter, vote in list(self._vote_by_voter.items()):
            if now_ms - vote.at_ms > times.vote_ms:
                del self._vote_by_voter[voter]

    def decide(
        self, own_id: str, situation: Situation, times: MembershipTimes
    ) -> Decision:
        """Return what the votes allow; only a node with a vote of its own decides."""
        own = self._vote_by_voter.get(own_id)
        if own is None:
            return Decision.WAIT
        if self._is_confirmed(situation) and self._is_proved:
            return Decision.REMOVE
        if situation.silence_ms < self._required_silence_ms(times):
            return Decision.WAIT
        if situation.is_cut_off or situation.n_other_voters == 0:
            return Decision.MARK_SUSPECT
        if self._is_confirmed(situation):
            return Decision.REMOVE
        return Decision.WAIT

    @property
    def _is_proved(self) -> bool:
        """Whether every check found that the VM runs no such process."""
        votes = self._vote_by_voter.values()
        return all(vote.evidence is Evidence.REFUSED for vote in votes)

    def _is_confirmed(self, situation: Situation) -> bool:
        n_needed = min(N_VOTES, 1 + situation.n_other_voters)
        return len(self._vote_by_voter) >= n_needed

    def _required_silence_ms(self, times: MembershipTimes) -> float:
        votes = self._vote_by_voter.values()
        if any(vote.evidence is Evidence.HUNG for vote in votes):
            return times.remove_hung_after_ms
        return times.remove_after_ms
