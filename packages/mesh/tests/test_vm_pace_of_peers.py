"""What a node makes of paces of VMs that replies and relays tell it.

The load: other programs slow a VM 2.5 times for about half a second at a time.
"""

import math

import pytest
from model_fleet import ModelNode, data_centres, record

from ibisspoke_mesh._digest_sections import node_load
from ibisspoke_mesh.peer import Peer
from ibisspoke_mesh.status_messages import Digest, Section, encode, unpack_pace
from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.upstream_queue import Load
from ibisspoke_policy.vm_pace import aged_pace, slowdown

LOAD = Load(9, 2, 36, 200.0, 0.1, ())
PLACES = data_centres(1)


def node_with_peer(clock: ManualClock, number: int = 0) -> tuple[ModelNode, Peer]:
    node = ModelNode(record(number, PLACES[0]), clock, 1)
    peer = node.fleet.update_record(record(4, PLACES[0]))
    assert peer is not None
    return node, peer


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(1_000_000.0)


def add_answers(
    node: ModelNode, peer: Peer, clock: ManualClock, running_ms: float, vm_pace: float
) -> None:
    for _ in range(60):
        peer.update_load(LOAD, clock.now_ms(), vm_pace)
        node.fleet.record_response(peer.record.node, "read", running_ms, 500)
        clock.advance(5.0)


def test_a_slowdown_is_not_taken_for_the_speed_of_the_upstream(clock):
    # Guards against a slowdown that counts twice, and for seconds after its end.
    node, peer = node_with_peer(clock)
    add_answers(node, peer, clock, 20.0, 1.0)
    usual_ms = node.fleet.profiles.of("read").median_ms
    add_answers(node, peer, clock, 50.0, 2.5)
    assert node.fleet.profiles.of("read").median_ms < 1.1 * usual_ms
    assert peer.pace.at(clock.now_ms()) < 1.1


def test_without_reports_the_speed_is_measured_as_before(clock):
    node, peer = node_with_peer(clock)
    add_answers(node, peer, clock, 20.0, 0.0)
    for _ in range(3):
        node.fleet.record_response(peer.record.node, "read", 50.0, 500)
    assert peer.pace.at(clock.now_ms()) > 1.1


@pytest.mark.parametrize("vm_pace", [math.nan, math.inf, -1.0, (2**64 - 1) / 100.0])
def test_a_pace_out_of_range_is_not_passed_on(clock, vm_pace):
    # Guards against a number of one node that stops the statuses of a relay.
    relay, peer = node_with_peer(clock)
    peer.update_load(LOAD, clock.now_ms(), vm_pace)
    load = node_load(peer, clock.now_ms())
    assert load.vm_pace == 0
    encode(Digest(relay.own.node, 0, [Section("dc0", 0, [load], [], [], [])]))


def test_a_relay_passes_a_pace_on_with_its_age(clock):
    # Guards against reports that look fresh because a relay has just sent them.
    relay, peer = node_with_peer(clock)
    peer.update_load(LOAD, clock.now_ms(), 2.5)
    clock.advance(100.0)
    peer.mark_seen(clock.now_ms())
    clock.advance(50.0)
    load = node_load(peer, clock.now_ms())
    assert unpack_pace(load.vm_pace) < 2.5
    other, known = node_with_peer(clock, number=8)
    section = Section("dc0", 0, [load], [], [], [])
    other.receiver.apply_digest(Digest(relay.own.node, 0, [section]))
    assert known.vm_pace.at(clock.now_ms()) == pytest.approx(
        aged_pace(2.5, 150.0), abs=0.02
    )
    clock.advance(360.0)  # half a second after the report of the upstream
    assert slowdown(known.vm_pace.at(clock.now_ms())) == 1.0
