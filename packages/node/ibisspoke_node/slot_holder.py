"""Holds quota slots under leases in the platform's table, and grants their tokens."""

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from result import Ok

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.quota_messages import (
    MAX_LIFETIME_MS,
    DrawReply,
    DrawRequest,
    Limit,
    SlotId,
    refused_draw,
)
from ibisspoke_policy.rendezvous import rank_of
from ibisspoke_policy.slot_directory import SlotAddress, SlotDirectory
from ibisspoke_policy.slot_lease import (
    LEASE_MS,
    MAX_TAKEOVER_RANK,
    HeldSlot,
    LeaseWatch,
    SeenRow,
    SlotRow,
    initial_rows,
    next_weight,
    target_weight,
)
from ibisspoke_policy.slot_ledger import MAX_GRANT_EXPIRY_MS, SlotLedger
from ibisspoke_storage.store import Check

from .slot_store import SlotStore, StoredRow, new_nonce

RENEW_INTERVAL_MS = 300_000.0
SCAN_INTERVAL_MS = 30_000.0
RELEASE_RETRY_MS = 200.0
MIN_WEIGHT_CHANGE = 1e-12

logger = logging.getLogger(__name__)


class HolderIdentity(NamedTuple):
    """This node as a holder of slots."""

    node_id: str
    data_centre: str
    host: str
    control_port: int

    @property
    def address(self) -> str:
        """Control address; unique, because only one process can bind it."""
        return f"{self.host}:{self.control_port}"


class _Holding:
    """A slot that this node holds, and its token ledger."""

    def __init__(self, held: HeldSlot, ledger: SlotLedger) -> None:
        self.held = held
        self.ledger = ledger


