"""Recorded outcomes, events and versions of the demonstration."""

from collections import Counter
from collections.abc import Iterable

from .callers import Outcome
from .demo_catalogue import DRAINED_NODE, STOPPED_NODE, STUCK_NODE
from .demo_fleet import Fleet
from .demo_report import recovery_ms

WARM_UP_MS = 1_000.0


class DemoRecord:
    """Outcomes, event times and configuration versions of one run.

    :param fleet: the running processes.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.outcomes: list[Outcome] = []
        self.keys: list[str] = []
        self.time_ms_by_event: dict[str, float] = {}
        self.version_by_event: dict[str, int] = {}
        self.versions_by_node: dict[str, list[int]] = {
            id: [] for id in fleet.nodes_by_id
        }
        self.first_seen_ms_by_lowest_version: dict[int, float] = {}
        self.exit_code_of_stopped: int | None = None
        self.n_platform_requests = 0

    def __repr__(self) -> str:
        return f"DemoRecord({len(self.outcomes)} outcomes)"

    @property
    def duration_ms(self) -> float:
        """Duration of the traffic."""
        return self.time_ms_by_event["end"] - self.time_ms_by_event["start"]

    @property
    def n_runs_by_number(self) -> Counter[str]:
        """Number of executions at all upstreams, by attempt id."""
        runs: Counter[str] = Counter()
        for node in self.fleet.nodes:
            runs.update(node.upstream.n_runs_by_request)
        return runs

    @property
    def drained_run_times_ms(self) -> list[float]:
        """Times of the executions at the draining upstream."""
        return self.fleet.nodes_by_id[DRAINED_NODE].upstream.run_times_ms

    @property
    def stopped_entry_port(self) -> int:
        """Entry port of the node that is stopped."""
        return self.fleet.nodes_by_id[STOPPED_NODE].entry_port

    def record_versions(
        self, versions: Iterable[tuple[str, int]], now_ms: float
    ) -> None:
        """Record the version that each node reports."""
        for node_id, version in versions:
            self.versions_by_node[node_id].append(version)
        lowest = min(seen[-1] for seen in self.versions_by_node.values() if seen)
        self.first_seen_ms_by_lowest_version.setdefault(lowest, now_ms)

    def propagation_ms(self, event: str) -> float | None:
        """Return the time until every node had at least the version of an event."""
        version = self.version_by_event[event]
        reached_ms = [
            first_ms
            for lowest, first_ms in self.first_seen_ms_by_lowest_version.items()
            if lowest >= version
        ]
        if not reached_ms:
            return None
        return max(0.0, min(reached_ms) - self.time_ms_by_event[event])

    def recovery_ms(self) -> float | None:
        """Return how long the stuck upstream took to recover."""
        times = self.time_ms_by_event
        upstream = self.fleet.nodes_by_id[STUCK_NODE].upstream
        before = (times["start"] + WARM_UP_MS, times["stuck"])
        return recovery_ms(upstream.run_times_ms, before, times["unstuck"])
