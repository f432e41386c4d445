"""Rate tokens of this node.

They are drawn from the holders of quota slots ahead of demand. A request that finds no
token is refused only after the holders have been asked.
"""

import asyncio
import logging
from collections.abc import AsyncIterator, Collection
from contextlib import asynccontextmanager, suppress
from typing import NamedTuple, Protocol

from result import Err, Result

from ibisspoke_policy.catalogue import Catalogue
from ibisspoke_policy.clock import Clock
from ibisspoke_policy.local_account import SlotDistance
from ibisspoke_policy.local_tokens import GRANTED, LocalTokens
from ibisspoke_policy.quota import QuotaDecision
from ibisspoke_policy.quota_messages import DrawReply, DrawRequest, SlotId
from ibisspoke_policy.slot_directory import SlotAddress, SlotDirectory
from ibisspoke_policy.slot_lease import limits_of, slots_of

from .control import ControlError, ControlService, Method
from .slot_holder import SlotHolder
from .slot_store import new_nonce
from .supervise import running_loops
from .token_queue import TokenQueue

DRAW = Method("Draw", DrawRequest, DrawReply)
TICK_MS = 100.0
LEASE_STEP_INTERVAL_MS = 1_000.0
NEAR_TIMEOUT_MS = 250.0
FAR_TIMEOUT_MS = 500.0
UNREACHABLE_RETRY_MS = 1_000.0
DEFAULT_ROUND_TRIP_MS = 10.0  # until one to that data centre has been measured
FULL_BURST_ROUND_TRIP_MS = 50.0  # outweighs the whole burst of a slot
N_SEQUENTIAL_DRAWS = 2
MAX_ROUND_WAIT_MS = 25.0
MIN_LIFETIME_MS = 50.0
ROUND_TRIP_SMOOTHING = 0.2  # weight of the latest round trip in the moving average
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


class _Batch(NamedTuple):
    """Organisations for which the next message to a slot draws tokens."""

    organisations: set[str]
    task: asyncio.Task[None]


