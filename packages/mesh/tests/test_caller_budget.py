"""Bounds on memory and connections of callers, and turns of costly input."""

import asyncio

import pytest

from ibisspoke_mesh import caller_budget
from ibisspoke_mesh.body_parts import BodyParts
from ibisspoke_mesh.caller_budget import CallerBudget
from ibisspoke_mesh.memory_budget import SMALL_BYTES, Need, Part
from ibisspoke_mesh.parse_queue import MAX_RUN_MS, ParseQueue
from ibisspoke_policy.clock import ManualClock

LIMIT = 1_000
SMALL_LIMIT = 100
LARGE = Need(0, LIMIT * SMALL_BYTES)
SMALL = Need(0, 1)


class _Connection:
    def __init__(self, budget: CallerBudget, is_handling: bool = False) -> None:
        self.is_handling = is_handling
        self.is_costly = False
        self.n_unwritten_bytes = self.n_unfinished_bytes = 0
        self.unfinished_since_ms: float | None = None
        self.n_body_bytes = 0
        self.reasons: list[str] = []
        self._budget = budget

    def cut_off(self, reason: str) -> None:
        self.reasons.append(reason)

    def refuse(self, status: int, reason: str) -> None:
        self.reasons.append(f"{status} {reason}")
        _hold(self._budget, -self.n_body_bytes)
        self.n_body_bytes = 0
        self._budget.end_upload(self)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def budget(clock, monkeypatch):
    monkeypatch.setattr(caller_budget, "CONNECTION_BYTES", 0)
    budget = CallerBudget(clock)
    budget.memory.max_large_bytes = LIMIT
    budget.memory.max_bytes = LIMIT + SMALL_LIMIT
    return budget


def _hold(budget: CallerBudget, n_bytes: int, part: Part = Part.BODIES) -> None:
    budget.memory.add(part, n_bytes)


def _upload(budget: CallerBudget, n_bytes: int) -> _Connection:
    connection = _Connection(budget)
    connection.n_body_bytes = n_bytes
    budget.add_connection(connection)
    budget.note_upload(connection, n_bytes)
    _hold(budget, n_bytes)
    return connection


def _unread(budget, n_bytes):
    connection = _Connection(budget)
    connection.n_unwritten_bytes = n_bytes
    budget.add_connection(connection)
    budget.add_unread(connection, n_bytes)
    return connection


def test_a_single_unread_answer_is_never_cut_off(budget):
    _hold(budget, LIMIT)
    assert _unread(budget, 2 * LIMIT).reasons == []


def test_the_largest_unread_answer_is_cut_off_first(budget):
    small, large, last = (_unread(budget, n) for n in (200, 700, 300))
    assert large.reasons == ["unread answers"]
    assert small.reasons == last.reasons == []
    assert budget.n_unread_bytes == 500


def test_an_answer_that_makes_progress_outlasts_one_that_stalls(budget, clock):
    # Guards against cutting off callers that read slowly for those that don't read.
    reading, stalled = _unread(budget, 600), _unread(budget, 300)
    for _ in range(20):
        clock.advance(100.0)
        reading.n_unwritten_bytes -= 10
        budget.tick()
    last = _unread(budget, 350)
    assert stalled.reasons == ["unread answers"]
    assert reading.reasons == last.reasons == []


@pytest.mark.parametrize("part", sorted({*Part} - {Part.UNREAD, Part.CLOSING}))
def test_whatever_else_is_held_counts(budget, part):
    _hold(budget, 900, part)
    first, second = _unread(budget, 60), _unread(budget, 50)
    assert first.reasons == ["unread answers"]
    assert second.reasons == []


def test_slow_uploads_give_way_and_fast_ones_do_not(budget, clock, monkeypatch):
    # Guards against uploads that were begun and left, which would take the memory from
    # all others until their callers close them.
    monkeypatch.setattr(caller_budget, "SLOW_UPLOAD_BYTES", 100)
    slow, fast, needy = (_upload(budget, 400) for _ in range(3))
    clock.advance(caller_budget.SLOW_UPLOAD_MS + 1.0)
    budget.note_upload(slow, 450)
    budget.note_upload(fast, 600)
    assert budget.memory.make_room(LARGE._replace(holder=needy))
    assert slow.reasons == ["503 slow upload"]
    assert fast.reasons == needy.reasons == []


def test_uploads_in_progress_are_kept_when_there_is_no_room(budget):
    upload = _upload(budget, LIMIT + 1)
    assert not budget.memory.make_room(LARGE)
    assert upload.reasons == []


def test_an_upload_in_progress_gives_way_to_a_much_smaller_one(budget):
    # Guards against callers that send just enough to keep others out.
    large = 4 * SMALL_BYTES
    budget.memory.max_large_bytes = large
    budget.memory.max_bytes = large + SMALL_LIMIT
    upload = _upload(budget, large + SMALL_LIMIT + 1)
    assert budget.memory.make_room(SMALL)
    assert upload.reasons == ["503 larger upload"]


def test_uploads_in_tiny_chunks_give_way_to_others_only(budget):
    costly, other = _upload(budget, 600), _upload(budget, 600)
    costly.is_costly = other.is_costly = True
    assert not budget.memory.make_room(LARGE._replace(holder=other))
    assert budget.memory.make_room(LARGE)
    assert len(costly.reasons + other.reasons) == 1


def test_unread_answers_that_stall_give_way_to_bodies(budget, clock):
    # Guards against callers that read nothing, and so keep uploads out for good.
    unread, last = _unread(budget, 400), _unread(budget, 400)
    _hold(budget, 300)
    assert not budget.memory.make_room(LARGE)
    clock.advance(caller_budget.STALLED_MS + 1.0)
    budget.memory.make_room(LARGE)
    assert unread.reasons + last.reasons == ["unread answers"]


