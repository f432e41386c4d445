"""A fleet of nodes that exchange statuses by a simulated network, on a manual clock."""

import heapq
import itertools
import random

from ibisspoke_mesh.config_requester import ConfigRequester
from ibisspoke_mesh.config_state import ConfigState
from ibisspoke_mesh.decision_log import DecisionLog
from ibisspoke_mesh.fleet import Fleet
from ibisspoke_mesh.member_record import MemberRecord
from ibisspoke_mesh.node_ranks import N_RELAYS, NodeRanks
from ibisspoke_mesh.peer_link import NodeIncarnation
from ibisspoke_mesh.settings import NodeSettings
from ibisspoke_mesh.status_exchange import StatusExchange
from ibisspoke_mesh.status_receiver import StatusReceiver
from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.shared_rate import Home, SharedRates
from ibisspoke_policy.upstream_queue import Load
from ibisspoke_policy.upstream_tracker import UpstreamState

TICK_MS = 90.0
N_ORGANISATIONS = 140
RATE = 40.0
N_SERVICES = 4
IN_REGION_MS, BETWEEN_REGIONS_MS = 1.0, 20.0


def data_centres(n: int) -> list[tuple[str, str]]:
    """Return data centres and their regions, by turns."""
    return [(f"dc{number}", ["north", "south"][number % 2]) for number in range(n)]


def record(number: int, place: tuple[str, str]) -> MemberRecord:
    return MemberRecord(
        f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}",
        1,
        1,
        place[1],
        place[0],
        7_000,
        7_001,
        f"service{number % N_SERVICES}",
        f"i-{number}",
        36,
        UpstreamState.READY,
    )


class ModelNode:
    """The parts of a node that exchange statuses."""

    def __init__(self, own: MemberRecord, clock: ManualClock, seed: int) -> None:
        settings = NodeSettings(
            *(own.node, own.node, own.data_centre, own.region, own.service),
            *[(own.node, 1)] * 4,
            *(7_001, 1, (own.node, 1), 500.0, 4_000.0, (own.node, 1)),
            *(10_000.0, 4_100.0, 4_000.0, 0.2, 10_000.0, 20.0),
        )
        log = DecisionLog(clock)
        rng = random.Random(seed)
        self.own = own
        self.clock = clock
        self.rates = SharedRates(clock.now_ms(), own.data_centre)
        self.config = ConfigState("key", lambda _: None, clock, log, lambda _: None)
        incarnation = NodeIncarnation(own.node, own.incarnation)
        self.fleet = Fleet(settings, incarnation, clock, log, rng, lambda _: None)
        self.fleet.own = own
        self.fleet.own_load = lambda: Load(3, 0, 36, 200.0, 0.0, ())
        self.ranks = NodeRanks(self.fleet, clock, rng)
        requester = ConfigRequester(self.config, clock)
        self.receiver = StatusReceiver(self.fleet, self.rates, requester, clock)
        names = {f"o{number}": (RATE, RATE) for number in range(N_ORGANISATIONS)}
        self.rates.configure(names, clock.now_ms(), 0.0)
        self.receiver.set_organisations(list(names))
        self.exchange = StatusExchange(
            *(self.fleet, self.config, self.rates, self.receiver, self.ranks),
            *(clock, rng, log, lambda: 0.0, lambda: False),
        )

    def tick(self) -> None:
        self.rates.set_time(self.clock.now_ms())
        n_nodes = len(self.fleet.peers_by_id) + 1
        self.rates.set_fleet(n_nodes, self.fleet.data_centres)
        self.exchange.tick()

    def admit(self, organisation: str) -> None:
        self.rates.admit(organisation, lambda: Home.OTHER, self.clock.now_ms())


