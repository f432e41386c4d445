"""Tests of slot leases, also while the table fails."""

import asyncio
import random

import pytest

from ibisspoke_node import slot_holder
from ibisspoke_node.slot_holder import (
    RENEW_INTERVAL_MS,
    SCAN_INTERVAL_MS,
    HolderIdentity,
    SlotHolder,
)
from ibisspoke_node.slot_store import SlotStore
from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.quota_messages import DrawRequest, Limit, SlotId, TokenRequest
from ibisspoke_policy.rendezvous import ranked
from ibisspoke_policy.slot_directory import SlotDirectory
from ibisspoke_policy.slot_lease import LEASE_MS, decode_row, encode_row, row_key
from ibisspoke_policy.slot_ledger import MAX_GRANT_EXPIRY_MS
from ibisspoke_standins.memory_store import Fault, FaultKind, FaultScope, MemoryStore
from ibisspoke_storage.store import Write

SLOT = SlotId("svea-1", 0)
LOST_ANSWER = Fault(FaultKind.ANSWER_LOST, FaultScope.WRITES, n_requests=1)
LIMITS = {"svea": Limit(10.0, 10.0)}
NODE_IDS = {"svea-1": ["n1", "n2"], "gota-1": ["g1"]}
FIRST, SECOND = ranked(str(SLOT), NODE_IDS["svea-1"])


def _holder(store, clock, node_id=FIRST, port=1, slots=(SLOT,), near="svea-1"):
    identity = HolderIdentity(node_id, near, "10.0.0.1", port)
    slot_store = SlotStore(store, clock, random.Random(1))
    holder = SlotHolder(
        identity, clock, slot_store, SlotDirectory(), lambda: NODE_IDS[near]
    )
    holder.configure(LIMITS, list(slots))
    return holder


async def _acquire(holder):
    for _ in range(3):
        await holder.step()


def _tokens(holder, slot=SLOT, sequence=1, needed=10.0):
    item = TokenRequest("svea", 0.0, 0.0, needed, 0.0, 2_000.0)
    reply = holder.draw(DrawRequest(slot, "asker", sequence, [item]))
    return reply.grants[0].tokens if reply.accepted else None


async def _row(store, slot=SLOT):
    return decode_row((await store.read(row_key(slot))).ok_value.value)


async def test_the_first_holder_starts_with_the_whole_burst():
    store, clock = MemoryStore(), ManualClock()
    holder = _holder(store, clock)
    await _acquire(holder)
    assert holder.slots == [SLOT]
    assert _tokens(holder) == 10.0
    assert (await _row(store)).full is False


async def test_of_two_nodes_that_acquire_a_slot_one_succeeds():
    store, clock = MemoryStore(), ManualClock()
    store.inject(Fault(FaultKind.SLOW, delay_ms=1.0))
    one, two = _holder(store, clock, FIRST, 1), _holder(store, clock, FIRST, 2)
    for _ in range(4):
        await asyncio.gather(one.step(), two.step())
    assert sorted([len(one.slots), len(two.slots)]) == [0, 1]


@pytest.mark.parametrize("n_th_write", [1, 2, 3])
async def test_a_write_whose_answer_is_lost_counts_once(n_th_write):
    store, clock = MemoryStore(), ManualClock()
    holder = _holder(store, clock)
    for _ in range(6):
        if store.stats.n_writes == n_th_write - 1:
            store.inject(LOST_ANSWER)
        await holder.step()
        clock.advance(RENEW_INTERVAL_MS)
    assert store.stats.n_writes > n_th_write
    assert holder.slots == [SLOT]
    assert (await _row(store)).holder == "10.0.0.1:1"


async def test_a_holder_whose_slot_was_taken_stops_at_its_next_renewal():
    store, clock = MemoryStore(), ManualClock()
    holder = _holder(store, clock)
    await _acquire(holder)
    overwritten = (await _row(store))._replace(holder="10.0.0.9:1", term=99, nonce="x")
    await store.commit([], [Write(overwritten.key, encode_row(overwritten))])
    clock.advance(RENEW_INTERVAL_MS)
    await holder.step()
    assert holder.slots == []


