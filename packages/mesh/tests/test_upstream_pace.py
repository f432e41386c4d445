"""The pace of the upstream beside a node, without I/O.

Guards against a cold or recovering upstream that gets more than it tolerates.
"""

import asyncio

import pytest

from ibisspoke_adapter.headers import DIALECT
from ibisspoke_mesh.decision_log import DecisionLog
from ibisspoke_mesh.frames import Attempt, OutcomeKind
from ibisspoke_mesh.metrics import NodeMetrics
from ibisspoke_mesh.settings import NodeSettings
from ibisspoke_mesh.upstream_connection import UpstreamFailure, UpstreamResponse
from ibisspoke_mesh.upstream_dispatcher import UpstreamDispatcher
from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.route_table import ColdStart
from ibisspoke_policy.upstream_tracker import Announcement

RATES = {"shop": ColdStart(10_000.0, 5.0)}
PERIOD_MS = 1_050.0
REFUSED = UpstreamFailure("no connection to the upstream", was_sent=False)


class ModelPool:
    """A pool that writes each request at once, unless its connections open late."""

    def __init__(self) -> None:
        self.requests_by_token = {}
        self.opening = set()
        self.opens_late = False
        self.n_written = 0

    def send(self, token, request) -> None:
        self.requests_by_token[token] = request
        if self.opens_late:
            self.opening.add(token)
        else:
            self.write(token)

    def write(self, token) -> None:
        self.opening.discard(token)
        self.n_written += 1
        self.requests_by_token[token].on_sent()

    def cancel(self, token) -> bool:
        was_sent = token not in self.opening
        self.opening.discard(token)
        self.requests_by_token.pop(token, None)
        return was_sent

    def release(self, token) -> None:
        self.requests_by_token.pop(token, None)

    def close_idle(self) -> None:
        pass

    def tick(self) -> None:
        pass

    def end(self, result) -> None:
        """End the oldest request."""
        token = next(iter(self.requests_by_token))
        self.opening.discard(token)
        self.requests_by_token[token].on_result(result)


class Vm:
    """A node's dispatcher with a model of its upstream."""

    def __init__(self, n_slots: int = 64, **settings) -> None:
        self.clock = ManualClock(50_000.0)
        self.pool = ModelPool()
        self.metrics = NodeMetrics()
        self.settings = SETTINGS._replace(**settings)
        self.n_slots = n_slots
        self.outcomes = []
        self.sequence = 0
        self.n_ids = 0
        self.start_node()

    def start_node(self) -> None:
        """Start a node that has a configuration, and knows no departure."""
        log = DecisionLog(self.clock)
        self.dispatcher = UpstreamDispatcher(
            "shop", self.pool, DIALECT, self.clock, log, self.metrics, 1_500.0, 2_500.0
        )
        self.dispatcher.apply_settings(self.settings)
        self.dispatcher.pace.apply_configuration(RATES)
        self.dispatcher.complete_departures()

    def heartbeat(self, cold_ms: float = 0.0, start_ms: int = 1_000) -> None:
        self.sequence += 1
        self.dispatcher.announce(
            Announcement(
                "i-1",
                start_ms,
                "shop",
                "a:1",
                self.n_slots,
                False,
                self.sequence,
                cold_ms,
            )
        )

    def submit(self, n: int) -> list[int]:
        return [self._submit() for _ in range(n)]

    def _submit(self) -> int:
        self.n_ids += 1
        attempt = Attempt(
            "shop", "i-1", "r", b"%d" % self.n_ids, b"", b"", False, True, (1, 0),
            5_000.0, 2_500.0,
        )  # fmt: skip
        return self.dispatcher.submit(attempt, self.outcomes.append)

    def pass_time(self, duration_ms: float) -> None:
        self.clock.advance(duration_ms)
        self.dispatcher.tick()

    def answer(self, n: int, status: int = 200) -> None:
        for _ in range(n):
            self.pool.end(
                UpstreamResponse(status, b"", b"", status != 421, status == 421, False)
            )

    async def warm_up(self) -> None:
        """Let the upstream be warm, and the node know what it has sent."""
        self.heartbeat()
        self.pass_time(2_000.0)


