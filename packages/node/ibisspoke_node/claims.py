"""Idempotency keys on the node that owns them: repeats join the first request."""

import asyncio
import hashlib
import itertools
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from result import Err, Ok

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.idempotency import (
    MAX_KEY_LENGTH,
    ClaimSettings,
    ClaimTable,
    Decision,
    KeyOwners,
    Verdict,
    data_centre_of,
)
from ibisspoke_policy.member import Member, MemberTable
from ibisspoke_policy.member_index import NodeLocation
from ibisspoke_policy.refusal import Ran, Refusal, RefusalKind, outcome_unknown

from .executor import Executor
from .messages import Answer, Attempt, Outcome, OutcomeCallback, Refused

# A longer gap between ticks counts as a pause, in which other nodes may have taken over
# the keys of this one.
PAUSE_THRESHOLD_MS = 2_000.0
DIGEST_BYTES = 16

Forward = Callable[[Attempt, bytes, float], Awaitable[Outcome]]


class KeyScope(NamedTuple):
    """Nodes among which the owner of a key is chosen.

    :param data_centre: data centre of the nodes; empty for all nodes of the service.
    """

    service: str
    data_centre: str

    def contains(self, member: Member) -> bool:
        """Return whether ``member`` may own a key."""
        if member.service != self.service or not member.is_present:
            return False
        return not self.data_centre or member.data_centre == self.data_centre


class KeyOwnerDirectory:
    """Find the owner of a key among the nodes of a service.

    :param members_by_id: all nodes that this node knows; subscribed to for changes.
    """

    def __init__(self, members_by_id: MemberTable, horizon_ms: float) -> None:
        self._members_by_id = members_by_id
        self._horizon_ms = horizon_ms
        self._owners_by_scope: dict[KeyScope, KeyOwners] = {}
        self._stale: set[KeyScope] = set()
        members_by_id.subscribe(self._on_member_change)

    def __repr__(self) -> str:
        return f"KeyOwnerDirectory({len(self._owners_by_scope)} scopes)"

    def owner(self, scope: KeyScope, key: str, now_ms: float) -> Member | None:
        """Return the node that owns ``key``, or None when there is none."""
        owner = self.owners(scope, now_ms).owner(key)
        return None if owner is None else self._members_by_id.get(owner)

    def owners(self, scope: KeyScope, now_ms: float) -> KeyOwners:
        """Return the owners of the keys of ``scope``."""
        owners = self._owners_by_scope.get(scope)
        if owners is not None and scope not in self._stale:
            return owners
        members = self._members_by_id.where(scope.contains)
        if owners is None:
            owners = KeyOwners(self._horizon_ms)
            if not members:
                # Callers choose the data centre in a key: unknown ones are not stored.
                return owners
            self._owners_by_scope[scope] = owners
        self._stale.discard(scope)
        owners.update(frozenset(member.id for member in members), now_ms)
        return owners

    def _on_member_change(self, member_id: str) -> None:
        member = self._members_by_id.get(member_id)
        for scope, owners in self._owners_by_scope.items():
            is_in_scope = member is not None and scope.contains(member)
            if is_in_scope != (member_id in owners):
                self._stale.add(scope)


class _Run(NamedTuple):
    """The first request with a key, while it runs."""

    attempt: Attempt
    body: bytes
    deadline_ms: float


