"""How nodes get the configuration from each other after all of them have failed.

The pattern is a loss of power of all VMs: nodes ask those that read the store before
these know the configuration, and refuse requests until they have it and its proof.
"""

import pytest
from model_fleet import ModelNode, record
from result import Ok

from ibisspoke_mesh.config_replies import ConfigReplies
from ibisspoke_mesh.config_state import ConfigState
from ibisspoke_mesh.config_verifier import CHECK_AGE_MS, RANK_DELAY_MS, ConfigVerifier
from ibisspoke_mesh.decision_log import DecisionLog
from ibisspoke_mesh.frames import ConfigReply, ConfigRequest
from ibisspoke_mesh.node_ranks import N_CANDIDATES, N_WATCHERS
from ibisspoke_mesh.store import Changes
from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.route_table import CallerLimits, RouteTable
from ibisspoke_storage.store import TableRow

LIMITS = CallerLimits(1, 1, 1.0, 1.0)


class Requester(list):
    """A connection, with what was sent over it."""

    send = list.append
    __hash__ = object.__hash__


def decode(document):
    return Ok(RouteTable(int(document), [], {}, LIMITS, False))


def make_state(clock) -> ConfigState:
    return ConfigState("config", decode, clock, DecisionLog(clock), lambda _: None)


def read_store(state, version: int, clock) -> None:
    rows = [TableRow("config", version, str(version).encode())]
    state.apply_changes(Changes(rows, [], version), True, clock.boot_ms())


@pytest.fixture
def clock():
    return ManualClock(10_000.0)


@pytest.fixture
def state(clock):
    return make_state(clock)


def test_a_request_is_answered_as_soon_as_the_configuration_is_known(state, clock):
    # Guards against waiting for the next request, or reading the store at every node.
    replies, requester = ConfigReplies(state), Requester()
    replies.request(requester, ConfigRequest(0, 5))
    assert requester == []
    read_store(state, 3, clock)
    clock.advance(20.0)
    replies.send_waiting()
    replies.send_waiting()
    (reply,) = requester
    assert (reply.version, reply.echo) == (3, 5)
    assert 20 <= reply.proof_age_ms <= 21


def test_only_a_newer_version_is_a_reply(state, clock):
    replies, requester = ConfigReplies(state), Requester()
    read_store(state, 3, clock)
    replies.request(requester, ConfigRequest(3, 5))
    replies.send_waiting()
    assert requester == []
    read_store(state, 4, clock)
    replies.send_waiting()
    assert [reply.version for reply in requester] == [4]


def test_a_connection_that_ended_gets_no_reply(state, clock):
    replies, requester = ConfigReplies(state), Requester()
    replies.request(requester, ConfigRequest(0, 5))
    replies.forget(requester)
    replies.forget(requester)
    read_store(state, 3, clock)
    replies.send_waiting()
    assert requester == []


def test_a_reply_brings_the_proof_as_of_its_request(state, clock):
    replies, requester = ConfigReplies(state), Requester()
    other = make_state(clock)
    nonce = int(clock.boot_ms())
    replies.request(requester, ConfigRequest(0, nonce))
    read_store(state, 3, clock)
    clock.advance(400.0)
    replies.send_waiting()
    clock.advance(100.0)
    other.apply_reply(requester[0])
    assert other.version == 3
    # Not younger than it is, although the request was sent long before the read.
    assert 500.0 <= other.proof_age_ms() <= 1_000.0


@pytest.mark.parametrize("echo, proof_age_ms", [(0, 5), (7, None), (0, None)])
def test_a_reply_without_a_proof_brings_none(state, clock, echo, proof_age_ms):
    # The version before sends neither.
    source = make_state(clock)
    read_store(source, 3, clock)
    compressed = source.reply().compressed
    state.apply_reply(ConfigReply(3, 3, compressed, echo, proof_age_ms))
    assert state.version == 3
    assert state.proof_age_ms() == float("inf")


def test_a_negative_age_of_a_proof_counts_as_zero(state, clock):
    source = make_state(clock)
    read_store(source, 3, clock)
    reply = ConfigReply(3, 3, source.reply().compressed, int(clock.boot_ms()), -9_999)
    state.apply_reply(reply)
    assert state.proof_age_ms() >= 0.0


class Ranks:
    verify_rank = 0


@pytest.mark.parametrize("rank", [0, 1, 3, 6])
def test_the_first_nodes_verify_at_once_and_the_others_ask_them(state, clock, rank):
    # Guards against a call to the store by each node whenever a version is new.
    class Rng:
        def random(self):
            return 0.0

    ranks = Ranks()
    ranks.verify_rank = rank
    verifier = ConfigVerifier(None, "op", state, ranks, clock, Rng())
    source = make_state(clock)
    read_store(source, 3, clock)
    state.apply_reply(source.reply())
    assert verifier._is_due() == (rank == 0)
    clock.advance(RANK_DELAY_MS * min(rank, 5))
    assert verifier._is_due()
    state.record_proof(3, clock.boot_ms())
    assert not verifier._is_due()
    clock.advance(CHECK_AGE_MS + RANK_DELAY_MS * min(rank, 5))
    assert verifier._is_due()


@pytest.mark.parametrize("n_nodes", [12, 60, 300])
def test_few_nodes_try_a_store_that_is_down_for_all(n_nodes):
    # Guards against calls by every node in turn, as each finds the one before cut off.
    places = [("dc0", "north")]
    clock = ManualClock(1_000_000.0)
    records = [record(number, places[0]) for number in range(n_nodes)]
    n_watchers = 0
    for own in records[:: max(1, n_nodes // 60)]:
        node = ModelNode(own, clock, 1)
        for other in records:
            peer = node.fleet.update_record(other)
            if peer is not None:
                peer.mark_seen(clock.now_ms())
                peer.has_lost_store = True
        n_watchers += node.ranks.is_watcher
    assert n_watchers <= N_CANDIDATES


def test_the_next_nodes_watch_where_the_first_ones_lost_the_store():
    clock = ManualClock(1_000_000.0)
    records = [record(number, ("dc0", "north")) for number in range(30)]
    nodes = [ModelNode(own, clock, 1) for own in records]
    for node in nodes:
        for other in records:
            if (peer := node.fleet.update_record(other)) is not None:
                peer.mark_seen(clock.now_ms())
    first = {node.own.node for node in nodes if node.ranks.is_watcher}
    assert len(first) == N_WATCHERS
    for node in nodes:
        for host in first - {node.own.node}:
            node.fleet.peers_by_id[host].has_lost_store = True
    clock.advance(250.0)
    second = {node.own.node for node in nodes if node.ranks.is_watcher}
    assert len(second - first) == N_WATCHERS
