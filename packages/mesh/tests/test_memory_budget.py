"""The bound on what a process holds, and calls of other nodes that it limits."""

import asyncio
from collections.abc import Callable

import pytest

from ibisspoke_mesh.config_replies import ConfigReplies
from ibisspoke_mesh.decision_log import DecisionLog
from ibisspoke_mesh.frames import Attempt, Outcome, OutcomeKind, Reply
from ibisspoke_mesh.memory_budget import MB, MemoryBudget, Need, Part, UnsentBytes
from ibisspoke_mesh.peer_link import OUT_OF_MEMORY, NodeIncarnation
from ibisspoke_mesh.peer_server import (
    LOST,
    OUTCOME_RETENTION_MS,
    PeerCalls,
    _CallKey,
)
from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.upstream_queue import Load

LARGEST_BODY_BYTES = 64 * 1024 * 1024  # that the users' configurations allow
ANSWER = Outcome(OutcomeKind.ANSWERED, 200, b"", bytes(100_000))


class _Runner:
    """Starts attempts, and leaves it to the test how they end."""

    def __init__(self) -> None:
        self.on_outcome: list[Callable[[Outcome], None]] = []
        self.may_have_run = True

    def submit(self, attempt: Attempt, on_outcome) -> int:
        self.on_outcome.append(on_outcome)
        return len(self.on_outcome) - 1

    def cancel(self, number: int) -> bool:
        return self.may_have_run

    def load(self) -> Load:
        return Load(0, 0, 0, 0.0, 0.0, ())

    def vm_pace(self) -> float:
        return 0.0


class _Connection(list):
    """A connection of another node, with the outcomes that were sent over it."""

    __hash__ = object.__hash__

    def send(self, reply: Reply) -> None:
        self.append(reply.outcome)


class _Server:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self.memory = MemoryBudget()
        self.runner = _Runner()
        self.connection = _Connection()
        log = DecisionLog(self.clock)
        replies = ConfigReplies(None)
        own = NodeIncarnation("n", 1)
        self.calls = PeerCalls(
            own, self.runner, self.clock, log, replies, bool, self.memory
        )

    def call(self, stream: int, n_bytes: int, idempotent: bool = False) -> _CallKey:
        key = _CallKey("other", 1, stream)
        attempt = Attempt(
            "s", "i", "r", b"id", b"", bytes(n_bytes), False, idempotent, (1, 1), 1, 1
        )
        self.calls.call(key, attempt, self.connection)
        return key


@pytest.fixture
def server() -> _Server:
    return _Server()


@pytest.mark.parametrize("memory_mb", [200, 300, 552])
def test_the_largest_body_fits_in_each_machine_with_all_of_it(memory_mb):
    memory = MemoryBudget(memory_mb * MB)
    assert memory.fits(Need(LARGEST_BODY_BYTES, LARGEST_BODY_BYTES))
    assert memory.max_large_bytes < memory.max_bytes < (memory_mb - 60) * MB


def test_small_requests_have_room_when_large_ones_have_none():
    memory = MemoryBudget()
    memory.add(Part.BODIES, memory.max_large_bytes)
    assert not memory.make_room(Need(1_000, 1_000_000))
    assert memory.make_room(Need(1_000, 1_000))
    memory.add(Part.BODIES, memory.max_bytes - memory.max_large_bytes)
    assert not memory.make_room(Need(1_000, 1_000))


async def test_what_was_written_at_once_counts_until_all_of_it_is_sent():
    memory = MemoryBudget()
    unsent = UnsentBytes(memory)
    counted = []
    unsent.note_large(1_000)
    unsent.note_large(2_000)
    await asyncio.sleep(0)
    unsent.note_large(500)
    for n_unsent in (3_500, 501, 500, 1, 0, 200):
        unsent.count(n_unsent)
        counted.append(memory.n_bytes_by_part[Part.UNSENT])
    assert counted == [3_500, 3_500, 500, 500, 0, 200]


def test_attempts_count_until_they_end(server):
    server.call(1, 50_000)
    key = server.call(2, 50_000, idempotent=True)
    assert server.memory.n_bytes_by_part[Part.ATTEMPTS] > 100_000
    server.calls.cancel(key)  # ends it, as it may run again
    assert 50_000 < server.memory.n_bytes_by_part[Part.ATTEMPTS] < 100_000
    server.runner.on_outcome[0](Outcome(OutcomeKind.FAILED))
    assert server.memory.n_held_bytes == 0


def test_an_attempt_that_goes_on_after_it_was_cancelled_counts(server):
    server.calls.cancel(server.call(1, 50_000))
    assert server.memory.n_bytes_by_part[Part.ATTEMPTS] > 50_000
    server.runner.on_outcome[0](Outcome(OutcomeKind.FAILED))
    assert server.memory.n_held_bytes == 0


def test_calls_are_refused_when_nothing_more_can_be_held(server):
    server.memory.add(Part.BODIES, server.memory.max_bytes)
    server.call(1, 100)
    (refused,) = server.connection
    assert (refused.kind, refused.reason) == (OutcomeKind.REFUSED, OUT_OF_MEMORY)
    assert refused.retry_after_ms > 0
    assert not server.runner.on_outcome


def test_an_answer_without_room_fails_its_call(server):
    server.call(1, 100)
    server.memory.add(Part.BODIES, server.memory.max_large_bytes)
    server.runner.on_outcome[0](ANSWER)
    (failed,) = server.connection
    assert (failed.kind, failed.reason) == (OutcomeKind.FAILED, OUT_OF_MEMORY)


def test_kept_outcomes_count_for_their_time(server):
    key = server.call(1, 100)
    server.runner.on_outcome[0](ANSWER)
    assert server.memory.n_bytes_by_part[Part.KEPT_OUTCOMES] == len(ANSWER.body)
    server.calls.recover(key, server.connection)
    assert server.connection == [ANSWER, ANSWER]
    server.clock.advance(OUTCOME_RETENTION_MS)
    server.calls.tick()
    assert server.memory.n_held_bytes == 0


def test_the_oldest_kept_outcome_gives_way_first(server):
    # Guards against a node that outgrows its machine by answers that were delivered.
    keys = [server.call(stream, 100) for stream in range(3)]
    for on_outcome in server.runner.on_outcome:
        on_outcome(ANSWER)
    n_left = server.memory.max_large_bytes - server.memory.n_held_bytes
    assert server.memory.make_room(Need(n_left + 1, 1_000_000))
    del server.connection[:]
    for key in keys:
        server.calls.recover(key, server.connection)
    assert server.connection == [LOST, ANSWER, ANSWER]
