from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.local_account import SlotDistance
from ibisspoke_policy.local_tokens import LocalTokens
from ibisspoke_policy.quota_messages import DrawReply, Limit, SlotId, TokenGrant

SLOTS = [SlotId("svea-1", n) for n in range(3)]
NEAR = [SlotDistance(slot, 0.0) for slot in SLOTS]
LIMIT = Limit(100.0, 100.0)


def _node(clock):
    tokens = LocalTokens("n1", clock)
    tokens.configure({"svea": LIMIT})
    return tokens


def _reply(sequence, tokens, renewed=True, retry_after_ms=10.0, level=0.0):
    grants = [TokenGrant("svea", tokens, renewed, 2_000.0, level, retry_after_ms)]
    return DrawReply(sequence, True, grants)


def _fill(node, clock, tokens, slot=SLOTS[0], renewed=True):
    request = node.request(slot, [])
    node.apply_reply(slot, _reply(request.sequence, tokens, renewed), clock.now_ms())


def test_tokens_are_spent_without_asking():
    clock = ManualClock()
    node = _node(clock)
    _fill(node, clock, 2.0)
    taken = [node.take("svea", clock.now_ms()) for _ in range(3)]
    assert [decision.granted for decision in taken] == [True, True, False]
    assert taken[2].may_ask_other_nodes


def test_an_unknown_organisation_gets_nothing():
    decision = _node(ManualClock()).take("nobody", 0.0)
    assert (decision.granted, decision.may_ask_other_nodes) == (False, False)


def test_a_suspended_vm_spends_no_expired_token():
    clock = ManualClock()
    node = _node(clock)
    _fill(node, clock, 2.0)
    clock.suspend(2_000.0)
    assert not node.take("svea", clock.now_ms()).granted


def test_a_lifetime_counts_from_before_the_request():
    clock = ManualClock()
    node = _node(clock)
    request = node.request(SLOTS[0], ["svea"])
    clock.advance(1_500.0)
    node.apply_reply(SLOTS[0], _reply(request.sequence, 5.0), clock.now_ms())
    clock.advance(499.0)
    assert node.take("svea", clock.now_ms()).granted
    clock.advance(1.0)
    assert not node.take("svea", clock.now_ms()).granted


def test_a_reply_counts_once_and_not_after_a_later_request():
    clock = ManualClock()
    node = _node(clock)
    first = node.request(SLOTS[0], ["svea"])
    second = node.request(SLOTS[0], ["svea"])
    node.apply_reply(SLOTS[0], _reply(first.sequence, 5.0), clock.now_ms())
    assert node.tokens("svea") == 0.0
    node.apply_reply(SLOTS[0], _reply(second.sequence, 5.0), clock.now_ms())
    node.apply_reply(SLOTS[0], _reply(second.sequence, 5.0), clock.now_ms())
    assert node.tokens("svea") == 5.0


def test_tokens_that_a_new_holder_does_not_count_are_dropped():
    clock = ManualClock()
    node = _node(clock)
    _fill(node, clock, 5.0)
    _fill(node, clock, 1.0, renewed=False)
    assert node.tokens("svea") == 1.0


def test_fractions_of_tokens_from_several_slots_are_combined():
    clock = ManualClock()
    node = _node(clock)
    for slot in SLOTS:
        _fill(node, clock, 0.4, slot)
    assert node.take("svea", clock.now_ms()).granted
    assert not node.take("svea", clock.now_ms()).granted


def test_an_empty_slot_is_not_asked_again_at_once():
    clock = ManualClock()
    node = _node(clock)
    node.add_waiting("svea", 1)
    request = node.request(SLOTS[0], ["svea"])
    node.apply_reply(SLOTS[0], _reply(request.sequence, 0.0), clock.now_ms())
    assert not node.may_have_tokens("svea", SLOTS[0], clock.now_ms())
    node.refuse("svea", SLOTS[:1], clock.now_ms())
    assert not node.take("svea", clock.now_ms()).may_ask_other_nodes
    clock.advance(10.0)
    assert node.take("svea", clock.now_ms()).may_ask_other_nodes


def test_tokens_are_drawn_ahead_of_demand_and_returned_when_it_ends():
    clock = ManualClock()
    node = _node(clock)
    for _ in range(20):
        clock.advance(100.0)
        for _ in range(5):
            node.take("svea", clock.now_ms())
        node.update_demand(clock.now_ms())
    assert list(node.plan_prefetch(NEAR, clock.now_ms())) == SLOTS[:1]
    assert node.request(SLOTS[0], ["svea"]).items[0].ahead > 20.0
    _fill(node, clock, 30.0)
    for _ in range(150):
        clock.advance(10.0)
        node.update_demand(clock.now_ms())
    clock.advance(1.0)
    assert list(node.plan_prefetch(NEAR, clock.now_ms())) == SLOTS[:1]
    item = node.request(SLOTS[0], ["svea"]).items[0]
    assert item.returned > 0
    assert node.tokens("svea") == item.held
