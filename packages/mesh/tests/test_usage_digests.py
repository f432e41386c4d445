"""Sums of organisations in digests, while many organisations are busy.

The pattern is a burst of all organisations: their sums are most of what nodes tell each
other, come over two relays, and are repeated.
"""

import pytest
from model_fleet import TICK_MS, ModelNode, data_centres, record

from ibisspoke_mesh.status_messages import (
    Digest,
    Section,
    decode,
    encode,
    name_checksum,
)
from ibisspoke_policy.clock import ManualClock

N_PEERS = 9


class Datagrams(list):
    """The digests that a node sent."""

    def sendto(self, data, address):
        message = decode(data)
        if isinstance(message, Digest):
            self.append(message)


@pytest.fixture
def node():
    """A relay that knows two data centres of a region."""
    places = [(name, "north") for name, _ in data_centres(2)]
    node = ModelNode(record(0, places[0]), ManualClock(1_000_000.0), 1)
    for number in range(1, N_PEERS + 1):
        node.fleet.update_record(record(number, places[number % 2]))
    node.ranks._relay_rank = 0
    node.ranks._refresh = lambda: None
    node.exchange.connection_made(Datagrams())
    node.clock.advance(5_000.0)
    node.tick()
    return node


def digest(node, n_admitted: int, organisation: str = "o1") -> bytes:
    entry = (name_checksum(organisation), n_admitted, n_admitted, 0)
    section = Section("dc1", 0, [], [], [], [(node.rates.slot, [entry])])
    return encode(Digest("10.0.0.1", 0, [section]))


def receive(node, data: bytes) -> None:
    node.exchange.datagram_received(data, ("10.0.0.1", 7_001))


def admitted(node) -> int:
    return node.rates._accounts_by_name["o1"].source_counts("dc1", node.rates.slot)[1]


def test_a_repeated_sum_is_applied_once(node, monkeypatch):
    # Guards against a cost that grows with how often sums are repeated.
    applied = []
    apply_report = node.rates.apply_report

    def count(source, usages, *args):
        applied.extend(usages)
        return apply_report(source, usages, *args)

    monkeypatch.setattr(node.rates, "apply_report", count)
    for n_admitted in (3, 3, 5, 5, 3):
        receive(node, digest(node, n_admitted))
    assert [usage.n_admitted for usage in applied] == [3, 5, 3]
    assert admitted(node) == 5


def test_sums_count_again_for_organisations_that_are_new(node):
    receive(node, digest(node, 3))
    node.rates.configure({}, node.clock.now_ms(), 0.0)
    node.rates.configure({"o1": (40.0, 40.0)}, node.clock.now_ms(), 0.0)
    node.receiver.set_organisations(["o1"])
    receive(node, digest(node, 3))
    assert admitted(node) == 3


def test_a_sum_that_was_not_valid_counts_when_it_is(node):
    receive(node, digest(node, 3, "new"))
    assert node.receiver.n_invalid_usages == 1
    receive(node, digest(node, 3, "new"))
    assert node.receiver.n_invalid_usages == 2
    node.rates.configure({"new": (40.0, 40.0)}, node.clock.now_ms(), 0.0)
    node.receiver._names_by_checksum[name_checksum("new")] = "new"
    receive(node, digest(node, 3, "new"))
    assert node.receiver.n_invalid_usages == 2


def test_only_organisations_that_are_low_are_told_early(node):
    # Guards against whole digests in short intervals while one bucket is low.
    for _ in range(3):
        node.admit("o7")
    for _ in range(39):
        node.admit("o3")
    sent = node.exchange._transport
    for _ in range(12):
        node.clock.advance(TICK_MS)
        node.admit("o3")
        node.admit("o3")
        node.tick()
    early = [message for message in sent if not any(s.loads for s in message.sections)]
    assert early
    names = {
        entry[0]
        for message in early
        for section in message.sections
        for _, entries in section.usages
        for entry in entries
    }
    assert names == {name_checksum("o3")}
    assert not any(s.records or s.lost for message in early for s in message.sections)


def test_no_count_of_an_organisation_that_is_low_is_left_out(node):
    # Guards against ticks that are further apart than the time whose counts are sent.
    sent = node.exchange._transport
    for _ in range(40):
        node.admit("o3")
    told = {}
    for _ in range(120):
        node.clock.advance(20.0)
        for _ in range(4):
            node.admit("o3")
        node.clock.advance(TICK_MS - 20.0)
        sent.clear()
        node.tick()
        for message in sent:
            for section in message.sections:
                for slot, entries in section.usages:
                    for _, _, n_admitted, _ in entries:
                        told[slot] = max(told.get(slot, 0), n_admitted)
        if any(section.usages for message in sent for section in message.sections):
            account = node.rates._accounts_by_name["o3"]
            for slot in range(node.rates.slot - 3, node.rates.slot + 1):
                assert told.get(slot, 0) == account.own_counts(slot)[1]
