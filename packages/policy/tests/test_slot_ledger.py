from ibisspoke_policy.quota_messages import (
    MAX_LIFETIME_MS,
    DrawRequest,
    Limit,
    SlotId,
    TokenRequest,
)
from ibisspoke_policy.slot_ledger import MAX_GRANT_EXPIRY_MS, SlotLedger

SLOT = SlotId("svea-1", 0)


def _ledger(rate=10.0, burst=10.0, quiet_ms=0.0, levels=None, full=True):
    ledger = SlotLedger(SLOT, 0.0, quiet_ms, levels or {}, full)
    ledger.configure({"svea": Limit(rate, burst)}, 1.0, 0.0)
    return ledger


def _draw(
    ledger,
    now_ms,
    sequence,
    needed,
    held=0.0,
    returned=0.0,
    name="n1",
    lifetime_ms=MAX_LIFETIME_MS,
):
    item = TokenRequest("svea", held, returned, needed, 0.0, lifetime_ms)
    return ledger.draw(DrawRequest(SLOT, name, sequence, [item]), now_ms)


def _tokens(reply):
    return reply.grants[0].tokens if reply.grants else 0.0


def test_unexpired_grants_count_against_the_burst():
    ledger = _ledger()
    assert _tokens(_draw(ledger, 0.0, 1, 10.0)) == 10.0
    assert _tokens(_draw(ledger, 1_000.0, 1, 10.0, name="n2")) == 0.0


def test_time_before_an_expiry_earns_nothing_beyond_the_burst():
    ledger = _ledger()
    _draw(ledger, 0.0, 1, 10.0)
    just_after_ms = MAX_GRANT_EXPIRY_MS + 1.0
    assert ledger.levels(just_after_ms)["svea"] < 0.1


def test_reported_spending_frees_the_burst():
    ledger = _ledger()
    _draw(ledger, 0.0, 1, 10.0)
    _draw(ledger, 500.0, 2, 0.0, held=0.0)
    assert _tokens(_draw(ledger, 1_000.0, 3, 10.0)) == 5.0


def test_duplicate_and_out_of_order_requests_change_nothing():
    ledger = _ledger(rate=0.0)
    out_of_order = DrawRequest(
        SLOT, "n1", 1, [TokenRequest("svea", 0.0, 0.0, 1.0, 0.0, MAX_LIFETIME_MS)]
    )
    assert _tokens(_draw(ledger, 0.0, 2, 6.0)) == 6.0
    assert not ledger.draw(out_of_order, 1.0).accepted
    assert not _draw(ledger, 1.0, 2, 6.0).accepted
    assert ledger.granted("svea", 1.0) == 6.0


def test_a_return_is_credited_once_and_only_before_expiry():
    ledger = _ledger(rate=0.0)
    _draw(ledger, 0.0, 1, 6.0)
    _draw(ledger, 1.0, 2, 0.0, held=2.0, returned=4.0)
    _draw(ledger, 1.0, 2, 0.0, held=2.0, returned=4.0)
    assert ledger.levels(1.0)["svea"] == 8.0
    _draw(ledger, 5_000.0, 3, 0.0, held=0.0, returned=2.0)
    assert ledger.levels(5_000.0)["svea"] == 8.0


def test_a_ledger_reports_that_it_does_not_count_the_requester():
    ledger = _ledger()
    assert not _draw(ledger, 0.0, 1, 1.0).grants[0].renewed
    assert _draw(ledger, MAX_LIFETIME_MS, 2, 1.0).grants[0].renewed
    assert not _draw(ledger, MAX_LIFETIME_MS * 3.0, 3, 1.0).grants[0].renewed


def test_a_new_holder_earns_nothing_until_old_grants_have_expired():
    ledger = _ledger(quiet_ms=MAX_GRANT_EXPIRY_MS, full=False)
    assert _tokens(_draw(ledger, MAX_GRANT_EXPIRY_MS, 1, 5.0)) == 0.0
    assert _tokens(_draw(ledger, MAX_GRANT_EXPIRY_MS + 1_000.0, 2, 20.0)) == 10.0


def test_a_new_holder_starts_with_the_tokens_left():
    ledger = _ledger(quiet_ms=MAX_GRANT_EXPIRY_MS, full=False, levels={"svea": 4.0})
    assert _tokens(_draw(ledger, 1.0, 1, 5.0)) == 4.0


def test_a_removed_organisation_does_not_come_back_with_a_new_burst():
    ledger = _ledger(rate=0.0)
    _draw(ledger, 0.0, 1, 10.0)
    ledger.configure({}, 1.0, 0.0)
    assert _tokens(_draw(ledger, 0.0, 2, 5.0)) == 0.0
    ledger.configure({"svea": Limit(0.0, 10.0)}, 1.0, 0.0)
    assert _tokens(_draw(ledger, 0.0, 3, 5.0)) == 0.0


def test_a_lowered_burst_caps_the_bucket():
    ledger = _ledger()
    ledger.configure({"svea": Limit(10.0, 10.0)}, 0.25, 0.0)
    assert ledger.levels(0.0) == {"svea": 2.5}


def test_a_share_below_one_token_is_granted_in_parts():
    ledger = _ledger(burst=0.5)
    assert _tokens(_draw(ledger, 0.0, 1, 1.0)) == 0.5


def test_no_more_is_credited_than_was_granted():
    ledger = _ledger(rate=0.0)
    _draw(ledger, 0.0, 1, 4.0, name="n2")
    _draw(ledger, 0.0, 2, 0.0, name="n2")
    _draw(ledger, 0.0, 1, 6.0)
    _draw(ledger, 0.0, 2, 0.0, returned=9.0)
    assert ledger.levels(0.0)["svea"] == 6.0


def test_a_shorter_lifetime_does_not_end_a_longer_grant():
    ledger = _ledger(rate=0.0)
    _draw(ledger, 0.0, 1, 6.0)
    _draw(ledger, 1.0, 2, 0.0, held=6.0, lifetime_ms=50.0)
    assert ledger.granted("svea", 1_999.0) == 6.0


def test_a_short_grant_frees_the_burst_soon():
    ledger = _ledger()
    _draw(ledger, 0.0, 1, 10.0, lifetime_ms=50.0)
    assert _tokens(_draw(ledger, 1_060.0, 1, 10.0, name="n2")) >= 9.0
