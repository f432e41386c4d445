"""Statuses, sums and records in fleets of many data centres, without a network.

The load is that of a fleet whose nodes all enter requests of many organisations: what
each node sends and receives must not grow with the fleet.
"""

import msgspec
import pytest
from model_fleet import (
    N_ORGANISATIONS,
    TICK_MS,
    ModelNode,
    Network,
    Transport,
    data_centres,
    record,
)

from ibisspoke_mesh.member_record import MemberRecord
from ibisspoke_mesh.node_ranks import N_RELAYS
from ibisspoke_mesh.status_messages import (
    Digest,
    ForwardedDigest,
    NodeStatus,
    RecordRequest,
    Section,
    Status,
    decode,
    encode,
)
from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.shared_rate import KEPT_SLOTS
from ibisspoke_policy.upstream_queue import Load
from ibisspoke_policy.upstream_tracker import UpstreamState

MAX_BYTES_PER_S = 10_000.0  # for each node of the fleet aimed at
# Status, digest between regions, digest in the region, digest in the data centre.
LONGEST_PATH_MS = 500.0 + 1_000.0 + 500.0 + 500.0 + 4 * TICK_MS


@pytest.fixture
def network():
    network = Network(5, 4)
    network.introduce_all()
    network.run(4.0, 2.0)
    return network


@pytest.mark.parametrize("n_per_data_centre", [3, 28])
def test_a_node_sends_and_receives_the_same_in_larger_fleets(n_per_data_centre):
    network = Network(n_per_data_centre, 8)
    network.introduce_all()
    network.run(2.0, 1.3)
    network.n_bytes.clear()
    network.n_link_bytes = 0
    network.run(4.0, 1.3)
    others = set(network.by_host) - network.relays
    per_s = sum(network.n_bytes[host] for host in others) / len(others) / 4.0
    assert per_s < MAX_BYTES_PER_S
    assert sum(network.n_bytes.values()) / len(network.by_host) / 4.0 < 25_000.0
    assert network.n_link_bytes / 4.0 < 60_000.0  # 12 MB in a day of 200 s


def digest_size(receiver: str, data: bytes, node: str) -> int:
    """Return the size of the digest that a node gets by a datagram, or 0."""
    message = decode(data)
    if isinstance(message, ForwardedDigest) and node in {receiver, *message.nodes}:
        return len(message.digest)
    return len(data) if receiver == node else 0


@pytest.mark.parametrize("n_per_data_centre", [24, 223, 1_320])
def test_a_digest_does_not_grow_with_the_data_centre(n_per_data_centre):
    # Guards against statuses of all nodes, which took 0.26 MB a second at 1,320.
    places = data_centres(5)
    clock = ManualClock(1_000_000.0)
    relay = ModelNode(record(0, places[0]), clock, 1)
    sent: list[tuple[str, bytes]] = []

    class Transport:
        def sendto(self, data, address):
            sent.append((address[0], data))

    relay.exchange.connection_made(Transport())
    for number in range(1, n_per_data_centre * 5):
        peer = relay.fleet.update_record(record(number, places[number % 5]))
        peer.update_load(Load(9, 2, 36, 200.0, 0.1, ()), clock.now_ms())
    relay.ranks._relay_rank = 0
    relay.ranks._refresh = lambda: None
    far = relay.fleet.data_centre_peers("dc1")[0]
    relay.ranks._other_region_targets = [("dc1", far)]
    for _ in range(22):
        clock.advance(TICK_MS)
        for name in range(N_ORGANISATIONS):
            relay.admit(f"o{name}")
        relay.tick()
    near = relay.fleet.own_data_centre_peers()[0].record.node
    n_near = sum(digest_size(host, data, near) for host, data in sent)
    n_far = sum(len(data) for host, data in sent if host == far.record.node)
    assert N_RELAYS * n_near / 2.0 < 2.5 * MAX_BYTES_PER_S  # all organisations are busy
    assert n_far / 2.0 < MAX_BYTES_PER_S
    assert max(len(data) for _, data in sent) < 2_000


def test_all_nodes_hear_of_all_others(network):
    assert network.oldest_seen_ms() < LONGEST_PATH_MS
    assert network.oldest_sum_ms() < LONGEST_PATH_MS
    assert len(network.relays) == 4 * N_RELAYS


def test_requests_of_all_data_centres_are_counted_everywhere(network):
    busy = list(network.by_host.values())[7]
    first = busy.rates.slot  # before it, the organisation used too little to matter
    for _ in range(60):
        busy.admit("o1")
    network.run(LONGEST_PATH_MS / 1_000.0)
    for node in network.by_host.values():
        account = node.rates._accounts_by_name["o1"]
        counted = sum(
            source.counts.get(slot)[1]
            for source in account._sources_by_name.values()
            for slot in range(first, first + KEPT_SLOTS)
        )
        expected = sum(
            other.rates._accounts_by_name["o1"].own_counts(slot)[1]
            for other in network.by_host.values()
            for slot in range(first, first + KEPT_SLOTS)
            if other is not node
        )
        assert counted == expected


def test_others_take_over_when_all_relays_of_a_data_centre_fail(network):
    ended = {
        host
        for host in network.relays
        if network.by_host[host].own.data_centre == "dc1"
    }
    network.silent |= ended
    network.run(4.5, 2.0)
    assert network.oldest_sum_ms(ended) < LONGEST_PATH_MS
    assert network.oldest_seen_ms(ended) < LONGEST_PATH_MS