class Network:
    """Nodes that share a clock, and the datagrams between them."""

    def __init__(self, n_per_data_centre: int, n_data_centres: int) -> None:
        self.clock = ManualClock(1_000_000.0)
        self.rng = random.Random(7)
        self.loss = 0.02
        self.silent: set[str] = set()
        self.is_cut = lambda sender, receiver: False
        self.n_bytes: dict[str, int] = {}
        self.n_link_bytes = 0
        self._datagrams: list[tuple[float, int, str, str, bytes]] = []
        self._numbers = itertools.count()
        places = data_centres(n_data_centres)
        self.records = [
            record(number, places[number % n_data_centres])
            for number in range(n_per_data_centre * n_data_centres)
        ]
        self.by_host = {
            own.node: ModelNode(own, self.clock, number)
            for number, own in enumerate(self.records)
        }
        for node in self.by_host.values():
            node.exchange.connection_made(Transport(self, node))

    def introduce_all(self) -> None:
        """Let each node know all records, as after reading the member rows."""
        for node in self.by_host.values():
            for known in self.records:
                node.fleet.update_record(known)

    def run(self, seconds: float, requests_per_s: float = 0.0) -> None:
        end_ms = self.clock.now_ms() + seconds * 1_000.0
        nodes = list(self.by_host.values())
        while self.clock.now_ms() < end_ms:
            for node in nodes:
                if node.own.node in self.silent:
                    continue
                n_requests = requests_per_s * TICK_MS / 1_000.0
                while n_requests > self.rng.random():
                    node.admit(f"o{self.rng.randrange(N_ORGANISATIONS)}")
                    n_requests -= 1.0
                node.tick()
            self._advance()

    def _advance(self) -> None:
        next_ms = self.clock.now_ms() + TICK_MS
        while self._datagrams and self._datagrams[0][0] <= next_ms:
            at_ms, _, sender, receiver, data = heapq.heappop(self._datagrams)
            self.clock.advance(max(0.0, at_ms - self.clock.now_ms()))
            if receiver not in self.silent:
                self._count(receiver, data)
                node = self.by_host[receiver]
                node.exchange.datagram_received(data, (sender, 7_001))
        self.clock.advance(next_ms - self.clock.now_ms())

    def send(self, sender: ModelNode, receiver: str, data: bytes) -> None:
        self._count(sender.own.node, data)
        target = self.by_host[receiver].own
        is_far = target.region != sender.own.region
        self.n_link_bytes += len(data) if is_far else 0
        is_lost = self.rng.random() < self.loss
        if is_lost or self.is_cut(sender.own, target):
            return
        delay_ms = BETWEEN_REGIONS_MS if is_far else IN_REGION_MS
        at_ms = self.clock.now_ms() + delay_ms
        entry = (at_ms, next(self._numbers), sender.own.node, receiver, data)
        heapq.heappush(self._datagrams, entry)

    def _count(self, host: str, data: bytes) -> None:
        self.n_bytes[host] = self.n_bytes.get(host, 0) + len(data)

    @property
    def relays(self) -> set[str]:
        return {
            host
            for host, node in self.by_host.items()
            if node.ranks.relay_rank < N_RELAYS
        }

    def oldest_seen_ms(self, skipped: set[str] = frozenset()) -> float:
        """Return the age of the oldest sign of life that any node has of another."""
        return max(
            self.clock.now_ms() - (peer.last_seen_ms or 0.0)
            for host, node in self.by_host.items()
            for peer in node.fleet.peers_by_id.values()
            if not {host, peer.record.node} & skipped
        )

    def oldest_sum_ms(self, skipped: set[str] = frozenset()) -> float:
        """Return the age of the oldest sum that any node has of a data centre."""
        return max(
            node.rates.oldest_report_ms(self.clock.now_ms())
            for host, node in self.by_host.items()
            if host not in skipped
        )


class Transport:
    """Sends the datagrams of one node."""

    def __init__(self, network: Network, node: ModelNode) -> None:
        self._network = network
        self._node = node

    def sendto(self, data, address):
        self._network.send(self._node, address[0], data)
