"""What a node keeps of departures that other nodes acknowledged."""

import msgspec
import pytest
from model_fleet import ModelNode, record

from ibisspoke_mesh.member_record import MemberRecord
from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.upstream_tracker import UpstreamProcess, UpstreamState

PLACE = ("dc0", "north")
READY = msgspec.structs.replace(record(1, PLACE), born_ms=1_000)
LEFT = msgspec.structs.replace(
    READY,
    revision=2,
    state=UpstreamState.DRAINING,
    is_leaving=True,
    departures=(UpstreamProcess("i-1", 1_000),),
)
LEFT_BY_FLAG = msgspec.structs.replace(LEFT, departures=())
RESTARTED = msgspec.structs.replace(READY, incarnation=2)


@pytest.fixture
def fleet():
    clock = ManualClock()
    clock.advance(60_000.0)
    return ModelNode(record(2, PLACE), clock, 1).fleet


def chosen(fleet) -> MemberRecord | None:
    return fleet.choose(READY.service, "r", 1_000.0, {fleet.own.node})


# Guards against a restarted node whose word brings a departed upstream back (DRAIN).
@pytest.mark.parametrize("left", [LEFT, LEFT_BY_FLAG])
def test_a_departed_upstream_is_not_used_whatever_its_node_says_later(fleet, left):
    fleet.update_record(READY)
    assert chosen(fleet) is not None
    fleet.update_record(left)
    fleet.update_record(RESTARTED)
    assert chosen(fleet) is None
    assert fleet.record_of(READY.node).departures == LEFT.departures


def test_an_upstream_that_started_after_a_departure_is_used(fleet):
    fleet.update_record(LEFT)
    fleet.update_record(msgspec.structs.replace(RESTARTED, born_ms=2_000))
    assert chosen(fleet) is not None


def test_a_departure_in_an_older_record_counts_too(fleet):
    fleet.update_record(RESTARTED)
    fleet.update_record(LEFT)
    assert chosen(fleet) is None
    assert fleet.record_of(READY.node).order == RESTARTED.order
