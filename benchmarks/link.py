"""Compare fixed shares of the link between regions with grants on demand.

Nodes of one region send bodies to the other on a manual clock. Grant messages are
counted, but use no bandwidth. A few nodes always have large bodies to send, some have
small ones, the others none. The last line of the output is one JSON object.
"""

import argparse
import json
import random
from typing import NamedTuple

from ibisspoke_policy.link_budget import (
    CALL_SHARE,
    LINK_BYTES_PER_S,
    LinkBudget,
    LinkTraffic,
)
from ibisspoke_policy.link_grants import LinkGranter, LinkGrantRequest

LARGE_BYTES = 8_388_608
MEDIUM_BYTES = 65_536
SMALL_BYTES = 2_048
BATCH_BYTES = 32_768
STEP_MS = 20.0
WARM_UP_MS = 10_000.0
N_LARGE = 2
N_MEDIUM = 4
N_SMALL = 4
REGION_SIZES = (16, 256, 3_300)


class Figures(NamedTuple):
    """Figures of one sharing method.

    :param link_share: bytes sent relative to the bandwidth available to calls.
    :param worst_medium_share: bytes sent by the slowest node with medium bodies,
        relative to an equal share among the nodes with large and medium bodies.
    :param large_wait_s: mean time that an 8 MB body waited to be sent; bodies still
        waiting count with their wait so far.
    :param n_large_sent: number of 8 MB bodies sent.
    :param small_refused: share of small bodies refused for lack of budget.
    """

    link_share: float
    worst_medium_share: float
    large_wait_s: float
    n_large_sent: int
    small_refused: float
    messages_per_mb: float


class _Node:
    """A node that sends bodies of one size.

    :param gap_ms: time between bodies; 0 if the next one is due at once.
    """

    def __init__(
        self, id: str, budget: LinkBudget, n_bytes: int, gap_ms: float
    ) -> None:
        self.id = id
        self.budget = budget
        self.n_bytes = n_bytes
        self.gap_ms = gap_ms
        self.due_ms = 0.0
        self.retry_at_ms = 0.0
        self.n_sent = 0
        self.n_refused = 0
        self.n_messages = 0
        self.waits_ms: list[float] = []
        self.granter: LinkGranter | None = None

    def request_grant(self, now_ms: float) -> None:
        """Request a grant for the next body, with a batch in advance for small ones."""
        if self.granter is None or self.retry_at_ms > now_ms:
            return
        is_large = self.n_bytes > SMALL_BYTES
        n_wanted_bytes = self.budget.shortfall(self.n_bytes, now_ms)
        n_wanted_bytes += 0 if is_large else BATCH_BYTES
        grant = self.granter.grant(
            LinkGrantRequest(self.id, n_wanted_bytes, is_large), now_ms
        )
        self.n_messages += 2
        self.retry_at_ms = now_ms + grant.retry_after_ms
        until_ms = now_ms + grant.lifetime_ms
        self.budget.add_grant(grant.n_bytes, until_ms, now_ms)

    def send_due_bodies(self, now_ms: float) -> None:
        """Send the bodies that are due and within the budget."""
        while self.due_ms <= now_ms:
            if not self.budget.allows(self.n_bytes, now_ms):
                self.request_grant(now_ms)
            if not self.budget.allows(self.n_bytes, now_ms):
                self.n_refused += 1
                if self.gap_ms:
                    self.due_ms += self.gap_ms
                return
            self.budget.spend(LinkTraffic.CALLS, self.n_bytes, now_ms)
            self.n_sent += 1
            self.waits_ms.append(now_ms - self.due_ms)
            self.due_ms = self.due_ms + self.gap_ms if self.gap_ms else now_ms


def _nodes(n_nodes: int, granter: LinkGranter | None, seed: int) -> list[_Node]:
    rng = random.Random(seed)
    kinds = [(LARGE_BYTES, 0.0)] * N_LARGE
    kinds += [(MEDIUM_BYTES, 0.0)] * N_MEDIUM
    kinds += [(SMALL_BYTES, 40.0)] * N_SMALL
    nodes = []
    for i, (n_bytes, gap_ms) in enumerate(kinds):
        node = _Node(f"n{i}", LinkBudget(n_nodes, 0.0), n_bytes, gap_ms)
        node.due_ms = rng.uniform(0.0, STEP_MS)
        if granter is not None:
            node.granter = granter
            node.budget.use_grants(_defer_to_next_step, 0.0)
        nodes.append(node)
    return nodes