SETTINGS = NodeSettings(
    *("n", "10.0.0.1", "a", "north", "shop"),
    *[("10.0.0.1", 1)] * 4,
    *(1, 1, ("10.0.0.1", 1), 1_500.0, 2_500.0, ("10.0.0.1", 1)),
    *(6_000.0, 4_100.0, 2_500.0, 0.2, 10_000.0, 48.0),
    cold_overage=1.5,
    cold_slack=8.0,
)


async def test_a_cold_upstream_gets_its_rate_and_the_rest_is_refused_as_not_run():
    # Load: 40 attempts at once at an upstream that tolerates 5 a second.
    vm = Vm()
    await vm.warm_up()
    vm.heartbeat(cold_ms=60_000.0)
    vm.submit(40)
    await asyncio.sleep(0)
    assert vm.pool.n_written == 5
    assert {outcome.kind for outcome in vm.outcomes} == {OutcomeKind.REFUSED}
    assert {outcome.reason for outcome in vm.outcomes} == {"cold"}
    assert len(vm.outcomes) == 30
    assert vm.metrics.attempts["r", "cold"] == 30
    vm.pass_time(PERIOD_MS)
    assert vm.pool.n_written == 10
    assert vm.dispatcher.load().limit == 1


async def test_without_the_setting_a_cold_upstream_gets_all():
    # A deployment whose settings state no bound is served as before.
    vm = Vm(cold_overage=None, cold_slack=None)
    await vm.warm_up()
    vm.heartbeat(cold_ms=60_000.0)
    vm.submit(40)
    assert vm.pool.n_written == 40
    assert vm.dispatcher.load().limit == 64


async def test_one_part_of_the_bound_is_enough():
    # Guards against a slack of 0 that turns the bound off.
    vm = Vm(cold_overage=None, cold_slack=0.0)
    await vm.warm_up()
    vm.heartbeat(cold_ms=60_000.0)
    vm.submit(40)
    assert vm.pool.n_written == 5


async def test_a_new_process_gets_no_more_although_the_old_one_got_a_part():
    # Failure: the upstream restarts; what was sent in the last second counts.
    vm = Vm()
    await vm.warm_up()
    vm.heartbeat(cold_ms=60_000.0)
    vm.submit(3)
    vm.heartbeat(cold_ms=60_000.0, start_ms=2_000)
    vm.submit(40)
    assert vm.pool.n_written == 5


async def test_a_restarted_node_waits_for_what_its_predecessor_may_have_sent():
    # Failure: the node's process ends and starts again within a second.
    vm = Vm()
    await vm.warm_up()
    vm.heartbeat(cold_ms=60_000.0)
    vm.submit(5)
    vm.clock.advance(10.0)
    vm.start_node()
    vm.heartbeat(cold_ms=60_000.0)
    vm.heartbeat(cold_ms=60_000.0)
    vm.submit(1)
    assert vm.pool.n_written == 5
    vm.pass_time(PERIOD_MS)
    assert vm.pool.n_written == 6


async def test_a_refused_connection_makes_it_count_as_cold():
    # Failure: the upstream is gone, and starts again before its next heartbeat.
    vm = Vm()
    await vm.warm_up()
    vm.pool.opens_late = True
    vm.submit(1)
    vm.pool.end(REFUSED)
    vm.pool.opens_late = False
    vm.pass_time(50.0)
    vm.heartbeat()  # sent before the process ended
    vm.submit(40)
    assert vm.pool.n_written == 5  # the refused one did not reach it
    vm.pass_time(1_500.0)
    vm.heartbeat()
    vm.submit(40)
    assert vm.pool.n_written > 40


async def test_a_reset_of_all_connections_makes_it_count_as_cold():
    # Failure: the process of the upstream is replaced between two heartbeats.
    vm = Vm()
    await vm.warm_up()
    vm.pool.on_all_reset()
    vm.submit(40)
    assert vm.pool.n_written == 5


async def test_an_answer_of_another_process_makes_it_count_as_cold():
    # Failure: a process with another id has taken the address; a 421 does not count.
    vm = Vm()
    await vm.warm_up()
    vm.submit(1)
    vm.answer(1, status=421)
    vm.submit(40)
    assert vm.pool.n_written == 1 + 5


