"""The pace of an upstream that starts, recovers or is cold.

Translates the events of the dispatcher for the policies that limit the requests.
"""

from collections.abc import Mapping

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.cold_rate import ColdBound, ColdRate
from ibisspoke_policy.route_table import ColdStart
from ibisspoke_policy.start_ramp import RampReason, StartRamp
from ibisspoke_policy.upstream_queue import UpstreamQueue
from ibisspoke_policy.upstream_tracker import Announcement

from .decision_log import DecisionLog
from .settings import NodeSettings

# Upstreams that a starting node finds running are past their start: one takes 1 to 3 s.
STARTED_BEFORE_MS = 10_000.0


class UpstreamPace:
    """Holds what limits the requests to an upstream besides its slots.

    It outlives the queues, since requests to an earlier process of the upstream count
    in the bound too.

    :ivar cold: the bound of a cold upstream; None where the settings state none.
    :ivar ramp: the limit after a start; None where nothing asks for it.
    """

    def __init__(self, clock: Clock, log: DecisionLog) -> None:
        self.cold: ColdRate | None = None
        self.ramp: StartRamp | None = None
        self._clock = clock
        self._log = log
        self._bound: ColdBound | None = None
        self._cold_starts_by_service: Mapping[str, ColdStart] | None = None
        self._service = ""
        self._was_cold = False
        self._was_absent = False
        self._has_process = False
        self._start_ms = 0.0
        self._is_ramp_set = False
        self._is_vm_shared = False
        self._n_ramp_changes = 0

    def __repr__(self) -> str:
        return f"UpstreamPace({self.cold!r}, {self.ramp!r})"

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply new settings."""
        self._is_ramp_set = settings.has_start_ramp
        self._update_ramp()
        overage, slack = settings.cold_overage, settings.cold_slack
        if overage is None and slack is None:
            self._bound = self.cold = None
            return
        # A part that is missing must not raise the bound.
        self._bound = ColdBound(1.0 if overage is None else overage, slack or 0.0)
        if self.cold is None:
            self.cold = ColdRate(self._clock.now_ms())
        self._update_rate()

    def note_shared_vms(self) -> None:
        """Handle that the upstreams of the fleet share their VMs with other programs.

        How much an upstream can do at once then changes by the moment, and a recovering
        one is flooded more easily.
        """
        if not self._is_vm_shared:
            self._is_vm_shared = True
            self._update_ramp()

    def apply_configuration(
        self, cold_starts_by_service: Mapping[str, ColdStart]
    ) -> None:
        """Apply a new version of the configuration."""
        self._cold_starts_by_service = cold_starts_by_service
        self._update_rate()

    def attach(self, queue: UpstreamQueue) -> UpstreamQueue:
        """Make a queue keep the limits, and return it."""
        queue.cold, queue.ramp = self.cold, self.ramp
        return queue

    def heartbeat(self, announcement: Announcement, is_new_process: bool) -> None:
        """Handle a heartbeat."""
        self._service = announcement.service
        self._start_ms = announcement.start_ms
        self._update_rate()
        now_ms = self._clock.now_ms()
        if self.cold is not None:
            self.cold.heartbeat(announcement.cold_ms, is_new_process, now_ms)
        if is_new_process and self._is_start(announcement):
            self._restart_ramp(RampReason.STARTED)
        elif self._was_absent:
            self._restart_ramp(RampReason.RETURNED)
        self._has_process, self._was_absent = True, False
        self._log_change("heartbeat")

    def _is_start(self, announcement: Announcement) -> bool:
        """Return whether a process that is new to this node has just started."""
        age_ms = self._clock.wall_ms() - announcement.start_ms
        return self._has_process or age_ms < STARTED_BEFORE_MS

    def mark_absent(self, why: str) -> None:
        """Handle the absence of the upstream."""
        self._was_absent = True
        self.expect_restart(why)

    def expect_cold(self, why: str) -> None:
        """Count the upstream as cold until a later heartbeat says that it is not."""
        if self.cold is not None:
            self.cold.expect(self._clock.now_ms())
        self._restart_ramp(RampReason.RETURNED)
        self._log_change(why)

    def expect_restart(self, why: str) -> None:
        """Handle a sign that the process of the upstream may have been replaced."""
        if self.cold is not None:
            self.cold.expect_restart(self._clock.now_ms())
        self._log_change(why)

    def sent(self, number: int) -> None:
        """Record that the bytes of an attempt were written."""
        if self.cold is not None:
            self.cold.record_sent(number, self._clock.now_ms())

    def ended(self, number: int, was_sent: bool) -> None:
        """Record that a started attempt has ended."""
        if self.cold is not None:
            self.cold.end(number, was_sent, self._clock.now_ms())

    def misdirected(self, number: int) -> None:
        """Record that an attempt was answered by another process than was meant."""
        if self.cold is not None:
            self.cold.discount(number)
        self.expect_restart("answered by another process")

    def log_ramp(self, queue: UpstreamQueue) -> None:
        """Write a line if the limit after a start has changed."""
        ramp = self.ramp
        if ramp is None or ramp.n_changes == self._n_ramp_changes:
            return
        self._n_ramp_changes = ramp.n_changes
        self._log.write(
            "upstream ramp",
            service=self._service,
            limit=ramp.limit(queue.limit),
            n_slots=queue.limit,
            n_running=queue.n_running,
            n_queued=queue.n_queued,
            why=ramp.reason,
        )

    def _update_ramp(self) -> None:
        if not self._is_ramp_set and not self._is_vm_shared:
            self.ramp = None
        elif self.ramp is None:
            self.ramp = StartRamp()
            self._n_ramp_changes = 0
            if self._clock.wall_ms() - self._start_ms < STARTED_BEFORE_MS:
                self._restart_ramp(RampReason.STARTED)

    def _restart_ramp(self, reason: RampReason) -> None:
        if self.ramp is not None:
            self.ramp.restart(reason, self._clock.now_ms())

    def _update_rate(self) -> None:
        if self.cold is None or self._bound is None:
            return
        if self._cold_starts_by_service is not None:
            self.cold.n_allowed = self._bound.n_allowed(
                self._cold_starts_by_service, self._service
            )

    def _log_change(self, why: str) -> None:
        """Write a line if the upstream has become cold, or is no longer cold."""
        cold = self.cold
        is_cold = cold is not None and cold.is_bounding(self._clock.now_ms())
        if cold is not None and is_cold is not self._was_cold:
            self._was_cold = is_cold
            self._log.write(
                "upstream cold" if is_cold else "upstream no longer cold",
                service=self._service,
                n_allowed_per_s=cold.n_allowed,
                why=why,
            )
