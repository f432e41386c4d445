"""Claims on idempotency keys: a non-idempotent request runs at most once.

The node that owns a key is the only one to decide whether a request with it is the
first. It answers "unknown" while it cannot know this, because it has just started or
has just become the owner of the key.
"""

from enum import Enum
from typing import Generic, NamedTuple, TypeVar

from .refusal import Ran, Refusal, RefusalKind, outcome_unknown
from .rendezvous import score
from .table import Table

DATA_CENTRE_SEPARATOR = ":"
UUID_TEXT_LENGTH = 36
UUID_VERSION_INDEX = 14
MAX_KEY_LENGTH = 128
SWEEP_INTERVAL_MS = 1_000.0

A = TypeVar("A")


class ClaimSettings(NamedTuple):
    """Limits of a claim table.

    :param horizon_ms: time after its first transmission during which a request may be
        repeated; claims are kept at least as long.
    :param skew_ms: largest difference between wall clocks that is tolerated.
    :param max_claims: number of claims kept.
    :param max_answer_bytes: total bytes of the answers kept.
    """

    horizon_ms: float = 30_000.0
    skew_ms: float = 2_000.0
    max_claims: int = 20_000
    max_answer_bytes: int = 4_194_304


class ClaimState(Enum):
    """State of the request that claimed a key."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Claim(NamedTuple, Generic[A]):
    """The first request with a key.

    :param digest: digest of the request, to detect another request with the same key.
    :param answer: the answer to it; None if it is not kept.
    """

    digest: bytes
    state: ClaimState
    claimed_ms: float
    answer: A | None = None
    n_answer_bytes: int = 0


class Verdict(Enum):
    """What to do with a request."""

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"
    REFUSE = "refuse"


class Decision(NamedTuple, Generic[A]):
    """What to do with a request, with the kept answer or the refusal."""

    verdict: Verdict
    answer: A | None = None
    refusal: Refusal | None = None


class ClaimTable(Generic[A]):
    """Store the requests whose keys this node owns.

    :param now_ms: elapsed time of creation, on a clock that includes suspension.
    :param wall_ms: wall time of creation.
    """

    def __init__(
        self, now_ms: float, wall_ms: float, settings: ClaimSettings | None = None
    ) -> None:
        self.settings = settings or ClaimSettings()
        self._started_ms = now_ms
        self._wall_offset_ms = wall_ms - now_ms
        self._claim_by_key: Table[str, Claim[A]] = Table("claims")
        self._n_answer_bytes = 0
        self._swept_ms = now_ms

    def __repr__(self) -> str:
        return f"ClaimTable({len(self._claim_by_key)} claims)"

    def __len__(self) -> int:
        return len(self._claim_by_key)

    @property
    def n_answer_bytes(self) -> int:
        """Bytes of kept answers."""
        return self._n_answer_bytes

    def claim(
        self, key: str, digest: bytes, moved_ms: float, now_ms: float
    ) -> Decision[A]:
        """Decide on a request with ``key``.

        :param key: organisation and idempotency key.
        :param digest: digest of the request.
        :param moved_ms: when the key last moved to this node from another owner.
        """
        self._sweep(now_ms)
        claim = self._claim_by_key.get(key)
        if claim is not None:
            return _decide_repeat(claim, digest)
        refusal = self._refuse_new(key, max(moved_ms, self._started_ms), now_ms)
        if refusal is not None:
            return Decision(Verdict.REFUSE, refusal=refusal)
        self._claim_by_key.put(key, Claim(digest, ClaimState.RUNNING, now_ms))
        return Decision(Verdict.RUN)

    def reject_keys_issued_before(self, now_ms: float) -> None:
        """Treat keys issued before ``now_ms`` as possibly claimed at another owner.

        To be called after a pause of this node, when others may have replaced it.
        """
        self._started_ms = max(self._started_ms, now_ms)

    def store_answer(self, key: str, answer: A, n_bytes: int) -> None:
        """Store the answer to the first request, if it fits the limit."""
        claim = self._claim_by_key.get(key)
        if claim is None:
            return
        fits = self._n_answer_bytes + n_bytes <= self.settings.max_answer_bytes
        if fits:
            self._n_answer_bytes += n_bytes
            claim = claim._replace(answer=answer, n_answer_bytes=n_bytes)
        self._claim_by_key.put(key, claim._replace(state=ClaimState.ANSWERED))

    def remove_not_run(self, key: str) -> None:
        """Remove the claim of a request that did not run."""
        self._forget(key)

    def mark_outcome_unknown(self, key: str) -> None:
        """Record that the first request may have run, with unknown outcome."""
        claim = self._claim_by_key.get(key)
        if claim is not None:
            self._claim_by_key.put(key, claim._replace(state=ClaimState.UNKNOWN))

    def _refuse_new(
        self, key: str, owned_since_ms: float, now_ms: float
    ) -> Refusal | None:
        issued_ms = self._issued_ms(key)
        settings = self.settings
        if issued_ms is not None and issued_ms > now_ms + settings.skew_ms:
            return _key_in_future()
        if issued_ms is not None and issued_ms < now_ms - settings.horizon_ms:
            return outcome_unknown("the idempotency key is older than answers are kept")
        is_past_horizon = now_ms - owned_since_ms >= settings.horizon_ms
        is_issued_later = (
            issued_ms is not None and issued_ms - settings.skew_ms > owned_since_ms
        )
        if not (is_past_horizon or is_issued_later):
            return outcome_unknown(
                "the node that knows this idempotency key has changed"
            )
        if len(self._claim_by_key) >= settings.max_claims:
            return _table_full()
        return None

    def _issued_ms(self, key: str) -> float | None:
        """Return when a key was issued, in the elapsed time of this node."""
        wall_ms = issued_wall_ms(key.rpartition("/")[2])
        return None if wall_ms is None else wall_ms - self._wall_offset_ms

    def _sweep(self, now_ms: float) -> None:
        if now_ms - self._swept_ms < SWEEP_INTERVAL_MS:
            return
        self._swept_ms = now_ms
        horizon_ms = self.settings.horizon_ms
        for key, claim in self._claim_by_key.items():
            is_old = now_ms - claim.claimed_ms > 2 * horizon_ms
            if is_old and claim.state is not ClaimState.RUNNING:
                self._forget(key)

    def _forget(self, key: str) -> None:
        claim = self._claim_by_key.pop(key)
        if claim is not None:
            self._n_answer_bytes -= claim.n_answer_bytes


class _Departure(NamedTuple):
    node_id: str
    at_ms: float


class KeyOwners:
    """Map keys to the nodes of a service, and keep recent changes.

    :param horizon_ms: how long changes are kept.
    """

    def __init__(self, horizon_ms: float) -> None:
        self._horizon_ms = horizon_ms
        self._joined_ms_by_id: dict[str, float] = {}
        self._departures: list[_Departure] = []

    def __repr__(self) -> str:
        return f"KeyOwners({len(self._joined_ms_by_id)} nodes)"

    def __contains__(self, node_id: object) -> bool:
        return node_id in self._joined_ms_by_id

    def update(self, node_ids: frozenset[str], now_ms: float) -> None:
        """Apply the current set of nodes of the service."""
        for node_id in list(self._joined_ms_by_id):
            if node_id not in node_ids:
                del self._joined_ms_by_id[node_id]
                self._departures.append(_Departure(node_id, now_ms))
        for node_id in node_ids:
            self._joined_ms_by_id.setdefault(node_id, now_ms)
        self._departures = [
            departure
            for departure in self._departures
            if now_ms - departure.at_ms < self._horizon_ms
        ]

    def owner(self, key: str) -> str | None:
        """Return the node that owns ``key``, or None without nodes."""
        return rendezvous(key, frozenset(self._joined_ms_by_id))

    def moved_ms(self, key: str, now_ms: float) -> float:
        """Return when ``key`` last moved to its current owner.

        :returns: minus infinity if that was longer ago than the horizon.
        """
        owner = self.owner(key)
        moved_ms = float("-inf")
        for departure in self._departures:
            if now_ms - departure.at_ms >= self._horizon_ms:
                continue
            others = frozenset((*self._joined_ms_by_id, departure.node_id))
            if rendezvous(key, others) != owner:
                moved_ms = max(moved_ms, departure.at_ms)
        if owner is not None:
            joined_ms = self._joined_ms_by_id[owner]
            if now_ms - joined_ms < self._horizon_ms:
                moved_ms = max(moved_ms, joined_ms)
        return moved_ms


def rendezvous(key: str, node_ids: frozenset[str]) -> str | None:
    """Return the node with the highest score for ``key``, or None without nodes."""
    return max(node_ids, key=lambda name: (score(key, name), name), default=None)


def data_centre_of(key: str) -> str:
    """Return the data centre that prefixes a key, or an empty string."""
    return key.rpartition(DATA_CENTRE_SEPARATOR)[0]


def issued_wall_ms(key: str) -> int | None:
    """Return when a time-ordered UUID (version 7) was issued, else None."""
    key = key.rpartition(DATA_CENTRE_SEPARATOR)[2]
    if len(key) != UUID_TEXT_LENGTH or key[UUID_VERSION_INDEX] != "7":
        return None
    try:
        return int(key[:8] + key[9:13], 16)
    except ValueError:
        return None


def _decide_repeat(claim: Claim[A], digest: bytes) -> Decision[A]:
    if claim.digest != digest:
        return Decision(Verdict.REFUSE, refusal=_key_reused())
    if claim.state is ClaimState.RUNNING:
        return Decision(Verdict.JOIN)
    if claim.answer is not None:
        return Decision(Verdict.REPLAY, answer=claim.answer)
    if claim.state is ClaimState.ANSWERED:
        detail = "the request was executed, but its answer is not kept"
        return Decision(Verdict.REFUSE, refusal=outcome_unknown(detail))
    detail = "an earlier request with this idempotency key may have been executed"
    return Decision(Verdict.REFUSE, refusal=outcome_unknown(detail))


def _key_reused() -> Refusal:
    return Refusal(
        RefusalKind.BAD_REQUEST,
        Ran.UNKNOWN,
        "the idempotency key was used for another request",
        "use a new key for each new request",
    )


def _key_in_future() -> Refusal:
    return Refusal(
        RefusalKind.BAD_REQUEST,
        Ran.NOT_RUN,
        "the time in the idempotency key lies in the future",
        "set the clock of the caller, or use a key without a time",
    )


def _table_full() -> Refusal:
    return Refusal(
        RefusalKind.OUT_OF_MEMORY,
        Ran.NOT_RUN,
        "the node remembers as many idempotency keys as its settings allow",
        "retry after the time given, or raise the number of keys kept",
        1_000,
    )
