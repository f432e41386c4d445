"""What a node does in calm, counted, in fleets of different sizes.

The load is that of a large fleet that mostly works: many nodes and organisations, of
which a node hears little. The work of a tick must not grow with their number.
"""

import pytest
from model_fleet import ModelNode, data_centres, record

from ibisspoke_mesh.node_ranks import N_WATCHERS
from ibisspoke_mesh.peer import Peer
from ibisspoke_mesh.rate_homes import RateHomes
from ibisspoke_policy import rendezvous
from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.shared_rate import Admission, Home, SharedRates
from ibisspoke_policy.upstream_queue import Load

MAX_CHECKED = 60  # nodes looked at in a refresh of the ranks
LOAD = Load(9, 2, 36, 200.0, 0.1, ())


@pytest.fixture(params=[24, 223, 1_320], ids=lambda n: f"{n}-nodes-a-data-centre")
def node(request):
    """A node that knows 5 data centres, all of whose nodes are alive."""
    places = data_centres(5)
    node = ModelNode(record(0, places[0]), ManualClock(1_000_000.0), 1)
    for number in range(1, request.param * 5):
        peer = node.fleet.update_record(record(number, places[number % 5]))
        peer.update_load(LOAD, node.clock.now_ms())
    return node


@pytest.fixture
def n_checked(monkeypatch):
    """How often each kind of work was done: a dict that counts by name."""
    counts = {"alive": 0, "score": 0}
    is_alive, score = Peer.is_alive, rendezvous.score

    def count_alive(peer, now_ms):
        counts["alive"] += 1
        return is_alive(peer, now_ms)

    def count_score(key, name):
        counts["score"] += 1
        return score(key, name)

    monkeypatch.setattr(Peer, "is_alive", count_alive)
    monkeypatch.setattr(rendezvous, "score", count_score)
    monkeypatch.setattr("ibisspoke_mesh.node_ranks.score", count_score)
    return counts


def test_a_refresh_of_the_ranks_looks_at_few_nodes(node, n_checked):
    assert len(node.ranks.sources) == N_WATCHERS
    n_checked.update(alive=0, score=0)
    node.clock.advance(250.0)
    assert len(node.ranks.sources) == N_WATCHERS
    assert n_checked["alive"] < MAX_CHECKED
    assert n_checked["score"] < MAX_CHECKED


def test_the_ranks_are_those_of_all_alive_nodes(node):
    # The same ranks as by ordering every alive node again at each refresh.
    now_ms = node.clock.now_ms()
    for number, peer in enumerate(node.fleet.peers_by_id.values()):
        if number % 3 == 0:
            peer.mark_lost()
    alive = [p for p in node.fleet.peers_by_id.values() if p.is_alive(now_ms)]
    near = [peer.record.node for peer in alive if peer.distance.same_region]
    expected = rendezvous.ranked("configuration", near)[:N_WATCHERS]
    assert [peer.record.node for peer in node.ranks.sources] == expected
    rank = rendezvous.rank_of("configuration", node.own.node, near)
    assert node.ranks.is_watcher == (rank < N_WATCHERS)
    for name, target in node.ranks.region_targets:
        others = [peer.record.node for peer in alive if peer.record.data_centre == name]
        ranked = rendezvous.ranked("status", others)
        assert target.record.node == ranked[min(node.ranks.relay_rank, 1)]


def test_a_request_within_its_rate_looks_for_no_home(node, n_checked):
    # Guards against ranking all nodes for an organisation that is far below its rate.
    homes = RateHomes(node.fleet, node.rates, node.clock)
    node.clock.advance(5_000.0)
    node.rates.set_fleet(len(node.fleet.peers_by_id), [])
    admission = node.rates.admit("o1", lambda: homes.role("o1"), node.clock.now_ms())
    assert admission is Admission.ADMITTED
    assert n_checked == {"alive": 0, "score": 0}


def test_a_lost_node_moves_only_its_own_homes(node, n_checked):
    # Guards against computing all homes again whenever a node joins or fails.
    homes = RateHomes(node.fleet, node.rates, node.clock)
    names = [f"o{number}" for number in range(40)]
    before = {name: homes._home(name) for name in names}
    lost = next(home for home in before.values() if home != node.own.node)
    node.fleet.peers_by_id[lost].mark_lost()
    node.clock.advance(250.0)
    n_checked.update(alive=0, score=0)
    after = {name: homes._home(name) for name in names}
    assert {name for name in names if before[name] != after[name]} == {
        name for name in names if before[name] == lost
    }
    n_moved = sum(home == lost for home in before.values())
    assert n_checked["score"] <= n_moved * (len(node.fleet.peers_by_id) + 1)
    node.fleet.peers_by_id[lost].mark_seen(node.clock.now_ms())
    node.clock.advance(250.0)
    assert {name: homes._home(name) for name in names} == before


@pytest.mark.parametrize("n_organisations", [14, 140, 14_000])
def test_a_tick_looks_only_at_organisations_that_sent_something(n_organisations):
    rates = SharedRates(0.0)
    names = {f"o{number}": (40.0, 40.0) for number in range(n_organisations)}
    rates.configure(names, 0.0, 0.0)
    rates.set_time(1_000.0)
    for name in ("o1", "o2"):
        rates.admit(name, lambda: Home.OTHER, 3_000.0)
    assert len(rates._active_by_name) == 2
    assert {usage.organisation for usage in rates.own_usages(0.0)} == {"o1", "o2"}
    rates.set_time(60_000.0)
    assert rates.own_usages(0.0) == []
    assert not rates._active_by_name


def test_only_links_with_pending_calls_are_ticked():
    places = data_centres(2)
    node = ModelNode(record(0, places[0]), ManualClock(1_000_000.0), 1)
    ticked = []
    for number in range(1, 9):
        link = node.fleet.update_record(record(number, places[number % 2])).link
        link.tick = lambda number=number: ticked.append(number)
    node.fleet.tick()
    assert ticked == []
    link = next(iter(node.fleet.peers_by_id.values())).link
    link._on_waiting(link)
    node.fleet.tick()
    node.fleet.tick()
    assert ticked == [1]  # nothing is pending any more
