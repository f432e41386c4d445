"""Tests of rate tokens across data centres, partitions and platform failures."""

import itertools

import pytest

from ibisspoke_policy.catalogue import Organisation
from ibisspoke_policy.local_tokens import MAX_REFUSAL_MS
from ibisspoke_policy.quota import TokenBucket
from ibisspoke_policy.slot_lease import LEASE_MS

DATA_CENTRES = {"svea-1": 2, "svea-2": 2, "gota-1": 2, "gota-2": 2}
SVEA = Organisation("svea", 40.0, 40.0)
PAIRS = list(itertools.combinations(DATA_CENTRES, 2))


class Record:
    """Admissions over time, checked against the rate limit of the fleet."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._bucket = TokenBucket(SVEA.rate_per_s, SVEA.burst, 0.0, SVEA.burst)
        self.now_ms = 0.0
        self.n_admitted = 0

    async def run(self, peers, n_each, n_steps, step_ms=50.0):
        for _ in range(n_steps):
            self._fleet.advance(step_ms)
            self.now_ms += step_ms
            for peer in peers:
                peer.quota.tick()
                n_admitted = await peer.admit("svea", n_each)
                self.n_admitted += n_admitted
                if n_admitted:
                    assert self._bucket.take(n_admitted - 1e-6, self.now_ms)
            await self._fleet.deliver_pending()


async def test_one_entry_gets_the_whole_rate_and_burst(make_fleet):
    fleet = await make_fleet(DATA_CENTRES, [SVEA])
    record = Record(fleet)
    await record.run(fleet.peers[:1], 10, 100)
    allowed = SVEA.burst + SVEA.rate_per_s * 5.0
    unspent = SVEA.rate_per_s * MAX_REFUSAL_MS / 1000.0
    assert allowed - unspent <= record.n_admitted <= allowed


async def test_all_entries_at_six_times_the_rate_get_the_rate_and_no_more(make_fleet):
    fleet = await make_fleet(DATA_CENTRES, [SVEA])
    record = Record(fleet)
    await record.run(fleet.peers, 2, 100)
    allowed = SVEA.burst + SVEA.rate_per_s * 5.0
    assert 0.9 * allowed <= record.n_admitted <= allowed


async def test_an_organisation_at_six_times_its_rate_takes_from_no_other(make_fleet):
    names = [f"org-{n}" for n in range(8)]
    fleet = await make_fleet(DATA_CENTRES, [SVEA._replace(id=name) for name in names])
    n_admitted = dict.fromkeys(names, 0)
    for _ in range(60):
        fleet.advance(50.0)
        for number, name in enumerate(names):
            peer = fleet.peers[number]
            peer.quota.tick()
            n_admitted[name] += await peer.admit(name, 12 if number == 0 else 1)
        await fleet.deliver_pending()
    assert all(n_admitted[name] == 60 for name in names[1:])
    assert n_admitted[names[0]] <= SVEA.burst + SVEA.rate_per_s * 3.0


async def test_no_message_is_sent_while_tokens_are_held(make_fleet):
    fleet = await make_fleet(DATA_CENTRES, [SVEA])
    peer = fleet.peers[0]
    await peer.admit("svea", 3)
    peer.quota.tokens.update_demand(peer.clock.now_ms() + 100.0)
    n_messages = fleet.network.n_messages
    n_held = int(peer.quota.tokens.tokens("svea"))
    assert await peer.admit("svea", n_held) == n_held
    assert fleet.network.n_messages == n_messages


@pytest.mark.parametrize("pair", PAIRS)
async def test_cut_off_data_centres_share_what_each_can_reach(make_fleet, pair):
    fleet = await make_fleet(DATA_CENTRES, [SVEA])
    fleet.network.cut.add(frozenset(pair))
    record = Record(fleet)
    peers = [peer for peer in fleet.peers if peer.data_centre in pair]
    await record.run(peers, 3, 60)
    assert record.n_admitted >= 0.9 * (SVEA.burst + SVEA.rate_per_s * 3.0)
    fleet.network.cut.clear()
    await record.run(fleet.peers, 2, 60)


async def test_a_data_centre_cut_off_from_all_keeps_its_share(make_fleet):
    fleet = await make_fleet(DATA_CENTRES, [SVEA])
    for other in DATA_CENTRES:
        fleet.network.cut.add(frozenset(("svea-1", other)))
    fleet.network.cut.discard(frozenset(("svea-1",)))
    record = Record(fleet)
    await record.run(fleet.peers[:2], 3, 60)
    share = (SVEA.burst + SVEA.rate_per_s * 3.0) / len(DATA_CENTRES)
    assert 0.9 * share <= record.n_admitted <= share


@pytest.mark.parametrize("doubled", [False, True])
async def test_lost_and_doubled_messages_never_add_tokens(make_fleet, doubled):
    fleet = await make_fleet(DATA_CENTRES, [SVEA])
    fleet.network.doubled = doubled
    record = Record(fleet)
    for _ in range(12):
        fleet.network.n_lost_replies = 3
        await record.run(fleet.peers, 2, 5)
    assert record.n_admitted > 0


async def test_a_platform_down_for_hours_changes_nothing_where_holders_live(make_fleet):
    fleet = await make_fleet(DATA_CENTRES, [SVEA])
    for peer in fleet.peers:
        peer.store.down = True
    fleet.advance(LEASE_MS * 0.75)
    for peer in fleet.peers:
        await peer.quota.holder.step()
    record = Record(fleet)
    await record.run(fleet.peers[::4], 1, 60)
    assert record.n_admitted == 120


async def test_a_platform_down_past_the_lease_stops_the_rate(make_fleet):
    fleet = await make_fleet(DATA_CENTRES, [SVEA])
    for peer in fleet.peers:
        peer.store.down = True
    fleet.advance(LEASE_MS)
    assert await fleet.peers[0].admit("svea", 5) == 0


async def test_a_rate_lowered_and_raised_under_load_holds_the_higher_one(make_fleet):
    fleet = await make_fleet(DATA_CENTRES, [SVEA])
    record = Record(fleet)
    for rate in (10.0, 40.0, 5.0, 40.0):
        lowered = SVEA._replace(rate_per_s=rate, burst=rate)
        await fleet.publish(organisations_by_id={"svea": lowered})
        await record.run(fleet.peers, 2, 20)
        await fleet.run_rounds(2)
        await record.run(fleet.peers, 2, 20)


async def test_a_planned_stop_hands_over_without_a_refusal(make_fleet):
    fleet = await make_fleet(DATA_CENTRES, [SVEA])
    holder = next(peer for peer in fleet.peers if peer.quota.holder.slots)
    (slot,) = holder.quota.holder.slots
    await holder.quota.holder.release()
    await holder.config.push()
    holder.stopped = True
    for peer in fleet.peers:
        if not peer.stopped:
            await peer.quota.holder.step()
    successors = [peer for peer in fleet.peers if slot in peer.quota.holder.slots]
    assert len(successors) == 1 and successors[0] is not holder
    await fleet.run_rounds(2)
    assert await successors[0].admit("svea", 40) == 40