class IdempotentAttemptHandler:
    """Run attempts, and execute those with the same idempotency key only once.

    ``forward`` runs an attempt on another node when this one refuses it, and
    ``is_cut_off`` returns whether other nodes may consider this node dead.
    """

    def __init__(
        self,
        location: NodeLocation,
        executor: Executor,
        key_owners: KeyOwnerDirectory,
        settings: ClaimSettings,
        clock: Clock,
    ) -> None:
        self.claims = ClaimTable[Answer](clock.elapsed_ms(), clock.wall_ms(), settings)
        self.forward: Forward | None = None
        self.is_cut_off: Callable[[], bool] = lambda: False
        self._last_tick_ms = clock.elapsed_ms()
        self._location = location
        self._executor = executor
        self._key_owners = key_owners
        self._clock = clock
        self._waiter_ids = itertools.count(-1, -1)
        self._waiters_by_key: dict[str, dict[int, OutcomeCallback]] = {}
        self._key_by_waiter: dict[int, str] = {}
        self._forwards: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        return f"IdempotentAttemptHandler({self.claims!r})"

    def submit(self, attempt: Attempt, body: bytes, done: OutcomeCallback) -> int:
        """Start an attempt, or make it wait for the first one with its key."""
        if not is_keyed(attempt):
            return self._executor.submit(attempt, body, done)
        waiter_id = next(self._waiter_ids)
        key = scoped_key(attempt)
        decision = self._decide(attempt, body, key)
        if decision.verdict is Verdict.REFUSE:
            assert decision.refusal is not None
            level = self._executor.level
            n_unused = attempt.context.retries_left
            done(Err(Refused(decision.refusal, level, n_unused)))
            return waiter_id
        if decision.verdict is Verdict.REPLAY:
            assert decision.answer is not None
            done(Ok(decision.answer._replace(level=self._executor.level)))
            return waiter_id
        self._waiters_by_key.setdefault(key, {})[waiter_id] = done
        self._key_by_waiter[waiter_id] = key
        if decision.verdict is Verdict.RUN:
            self._start(key, attempt, body)
        return waiter_id

    def cancel(self, attempt_id: int) -> None:
        """Cancel an attempt; one with a key continues, as a repeat may ask for it."""
        if attempt_id > 0:
            self._executor.cancel(attempt_id)
            return
        key = self._key_by_waiter.pop(attempt_id, None)
        if key is not None:
            self._waiters_by_key.get(key, {}).pop(attempt_id, None)

    def tick(self) -> None:
        """Detect pauses of this process and update the key owners of the service."""
        self._detect_pause()
        announced = self._executor.announcement
        if announced is not None:
            now_ms = self._clock.now_ms()
            for data_centre in ("", self._location.data_centre):
                self._key_owners.owners(
                    KeyScope(announced.service, data_centre), now_ms
                )

    def close(self) -> None:
        """Cancel the forwarded attempts."""
        for forward in self._forwards:
            forward.cancel()

    def _decide(self, attempt: Attempt, body: bytes, key: str) -> Decision[Answer]:
        if len(attempt.idempotency_key) > MAX_KEY_LENGTH:
            return Decision(Verdict.REFUSE, refusal=_key_too_long())
        self._detect_pause()
        if self.is_cut_off():
            detail = "the node that knows this idempotency key is cut off from others"
            return Decision(Verdict.REFUSE, refusal=outcome_unknown(detail))
        owners = self._key_owners.owners(key_scope(attempt), self._clock.now_ms())
        if owners.owner(key) != self._location.member_id:
            detail = "nodes differ on who knows this idempotency key"
            return Decision(Verdict.REFUSE, refusal=outcome_unknown(detail))
        offset_ms = self._clock.elapsed_ms() - self._clock.now_ms()
        moved_ms = owners.moved_ms(key, self._clock.now_ms()) + offset_ms
        digest = _digest(attempt, body)
        return self.claims.claim(key, digest, moved_ms, self._clock.elapsed_ms())

    def _detect_pause(self) -> None:
        now_ms = self._clock.elapsed_ms()
        if now_ms - self._last_tick_ms > PAUSE_THRESHOLD_MS:
            self.claims.reject_keys_issued_before(now_ms)
        self._last_tick_ms = now_ms

    def _start(self, key: str, attempt: Attempt, body: bytes) -> None:
        deadline_ms = self._clock.now_ms() + attempt.remaining_ms
        run = _Run(attempt._replace(idempotency_key=""), body, deadline_ms)

        def on_outcome(outcome: Outcome) -> None:
            if _may_run_on_other_node(outcome) and self.forward is not None:
                self._forward(key, run, outcome)
            else:
                self._complete(key, outcome)

        self._executor.submit(run.attempt, body, on_outcome)

    def _forward(self, key: str, run: _Run, refused: Outcome) -> None:
        task = asyncio.ensure_future(self._run_on_other_node(key, run, refused))
        self._forwards.add(task)
        task.add_done_callback(self._forwards.discard)

    async def _run_on_other_node(self, key: str, run: _Run, refused: Outcome) -> None:
        assert self.forward is not None
        outcome: Outcome = Err(Refused(outcome_unknown("the node is stopping")))
        try:
            outcome = await self.forward(run.attempt, run.body, run.deadline_ms)
            if isinstance(outcome, Err) and outcome.err_value.level is None:
                outcome = _more_certain(refused, outcome)
        finally:
            self._complete(key, outcome)

    def _complete(self, key: str, outcome: Outcome) -> None:
        if isinstance(outcome, Ok):
            self.claims.store_answer(key, outcome.ok_value, len(outcome.ok_value.body))
        elif outcome.err_value.refusal.ran is Ran.NOT_RUN:
            self.claims.remove_not_run(key)
        else:
            self.claims.mark_outcome_unknown(key)
        for waiter_id, done in self._waiters_by_key.pop(key, {}).items():
            self._key_by_waiter.pop(waiter_id, None)
            done(outcome)


def is_keyed(attempt: Attempt) -> bool:
    """Return whether an attempt has a key that limits it to one execution."""
    return bool(attempt.idempotency_key) and not attempt.idempotent


def key_scope(attempt: Attempt) -> KeyScope:
    """Return the nodes among which the owner of the key of an attempt is chosen."""
    return KeyScope(attempt.service, data_centre_of(attempt.idempotency_key))


def scoped_key(attempt: Attempt) -> str:
    """Return the key of an attempt, distinct between organisations."""
    return f"{attempt.context.organisation}/{attempt.idempotency_key}"


def _may_run_on_other_node(outcome: Outcome) -> bool:
    if isinstance(outcome, Ok):
        return False
    refusal = outcome.err_value.refusal
    return refusal.ran is Ran.NOT_RUN and refusal.may_retry


def _more_certain(refused: Outcome, outcome: Outcome) -> Outcome:
    """Return the first refusal unless a later attempt may have run."""
    assert isinstance(outcome, Err)
    return refused if outcome.err_value.refusal.ran is Ran.NOT_RUN else outcome


def _digest(attempt: Attempt, body: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(f"{attempt.method} {attempt.target}\n".encode())
    digest.update(body)
    return digest.digest()


def _key_too_long() -> Refusal:
    return Refusal(
        RefusalKind.BAD_REQUEST,
        Ran.NOT_RUN,
        f"the idempotency key is longer than {MAX_KEY_LENGTH} characters",
        "use a UUID of version 7",
    )
