"""Admitted requests never exceed burst + rate x window under any network fault."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.local_tokens import LocalTokens
from ibisspoke_policy.quota import TokenBucket
from ibisspoke_policy.quota_messages import DrawReply, DrawRequest, Limit, SlotId
from ibisspoke_policy.slot_ledger import MAX_GRANT_EXPIRY_MS, SlotLedger

N_NODES = 2
SLOTS = [SlotId("svea-1", 0), SlotId("svea-2", 0)]
ORGANISATION = "svea"
TOLERANCE = 1e-6


class Fleet:
    """Nodes, slots and messages in flight; each kind of fault is an operation."""

    def __init__(self, limit: Limit) -> None:
        self.true_ms = 0.0
        self.limit = limit
        self.max_limit = limit
        self.admitted_ms: list[float] = []
        self.clocks = [ManualClock() for _ in range(N_NODES)]
        self.nodes = [
            LocalTokens(f"node-{n}", clock) for n, clock in enumerate(self.clocks)
        ]
        self.holder_clocks = [ManualClock() for _ in SLOTS]
        self.ledgers = [SlotLedger(slot, 0.0, 0.0, {}, True) for slot in SLOTS]
        self.requests: list[tuple[int, DrawRequest]] = []
        self.replies: list[tuple[int, SlotId, DrawReply]] = []
        self.serial = itertools.count()
        self.configure(limit)

    def configure(self, limit: Limit) -> None:
        self.limit = limit
        self.max_limit = Limit(
            max(limit.rate_per_s, self.max_limit.rate_per_s),
            max(limit.burst, self.max_limit.burst),
        )
        for node in self.nodes:
            node.configure({ORGANISATION: limit})
        for slot in range(len(SLOTS)):
            self.configure_slot(slot)

    def configure_slot(self, slot: int) -> None:
        weight = 1.0 / len(SLOTS)
        now_ms = self.holder_clocks[slot].now_ms()
        self.ledgers[slot].configure({ORGANISATION: self.limit}, weight, now_ms)

    def advance(self, by_ms: float) -> None:
        self.true_ms += by_ms
        for clock in self.clocks + self.holder_clocks:
            clock.advance(by_ms)

    def suspend(self, node: int, by_ms: float) -> None:
        self.true_ms += by_ms
        for clock in self.clocks + self.holder_clocks:
            if clock is self.clocks[node]:
                clock.suspend(by_ms)
            else:
                clock.advance(by_ms)

    def suspend_holder(self, slot: int, by_ms: float) -> None:
        self.true_ms += by_ms
        for clock in self.clocks + self.holder_clocks:
            if clock is self.holder_clocks[slot]:
                clock.suspend(by_ms)
            else:
                clock.advance(by_ms)

    def jump_wall(self, node: int, by_ms: float) -> None:
        self.clocks[node].jump_wall(by_ms)
        self.holder_clocks[node % len(SLOTS)].jump_wall(by_ms)

    def take(self, node: int, n_takes: int) -> None:
        for _ in range(n_takes):
            now_ms = self.clocks[node].now_ms()
            if self.nodes[node].take(ORGANISATION, now_ms).granted:
                self.admitted_ms.append(self.true_ms)

    def ask(self, node: int, slot: int, n_waiting: int) -> None:
        tokens = self.nodes[node]
        tokens.update_demand(self.clocks[node].now_ms())
        tokens.add_waiting(ORGANISATION, n_waiting)
        self.requests.append((node, tokens.request(SLOTS[slot], [ORGANISATION])))
        tokens.add_waiting(ORGANISATION, -n_waiting)

    def deliver_request(self, index: int, is_duplicated: bool) -> None:
        if not self.requests:
            return
        index %= len(self.requests)
        node, request = self.requests[index]
        if not is_duplicated:
            del self.requests[index]
        slot = SLOTS.index(request.slot)
        reply = self.ledgers[slot].draw(request, self.holder_clocks[slot].now_ms())
        self.replies.append((node, request.slot, reply))

    def deliver_reply(self, index: int, is_duplicated: bool) -> None:
        if not self.replies:
            return
        index %= len(self.replies)
        node, slot, reply = self.replies[index]
        if not is_duplicated:
            del self.replies[index]
        self.nodes[node].apply_reply(slot, reply, self.clocks[node].now_ms())

    def drain(self, node: int, slot: int) -> None:
        self.exchange(node, slot, 40)
        self.take(node, 40)

    def exchange(self, node: int, slot: int, n_waiting: int) -> None:
        self.ask(node, slot, n_waiting)
        self.deliver_request(-1, False)
        self.deliver_reply(-1, False)

    def lose(self) -> None:
        self.requests.clear()
        self.replies.clear()

    def hand_over(self, slot: int, is_planned: bool) -> None:
        old_ms = self.holder_clocks[slot].now_ms()
        levels = self.ledgers[slot].levels(old_ms) if is_planned else {}
        clock = self.holder_clocks[slot] = ManualClock(self.true_ms)
        self.ledgers[slot] = SlotLedger(
            SLOTS[slot], clock.now_ms(), MAX_GRANT_EXPIRY_MS, levels
        )
        self.configure_slot(slot)

    def restart(self, node: int) -> None:
        name = f"node-{node}-{next(self.serial)}"
        self.nodes[node] = LocalTokens(name, self.clocks[node])
        self.nodes[node].configure({ORGANISATION: self.limit})

    def check_slots(self) -> None:
        """Check that bucket and spendable tokens of each slot are within its burst."""
        for slot, ledger in zip(SLOTS, self.ledgers, strict=True):
            clock = self.holder_clocks[SLOTS.index(slot)]
            in_bucket = ledger.levels(clock.now_ms()).get(ORGANISATION, 0.0)
            held = sum(node.tokens_of(ORGANISATION, slot) for node in self.nodes)
            assert in_bucket + held <= self.max_limit.burst / len(SLOTS) + TOLERANCE

    def check(self) -> None:
        rate, burst = self.max_limit
        allowed = TokenBucket(rate, burst + TOLERANCE, 0.0, burst + TOLERANCE)
        for at_ms in self.admitted_ms:
            assert allowed.take(1.0 - TOLERANCE / 100.0, at_ms), self.admitted_ms


NODE = st.integers(0, N_NODES - 1)
SLOT = st.integers(0, len(SLOTS) - 1)
INDEX = st.integers(0, 7)
DURATION_MS = st.sampled_from(
    [1.0, 20.0, 400.0, 1_900.0, 1_999.0, 2_050.0, 2_101.0, 9e3]
)
OPERATION = st.one_of(
    st.tuples(st.just("advance"), DURATION_MS),
    st.tuples(st.just("take"), NODE, st.integers(1, 30)),
    st.tuples(st.just("drain"), NODE, SLOT),
    st.tuples(st.just("exchange"), NODE, SLOT, st.integers(0, 30)),
    st.tuples(st.just("ask"), NODE, SLOT, st.integers(0, 30)),
    st.tuples(st.just("deliver_request"), INDEX, st.booleans()),
    st.tuples(st.just("deliver_reply"), INDEX, st.booleans()),
    st.tuples(st.just("lose")),
    st.tuples(st.just("suspend"), NODE, DURATION_MS),
    st.tuples(st.just("suspend_holder"), SLOT, DURATION_MS),
    st.tuples(st.just("jump_wall"), NODE, st.floats(-5_000.0, 5_000.0)),
    st.tuples(st.just("hand_over"), SLOT, st.booleans()),
    st.tuples(st.just("restart"), NODE),
)
LIMIT = st.builds(
    Limit, st.sampled_from([0.0, 1.0, 50.0]), st.sampled_from([1.0, 7.0, 40.0])
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(limit=LIMIT, operations=st.lists(OPERATION, max_size=60))
def test_admitted_stays_within_burst_and_rate(limit, operations):
    fleet = Fleet(limit)
    for name, *arguments in operations:
        getattr(fleet, name)(*arguments)
        fleet.check_slots()
    fleet.check()


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    limits=st.lists(LIMIT, min_size=2, max_size=4),
    operations=st.lists(OPERATION, max_size=30),
)
def test_changed_limits_stay_within_the_higher_one(limits, operations):
    fleet = Fleet(limits[0])
    for limit in limits:
        fleet.configure(limit)
        for name, *arguments in operations:
            getattr(fleet, name)(*arguments)
            fleet.check_slots()
    fleet.check()


def test_a_node_that_asks_is_served_at_the_whole_rate():
    fleet = Fleet(Limit(40.0, 20.0))
    for _ in range(400):
        fleet.advance(25.0)
        fleet.exchange(0, 0, 3)
        fleet.exchange(0, 1, 3)
        fleet.take(0, 3)
    fleet.check()
    assert len(fleet.admitted_ms) >= 0.97 * (40.0 * 10.0 + 20.0)


def test_returned_tokens_serve_another_node():
    fleet = Fleet(Limit(0.0, 20.0))
    fleet.exchange(0, 0, 10)
    fleet.exchange(0, 0, 0)
    fleet.exchange(1, 0, 10)
    fleet.take(1, 10)
    assert len(fleet.admitted_ms) == 10
