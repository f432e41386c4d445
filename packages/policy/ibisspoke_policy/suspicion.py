"""Accusations against a silent member and the decision to remove it."""

from enum import Enum
from typing import NamedTuple

from .membership_messages import Evidence
from .membership_times import MembershipTimes

MIN_VOTES_TO_REMOVE = 2


class Vote(NamedTuple):
    """Result and time of one node's direct check."""

    evidence: Evidence
    at_ms: float


class Decision(Enum):
    """Decision on a suspected member."""

    WAIT = "wait"
    MARK_SUSPECT = "mark_suspect"
    REMOVE = "remove"


class LocalObservation(NamedTuple):
    """Observations of the deciding node besides the votes.

    :param silence_ms: time without a sign of life, on an active clock.
    :param n_other_voters: other present members that could vote.
    :param is_cut_off: whether many peers of the node are silent at once.
    """

    silence_ms: float
    n_other_voters: int
    is_cut_off: bool


class Suspicion:
    """Votes on one member, including the vote of this node.

    :param incarnation: incarnation of the suspected member.
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
        """Record the failed check of ``voter``."""
        self._vote_by_voter[voter] = Vote(evidence, now_ms)

    def evidence_of(self, voter: str) -> Evidence | None:
        """Return the result of the check of ``voter``, or None."""
        vote = self._vote_by_voter.get(voter)
        return vote.evidence if vote is not None else None

    def expire(self, times: MembershipTimes, now_ms: float) -> None:
        """Drop votes that are too old to count."""
        for voter, vote in list(self._vote_by_voter.items()):
            if now_ms - vote.at_ms > times.vote_ms:
                del self._vote_by_voter[voter]

    def decide(
        self, own_id: str, observation: LocalObservation, times: MembershipTimes
    ) -> Decision:
        """Return the decision; a node without a vote of its own waits."""
        own = self._vote_by_voter.get(own_id)
        if own is None:
            return Decision.WAIT
        if self._is_confirmed(observation) and self._all_refused:
            return Decision.REMOVE
        if observation.silence_ms < self._required_silence_ms(times):
            return Decision.WAIT
        if observation.is_cut_off or observation.n_other_voters == 0:
            return Decision.MARK_SUSPECT
        if self._is_confirmed(observation):
            return Decision.REMOVE
        return Decision.WAIT

    @property
    def _all_refused(self) -> bool:
        """Whether every check was refused, which proves that the process is gone."""
        votes = self._vote_by_voter.values()
        return all(vote.evidence is Evidence.REFUSED for vote in votes)

    def _is_confirmed(self, observation: LocalObservation) -> bool:
        n_needed = min(MIN_VOTES_TO_REMOVE, 1 + observation.n_other_voters)
        return len(self._vote_by_voter) >= n_needed

    def _required_silence_ms(self, times: MembershipTimes) -> float:
        votes = self._vote_by_voter.values()
        if any(vote.evidence is Evidence.HUNG for vote in votes):
            return times.remove_hung_after_ms
        return times.remove_after_ms