def test_all_agree_again_after_every_node_fell_silent(network):
    # The pattern of a loss of power of all VMs, after which nobody seems to be alive.
    network.is_cut = lambda sender, receiver: True
    network.run(8.0)
    network.is_cut = lambda sender, receiver: False
    network.run(LONGEST_PATH_MS / 1_000.0, 2.0)
    assert network.oldest_seen_ms() < LONGEST_PATH_MS
    assert network.oldest_sum_ms() < LONGEST_PATH_MS
    assert len(network.relays) == 4 * N_RELAYS


def test_regions_find_each_other_after_a_partition(network):
    network.is_cut = lambda sender, receiver: sender.region != receiver.region
    network.run(8.0, 2.0)
    assert network.oldest_seen_ms() > 5_000.0
    network.is_cut = lambda sender, receiver: False
    network.run(4.0, 2.0)
    assert network.oldest_seen_ms() < LONGEST_PATH_MS
    assert network.oldest_sum_ms() < LONGEST_PATH_MS


def test_the_loss_of_a_node_is_told_to_other_data_centres(network):
    lost = network.records[5]
    network.silent.add(lost.node)
    network.run(3.5, 2.0)
    now_ms = network.clock.now_ms()
    alive = [
        host
        for host, node in network.by_host.items()
        if host != lost.node and node.fleet.peers_by_id[lost.node].is_alive(now_ms)
    ]
    assert alive == []


def test_a_changed_record_reaches_all_soon(network):
    changed = list(network.by_host.values())[9]
    own = msgspec.structs.replace(changed.own, revision=2, state=UpstreamState.DRAINING)
    changed.fleet.own = own
    network.loss = 0.0
    changed.exchange.broadcast()
    network.run(0.8)
    states = {node.fleet.record_of(own.node).state for node in network.by_host.values()}
    assert states == {UpstreamState.DRAINING}


def test_a_node_that_is_named_but_not_known_is_asked_for(network):
    unaware = list(network.by_host.values())[0]
    missing = network.records[6]
    unaware.fleet._remove(unaware.fleet.peers_by_id[missing.node])
    network.run(3.0, 2.0)
    assert missing.node in unaware.fleet.peers_by_id


def test_a_node_that_starts_alone_becomes_known_to_all(network):
    newcomer = ModelNode(
        msgspec.structs.replace(record(99, ("dc0", "north")), incarnation=5),
        network.clock,
        99,
    )
    network.by_host[newcomer.own.node] = newcomer
    newcomer.exchange.connection_made(Transport(network, newcomer))
    for known in network.records:
        newcomer.fleet.update_record(known)
    newcomer.exchange.broadcast()
    network.run(3.0, 2.0)
    assert newcomer.receiver.is_introduced
    assert all(
        newcomer.own.node in node.fleet.peers_by_id
        for node in network.by_host.values()
        if node is not newcomer
    )


def sums(data_centre: str, *entries: tuple[int, int, int, int], slot: int) -> Digest:
    section = Section(data_centre, -5, [], [], [], [(slot, list(entries))])
    return Digest("10.0.0.5", 0, [section])


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        b"\x00" * 100,
        encode(sums("nowhere", (1, 5, 5, 0), slot=2_000)),
        encode(sums("dc1", (2**24, 5, 5, 0), slot=2_000)),
        encode(sums("dc1", (1, -5, -5, 0), slot=2_000)),
        encode(sums("dc1", (1, 5, 5, 0), slot=-(2**60))),
        encode(RecordRequest("10.9.9.9", ["10.0.0.1"])),
        encode(RecordRequest("10.0.0.1", ["10.9.9.9"] * 9_999)),
    ],
)
def test_bad_datagrams_change_nothing(network, data):
    node = list(network.by_host.values())[0]
    network.run(9.0)  # no counts are left
    before = node.rates.usages("dc1", 0, network.clock.now_ms())
    node.exchange.datagram_received(data, ("10.9.9.9", 1))
    assert node.rates.usages("dc1", 0, network.clock.now_ms()) == before
    network.run(0.5)


class EarlierStatus(msgspec.Struct, array_like=True, frozen=True):
    """A status as the version before reads and writes it."""

    node: str
    incarnation: int
    revision: int
    record: MemberRecord | None
    load: tuple[int, int, int, int, int, tuple[tuple[str, int], ...]]
    cold_ms: int
    usages: list[tuple[int, int, int]]
    version: int
    has_lost_store: bool


class EarlierMessage(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """The datagram that carries it."""

    status: EarlierStatus
    nonce: int
    echo: int
    proof_age_ms: int


def test_nodes_of_the_version_before_understand_statuses_and_are_understood(network):
    # A rolling restart mixes both versions in a data centre.
    node = list(network.by_host.values())[0]
    earlier = node.fleet.own_data_centre_peers()[0]
    load = (7, 1, 36, 200, 0, ())
    status = EarlierStatus(
        earlier.record.node, 1, 1, None, load, 0, [(1, 2, 3)], 0, False
    )
    data = msgspec.msgpack.encode(EarlierMessage(status, 0, 0, 1))
    node.exchange.datagram_received(data, (earlier.record.node, 7_001))
    assert earlier.load.n_running == 7
    sent = []
    node.exchange._transport = type(
        "Transport",
        (),
        {"sendto": lambda _, data, address: sent.append((data, address))},
    )()
    for _ in range(12):
        network.clock.advance(TICK_MS)
        node.tick()
    direct = [data for data, address in sent if address[0] == earlier.record.node]
    statuses = [data for data in direct if isinstance(decode(data), Status)]
    assert len(statuses) >= 2
    read = msgspec.msgpack.decode(statuses[0], type=EarlierMessage)
    assert read.status.node == node.own.node
    assert read.status.usages == []
    assert isinstance(decode(statuses[0]).status, NodeStatus)
