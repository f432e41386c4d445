"""Digests in data centres whose relays cannot send to every node themselves."""

import msgspec
import pytest
from model_fleet import ModelNode, Network, data_centres, record

from ibisspoke_mesh.digest_spread import MIN_PARTS
from ibisspoke_mesh.status_messages import (
    Digest,
    ForwardedDigest,
    RecordRequest,
    decode,
    encode,
)
from ibisspoke_mesh.status_timeouts import MAX_DIRECT
from ibisspoke_policy.clock import ManualClock

DIGEST = encode(Digest("10.0.0.3", 0, []))


class Datagrams(list):
    """The datagrams that a node sent, with their receivers."""

    def sendto(self, data, address):
        self.append((address[0], decode(data)))


@pytest.fixture(params=[33, 223, 1_320])
def node(request):
    """A node that knows a data centre of many nodes, and one node of another."""
    places = data_centres(2)
    node = ModelNode(record(0, places[0]), ManualClock(1_000_000.0), 1)
    for number in range(1, request.param + 1):
        node.fleet.update_record(record(number, places[0]))
    node.fleet.update_record(record(request.param + 1, places[1]))
    node.exchange.connection_made(Datagrams())
    return node


def near_nodes(node) -> set[str]:
    return {peer.record.node for peer in node.fleet.own_data_centre_peers()}


def test_every_node_is_named_once_and_few_get_it_directly(node):
    # Guards against relays of large data centres that send to each of their nodes.
    node.exchange._spread.send(DIGEST, node.fleet.own_data_centre_peers())
    sent = node.exchange._transport
    assert len(sent) <= max(MIN_PARTS, len(near_nodes(node)) // MAX_DIRECT)
    named = [host for host, _ in sent]
    for _, message in sent:
        assert message.digest == DIGEST
        assert len(message.nodes) <= MAX_DIRECT
        named += message.nodes
    assert len(named) == len(set(named))
    assert set(named) == near_nodes(node)


def test_the_nodes_that_pass_it_on_change(node):
    peers = node.fleet.own_data_centre_peers()
    for _ in range(4):
        node.exchange._spread.send(DIGEST, peers)
    assert len({host for host, _ in node.exchange._transport}) > 2 * MIN_PARTS - 2


@pytest.mark.parametrize(
    "message",
    [
        ForwardedDigest(b"", ["10.0.0.5"]),
        ForwardedDigest(b"\xc1", ["10.0.0.5"]),
        ForwardedDigest(encode(RecordRequest("10.0.0.5", [])), ["10.0.0.5"]),
        ForwardedDigest(encode(ForwardedDigest(DIGEST, ["10.0.0.5"])), ["10.0.0.5"]),
        ForwardedDigest(DIGEST, ["10.9.9.9", "127.0.0.1", "", "10.0.0.0"]),
    ],
)
def test_bad_messages_are_not_passed_on(node, message):
    node.exchange.datagram_received(encode(message), ("10.0.0.5", 1))
    assert node.exchange._transport == []


def test_a_digest_is_not_passed_on_to_other_data_centres(node):
    hosts = list(node.fleet.peers_by_id)
    far = next(iter(set(hosts) - near_nodes(node)))
    message = ForwardedDigest(DIGEST, [far, hosts[0]])
    node.exchange.datagram_received(encode(message), ("10.0.0.5", 1))
    assert [host for host, _ in node.exchange._transport] == [hosts[0]]


def test_a_large_data_centre_hears_of_all_of_its_nodes_without_busy_relays():
    network = Network(3 * MAX_DIRECT, 1)
    network.introduce_all()
    network.run(3.0, 0.5)
    silent = {own.node for own in network.records[::10]} - network.relays
    network.silent |= silent
    network.n_bytes.clear()
    network.run(4.0, 0.5)
    now_ms = network.clock.now_ms()
    for host in set(network.by_host) - silent:
        peers = network.by_host[host].fleet.peers_by_id
        assert {node for node in peers if not peers[node].is_alive(now_ms)} == silent
    relays = network.relays - silent
    others = set(network.by_host) - relays - silent
    relay_bytes = max(network.n_bytes[host] for host in relays)
    mean_bytes = sum(network.n_bytes[host] for host in others) / len(others)
    # A relay also receives the statuses, but does not send a digest to each node.
    assert relay_bytes < 0.3 * len(network.by_host) * mean_bytes


def test_a_node_of_the_version_before_misses_only_what_it_should_pass_on(node):
    # It cannot read such messages, and is asked to pass on others in the next round.
    message = ForwardedDigest(DIGEST, [])
    with pytest.raises(msgspec.MsgspecError):
        msgspec.msgpack.decode(encode(message), type=Digest | RecordRequest)