class QuotaService:
    """Spend tokens of this node, and draw more from the holders of slots.

    :param holder: the slots that this node itself holds.
    """

    def __init__(
        self, holder: SlotHolder, control: ControlCaller, clock: Clock
    ) -> None:
        self.holder = holder
        self._control = control
        self._clock = clock
        identity = holder.identity
        self._node_id = identity.node_id
        self._data_centre = identity.data_centre
        requester = f"{identity.node_id}-{new_nonce()}"
        self.tokens = LocalTokens(requester, clock, self)
        self._locks_by_slot: dict[SlotId, asyncio.Lock] = {}
        self._queues_by_organisation: dict[str, TokenQueue] = {}
        self._round_trip_by_data_centre: dict[str, float] = {}
        self._avoid_until_by_slot: dict[SlotId, float] = {}
        self._batches_by_slot: dict[SlotId, _Batch] = {}
        self._draw_tasks: set[asyncio.Task[None]] = set()
        self.n_messages = 0

    def __repr__(self) -> str:
        return f"QuotaService({self.tokens!r}, {self.holder!r})"

    @property
    def directory(self) -> SlotDirectory:
        """Addresses of the holders."""
        return self.holder.directory

    def register(self, service: ControlService) -> None:
        """Serve draws from the slots of this node."""

        async def draw(request: DrawRequest) -> DrawReply:
            return self.holder.draw(request)

        service.register(DRAW, draw)

    def configure(self, catalogue: Catalogue) -> None:
        """Apply the limits and slots of the catalogue in force."""
        limits = limits_of(catalogue)
        self.tokens.configure(limits)
        self.holder.configure(limits, slots_of(catalogue))

    def take(self, organisation: str, now_ms: float) -> QuotaDecision:
        """Spend one of the tokens held in this process."""
        return self.tokens.take(organisation, now_ms)

    def draw_from_own_slots(self, organisation: str) -> bool:
        """Draw from the slots of this node; return whether any token was granted."""
        now_ms = self._clock.now_ms()
        before = self.tokens.tokens(organisation)
        self.tokens.add_waiting(organisation, 1)
        for slot in self.holder.slots:
            if self.tokens.may_have_tokens(organisation, slot, now_ms):
                request = self.tokens.request(slot, [organisation], MIN_LIFETIME_MS)
                self.tokens.apply_reply(slot, self.holder.draw(request), now_ms)
        self.tokens.add_waiting(organisation, -1)
        return self.tokens.tokens(organisation) > before

    async def acquire(self, organisation: str, deadline_ms: float) -> QuotaDecision:
        """Request one token from the holders of slots, nearest and fullest first."""
        remaining_ms = deadline_ms - self._clock.now_ms()
        queue = self._queue(organisation)
        if await queue.wait(max(0.0, remaining_ms)):
            return GRANTED
        wait_ms = self.tokens.refusal_left_ms(organisation, self._clock.now_ms())
        return QuotaDecision(False, False, int(wait_ms) + 1)

    def tick(self) -> None:
        """Draw tokens ahead of demand and return surplus ones."""
        now_ms = self._clock.now_ms()
        self.tokens.update_demand(now_ms)
        available = [
            row for row in self._distances() if self._is_available(row.slot, now_ms)
        ]
        for slot, organisations in self.tokens.plan_prefetch(available, now_ms).items():
            self._start_draw(slot, organisations)

    async def run(self) -> None:
        """Run ticks and lease steps, until cancelled."""
        next_step_ms = self._clock.now_ms()
        step: asyncio.Future[None] | None = None
        while True:
            self.tick()
            now_ms = self._clock.now_ms()
            if now_ms >= next_step_ms and (step is None or step.done()):
                next_step_ms = now_ms + LEASE_STEP_INTERVAL_MS
                step = asyncio.ensure_future(self.lease_step())
            await asyncio.sleep(TICK_MS / 1000.0)

    async def lease_step(self) -> None:
        """Renew and acquire slots; an exception here must not end the service."""
        try:
            await self.holder.step()
        except Exception:
            logger.exception("lease step failed")

    def _queue(self, organisation: str) -> TokenQueue:
        queue = self._queues_by_organisation.get(organisation)
        if queue is None:
            queue = TokenQueue(
                organisation,
                self.tokens,
                self._query_slots,
                self._refuse,
                self._return_surplus,
            )
            self._queues_by_organisation[organisation] = queue
        return queue

    async def _query_slots(self, organisation: str) -> AsyncIterator[None]:
        """Draw from the first slots one by one, then from all others at once."""
        now_ms = self._clock.now_ms()
        distances = self._distances()
        slots = self.tokens.order(organisation, distances, now_ms)
        available = [
            slot
            for slot in slots
            if self._is_available(slot, now_ms)
            and self.tokens.may_have_tokens(organisation, slot, now_ms)
        ]
        if not available:
            wait_ms = self.tokens.token_wait_ms(organisation, slots, now_ms)
            await asyncio.sleep(min(MAX_ROUND_WAIT_MS, wait_ms) / 1000.0)
            yield
            return
        for slot in available[:N_SEQUENTIAL_DRAWS]:
            await self._draw_batched(slot, [organisation])
            yield
        rest = available[N_SEQUENTIAL_DRAWS:]
        await asyncio.gather(
            *(self._draw_batched(slot, [organisation]) for slot in rest)
        )
        yield

    def _refuse(self, organisation: str) -> None:
        slots = self.directory.preferred(self._data_centre, self._node_id)
        self.tokens.refuse(organisation, slots, self._clock.now_ms())

    def _return_surplus(self, organisation: str) -> None:
        for slot in self.tokens.surplus_slots(organisation):
            self._start_draw(slot, [organisation])

    def _start_draw(self, slot: SlotId, organisations: list[str]) -> None:
        draw = asyncio.ensure_future(self._draw_batched(slot, organisations))
        self._draw_tasks.add(draw)
        draw.add_done_callback(self._draw_tasks.discard)

    def _distances(self) -> list[SlotDistance]:
        slots = self.directory.preferred(self._data_centre, self._node_id)
        return [
            SlotDistance(slot, self._round_trip_ms(slot) / FULL_BURST_ROUND_TRIP_MS)
            for slot in slots
        ]

    def _round_trip_ms(self, slot: SlotId) -> float:
        if slot.data_centre == self._data_centre:
            return 0.0
        known = self._round_trip_by_data_centre.get(slot.data_centre)
        return DEFAULT_ROUND_TRIP_MS if known is None else known

    async def _draw_batched(self, slot: SlotId, organisations: Collection[str]) -> None:
        """Draw with the next message to ``slot``, shared with concurrent draws."""
        batch = self._batches_by_slot.get(slot)
        if batch is None:
            wanted: set[str] = set()
            task = asyncio.ensure_future(self._draw_batch(slot, wanted))
            batch = self._batches_by_slot[slot] = _Batch(wanted, task)
        batch.organisations.update(organisations)
        await asyncio.shield(batch.task)

    async def _draw_batch(self, slot: SlotId, organisations: set[str]) -> None:
        async with self._lock(slot):
            del self._batches_by_slot[slot]
            await self._draw(slot, sorted(organisations))

    async def _draw(self, slot: SlotId, organisations: Collection[str]) -> None:
        address = self.directory.get(slot)
        if address is None:
            return
        lifetime_ms = MIN_LIFETIME_MS + 2.0 * self._round_trip_ms(slot)
        request = self.tokens.request(slot, organisations, lifetime_ms)
        reply = await self._send(address, request)
        now_ms = self._clock.now_ms()
        if reply is None or not reply.accepted:
            self._avoid_until_by_slot[slot] = now_ms + UNREACHABLE_RETRY_MS
            return
        self.tokens.apply_reply(slot, reply, now_ms)
        for organisation in organisations:
            queue = self._queues_by_organisation.get(organisation)
            if queue is not None:
                queue.serve()

    async def _send(
        self, address: SlotAddress, request: DrawRequest
    ) -> DrawReply | None:
        if request.slot in self.holder.slots:
            return self.holder.draw(request)
        near = request.slot.data_centre == self._data_centre
        timeout_ms = NEAR_TIMEOUT_MS if near else FAR_TIMEOUT_MS
        self.n_messages += 1
        sent_ms = self._clock.now_ms()
        result = await self._control.call(
            address.host, address.control_port, DRAW, request, timeout_ms
        )
        if isinstance(result, Err):
            return None
        self._record_round_trip(request.slot, self._clock.now_ms() - sent_ms)
        return result.ok_value

    def _record_round_trip(self, slot: SlotId, round_trip_ms: float) -> None:
        known = self._round_trip_by_data_centre.get(slot.data_centre, round_trip_ms)
        smoothed = known + ROUND_TRIP_SMOOTHING * (round_trip_ms - known)
        self._round_trip_by_data_centre[slot.data_centre] = smoothed

    def _is_available(self, slot: SlotId, now_ms: float) -> bool:
        return self._avoid_until_by_slot.get(slot, 0.0) <= now_ms

    def _lock(self, slot: SlotId) -> asyncio.Lock:
        lock = self._locks_by_slot.get(slot)
        if lock is None:
            lock = self._locks_by_slot[slot] = asyncio.Lock()
        return lock


@asynccontextmanager
async def running_quota(service: QuotaService) -> AsyncIterator[QuotaService]:
    """Run the service while the context is open; release its slots at the end."""
    try:
        async with running_loops(service.run):
            yield service
    finally:
        with suppress(TimeoutError):
            async with asyncio.timeout(RELEASE_TIMEOUT_MS / 1000.0):
                await service.holder.release()
