import logging
import math
import zlib

import msgspec
from result import Err, Ok

from ibisspoke_mesh.config_state import ConfigState
from ibisspoke_mesh.decision_log import DecisionLog
from ibisspoke_mesh.evacuation_state import EvacuationState
from ibisspoke_mesh.frames import ConfigReply
from ibisspoke_mesh.store import Changes
from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.evacuations import SETTLE_MS
from ibisspoke_policy.route_table import CallerLimits, RouteTable
from ibisspoke_policy.store_position import StoreEra
from ibisspoke_storage.store import TableRow

LIMITS = CallerLimits(1, 1, 1.0, 1.0)


def decode(document):
    if not document.isdigit():
        return Err("no number")
    return Ok(RouteTable(int(document), [], {}, LIMITS, False))


def make_state(clock):
    adopted = []
    log = DecisionLog(clock)
    return ConfigState("config", decode, clock, log, adopted.append), adopted


def changes(document, era=0):
    rows = [TableRow("config", 1, document)] if document else []
    return Changes(rows, [], 1, era)


def started_in_era(clock, era):
    """Return the state of a process that knows the store only since it was restored."""
    store_era = StoreEra()
    log = DecisionLog(clock)
    evacuations = EvacuationState("evacuated/", clock, log, store_era)
    state = ConfigState(
        "config", decode, clock, log, lambda table: None, evacuations=evacuations
    )
    store_era.observe(era)
    return state


def test_a_snapshot_is_a_proof_and_an_empty_watch_result_is_not():
    clock = ManualClock(10_000.0)
    state, _ = make_state(clock)
    state.apply_changes(changes(b"3"), True, clock.boot_ms())
    clock.advance(3_000.0)
    state.apply_changes(changes(b""), False, clock.boot_ms())
    assert state.proof_age_ms() == 3_000.0


def test_a_copy_proves_nothing_to_a_process_that_knows_no_earlier_era():
    """Guards against a withdrawn key that works again after a restart (CONFIG)."""
    clock = ManualClock(10_000.0)
    state = started_in_era(clock, 1)
    state.apply_changes(changes(b"3", era=1), True, clock.boot_ms())
    state.record_proof(3, clock.boot_ms())
    assert state.version == 3
    assert state.proof_age_ms() == math.inf
    clock.advance(SETTLE_MS)
    assert not state.can_be_proven
    state.apply_changes(changes(b"", era=1), True, clock.boot_ms())
    assert state.can_be_proven
    assert state.proof_age_ms() == 0.0


def test_what_another_node_knows_of_an_earlier_era_makes_the_store_believed():
    clock = ManualClock(10_000.0)
    state = started_in_era(clock, 1)
    state.apply_reply(ConfigReply(5, 9, zlib.compress(b"5"), row_era=0))
    state.apply_changes(changes(b"3", era=1), True, clock.boot_ms())
    assert state.proof_age_ms() == math.inf
    state.apply_changes(changes(b"5", era=1), True, clock.boot_ms())
    assert state.proof_age_ms() == 0.0


def test_a_node_that_knows_no_earlier_era_makes_nothing_believed():
    clock = ManualClock(10_000.0)
    state = started_in_era(clock, 1)
    state.apply_reply(ConfigReply(3, 9, zlib.compress(b"3"), row_era=1))
    state.apply_changes(changes(b"3", era=1), True, clock.boot_ms())
    assert state.proof_age_ms() == math.inf


def test_a_node_that_lags_behind_the_copy_makes_nothing_believed():
    """Guards against a key whose withdrawal neither that node nor the copy knows."""
    clock = ManualClock(10_000.0)
    state = started_in_era(clock, 1)
    state.apply_changes(changes(b"4", era=1), True, clock.boot_ms())
    state.apply_reply(ConfigReply(3, 9, zlib.compress(b"3"), row_era=0))
    state.apply_changes(changes(b"4", era=1), True, clock.boot_ms())
    assert state.proof_age_ms() == math.inf


def test_asking_whether_a_proof_is_possible_makes_nothing_believed():
    """Guards against a property that changes what it tells."""
    clock = ManualClock(10_000.0)
    state = started_in_era(clock, 1)
    assert not state.can_be_proven
    state.apply_changes(changes(b"4", era=1), True, clock.boot_ms())
    assert state.proof_age_ms() == math.inf


def test_the_proof_of_another_node_makes_the_store_believed():
    clock = ManualClock(10_000.0)
    state = started_in_era(clock, 1)
    reply = ConfigReply(3, 9, zlib.compress(b"3"), row_era=1)
    state.apply_reply(msgspec.structs.replace(reply, echo=9_000, proof_age_ms=100))
    assert state.proof_age_ms() == 1_100.0
    assert state.can_be_proven


def test_a_suspension_ages_a_proof_and_a_clock_step_does_not():
    clock = ManualClock(10_000.0)
    state, _ = make_state(clock)
    state.apply_changes(changes(b"3"), True, clock.boot_ms())
    clock.jump_wall(-2_000.0)
    clock.jump_wall(4_000.0)
    clock.suspend(5_000.0)
    assert state.proof_age_ms() == 5_000.0


def test_only_higher_versions_are_adopted():
    clock = ManualClock()
    state, adopted = make_state(clock)
    state.apply_changes(changes(b"3"), True, 0.0)
    state.apply_reply(ConfigReply(2, 7, zlib.compress(b"2")))
    state.apply_reply(ConfigReply(5, 9, zlib.compress(b"5")))
    assert [table.version for table in adopted] == [3, 5]


def test_an_unreadable_document_neither_replaces_nor_proves():
    clock = ManualClock(10_000.0)
    state, _ = make_state(clock)
    state.apply_changes(changes(b"3"), True, clock.boot_ms())
    clock.advance(1_000.0)
    state.apply_changes(changes(b"x"), True, clock.boot_ms())
    assert state.version == 3
    assert state.proof_age_ms() == 1_000.0


def test_expiry_and_renewal_of_a_proof_are_logged_once_each(caplog):
    caplog.set_level(logging.INFO, "ibisspoke")
    clock = ManualClock(10_000.0)
    state, _ = make_state(clock)
    state.tick(4_000.0)
    state.apply_changes(changes(b"3"), True, clock.boot_ms())
    for _ in range(3):
        state.tick(4_000.0)
        clock.advance(2_500.0)
    state.record_proof(3, clock.boot_ms())
    state.tick(4_000.0)
    logged = [(r.message, r.age_ms) for r in caplog.records if "keys" in r.message]
    assert logged == [
        ("keys proven", 0),
        ("keys not proven", 5_000),
        ("keys proven", 0),
    ]


def test_the_loss_of_every_proof_is_logged(caplog):
    # Guards against ticks that end with an error when an age is infinite.
    caplog.set_level(logging.INFO)
    clock = ManualClock(10_000.0)
    state, _ = make_state(clock)
    state.apply_changes(changes(b"3"), True, clock.boot_ms())
    state.tick(4_100.0)
    clock.advance(1.0)
    state.record_proof(4, clock.boot_ms())
    clock.advance(1.0)
    state.record_proof(5, clock.boot_ms())
    state.tick(4_100.0)
    assert [record.message for record in caplog.records][-1] == "keys not proven"
