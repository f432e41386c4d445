"""Tokens of this node: spend, draw ahead of need, and ask before refusing."""

import asyncio
import logging
from collections.abc import AsyncIterator, Collection
from contextlib import asynccontextmanager, suppress
from typing import Protocol

from result import Err, Result

from ibisspoke_policy.catalogue import Catalogue
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.local_tokens import GRANTED, LocalTokens
from ibisspoke_policy.quota import QuotaDecision
from ibisspoke_policy.quota_messages import DrawReply, DrawRequest, SlotId
from ibisspoke_policy.slot_directory import SlotAddress, SlotDirectory
from ibisspoke_policy.slot_lease import limits_of, slots_of

from .control import ControlError, ControlService, Method
from .slot_holder import SlotHolder
from .slot_store import new_nonce
from .supervise import running_loops

DRAW = Method("Draw", DrawRequest, DrawReply)
TICK_MS = 100.0
LEASE_STEP_MS = 1_000.0
NEAR_TIMEOUT_MS = 250.0
FAR_TIMEOUT_MS = 500.0
UNREACHABLE_MS = 1_000.0
CLOSE_ROUND_TRIP_MS = 10.0
MIN_LIFETIME_MS = 50.0
ROUND_TRIP_WEIGHT = 0.2
RELEASE_TIMEOUT_MS = 3_000.0

logger = logging.getLogger(__name__)


class ControlCaller(Protocol):
    """Send control messages to other nodes."""

    async def call(
        self,
        host: str,
        port: int,
        method: Method[DrawRequest, DrawReply],
        request: DrawRequest,
        timeout_ms: float,
    ) -> Result[DrawReply, ControlError]:
        """Send ``request`` and wait for its reply."""


