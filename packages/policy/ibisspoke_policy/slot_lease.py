"""Leases of quota slots: how long a holder may grant, and when another may take over.

A holder measures its lease by a clock that includes suspension, from before it sent the
renewal. A node that waits for a lease to expire uses monotonic time, from after it read
the row. Both err on the safe side: the holder stops early, the other node waits longer.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from .catalogue import Catalogue
from .quota_messages import Limit, SlotId

ROW_PREFIX = "quota/slot/"
LEASE_MS = 4 * 3_600_000.0
LEASE_MARGIN_MS = 60_000.0
# Further delay before a takeover for each node that the slot prefers.
TAKEOVER_DELAY_MS = 20_000.0
MAX_TAKEOVER_RANK = 2
OPEN_CALL_PREFIX = "open:"


class SlotRow(NamedTuple):
    """The holder of a slot, as stored in the table; rows are never deleted.

    :param holder: control address ``host:port``; empty if the slot is free.
    :param term: incremented with each write.
    :param holder_term: term in which the holder changed.
    :param nonce: unique for each write, to recognise a write whose answer was lost.
    :param weight: share of every rate; the sum over all rows never exceeds 1.
    :param levels: tokens left by the last holder, by organisation.
    :param full: whether no holder has used the slot yet.
    """

    slot: SlotId
    holder: str
    term: int
    holder_term: int
    nonce: str
    lease_ms: float
    weight: float
    levels: dict[str, float]
    full: bool

    @property
    def key(self) -> str:
        """Key of the row in the table."""
        return row_key(self.slot)


class HeldSlot(NamedTuple):
    """A lease that this process has written.

    :param version: version of the row in the table.
    :param sent_elapsed_ms: elapsed time before the write was sent.
    """

    row: SlotRow
    version: int
    sent_elapsed_ms: float

    def is_valid_for(self, elapsed_ms: float, duration_ms: float) -> bool:
        """Return whether the lease is valid for the next ``duration_ms``."""
        ends_ms = self.sent_elapsed_ms + self.row.lease_ms - LEASE_MARGIN_MS
        return elapsed_ms + duration_ms < ends_ms


class SeenRow(NamedTuple):
    """A row as read, and when this version was first seen."""

    row: SlotRow
    version: int
    first_seen_ms: float


class LeaseWatch:
    """Record when each row was first seen in its present version."""

    def __init__(self) -> None:
        self.rows_by_slot: dict[SlotId, SeenRow] = {}

    def __repr__(self) -> str:
        return f"LeaseWatch({len(self.rows_by_slot)} slots)"

    def observe(self, row: SlotRow, version: int, now_ms: float) -> None:
        """Record a row that was read before ``now_ms``."""
        seen = self.rows_by_slot.get(row.slot)
        if seen is None or seen.row.term < row.term:
            self.rows_by_slot[row.slot] = SeenRow(row, version, now_ms)

    def may_take_over(
        self, slot: SlotId, address: str, rank: int, now_ms: float
    ) -> bool:
        """Return whether the node at ``address`` may take over ``slot``.

        :param rank: number of nodes that are preferred to it for the slot.
        """
        seen = self.rows_by_slot.get(slot)
        if seen is None or rank > MAX_TAKEOVER_RANK:
            return False
        if seen.row.holder == address:
            return True
        unchanged_ms = now_ms - seen.first_seen_ms
        delay_ms = rank * TAKEOVER_DELAY_MS
        if not seen.row.holder:
            return unchanged_ms >= delay_ms
        return unchanged_ms >= seen.row.lease_ms + delay_ms

    def weight_of_others(self, slot: SlotId) -> float:
        """Return the sum of the weights of all rows except that of ``slot``."""
        return sum(
            seen.row.weight
            for other, seen in self.rows_by_slot.items()
            if other != slot
        )


def row_key(slot: SlotId) -> str:
    """Return the key of the row of ``slot``."""
    return f"{ROW_PREFIX}{slot.data_centre}/{slot.number}"


def encode_row(row: SlotRow) -> bytes:
    """Encode ``row`` for the table."""
    return msgspec.json.encode(row)


def decode_row(data: bytes) -> SlotRow:
    """Decode a row from the table.

    :raises msgspec.DecodeError: if ``data`` is not a row.
    """
    return msgspec.json.decode(data, type=SlotRow)


def slots_of(catalogue: Catalogue) -> list[SlotId]:
    """Return the slots defined by ``catalogue``, in order."""
    return [
        SlotId(data_centre, number)
        for data_centre, n_slots in sorted(catalogue.n_slots_by_data_centre.items())
        for number in range(n_slots)
    ]


def limits_of(catalogue: Catalogue) -> dict[str, Limit]:
    """Return the limits of organisations and open calls by quota name."""
    limits = {
        organisation.id: Limit(organisation.rate_per_s, organisation.burst)
        for organisation in catalogue.organisations_by_id.values()
    }
    for call in catalogue.calls_by_id.values():
        if call.is_open:
            name = open_call_name(call.id)
            limits[name] = Limit(call.open_rate_per_s, call.open_burst)
    return limits


def open_call_name(call_id: str) -> str:
    """Return the quota name of an open call."""
    return OPEN_CALL_PREFIX + call_id


def initial_rows(slots: Iterable[SlotId], nonce: str) -> list[SlotRow]:
    """Return free rows of equal weight for a fleet without rows."""
    slots = list(slots)
    return [
        SlotRow(slot, "", 1, 1, nonce, LEASE_MS, 1.0 / len(slots), {}, True)
        for slot in slots
    ]


def next_weight(present: float, target: float, others: float) -> float:
    """Return the weight that a holder may write.

    :param present: current weight in the row.
    :param target: share that the catalogue specifies.
    :param others: sum of the weights of all other rows.
    """
    if target <= present:
        return target
    available = max(0.0, 1.0 - others)
    return max(present, min(target, available))


def target_weight(slot: SlotId, slots: Iterable[SlotId]) -> float:
    """Return the share of ``slot`` if ``slots`` split every rate equally."""
    slots = list(slots)
    return 1.0 / len(slots) if slot in slots else 0.0