def test_unread_answers_give_way_to_an_answer_that_is_no_larger(budget):
    large, small = _unread(budget, 800), _unread(budget, 100)
    _hold(budget, 250, Part.UPSTREAM_ANSWERS)
    budget.memory.make_room(Need(0, 250, is_answer=True))
    assert large.reasons == ["unread answers"]
    assert small.reasons == []


async def test_memory_of_a_caller_that_was_cut_off_is_taken_once_it_is_free(budget):
    # Guards against answers that come in while transports still hold earlier ones.
    unread, last = _unread(budget, 700), _unread(budget, 400)
    assert unread.reasons == ["unread answers"]
    need = LARGE._replace(n_bytes=500)
    assert not budget.memory.make_room(need)
    budget.remove_connection(unread)
    assert not budget.memory.make_room(need)
    async with asyncio.timeout(5):
        while not budget.memory.fits(need):
            await asyncio.sleep(0.001)
    assert last.reasons == []
    assert budget.memory.n_held_bytes == 400


def test_small_requests_that_are_not_finished_give_way_when_all_is_taken(budget, clock):
    # Guards against many small bodies without an end, which would keep all others out.
    left = [_Connection(budget) for _ in range(12)]
    for number, connection in enumerate(left):
        connection.n_body_bytes = connection.n_unfinished_bytes = 100 + number
        connection.unfinished_since_ms = clock.now_ms()
        budget.add_connection(connection)
        _hold(budget, connection.n_body_bytes)
    assert not budget.memory.make_room(SMALL)
    clock.advance(caller_budget.STALLED_MS + 1.0)
    assert budget.memory.make_room(SMALL)
    refused = [connection for connection in left if connection.reasons]
    assert refused == left[-2:]
    assert refused[0].reasons == ["503 out of memory"]


def test_the_longest_idle_connection_is_closed_first(budget):
    budget.max_descriptors = 2 * 3
    first, second, third, fourth = (_Connection(budget) for _ in range(4))
    for connection in (first, second, third):
        budget.add_connection(connection)
    del budget.idle[first]  # it sends a request, and is idle again
    budget.idle[first] = None
    budget.add_connection(fourth)
    assert second.reasons == ["too many connections"]
    assert budget.n_connections == 3


def test_unfinished_requests_give_way_to_new_connections(budget):
    # Guards against callers that take all connections with requests without end.
    budget.max_descriptors = 2 * 2
    busy, reading = _Connection(budget, is_handling=True), _Connection(budget)
    new, newer = _Connection(budget, is_handling=True), _Connection(budget)
    budget.add_connection(busy)
    budget.add_connection(reading)
    budget.idle.clear()
    budget.add_connection(new)
    assert reading.reasons == ["too many connections"]
    budget.idle.clear()
    budget.add_connection(newer)
    assert newer.reasons == ["too many connections"]  # all others are being handled
    assert busy.reasons == new.reasons == []
    assert budget.n_connections == 2


def test_an_answer_that_nobody_reads_gives_way_to_new_connections(budget, clock):
    budget.max_descriptors = 2 * 2
    reading, unread = _Connection(budget), _unread(budget, 10)
    budget.add_connection(reading)
    budget.idle.clear()
    clock.advance(caller_budget.STALLED_MS + 1.0)
    budget.add_connection(_Connection(budget))
    assert unread.reasons == ["too many connections"]
    assert reading.reasons == []


def test_half_of_few_descriptors_are_for_callers(budget):
    budget.max_descriptors = 4_100
    assert budget.max_connections == 4_100 - caller_budget.RESERVED_DESCRIPTORS
    budget.max_descriptors = 160
    assert budget.max_connections == 80


@pytest.mark.parametrize("n_bytes", [1, 2, 5_000, 300_000])
@pytest.mark.parametrize("n_parts", [1, 64, 65, 3_000])
def test_a_body_is_joined_whole_and_in_order(n_bytes, n_parts):
    if n_bytes * n_parts > 30_000_000:
        n_parts = 100
    parts = [bytes([number % 251]) * n_bytes for number in range(n_parts)]
    body = BodyParts()
    for number, part in enumerate(parts):
        body.staged.append(part)
        if number % 7 == 0:
            assert body.count() == sum(map(len, parts[: number + 1]))
    assert body.join() == b"".join(parts)
    assert body.count() == 0


class _Costly:
    def __init__(self, clock: ManualClock, n_slices: int) -> None:
        self.clock = clock
        self.n_left = n_slices

    def parse_slice(self) -> bool:
        self.clock.advance(MAX_RUN_MS / 4)
        self.n_left -= 1
        return self.n_left > 0


async def test_costly_input_takes_turns_and_leaves_time_to_others(clock):
    # Guards against one caller's bytes that hold up the loop until all are parsed.
    queue = ParseQueue(clock)
    first, second = _Costly(clock, 100), _Costly(clock, 100)
    queue.add(first)
    queue.add(second)
    await asyncio.sleep(0)
    assert (first.n_left, second.n_left) == (98, 98)
    async with asyncio.timeout(5):
        while len(queue):
            assert abs(first.n_left - second.n_left) <= 1
            await asyncio.sleep(0)
    assert (first.n_left, second.n_left) == (0, 0)


async def test_a_removed_connection_is_not_parsed(clock):
    queue = ParseQueue(clock)
    costly = _Costly(clock, 5)
    queue.add(costly)
    queue.remove(costly)
    await asyncio.sleep(0.01)
    assert costly.n_left == 5