class QuotaService:
    """Spend tokens of this node, and draw more from the holders of slots.

    :param holder: slots that this node holds itself.
    """

    def __init__(
        self, holder: SlotHolder, control: ControlCaller, clock: Clock
    ) -> None:
        self.holder = holder
        self._control = control
        self._clock = clock
        identity = holder.identity
        self._name = identity.node_id
        self._data_centre = identity.data_centre
        requester = f"{identity.node_id}-{new_nonce()}"
        self.tokens = LocalTokens(requester, clock, self)
        self._locks_by_slot: dict[SlotId, asyncio.Lock] = {}
        self._locks_by_organisation: dict[str, asyncio.Lock] = {}
        self._round_trip_by_data_centre: dict[str, float] = {}
        self._avoid_until_by_slot: dict[SlotId, float] = {}
        self._draws: set[asyncio.Task[None]] = set()
        self.n_messages = 0

    def __repr__(self) -> str:
        return f"QuotaService({self.tokens!r}, {self.holder!r})"

    @property
    def directory(self) -> SlotDirectory:
        """Where the holders answer."""
        return self.holder.directory

    def register(self, service: ControlService) -> None:
        """Serve draws from the slots of this node."""

        async def draw(request: DrawRequest) -> DrawReply:
            return self.holder.draw(request)

        service.register(DRAW, draw)

    def configure(self, catalogue: Catalogue) -> None:
        """Take in the limits and slots of the catalogue in force."""
        limits = limits_of(catalogue)
        self.tokens.configure(limits)
        self.holder.configure(limits, slots_of(catalogue))

    def take(self, organisation: str, now_ms: float) -> QuotaDecision:
        """Spend one token held in this process."""
        return self.tokens.take(organisation, now_ms)

    def draw_now(self, organisation: str) -> bool:
        """Draw from the slots of this node; return whether tokens came."""
        now_ms = self._clock.now_ms()
        before = self.tokens.tokens(organisation)
        self.tokens.wait(organisation, 1)
        for slot in self.holder.slots:
            if self.tokens.may_have(organisation, slot, now_ms):
                request = self.tokens.request(slot, [organisation], MIN_LIFETIME_MS)
                self.tokens.absorb(slot, self.holder.draw(request), now_ms)
        self.tokens.wait(organisation, -1)
        return self.tokens.tokens(organisation) > before

    async def acquire(self, organisation: str, deadline_ms: float) -> QuotaDecision:
        """Ask the holders of this data centre, then all others, for one token.

        Requests of one organisation share a round of questions.
        """
        self.tokens.wait(organisation, 1)
        try:
            granted = await self._ask_in_turn(organisation, deadline_ms)
        finally:
            self.tokens.wait(organisation, -1)
        self._give_back(organisation)
        if granted:
            return GRANTED
        wait_ms = self.tokens.refused_ms(organisation, self._clock.now_ms())
        return QuotaDecision(False, False, int(wait_ms) + 1)

    def tick(self) -> None:
        """Draw ahead of need and give surplus back."""
        now_ms = self._clock.now_ms()
        self.tokens.measure(now_ms)
        slots = self._slots_by_distance()
        able = [slot for slot in slots if self._may_ask(slot, now_ms)]
        for slot, organisations in self.tokens.plan(able, now_ms).items():
            if not self._lock(slot).locked():
                self._start_draw(slot, organisations)

    async def run(self) -> None:
        """Run ticks and lease steps, until cancelled."""
        step_ms = self._clock.now_ms()
        step: asyncio.Future[None] | None = None
        while True:
            self.tick()
            now_ms = self._clock.now_ms()
            if now_ms >= step_ms and (step is None or step.done()):
                step_ms = now_ms + LEASE_STEP_MS
                step = asyncio.ensure_future(self.lease_step())
            await asyncio.sleep(TICK_MS / 1000.0)

    async def lease_step(self) -> None:
        """Renew and take slots; a fault here must not end the service."""
        try:
            await self.holder.step()
        except Exception:
            logger.exception("lease step failed")

    def _give_back(self, organisation: str) -> None:
        for slot in self.tokens.surplus_slots(organisation):
            self._start_draw(slot, [organisation])

    def _start_draw(self, slot: SlotId, organisations: list[str]) -> None:
        draw = asyncio.ensure_future(self._draw_ahead(slot, organisations))
        self._draws.add(draw)
        draw.add_done_callback(self._draws.discard)

    async def _ask_in_turn(self, organisation: str, deadline_ms: float) -> bool:
        lock = self._lock_of_organisation(organisation)
        try:
            async with asyncio.timeout(self._remaining_s(deadline_ms)):
                async with lock:
                    if self.tokens.retake(organisation):
                        return True
                    now_ms = self._clock.now_ms()
                    if self.tokens.refused_ms(organisation, now_ms) > 0.0:
                        return False
                    return await self._ask_all(organisation, deadline_ms)
        except TimeoutError:
            return self.tokens.retake(organisation)

    async def _ask_all(self, organisation: str, deadline_ms: float) -> bool:
        slots = self._slots_by_distance()
        n_single = sum(self._is_close(slot) for slot in slots) + 1
        groups = [[slot] for slot in slots[:n_single]] + [slots[n_single:]]
        for group in groups:
            asks = [self._ask(slot, organisation, deadline_ms) for slot in group]
            await asyncio.gather(*asks)
            if self.tokens.retake(organisation):
                return True
        self.tokens.refuse(organisation, slots, self._clock.now_ms())
        return False

    def _slots_by_distance(self) -> list[SlotId]:
        slots = self.directory.preferred(self._data_centre, self._name)
        return sorted(slots, key=self._round_trip_ms)

    def _round_trip_ms(self, slot: SlotId) -> float:
        if slot.data_centre == self._data_centre:
            return 0.0
        known = self._round_trip_by_data_centre.get(slot.data_centre)
        return CLOSE_ROUND_TRIP_MS if known is None else known

    def _is_close(self, slot: SlotId) -> bool:
        return self._round_trip_ms(slot) < CLOSE_ROUND_TRIP_MS

    async def _ask(self, slot: SlotId, organisation: str, deadline_ms: float) -> None:
        now_ms = self._clock.now_ms()
        if not self._may_ask(slot, now_ms):
            return
        if not self.tokens.may_have(organisation, slot, now_ms):
            return
        async with self._lock(slot):
            remaining_ms = deadline_ms - self._clock.now_ms()
            if remaining_ms > 0.0:
                await self._draw(slot, [organisation], remaining_ms)

    async def _draw_ahead(self, slot: SlotId, organisations: list[str]) -> None:
        async with self._lock(slot):
            await self._draw(slot, organisations, FAR_TIMEOUT_MS)

    async def _draw(
        self, slot: SlotId, organisations: Collection[str], within_ms: float
    ) -> None:
        address = self.directory.get(slot)
        if address is None:
            return
        lifetime_ms = MIN_LIFETIME_MS + 2.0 * self._round_trip_ms(slot)
        request = self.tokens.request(slot, organisations, lifetime_ms)
        reply = await self._send(address, request, within_ms)
        now_ms = self._clock.now_ms()
        if reply is None or not reply.accepted:
            self._avoid_until_by_slot[slot] = now_ms + UNREACHABLE_MS
            return
        self.tokens.absorb(slot, reply, now_ms)

    async def _send(
        self, address: SlotAddress, request: DrawRequest, within_ms: float
    ) -> DrawReply | None:
        if request.slot in self.holder.slots:
            return self.holder.draw(request)
        near = request.slot.data_centre == self._data_centre
        timeout_ms = min(within_ms, NEAR_TIMEOUT_MS if near else FAR_TIMEOUT_MS)
        self.n_messages += 1
        sent_ms = self._clock.now_ms()
        result = await self._control.call(
            address.host, address.control_port, DRAW, request, timeout_ms
        )
        if isinstance(result, Err):
            return None
        self._note_round_trip(request.slot, self._clock.now_ms() - sent_ms)
        return result.ok_value

    def _note_round_trip(self, slot: SlotId, round_trip_ms: float) -> None:
        known = self._round_trip_by_data_centre.get(slot.data_centre, round_trip_ms)
        smoothed = known + ROUND_TRIP_WEIGHT * (round_trip_ms - known)
        self._round_trip_by_data_centre[slot.data_centre] = smoothed

    def _may_ask(self, slot: SlotId, now_ms: float) -> bool:
        return self._avoid_until_by_slot.get(slot, 0.0) <= now_ms

    def _remaining_s(self, deadline_ms: float) -> float:
        return max(0.0, deadline_ms - self._clock.now_ms()) / 1000.0

    def _lock_of_organisation(self, organisation: str) -> asyncio.Lock:
        lock = self._locks_by_organisation.get(organisation)
        if lock is None:
            lock = self._locks_by_organisation[organisation] = asyncio.Lock()
        return lock

    def _lock(self, slot: SlotId) -> asyncio.Lock:
        lock = self._locks_by_slot.get(slot)
        if lock is None:
            lock = self._locks_by_slot[slot] = asyncio.Lock()
        return lock


@asynccontextmanager
async def running_quota(service: QuotaService) -> AsyncIterator[QuotaService]:
    """Run ticks and leases while the context is open; hand slots back at the end."""
    try:
        async with running_loops(service.run):
            yield service
    finally:
        with suppress(TimeoutError):
            async with asyncio.timeout(RELEASE_TIMEOUT_MS / 1000.0):
                await service.holder.release()