class SlotHolder:
    """Acquire, renew and release slots, and grant draws from them.

    :param node_ids: returns the live nodes of this data centre; the collection is
        the same object until they change.
    """

    def __init__(
        self,
        identity: HolderIdentity,
        clock: Clock,
        store: SlotStore,
        directory: SlotDirectory,
        node_ids: Callable[[], Iterable[str]],
    ) -> None:
        self.identity = identity
        self.directory = directory
        self._clock = clock
        self._store = store
        self._node_ids = node_ids
        self._watch = LeaseWatch()
        self._holdings_by_slot: dict[SlotId, _Holding] = {}
        self._limits: Mapping[str, Limit] = {}
        self._slots: list[SlotId] = []
        self._next_scan_ms = clock.now_ms()
        self._stopping = False
        self._ranked_ids: Iterable[str] | None = None
        self._rank_by_slot: dict[SlotId, int] = {}

    def __repr__(self) -> str:
        return f"SlotHolder({[str(slot) for slot in self._holdings_by_slot]})"

    @property
    def slots(self) -> list[SlotId]:
        """The slots that this node holds."""
        return list(self._holdings_by_slot)

    def configure(self, limits: Mapping[str, Limit], slots: list[SlotId]) -> None:
        """Apply the limits and slots of the catalogue in force."""
        if slots != self._slots:
            self.scan_soon()
        self._limits = limits
        self._slots = slots
        for holding in self._holdings_by_slot.values():
            self._configure(holding, holding.held.row.weight)

    def draw(self, request: DrawRequest) -> DrawReply:
        """Grant tokens if the lease lasts longer than their maximum lifetime."""
        holding = self._holdings_by_slot.get(request.slot)
        if holding is None:
            return refused_draw(request)
        if not holding.held.is_valid_for(self._clock.elapsed_ms(), MAX_LIFETIME_MS):
            return refused_draw(request)
        return holding.ledger.draw(request, self._clock.now_ms())

    def scan_soon(self) -> None:
        """Scan the slot rows at the next step."""
        self._next_scan_ms = self._clock.now_ms()

    async def step(self) -> None:
        """Renew the leases that are due, and acquire free slots."""
        if self._stopping or not self._slots or not self._store.ready:
            return
        for slot in self.slots:
            if slot not in self._slots:
                await self._retire(slot)
            elif self._renewal_due(slot):
                await self._renew(self._holdings_by_slot[slot])
        due = self._clock.now_ms() >= self._next_scan_ms and self._is_candidate()
        if due or self._has_preferred_free_slot():
            await self._scan_slots()

    async def release(self) -> None:
        """Release every slot with its remaining tokens; retry until cancelled."""
        self._stopping = True
        for holding in list(self._holdings_by_slot.values()):
            is_released = False
            while not is_released:
                is_released = await self._release_slot(holding, holding.held.row.weight)
                await asyncio.sleep(0.0 if is_released else RELEASE_RETRY_MS / 1000.0)

    def _is_candidate(self) -> bool:
        if self._holdings_by_slot:
            return True
        own = self.identity.data_centre
        return any(
            slot.data_centre == own and self._rank(slot) <= MAX_TAKEOVER_RANK
            for slot in self._slots
        )

    def _has_preferred_free_slot(self) -> bool:
        """Return whether a free slot exists for which this node ranks first."""
        return any(
            self.directory.is_free(slot) and not self._rank(slot)
            for slot in self._slots
            if slot.data_centre == self.identity.data_centre
        )

    def _rank(self, slot: SlotId) -> int:
        """Return the rank of this node for a slot, cached until the nodes change."""
        node_ids = self._node_ids()
        if node_ids is not self._ranked_ids:
            self._ranked_ids = node_ids
            self._rank_by_slot.clear()
        rank = self._rank_by_slot.get(slot)
        if rank is None:
            own = self.identity.node_id
            rank = rank_of(str(slot), own, set(node_ids) | {own})
            self._rank_by_slot[slot] = rank
        return rank

    def _renewal_due(self, slot: SlotId) -> bool:
        held = self._holdings_by_slot[slot].held
        return self._clock.elapsed_ms() - held.sent_elapsed_ms >= RENEW_INTERVAL_MS

    async def _renew(self, holding: _Holding) -> None:
        held = holding.held
        row = self._next_row(held.row, held.row.weight)
        await self._rewrite(holding, row, [Check(row.key, held.version)])

    async def _rewrite(
        self, holding: _Holding, row: SlotRow, checks: list[Check]
    ) -> None:
        sent_elapsed_ms = self._clock.elapsed_ms()
        written = await self._store.write(row, checks)
        if isinstance(written, Ok):
            self._set_held(holding, HeldSlot(row, written.ok_value, sent_elapsed_ms))
        elif written.err_value is not None:
            self._observe(written.err_value)

    async def _retire(self, slot: SlotId) -> None:
        """Release a slot that left the catalogue, once its grants have expired."""
        holding = self._holdings_by_slot[slot]
        self._configure(holding, 0.0)
        await asyncio.sleep(MAX_GRANT_EXPIRY_MS / 1000.0)
        await self._release_slot(holding, 0.0)

    async def _release_slot(self, holding: _Holding, weight: float) -> bool:
        held = holding.held
        self._holdings_by_slot.pop(held.row.slot, None)
        levels = holding.ledger.levels(self._clock.now_ms())
        row = self._next_row(held.row, weight)._replace(
            holder="", holder_term=held.row.term + 1, levels=levels
        )
        written = await self._store.write(row, [Check(row.key, held.version)])
        if isinstance(written, Ok):
            self._publish(row)
            return True
        found = written.err_value
        return found is not None and found.row.holder != self.identity.address

    async def _scan_slots(self) -> None:
        self._next_scan_ms = self._clock.now_ms() + self._store.jittered_ms(
            SCAN_INTERVAL_MS
        )
        stored = await self._store.scan()
        if stored is None:
            return
        for row in stored:
            self._observe(row)
        if not stored:
            await self._store.create(initial_rows(self._slots, new_nonce()))
            self.scan_soon()
            return
        await self._create_missing_rows()
        for seen in list(self._watch.rows_by_slot.values()):
            if seen.row.slot in self._holdings_by_slot:
                await self._adjust_weight(seen)
            elif self._may_acquire(seen.row.slot):
                await self._acquire(seen)

    def _observe(self, stored: StoredRow) -> None:
        row = stored.row
        self._watch.observe(row, stored.version, self._clock.now_ms())
        self._publish(row)
        holding = self._holdings_by_slot.get(row.slot)
        if holding is None:
            return
        if row.holder != self.identity.address:
            logger.warning("quota slot lost", extra={"slot": str(row.slot)})
            del self._holdings_by_slot[row.slot]
        elif row.term > holding.held.row.term:
            # A renewal whose reply was lost; its lease counts from the previous one.
            self._set_held(
                holding, holding.held._replace(row=row, version=stored.version)
            )

    def _may_acquire(self, slot: SlotId) -> bool:
        is_local = slot.data_centre == self.identity.data_centre
        if not is_local and slot in self._slots:
            return False
        now_ms = self._clock.now_ms()
        address = self.identity.address
        return self._watch.may_take_over(slot, address, self._rank(slot), now_ms)

    async def _create_missing_rows(self) -> None:
        for slot in self._slots:
            is_local = slot.data_centre == self.identity.data_centre
            if (
                is_local
                and slot not in self._watch.rows_by_slot
                and not self._rank(slot)
            ):
                row = SlotRow(slot, "", 1, 1, new_nonce(), LEASE_MS, 0.0, {}, False)
                await self._store.create([row])
                self.scan_soon()

    async def _acquire(self, seen: SeenRow) -> None:
        row = seen.row
        if row.slot not in self._slots:
            await self._clear_removed(seen)
            return
        weight = self._weight_for(row)
        acquired = self._next_row(row, weight)._replace(full=False)
        sent_elapsed_ms = self._clock.elapsed_ms()
        written = await self._store.write(acquired, self._weight_checks(seen, weight))
        if not isinstance(written, Ok):
            self.scan_soon()
            return
        quiet_ms = 0.0 if row.full else MAX_GRANT_EXPIRY_MS
        now_ms = self._clock.now_ms()
        ledger = SlotLedger(row.slot, now_ms, quiet_ms, row.levels, row.full)
        held = HeldSlot(acquired, written.ok_value, sent_elapsed_ms)
        holding = self._holdings_by_slot[row.slot] = _Holding(held, ledger)
        self._set_held(holding, held)
        logger.info("quota slot acquired", extra={"slot": str(row.slot)})

    async def _clear_removed(self, seen: SeenRow) -> None:
        """Set the weight of a slot that left the catalogue to 0."""
        if seen.row.weight > 0.0:
            row = self._next_row(seen.row, 0.0)._replace(holder="", full=False)
            await self._store.write(row, [Check(row.key, seen.version)])

    async def _adjust_weight(self, seen: SeenRow) -> None:
        holding = self._holdings_by_slot[seen.row.slot]
        weight = self._weight_for(seen.row)
        if abs(weight - seen.row.weight) < MIN_WEIGHT_CHANGE:
            return
        if weight < seen.row.weight:
            # Others may use the freed weight once it is written, so wait until the
            # tokens granted under the old weight have expired.
            self._configure(holding, weight)
            await asyncio.sleep(MAX_GRANT_EXPIRY_MS / 1000.0)
        row = self._next_row(seen.row, weight)
        await self._rewrite(holding, row, self._weight_checks(seen, weight))
        self.scan_soon()

    def _weight_for(self, row: SlotRow) -> float:
        target = target_weight(row.slot, self._slots)
        others = self._watch.weight_of_others(row.slot)
        return next_weight(row.weight, target, others)

    def _weight_checks(self, seen: SeenRow, weight: float) -> list[Check]:
        if weight <= seen.row.weight:
            return [Check(seen.row.key, seen.version)]
        rows = self._watch.rows_by_slot.values()
        return [Check(other.row.key, other.version) for other in rows]

    def _next_row(self, row: SlotRow, weight: float) -> SlotRow:
        renewed = row.holder == self.identity.address
        return row._replace(
            holder=self.identity.address,
            term=row.term + 1,
            holder_term=row.holder_term if renewed else row.term + 1,
            nonce=new_nonce(),
            lease_ms=LEASE_MS,
            weight=weight,
            levels={},
        )

    def _set_held(self, holding: _Holding, held: HeldSlot) -> None:
        holding.held = held
        self._configure(holding, held.row.weight)
        self._watch.observe(held.row, held.version, self._clock.now_ms())
        self._publish(held.row)

    def _configure(self, holding: _Holding, weight: float) -> None:
        holding.ledger.configure(self._limits, weight, self._clock.now_ms())

    def _publish(self, row: SlotRow) -> None:
        host, _, port = row.holder.rpartition(":")
        address = SlotAddress(row.slot, row.holder_term, host, int(port or 0))
        self.directory.merge([address])