async def test_it_is_cold_after_an_absence_until_a_heartbeat():
    # Failure: the upstream misses its heartbeats for 10 s.
    vm = Vm()
    await vm.warm_up()
    vm.pass_time(10_000.0)
    assert vm.dispatcher.state == "absent"
    vm.heartbeat(cold_ms=1.0)
    vm.pass_time(500.0)
    vm.submit(40)
    assert vm.pool.n_written == 5


async def test_expect_cold_holds_until_a_later_heartbeat():
    # Load: an evacuation ends, and all traffic returns to a cold upstream.
    vm = Vm()
    await vm.warm_up()
    vm.dispatcher.expect_cold()
    vm.submit(40)
    assert vm.pool.n_written == 5
    vm.heartbeat()
    vm.submit(40)
    assert vm.pool.n_written > 40


async def test_a_request_counts_until_after_it_was_written():
    # Failure: connections open late, and all waiting requests arrive at once.
    vm = Vm()
    await vm.warm_up()
    vm.heartbeat(cold_ms=60_000.0)
    vm.pool.opens_late = True
    numbers = vm.submit(5)
    vm.pass_time(500.0)
    for number in numbers:
        vm.pool.write(number)
    vm.pool.opens_late = False
    vm.submit(5)
    vm.pass_time(PERIOD_MS - 501.0)
    assert vm.pool.n_written == 5
    vm.pass_time(501.0)
    assert vm.pool.n_written == 10


async def test_cancelled_and_resent_attempts_count_if_they_were_sent():
    # Load: hedged attempts; each that was written has reached the upstream.
    vm = Vm()
    await vm.warm_up()
    vm.heartbeat(cold_ms=60_000.0)
    for number in vm.submit(3):
        assert vm.dispatcher.cancel(number)
    vm.submit(40)
    assert vm.pool.n_written == 5


@pytest.mark.parametrize("per_s", [0.0, 2.0])
async def test_a_new_configuration_changes_the_rate(per_s):
    # Failure: coldPerS changes while the upstream is cold; 0 ends the bound.
    vm = Vm()
    await vm.warm_up()
    vm.heartbeat(cold_ms=60_000.0)
    vm.submit(1)
    vm.dispatcher.pace.apply_configuration({"shop": ColdStart(1.0, per_s)})
    vm.submit(40)
    assert vm.pool.n_written == (2 if per_s else 41)


async def test_a_node_without_a_configuration_sends_a_cold_upstream_nothing():
    # Failure: a node that starts gets attempts before it knows the rate.
    vm = Vm()
    vm.dispatcher.pace._cold_starts_by_service = None
    vm.dispatcher.pace.cold.n_allowed = 0
    vm.heartbeat(cold_ms=60_000.0)
    vm.pass_time(2_000.0)
    vm.submit(3)
    assert vm.pool.n_written == 0


def limit_of(vm: Vm) -> int:
    """Return the limit that other nodes are told."""
    return vm.dispatcher.load().limit


async def serve(vm: Vm, duration_ms: float, took_ms: float = 50.0) -> None:
    """Keep all slots in use, with answers that take ``took_ms``."""
    for _ in range(int(duration_ms / took_ms)):
        vm.submit(vm.n_slots - len(vm.pool.requests_by_token))
        vm.pass_time(took_ms)
        vm.answer(len(vm.pool.requests_by_token))
        vm.heartbeat()
        await asyncio.sleep(0)


async def test_a_new_process_starts_with_a_part_of_its_slots():
    # Load: full traffic as the process of the upstream is replaced.
    vm = Vm(has_start_ramp=True)
    await vm.warm_up()
    assert limit_of(vm) == 64
    await serve(vm, 1_000.0)
    vm.heartbeat(start_ms=2_000)
    vm.submit(64)
    assert limit_of(vm) == 8
    assert len(vm.pool.requests_by_token) == 8
    await serve_new(vm, 1_500.0)
    assert limit_of(vm) == 64


async def serve_new(vm: Vm, duration_ms: float) -> None:
    """Serve as the process that has replaced the first one."""
    for _ in range(int(duration_ms / 50.0)):
        vm.submit(vm.n_slots)
        vm.pass_time(50.0)
        vm.answer(len(vm.pool.requests_by_token))
        vm.heartbeat(start_ms=2_000)
        await asyncio.sleep(0)


RAMP_ONLY = {"has_start_ramp": True, "cold_overage": None, "cold_slack": None}


