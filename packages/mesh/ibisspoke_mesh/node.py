"""A node: construction of its components, periodic ticks, reload and stop."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import NamedTuple

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.retry_window import RetryBudget
from ibisspoke_policy.route_table import CallerLimits, RouteTable
from ibisspoke_policy.shared_rate import SharedRates
from ibisspoke_policy.upstream_tracker import UpstreamProcess, has_departed

from .caller_budget import CallerBudget
from .caller_messages import CallerRequest, CallerResponse, Handler
from .caller_server import DEFAULT_LIMITS
from .config_replies import ConfigReplies
from .config_requester import ConfigRequester
from .config_state import ConfigState, Decoder
from .config_verifier import ConfigVerifier
from .decision_log import DecisionLog, PipeHandler
from .dialect import Dialect
from .evacuation_gate import EvacuationGate
from .evacuation_state import EvacuationState
from .fleet import Fleet
from .member_record import MemberRecord
from .member_rows import MemberRows
from .memory_budget import MB, MemoryBudget
from .metrics import NodeMetrics
from .node_gauges import gauges
from .node_ranks import NodeRanks
from .parse_queue import ParseQueue
from .peer_link import NodeIncarnation
from .peer_server import PeerCalls
from .rate_homes import RateHomes
from .record_copies import RecordCopies
from .region_check import RegionCheck
from .request_admission import RequestAdmission
from .request_handler import RequestHandler
from .server_state import ServerState
from .settings import NodeSettings
from .status_exchange import StatusExchange
from .status_receiver import StatusReceiver
from .store import WatchedTables
from .table_watch import TableWatch
from .traffic_log import TrafficLog
from .upstream_dispatcher import UpstreamDispatcher
from .upstream_pool import UpstreamPool

TICK_MS = 30.0  # while requests wait; bounds how late the end of a wait is noticed
SLOW_TICK_MS = 90.0  # enough for links, status and idle connections
CONFIG_WAIT_MS = 28_000  # the store allows 30 s; TCP keep-alive detects a dead peer
MEMBER_ROWS_WAIT_MS = 300.0  # for other nodes' rows, before the configuration is read
N_STARTUP_SOURCES = 2  # nodes that a starting node asks for the configuration
STARTUP_RETRY_MS = 60.0  # between requests; these nodes may be starting too
STARTUP_WAIT_MS = 400.0  # some round trips; then a starting node reads the store
SETTLING_MS = 2_000.0  # until a starting node knows the others and its rank among them
STOP_MIN_MS = 3_000.0  # callers must see the lost readiness before the listener closes
# Later requests are refused if they may run beyond the end of the stop. Callers that
# check readiness every second have seen by then that it is lost.
STOP_CLOSING_MS = 2_500.0
STOP_END_SHARE = 0.9  # of the stop time; requests still running then are ended
STOP_FLUSH_SHARE = 0.95  # of the stop time, until which last responses are sent

logger = logging.getLogger("ibisspoke")


class Adapter(NamedTuple):
    """What a platform's adapter provides to a node.

    :param config_table: table of the row that holds the configuration.
    :param announcements: returns the handler of the upstream's heartbeats and
        departures, given the dispatcher, :meth:`Node.keep_departures` and whether it
        serves :attr:`UpstreamDispatcher.private_address`.
    :param evacuation_prefix: of the keys in the table of the configuration that name
        evacuated data centres; empty if the platform has no evacuations.
    """

    dialect: Dialect
    store: WatchedTables
    config_table: str
    config_key: str
    decode_config: Decoder
    announcements: Callable[
        [UpstreamDispatcher, Callable[[], Awaitable[bool]], bool], Handler
    ]
    evacuation_prefix: str = ""


class Node:
    """All components of one node."""

    def __init__(
        self,
        settings: NodeSettings,
        adapter: Adapter,
        clock: Clock,
        metrics: NodeMetrics,
        pipe: PipeHandler | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.log = DecisionLog(clock)
        self.memory = MemoryBudget(settings.memory_mb * MB)
        self.metrics = metrics
        self.pipe = pipe
        rng = random.Random()
        own = self.process = NodeIncarnation(settings.host, int(clock.wall_ms()))
        self._incarnation = own.incarnation
        self._revision = 0
        self._stopping_ms: float | None = None
        self.tick_lag_ms = 0.0
        self._config_requested_ms = 0.0
        self.rates = SharedRates(clock.now_ms(), settings.data_centre)
        # Slots of rates follow the wall clock of the start, whatever its later steps.
        self._slot_origin_ms = clock.wall_ms() - clock.boot_ms()
        self.store_era = adapter.store.era
        self.evacuations = EvacuationState(
            adapter.evacuation_prefix, clock, self.log, self.store_era
        )
        self.config = ConfigState(
            adapter.config_key,
            adapter.decode_config,
            clock,
            self.log,
            self._on_adopted,
            lambda: metrics.count_bad_row(adapter.config_table, "configuration"),
            self.evacuations,
        )
        self.config_replies = ConfigReplies(self.config)
        self.fleet = Fleet(
            settings,
            own,
            clock,
            self.log,
            rng,
            self.config.apply_reply,
            self.memory,
        )
        self.region_check = RegionCheck(self.fleet, clock, self.log)
        self.pool = UpstreamPool(
            *settings.upstream, adapter.dialect, clock, self.memory
        )
        self.dispatcher = UpstreamDispatcher(
            settings.service,
            self.pool,
            adapter.dialect,
            clock,
            self.log,
            metrics,
            settings.heartbeat_ms,
            settings.drain_ms,
        )
        self.dispatcher.apply_settings(settings)
        self.fleet.own_load = self.dispatcher.load
        self.evacuation_gate = EvacuationGate(
            self.config, self.dispatcher, self.fleet, settings
        )
        self.fleet.own_vm_pace = self.dispatcher.vm_pace
        self.rate_homes = RateHomes(self.fleet, self.rates, clock)
        self.calls = PeerCalls(
            own,
            self.dispatcher,
            clock,
            self.log,
            self.config_replies,
            self.rate_homes.grant,
            self.memory,
        )
        self.retries = RetryBudget(settings.retry_window_ms)
        self.admission = RequestAdmission(
            settings,
            adapter.dialect,
            lambda: self.config.table,
            self.config.freshness,
            self.fleet,
            self.rates,
            self.rate_homes,
            self.retries,
            clock,
            rng,
        )
        self.request_handler = RequestHandler(
            settings,
            adapter.dialect,
            self.admission,
            self.rate_homes,
            self.retries,
            self.fleet,
            self.dispatcher,
            clock,
            rng,
            self.log,
            metrics,
            self.memory,
        )
        self.rows = MemberRows(
            adapter.store,
            self.fleet,
            self.log,
            lambda: self.status_receiver.is_introduced,
            lambda: self.status.broadcast(),
            self._restore_departures,
            metrics,
            self.store_era,
        )
        self.ranks = NodeRanks(self.fleet, clock, rng)
        self.config_requester = ConfigRequester(self.config, clock)
        self.watch = TableWatch(
            adapter.store,
            adapter.config_table,
            CONFIG_WAIT_MS,
            self._is_watch_wanted,
            clock,
            self.log,
            self.config.apply_changes,
            self.evacuations.until_settled_ms,
            self.store_era,
        )
        self.config_verifier = ConfigVerifier(
            adapter.store,
            adapter.config_table,
            self.config,
            self.ranks,
            clock,
            rng,
            self.store_era,
        )
        self.status_receiver = StatusReceiver(
            self.fleet, self.rates, self.config_requester, clock
        )
        self.status = StatusExchange(
            self.fleet,
            self.config,
            self.rates,
            self.status_receiver,
            self.ranks,
            clock,
            rng,
            self.log,
            lambda: self.dispatcher.cold_until_ms - clock.now_ms(),
            lambda: self.watch.is_lost,
        )
        self.copies = RecordCopies(
            self.fleet,
            clock,
            rng,
            self.status.read_back,
            self.dispatcher.add_departures,
        )
        self.status_receiver.on_own_copy = self.copies.receive
        self._recall: asyncio.Task[None] | None = None
        self.announcements, self.private_announcements = (
            adapter.announcements(self.dispatcher, self.keep_departures, is_private)
            for is_private in (False, True)
        )
        self.traffic_log = TrafficLog(metrics, clock, self.log)
        self.servers: list[ServerState] = []
        self.budget = CallerBudget(
            clock,
            metrics.cut_offs,
            self.log,
            self.memory,
            settings.max_descriptors,
        )
        self.parsing = ParseQueue(clock)
        self.callers = self.server(self.request_handler.handle)
        self._subscribe()
        self._publish_change()

    def _subscribe(self) -> None:
        """Let the components tell what this node has to act upon or to log."""
        self.fleet.on_superseded = self._supersede_record
        self.dispatcher.on_change = self._publish_change
        self.dispatcher.is_service_named = self._is_service_named
        self.evacuations.on_change = self._on_evacuations_changed
        era = self.store_era
        era.on_rise.append(lambda value: self.log.write("store restored", era=value))
        era.on_fall.append(
            lambda value: self.log.write(
                "store of an earlier era", era=value, known=era.value
            )
        )

    def __repr__(self) -> str:
        return f"Node({self.settings.id!r}, {self.dispatcher!r}, {self.config!r})"

    def server(self, handler: Handler) -> ServerState:
        """Create the state of another listener."""
        state = ServerState(
            handler, self.clock, self._limits, self.budget, self.parsing
        )
        self.servers.append(state)
        return state

    @property
    def is_ready(self) -> bool:
        """Whether callers on this VM may send requests to this node."""
        return self.config.is_complete and self._stopping_ms is None

    async def keep_departures(self) -> bool:
        """Wait for a short time until the departures outlast this process.

        :returns: whether the store or enough other nodes have them.
        """
        if await self.rows.wait_until_saved() or await self.copies.wait_until_kept():
            return True
        return self.rows.has_departures

    async def readiness(self, request: CallerRequest) -> CallerResponse:
        """Respond to a readiness check of the platform."""
        return CallerResponse(200 if self.is_ready else 503, b"", b"")

    async def serve_metrics(self, request: CallerRequest) -> CallerResponse:
        """Respond with the metrics page."""
        from .metrics_page import metrics_page  # imports a large library

        headers = b"content-type: text/plain; version=0.0.4\r\n"
        page = metrics_page(self.metrics, gauges(self), self.memory)
        return CallerResponse(200, headers, page)

    async def run_ticks(self) -> None:
        """Run the periodic checks, until cancelled."""
        slow_due_ms = self.clock.now_ms() + SLOW_TICK_MS
        while True:
            now_ms = self.clock.now_ms()
            due_ms = max(now_ms, slow_due_ms)
            if self.dispatcher.queue.n_queued:
                due_ms = min(due_ms, now_ms + TICK_MS)
            await asyncio.sleep((due_ms - now_ms) / 1000.0)
            now_ms = self.clock.now_ms()
            self.tick_lag_ms = max(now_ms - due_ms, 0.95 * self.tick_lag_ms)
            self.dispatcher.tick()
            if now_ms >= slow_due_ms:
                slow_due_ms = now_ms + SLOW_TICK_MS
                self._run_slow_checks()

    async def follow_config(self) -> None:
        """Get the configuration from nodes or the store, and watch it for changes."""
        with suppress(TimeoutError):
            async with asyncio.timeout(MEMBER_ROWS_WAIT_MS / 1000.0):
                await self.rows.previous_record_known.wait()
        started_ms = self._config_requested_ms = self.clock.now_ms()
        while (
            not self.config.is_complete
            and (not self.ranks.is_watcher or self._may_store_be_behind())
            and self.clock.now_ms() - started_ms < STARTUP_WAIT_MS
        ):
            for peer in self.ranks.sources[:N_STARTUP_SOURCES]:
                self.config_requester.request(peer)
            await asyncio.sleep(STARTUP_RETRY_MS / 1000.0)
        await self.watch.run()

    def _may_store_be_behind(self) -> bool:
        """Whether other nodes may know more than a store that was restored."""
        return self.store_era.value > 0 and bool(self.ranks.sources)

    def _is_watch_wanted(self) -> bool:
        """Whether this node is a watcher, or got no configuration from other nodes.

        A node that knows no other yet reads the configuration, but does not watch it:
        of the first nodes to start each would take itself for a watcher. Others read it
        once, and rely on the watchers if there is none yet.
        """
        waited_ms = self.clock.now_ms() - self._config_requested_ms
        is_settled = bool(self.fleet.peers_by_id) or waited_ms > SETTLING_MS
        if not self.config.is_complete and not self.watch.has_read:
            return self.ranks.is_watcher or waited_ms > STARTUP_WAIT_MS
        return is_settled and self.ranks.is_watcher

    def _run_slow_checks(self) -> None:
        """Run the checks that are not needed on every tick."""
        self.rates.set_time(self._slot_origin_ms + self.clock.boot_ms())
        n_nodes = len(self.fleet.peers_by_id) + 1
        self.rates.set_fleet(n_nodes, self.fleet.data_centres)
        self.calls.tick()
        self.fleet.own_cold_until_ms = self.dispatcher.cold_until_ms
        self.fleet.tick()
        if self.fleet.has_vm_paces:
            self.dispatcher.note_shared_vms()
        self.region_check.tick()
        self.status.tick()
        self.config.tick(self.settings.key_proof_ms)
        self.evacuation_gate.tick()
        self.log.tick()
        self.traffic_log.tick()
        self.budget.tick()
        for server in self.servers:
            server.tick()

    def reload(self, settings: NodeSettings) -> None:
        """Apply changed settings; addresses change only on a restart."""
        self.log.write("settings reloaded", service=settings.service)
        self.settings = settings
        self.request_handler.settings = self.admission.settings = settings
        self.budget.max_descriptors = settings.max_descriptors
        self.memory.set_memory(settings.memory_mb * MB)
        self.dispatcher.apply_settings(settings)
        self.request_handler.retries.by_calls = settings.retries_by_calls
        self._set_retry_budget()

    def close(self) -> None:
        """Close the links to other nodes, and stop asking them for departures."""
        if self._recall is not None:
            self._recall.cancel()
        self.fleet.close()

    async def stop(self) -> None:
        """Stop gracefully, and let running requests finish."""
        started_ms = self._stopping_ms = self.clock.now_ms()
        stop_ms = self.settings.stop_ms
        end_ms = started_ms + stop_ms * STOP_END_SHARE
        logger.info("node stops", extra={"n_active": self.callers.n_active})
        self.dispatcher.is_stopping = True
        self.callers.is_stopping = True
        self._publish_change()
        self.rows.remove()
        while (now_ms := self.clock.now_ms()) < end_ms:
            if now_ms - started_ms >= STOP_CLOSING_MS:
                self.admission.must_end_by_ms = end_ms
            if now_ms - started_ms >= STOP_MIN_MS and self._is_idle:
                break
            await asyncio.sleep(TICK_MS / 1000.0)
        self.request_handler.end_all()
        while self.clock.now_ms() < started_ms + stop_ms * STOP_FLUSH_SHARE:
            if not self.callers.n_active:
                break
            await asyncio.sleep(TICK_MS / 1000.0)
        logger.info("node stopped", extra={"n_active": self.callers.n_active})

    @property
    def _is_idle(self) -> bool:
        """Whether nothing is lost if the process ends."""
        if self.callers.connections or not self.dispatcher.is_idle:
            return False
        if any(server.n_active for server in self.servers):
            return False
        return self.rows.has_departures or not self.dispatcher.upstream.is_leaving

    def _is_service_named(self, service: str) -> bool | None:
        """Whether the configuration names a service; None if there is none yet."""
        table = self.config.table
        return None if table is None else service in table.services

    def _limits(self) -> CallerLimits:
        table = self.config.table
        return table.limits if table is not None else DEFAULT_LIMITS

    def _on_adopted(self, table: RouteTable) -> None:
        limits_by_name = {
            owner.organisation: (owner.rate_per_s, owner.burst)
            for owner in table.owners_by_key.values()
            if owner.rate_per_s > 0
        }
        self.rates.configure(
            limits_by_name, self.clock.now_ms(), self.settings.config_ms
        )
        self.status_receiver.set_organisations(list(limits_by_name))
        self.dispatcher.pace.apply_configuration(table.cold_starts_by_service)
        self.admission.splitter.keep_only(table.routes)
        self.region_check.on_adopted(table)
        self._set_retry_budget()
        self.evacuation_gate.update()
        # later, as a read that brought the configuration is then known as its proof
        asyncio.get_running_loop().call_soon(self.config_replies.send_waiting)

    def _on_evacuations_changed(self) -> None:
        self.evacuation_gate.update()
        loop = asyncio.get_running_loop()
        loop.call_soon(self.config_replies.send_waiting)
        loop.call_soon(self.status.tick)  # watchers announce it at once

    def _set_retry_budget(self) -> None:
        settings, n_nodes = self.settings, len(self.fleet.peers_by_id) + 1
        self.retries.configure(settings.retry_ratio, settings.retry_slack, n_nodes)

    def _restore_departures(self, record: MemberRecord | None) -> None:
        """Restore departures from the record of an earlier process, and recall others.

        :param record: the row in the store, which may be older than that process.
        """
        incarnation = 0
        if record is not None:
            self.dispatcher.add_departures(record.all_departures)
            incarnation = record.incarnation
        self._recall = asyncio.ensure_future(self._recall_departures(incarnation))

    async def _recall_departures(self, incarnation: int) -> None:
        """Take the departures for complete if they can be, or wait for heartbeats.

        After a loss of all processes nobody knows which departures were acknowledged
        while the store could not be written.
        """
        if await self.copies.recall(incarnation) or not incarnation:
            self.dispatcher.complete_departures()
            return
        self.log.write(
            "earlier departures not known",
            incarnation=incarnation,
            store_was_late=self.rows.was_late,
        )
        if not self.rows.was_late:
            self.dispatcher.accept_first_heartbeat()

    def _supersede_record(self, record: MemberRecord) -> None:
        """Publish a record that replaces one that another writer left for this node.

        An earlier process whose clock was ahead may also have written it. A process
        that stops is not replaced by another one's later record.
        """
        if self._stopping_ms is not None:
            return
        self.log.write(
            "own record replaced",
            incarnation=record.incarnation,
            own_incarnation=self._incarnation,
        )
        self._incarnation = record.incarnation + 1
        self._publish_change()

    def _publish_change(self) -> None:
        """Update this node's record, and publish it to other nodes and the store."""
        settings, upstream = self.settings, self.dispatcher.upstream
        latest, departures = upstream.latest, upstream.departures
        process = UpstreamProcess("", 0)
        if latest is not None:
            process = UpstreamProcess(latest.instance, latest.start_ms)
        elif departures:
            process = departures[-1]
        self._revision += 1
        self.fleet.own = MemberRecord(
            settings.host,
            self._incarnation,
            self._revision,
            settings.region,
            settings.data_centre,
            settings.peers[1],
            settings.status_port,
            self.dispatcher.service,
            process.instance,
            latest.n_slots if latest else 0,
            self.dispatcher.state,
            process.start_ms,
            has_departed(process, departures),
            departures,
            not upstream.is_history_known,
        )
        self._set_retry_budget()
        self.status.broadcast()
        if process.instance:
            self.rows.publish()