async def test_a_holder_suspended_past_its_lease_grants_nothing():
    store, clock = MemoryStore(), ManualClock()
    holder = _holder(store, clock)
    await _acquire(holder)
    clock.suspend(LEASE_MS)
    assert _tokens(holder) is None


async def test_a_store_that_is_down_for_hours_stops_no_holder():
    store, clock = MemoryStore(), ManualClock()
    holder = _holder(store, clock)
    await _acquire(holder)
    store.inject(Fault(FaultKind.DOWN))
    n_writes = store.stats.n_writes
    for _ in range(3 * 3_600):
        clock.advance(1_000.0)
        await holder.step()
    assert _tokens(holder) == 10.0
    assert store.stats.n_writes - n_writes < 3 * 3_600 / 20
    store.clear_faults()
    clock.advance(60_000.0)
    await holder.step()
    clock.advance(LEASE_MS / 2.0)
    assert _tokens(holder, sequence=2) == 10.0


async def test_a_dead_holder_is_replaced_after_its_lease():
    store, clock = MemoryStore(), ManualClock()
    await _acquire(_holder(store, clock, FIRST, 1))
    successor = _holder(store, clock, SECOND, 2)
    await _acquire(successor)
    clock.advance(LEASE_MS - 1.0)
    await successor.step()
    assert successor.slots == []
    clock.advance(SCAN_INTERVAL_MS * 2.0)
    await successor.step()
    assert successor.slots == [SLOT]
    assert _tokens(successor) == 0.0
    clock.advance(MAX_GRANT_EXPIRY_MS + 500.0)
    assert _tokens(successor, sequence=2) == 5.0


async def test_a_restart_on_the_same_address_reclaims_with_an_empty_bucket():
    store, clock = MemoryStore(), ManualClock()
    await _acquire(_holder(store, clock))
    restarted = _holder(store, clock)
    await _acquire(restarted)
    assert restarted.slots == [SLOT]
    assert _tokens(restarted) == 0.0


async def test_a_planned_stop_hands_the_slot_and_its_tokens_over():
    store, clock = MemoryStore(), ManualClock()
    holder = _holder(store, clock, SECOND, 2)
    clock.advance(0.0)
    await _acquire(holder)
    clock.advance(SCAN_INTERVAL_MS * 2.0)
    await _acquire(holder)
    assert _tokens(holder, needed=4.0) == 4.0
    store.inject(LOST_ANSWER)
    await holder.release()
    assert _tokens(holder) is None
    successor = _holder(store, clock, FIRST, 1)
    await _acquire(successor)
    assert successor.slots == [SLOT]
    assert _tokens(successor) == 6.0


async def test_slots_move_with_the_catalogue_and_never_exceed_the_whole(monkeypatch):
    monkeypatch.setattr(slot_holder, "MAX_GRANT_EXPIRY_MS", 0.0)
    store, clock = MemoryStore(), ManualClock()
    other = SlotId("gota-1", 0)
    old = _holder(store, clock)
    await _acquire(old)
    new = _holder(store, clock, "g1", 3, [SLOT, other], "gota-1")
    for slots in ([SLOT], [SLOT, other], [other]):
        for _ in range(6):
            for holder in (new, old):
                holder.configure(LIMITS, slots)
                holder.scan_soon()
                await holder.step()
            rows = (await store.scan("quota/slot/")).ok_value
            assert sum(decode_row(row.value).weight for row in rows) <= 1.0 + 1e-9
        weights = {row.slot: row.weight for row in map(_decoded, rows)}
        assert all(weights[slot] == 1.0 / len(slots) for slot in slots)
    assert (old.slots, new.slots) == ([], [other])


def _decoded(table_row):
    return decode_row(table_row.value)