def _defer_to_next_step() -> None:
    """Request no grant during a budget check; the next step does so."""


def _mean_wait_s(nodes: list[_Node], now_ms: float) -> float:
    waits_ms = [wait for node in nodes for wait in node.waits_ms]
    waits_ms += [now_ms - node.due_ms for node in nodes]
    return sum(waits_ms) / len(waits_ms) / 1000.0


def measure(n_nodes: int, with_grants: bool, duration_ms: float, seed: int) -> Figures:
    """Return the figures of one sharing method after a warm-up."""
    granter = LinkGranter(0.0) if with_grants else None
    nodes = _nodes(n_nodes, granter, seed)
    now_ms = 0.0
    while now_ms < WARM_UP_MS:
        now_ms += STEP_MS
        for node in nodes:
            node.send_due_bodies(now_ms)
    for node in nodes:
        node.n_sent = node.n_refused = node.n_messages = 0
        node.waits_ms.clear()
    while now_ms < WARM_UP_MS + duration_ms:
        now_ms += STEP_MS
        for node in nodes:
            node.send_due_bodies(now_ms)
    return _figures(nodes, now_ms, duration_ms)


def _figures(nodes: list[_Node], now_ms: float, duration_ms: float) -> Figures:
    large = nodes[:N_LARGE]
    medium = nodes[N_LARGE : N_LARGE + N_MEDIUM]
    small = nodes[N_LARGE + N_MEDIUM :]
    n_bytes = sum(node.n_sent * node.n_bytes for node in nodes)
    capacity_bytes = LINK_BYTES_PER_S * CALL_SHARE * duration_ms / 1000.0
    fair_bytes = capacity_bytes / (N_LARGE + N_MEDIUM)
    n_small = sum(node.n_sent + node.n_refused for node in small)
    n_messages = sum(node.n_messages for node in nodes)
    return Figures(
        link_share=round(n_bytes / capacity_bytes, 4),
        worst_medium_share=round(
            min(node.n_sent * node.n_bytes for node in medium) / fair_bytes, 4
        ),
        large_wait_s=round(_mean_wait_s(large, now_ms), 2),
        n_large_sent=sum(node.n_sent for node in large),
        small_refused=round(sum(node.n_refused for node in small) / n_small, 4),
        messages_per_mb=round(n_messages / max(1.0, n_bytes / 1e6), 2),
    )


def second_large_s(n_nodes: int, with_grants: bool) -> float:
    """Return the time until the only sending node may send its second 8 MB body."""
    node = _Node("n0", LinkBudget(n_nodes, 0.0), LARGE_BYTES, 0.0)
    if not with_grants:
        node.send_due_bodies(0.0)
        return round(node.budget.wait_ms(LARGE_BYTES, 0.0) / 1000.0, 1)
    node.granter = LinkGranter(0.0)
    node.budget.use_grants(_defer_to_next_step, 0.0)
    now_ms = 0.0
    while node.n_sent < 2:
        now_ms += STEP_MS
        node.send_due_bodies(now_ms)
    return round(now_ms / 1000.0, 1)


def main() -> None:
    """Run both methods for each region size and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="two minutes, not ten")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    duration_ms = 120_000.0 if arguments.quick else 600_000.0
    by_n_nodes: dict[str, dict[str, dict[str, float]]] = {}
    for n_nodes in REGION_SIZES:
        by_method = by_n_nodes[str(n_nodes)] = {}
        for name, with_grants in (("fixed", False), ("grants", True)):
            figures = measure(n_nodes, with_grants, duration_ms, arguments.seed)
            second_s = second_large_s(n_nodes, with_grants)
            by_method[name] = {**figures._asdict(), "second_large_s": second_s}
            print(f"{n_nodes:>6} nodes, {name:<6} {figures}, {second_s=}")
    print(json.dumps({"benchmark": "link", "by_nodes": by_n_nodes}))


if __name__ == "__main__":
    main()
