"""Processor time and memory of one node that knows a fleet of 6,600 nodes."""

import random
import time
import tracemalloc
from typing import Any

import msgspec

from ibisspoke_policy.member import Member, MemberState, MemberTable
from ibisspoke_policy.membership import Membership
from ibisspoke_policy.membership_messages import MembershipMessage, MessageKind

N_NODES = 6_600
N_SERVICES = 370
DATA_CENTRES = ("north-1", "north-2", "north-3", "south-1", "south-2")
SIMULATED_S = 60
TICKS_PER_S = 10


def _member_row(i: int) -> Member:
    data_centre = DATA_CENTRES[i % len(DATA_CENTRES)]
    return Member(
        f"vm-{data_centre}-{i:05}",
        1_800_000_000_000 + i,
        data_centre.split("-")[0],
        data_centre,
        f"10.{i // 65_536}.{i // 256 % 256}.{i % 256}",
        7_101,
        7_102,
        7_100,
        f"service-{i % N_SERVICES}",
        50,
        False,
        MemberState.ALIVE,
        1,
        7_103,
    )


def measure_size() -> dict[str, Any]:
    """Return the cost of ticks, heartbeats and changes at the full fleet size."""
    rows = msgspec.msgpack.decode(
        msgspec.msgpack.encode([_member_row(i) for i in range(N_NODES)]),
        type=list[Member],
    )
    members: MemberTable = MemberTable("members")
    tracemalloc.start()
    started_s = time.process_time()
    membership = Membership(rows[0], members, random.Random(1), 0.0)
    membership.merge(rows, 0.0)
    load_s = time.process_time() - started_s
    n_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    tick_percent = _measure_ticks(membership)
    change_us = _measure_changes(membership, rows)
    encoded = msgspec.msgpack.encode(rows)
    return {
        "load_view_s": round(load_s, 3),
        "view_mb": round(n_bytes / 1e6, 2),
        "row_bytes": round(len(encoded) / N_NODES, 1),
        "quiet_cpu_percent": round(tick_percent, 4),
        "change_us": round(change_us, 1),
    }


def _measure_ticks(membership: Membership) -> float:
    """Return the percentage of a core used by ticks and heartbeats of watched nodes."""
    own = membership.own
    ring = membership.view.ring(own.data_centre)
    watched = [membership.view.members[id] for id in ring.successors(own.id, 3)]
    digest = membership.view.digest.total
    started_s = time.process_time()
    for tick in range(SIMULATED_S * TICKS_PER_S):
        now_ms = tick * 1000.0 / TICKS_PER_S
        if tick % (TICKS_PER_S // 2) == 0:
            for row in watched:
                heartbeat = MembershipMessage(
                    MessageKind.HEARTBEAT, row.id, row.incarnation, tick + 1, digest
                )
                membership.receive(heartbeat, now_ms)
        membership.tick(now_ms)
    return (time.process_time() - started_s) / SIMULATED_S * 100.0


def _measure_changes(membership: Membership, rows: list[Member]) -> float:
    """Return the processor time in microseconds to merge one changed row."""
    changed = [row._replace(incarnation=row.incarnation + 10**6) for row in rows[1:501]]
    started_s = time.process_time()
    for row in changed:
        membership.merge([row], 60_000.0)
    return (time.process_time() - started_s) / len(changed) * 1e6
