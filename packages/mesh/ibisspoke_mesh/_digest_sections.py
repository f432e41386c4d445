"""Sections of digests, split so that each datagram fits a usual packet."""

from collections.abc import Iterator, Sequence
from itertools import zip_longest
from typing import Any, TypeVar

import msgspec

from ibisspoke_policy.shared_rate import Usage

from .peer import Peer
from .status_messages import NodeLoad, Section, pack_load, pack_pace, pack_usages

MAX_LOADS = 24  # per datagram, which fit the usual packet of 1,500 bytes
MAX_RECORDS = 4
MAX_USAGES = 80

_Entry = TypeVar("_Entry")


def split_section(section: Section, usages: Sequence[Usage]) -> list[Section]:
    """Return the section with the usages, in parts of limited size, at least one."""
    columns: tuple[list[list[Any]], ...] = (
        parts_of(section.loads, MAX_LOADS),
        parts_of(section.records, MAX_RECORDS),
        parts_of(section.lost, MAX_LOADS),
        parts_of(usages, MAX_USAGES),
    )
    rows = list(zip_longest(*columns, fillvalue=[])) or [([], [], [], [])]
    return [
        msgspec.structs.replace(
            section, loads=loads, records=records, lost=lost, usages=pack_usages(part)
        )
        for loads, records, lost, part in rows
    ]


def datagrams(sections: Sequence[Section]) -> Iterator[list[Section]]:
    """Yield the sections in groups that share a datagram."""
    pending: list[Section] = []
    size = 0.0
    for section in sections:
        section_size = _size(section)
        if pending and size + section_size > 1.0:
            yield pending
            pending, size = [], 0.0
        pending.append(section)
        size += section_size
    if pending:
        yield pending


def parts_of(entries: Sequence[_Entry], n: int) -> list[list[_Entry]]:
    """Return lists of at most ``n`` entries."""
    return [list(entries[start : start + n]) for start in range(0, len(entries), n)]


def node_load(peer: Peer, now_ms: float) -> NodeLoad:
    """Return what is known of the load of a node that was heard of."""
    assert peer.last_seen_ms is not None
    return NodeLoad(
        peer.record.node,
        peer.record.incarnation,
        max(0, int(now_ms - peer.last_seen_ms)) + 1,
        pack_load(peer.load),
        max(0, int(peer.cold_until_ms - peer.last_seen_ms)),
        peer.has_lost_store,
        vm_pace=pack_pace(peer.vm_pace.at(peer.last_seen_ms)),
    )


def _size(section: Section) -> float:
    """Return the approximate size as a fraction of a datagram."""
    n_usages = sum(len(entries) for _, entries in section.usages)
    return (
        (len(section.loads) + len(section.lost)) / MAX_LOADS
        + len(section.records) / MAX_RECORDS
        + n_usages / MAX_USAGES
    )
