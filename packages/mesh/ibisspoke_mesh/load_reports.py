"""Reading of the load that the upstream of this VM reports in its answers."""

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.vm_pace import VmPace

from .decision_log import DecisionLog
from .dialect import Dialect
from .metrics import NodeMetrics
from .upstream_connection import UpstreamResponse

MAX_LOGGED_CHARS = 60


class LoadReports:
    """Keeps what the latest valid report says of the pace of this VM.

    Counts of requests are not taken over: the node knows those that it has sent.
    """

    def __init__(
        self, dialect: Dialect, clock: Clock, log: DecisionLog, metrics: NodeMetrics
    ) -> None:
        self._dialect = dialect
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._pace = VmPace()

    def __repr__(self) -> str:
        return f"LoadReports({self._pace!r})"

    def pace(self) -> float:
        """Return the expected pace of this VM now, or 0.0 if it is not known."""
        return self._pace.at(self._clock.now_ms())

    def receive(self, response: UpstreamResponse) -> None:
        """Read the report of a response, if it is the upstream's own and has one."""
        if not response.load_report or not response.is_signed:
            return
        report = self._dialect.decode_load(response.load_report)
        if report is None or not report.is_plausible:
            self._metrics.load_reports[("invalid",)] += 1
            value = response.load_report[:MAX_LOGGED_CHARS].decode("latin-1")
            self._log.write("load report invalid", value=value)
        elif report.pace:
            self._metrics.load_reports[("with pace",)] += 1
            self._pace.report(report.pace, self._clock.now_ms())
        else:
            self._metrics.load_reports[("without pace",)] += 1
