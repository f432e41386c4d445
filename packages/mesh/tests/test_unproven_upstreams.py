"""Upstreams beside a node that does not know earlier departures, without I/O.

Guards against late heartbeats of an upstream that has left, however many (DRAIN), and
against live upstreams that stay away for longer than the users allow (RECOVER).
"""

import pytest

from ibisspoke_adapter.headers import DIALECT
from ibisspoke_mesh.decision_log import DecisionLog
from ibisspoke_mesh.metrics import NodeMetrics
from ibisspoke_mesh.node_process import private_host
from ibisspoke_mesh.peer_link import NodeIncarnation
from ibisspoke_mesh.upstream_dispatcher import UpstreamDispatcher
from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.upstream_tracker import Announcement

HEARTBEAT_MS = 1_500.0
RECOVERY_MS = 15_000.0  # of the users: by then, requests are served again
LONGEST_DELAY_MS = 10_000.0
ADDRESS = "127.1.2.3:7103"


class IdlePool:
    """A pool of connections to an upstream that gets no requests."""

    def close_idle(self) -> None:
        pass

    def tick(self) -> None:
        pass


class Vm:
    """The dispatcher of a node that has just started."""

    def __init__(self) -> None:
        self.clock = ManualClock(50_000.0)
        self.n_changes = 0
        self.dispatcher = UpstreamDispatcher(
            "shop",
            IdlePool(),
            DIALECT,
            self.clock,
            DecisionLog(self.clock),
            NodeMetrics(),
            HEARTBEAT_MS,
            2_500.0,
        )
        self.dispatcher.private_address = ADDRESS
        self.dispatcher.on_change = self._count_change
        self.sequence = 0

    def _count_change(self) -> None:
        self.n_changes += 1

    @property
    def state(self) -> str:
        return self.dispatcher.state

    def heartbeat(self, is_private: bool = False) -> None:
        self.sequence += 1
        announcement = Announcement(
            "i-1", 1_000, "shop", "a:1", 8, False, self.sequence, 0.0
        )
        self.dispatcher.announce(announcement, is_private)

    def advance(self, by_ms: float) -> None:
        end_ms = self.clock.now_ms() + by_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(min(100.0, end_ms - self.clock.now_ms()))
            self.dispatcher.tick()


@pytest.fixture
def vm():
    return Vm()


@pytest.mark.parametrize("gap_ms", [0.0, 200.0, 1_300.0])
def test_late_heartbeats_make_no_upstream_ready(vm, gap_ms):
    while vm.clock.now_ms() - 50_000.0 < LONGEST_DELAY_MS and vm.sequence < 20:
        vm.heartbeat()
        assert vm.state == "absent"
        vm.advance(gap_ms)
    assert vm.dispatcher.wanted_address == ADDRESS


def test_an_upstream_that_follows_the_address_is_ready_with_its_next_heartbeat(vm):
    vm.heartbeat()
    assert vm.dispatcher.wanted_address == ADDRESS
    vm.advance(HEARTBEAT_MS)
    vm.heartbeat(is_private=True)
    assert vm.state == "ready"
    assert vm.dispatcher.upstream.is_history_known
    assert not vm.dispatcher.wanted_address


def test_an_upstream_that_does_not_follow_the_address_is_back_in_time(vm):
    while vm.state != "ready":
        vm.advance(HEARTBEAT_MS)
        assert vm.clock.now_ms() - 50_000.0 < RECOVERY_MS
        vm.heartbeat()
    assert vm.clock.now_ms() - 50_000.0 > LONGEST_DELAY_MS


def test_the_first_heartbeat_is_enough_only_for_a_short_time(vm):
    vm.dispatcher.accept_first_heartbeat()
    vm.advance(1_000.0)
    vm.heartbeat()
    assert vm.state == "ready"
    vm.advance(1.7 * HEARTBEAT_MS)
    assert vm.state == "absent"
    vm.heartbeat()
    assert vm.state == "absent"
    vm.heartbeat(is_private=True)
    assert vm.state == "ready"


def test_others_are_told_when_the_history_is_known(vm):
    """Guards against a process that others never take the word of again."""
    vm.dispatcher.accept_first_heartbeat()
    vm.heartbeat()
    n_changes = vm.n_changes
    vm.heartbeat(is_private=True)
    assert vm.n_changes == n_changes + 1


def test_processes_on_one_vm_have_different_private_hosts():
    hosts = {private_host(NodeIncarnation("10.0.0.1", start)) for start in range(99)}
    assert len(hosts) == 99
    assert all(host.startswith("127.") for host in hosts)