async def test_an_upstream_that_returns_starts_with_a_part_of_its_slots():
    # Failure: no heartbeat for 10 s, and then the same process again.
    vm = Vm(**RAMP_ONLY)
    await vm.warm_up()
    vm.pass_time(10_000.0)
    assert vm.dispatcher.state == "absent"
    vm.heartbeat()
    assert limit_of(vm) == 8


async def test_a_refused_connection_starts_the_ramp_when_it_is_back():
    # Failure: the listener of the upstream is closed for a moment.
    vm = Vm(**RAMP_ONLY)
    await vm.warm_up()
    vm.submit(1)
    vm.pool.end(REFUSED)
    vm.heartbeat()
    assert limit_of(vm) == 8


async def test_the_end_of_an_evacuation_starts_the_ramp():
    vm = Vm(**RAMP_ONLY)
    await vm.warm_up()
    vm.dispatcher.expect_cold()
    assert limit_of(vm) == 8


@pytest.mark.parametrize(("age_ms", "limit"), [(2_000, 8), (60_000, 64)])
async def test_a_node_that_starts_slows_only_a_young_upstream_down(age_ms, limit):
    # Failure: the node's process is replaced, beside an upstream that goes on.
    vm = Vm(has_start_ramp=True)
    vm.clock.advance(100_000.0)
    vm.heartbeat(start_ms=int(vm.clock.wall_ms()) - age_ms)
    assert limit_of(vm) == limit


async def test_a_cold_upstream_also_keeps_the_limit_of_its_start():
    # Both limits apply: the rate bounds a second, the ramp what runs at once.
    vm = Vm(has_start_ramp=True)
    await vm.warm_up()
    vm.dispatcher.pace.apply_configuration({"shop": ColdStart(1.0, 20.0)})
    vm.pass_time(2_000.0)
    vm.heartbeat(cold_ms=60_000.0, start_ms=2_000)
    vm.submit(64)
    assert len(vm.pool.requests_by_token) == 8
    for _ in range(4):
        vm.answer(len(vm.pool.requests_by_token))
        vm.submit(64)
    assert vm.pool.n_written == 20


async def test_a_deployment_without_a_ramp_uses_all_slots_at_once():
    # It is served as before: no limit at a new process, nor after an absence.
    vm = Vm(cold_overage=None, cold_slack=None)
    await vm.warm_up()
    vm.heartbeat(start_ms=2_000)
    assert limit_of(vm) == 64
    vm.pass_time(10_000.0)
    vm.heartbeat(start_ms=2_000)
    assert limit_of(vm) == 64
    assert vm.dispatcher.pace.ramp is None
    assert vm.dispatcher.pace.cold is None


async def test_the_old_process_does_not_count_for_the_new_one():
    # Failure: what ran at the process that ended fails after the new one has begun.
    vm = Vm(has_start_ramp=True)
    await vm.warm_up()
    vm.submit(40)
    vm.heartbeat(start_ms=2_000)
    for _ in range(40):
        vm.pool.end(UpstreamFailure("reset", was_sent=True))
    assert limit_of(vm) == 8


async def test_each_change_of_the_limit_is_logged_within_a_bound(caplog):
    # Failure: an upstream that is replaced again and again floods the log.
    caplog.set_level("INFO", "ibisspoke")
    vm = Vm(has_start_ramp=True)
    await vm.warm_up()
    for number in range(200):
        vm.heartbeat(start_ms=2_000 + number)
        vm.pass_time(10.0)
    lines = [line for line in caplog.records if line.message == "upstream ramp"]
    assert 12 <= len(lines) <= 22  # 12 at once and 4 a second
    assert (lines[0].limit, lines[0].n_slots, lines[0].why) == (8, 64, "started")


async def test_settings_switch_the_ramp_while_the_node_runs():
    vm = Vm(has_start_ramp=True)
    await vm.warm_up()
    vm.heartbeat(start_ms=2_000)
    vm.dispatcher.apply_settings(vm.settings._replace(has_start_ramp=False))
    assert limit_of(vm) == 64
    vm.dispatcher.apply_settings(vm.settings)
    assert limit_of(vm) == 64
    vm.heartbeat(start_ms=3_000)
    assert limit_of(vm) == 8
