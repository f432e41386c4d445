from hypothesis import given
from hypothesis import strategies as st

from ibisspoke_policy.catalogue import Call, Catalogue, Importance, Organisation
from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.quota_messages import Limit, SlotId
from ibisspoke_policy.slot_directory import SlotAddress, SlotDirectory
from ibisspoke_policy.slot_lease import (
    LEASE_MARGIN_MS,
    LEASE_MS,
    TAKEOVER_DELAY_MS,
    HeldSlot,
    LeaseWatch,
    SlotRow,
    decode_row,
    encode_row,
    initial_rows,
    limits_of,
    next_weight,
    slots_of,
    target_weight,
)

SLOT = SlotId("svea-1", 0)
HOLDER = "10.0.0.1:700"
OTHER = "10.0.0.2:700"


def _row(holder=HOLDER, term=1):
    return SlotRow(SLOT, holder, term, 1, "n", LEASE_MS, 0.5, {}, False)


def test_a_row_is_unchanged_by_encoding_and_decoding():
    assert decode_row(encode_row(_row())) == _row()


def test_a_lease_expires_while_its_holder_is_suspended():
    clock = ManualClock()
    held = HeldSlot(_row(), 1, clock.elapsed_ms())
    clock.advance(LEASE_MS - LEASE_MARGIN_MS - 1.0)
    assert held.is_valid_for(clock.elapsed_ms(), 0.0)
    clock.suspend(1.0)
    assert not held.is_valid_for(clock.elapsed_ms(), 0.0)


def test_a_wall_clock_set_back_does_not_lengthen_a_lease():
    clock = ManualClock()
    held = HeldSlot(_row(), 1, clock.elapsed_ms())
    clock.jump_wall(-LEASE_MS)
    clock.advance(LEASE_MS - LEASE_MARGIN_MS)
    assert not held.is_valid_for(clock.elapsed_ms(), 0.0)


def test_a_takeover_waits_the_whole_lease_from_when_the_row_was_read():
    watch = LeaseWatch()
    watch.observe(_row(), 7, 1_000.0)
    watch.observe(_row(), 7, 2_000.0)
    assert not watch.may_take_over(SLOT, OTHER, 0, 999.0 + LEASE_MS)
    assert watch.may_take_over(SLOT, OTHER, 0, 1_000.0 + LEASE_MS)
    assert not watch.may_take_over(SLOT, OTHER, 1, 1_000.0 + LEASE_MS)


def test_a_renewal_restarts_the_wait():
    watch = LeaseWatch()
    watch.observe(_row(term=1), 7, 0.0)
    watch.observe(_row(term=2), 9, LEASE_MS)
    assert not watch.may_take_over(SLOT, OTHER, 0, LEASE_MS * 2.0 - 1.0)


def test_a_free_slot_goes_to_the_preferred_node_first():
    watch = LeaseWatch()
    watch.observe(_row(holder=""), 7, 0.0)
    assert watch.may_take_over(SLOT, HOLDER, 0, 0.0)
    assert not watch.may_take_over(SLOT, HOLDER, 1, 0.0)
    assert watch.may_take_over(SLOT, HOLDER, 1, TAKEOVER_DELAY_MS)


def test_a_process_on_the_same_address_reclaims_at_once():
    watch = LeaseWatch()
    watch.observe(_row(), 7, 0.0)
    assert watch.may_take_over(SLOT, HOLDER, 0, 0.0)


def test_first_rows_share_the_whole_rate():
    rows = initial_rows([SLOT, SlotId("svea-2", 0)], "n")
    assert [row.weight for row in rows] == [0.5, 0.5]
    assert all(row.full and not row.holder for row in rows)


@given(st.lists(st.tuples(st.integers(0, 4), st.integers(1, 5)), max_size=40))
def test_weights_never_sum_to_more_than_one(steps):
    weights = [1.0, 0.0, 0.0, 0.0, 0.0]
    for slot, n_slots in steps:
        others = sum(weights) - weights[slot]
        target = 1.0 / n_slots if slot < n_slots else 0.0
        weights[slot] = next_weight(weights[slot], target, others)
        assert sum(weights) <= 1.0 + 1e-9


def test_a_slot_outside_the_catalogue_gets_no_share():
    assert target_weight(SlotId("gota-1", 0), [SLOT]) == 0.0
    assert target_weight(SLOT, [SLOT, SlotId("svea-2", 0)]) == 0.5


def test_limits_come_from_organisations_and_open_calls():
    call = Call(
        "lids.ping",
        "lids",
        "GET",
        "/ping",
        "lids",
        Importance.LOW,
        True,
        is_open=True,
        open_rate_per_s=3.0,
        open_burst=4.0,
    )
    catalogue = Catalogue(
        1,
        {call.id: call},
        {"svea": Organisation("svea", 5.0, 6.0)},
        {},
        {"svea-2": 1, "svea-1": 2},
    )
    assert limits_of(catalogue) == {
        "svea": Limit(5.0, 6.0),
        "open:lids.ping": Limit(3.0, 4.0),
    }
    assert slots_of(catalogue) == [
        SlotId("svea-1", 0),
        SlotId("svea-1", 1),
        SlotId("svea-2", 0),
    ]


def test_the_directory_keeps_the_latest_term_and_prefers_the_own_data_centre():
    directory, other = SlotDirectory(), SlotDirectory()
    near, far = SlotId("svea-1", 0), SlotId("gota-1", 0)
    addresses = [
        SlotAddress(far, 1, "10.0.1.1", 1),
        SlotAddress(near, 2, "10.0.0.1", 1),
    ]
    assert directory.merge(addresses)
    assert not directory.merge([SlotAddress(near, 1, "10.0.0.9", 1)])
    other.merge(reversed(addresses))
    assert directory.digest == other.digest
    assert directory.preferred("svea-1", "n1") == [near, far]
    assert directory.merge([SlotAddress(near, 3, "", 0)])
    assert directory.preferred("svea-1", "n1") == [far]
    assert directory.get(near) is None
