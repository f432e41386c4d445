"""Replay of admission traces, to compare decisions and outcomes with the expected."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple, TypedDict

import msgspec
from result import Err, Ok, Result

from .adaptive_limit import AimdLimit, ConcurrencyLimit, FixedLimit, GradientLimit
from .admission import AdmissionController, AdmissionEvent
from .admission_controller import UpstreamAdmissionController
from .catalogue import Importance
from .trace import (
    TRACE_VERSION,
    DecisionRecord,
    Operation,
    Step,
    TraceHeader,
    describe,
    is_start,
)

LIMIT_CLASS_BY_NAME: dict[str, type[ConcurrencyLimit]] = {
    "gradient": GradientLimit,
    "aimd": AimdLimit,
    "fixed": FixedLimit,
}
MAX_DIVERGENCES = 20


class TraceProblem(NamedTuple):
    """Why a trace cannot be replayed, and the remedy."""

    line: int
    detail: str
    remedy: str


class Divergence(NamedTuple):
    """A step at which the replay and the record have different decisions."""

    line: int
    at_ms: float
    recorded: list[DecisionRecord]
    replayed: list[DecisionRecord]


class TraceOutcome(NamedTuple):
    """Counts of the attempts of a trace by result."""

    n_offered_by_class: dict[str, int]
    n_started_by_class: dict[str, int]
    n_refused_by_kind: dict[str, int]
    n_refused_unknown: int
    n_aborted: int
    max_in_flight: int


class ExpectedOutcome(TypedDict, total=False):
    """Expected outcome of a trace; omitted fields are not checked."""

    min_started_share: dict[str, float]
    max_started_share: dict[str, float]
    max_in_flight: int
    max_aborted: int
    min_aborted: int


class ReplayReport(NamedTuple):
    """Result of a replay."""

    n_steps: int
    divergences: list[Divergence]
    outcome: TraceOutcome


class _Tally:
    """Count attempts by class and by result."""

    def __init__(self) -> None:
        self._class_by_attempt: dict[int, str] = {}
        self._in_flight: set[int] = set()
        self.n_offered: Counter[str] = Counter()
        self.n_started: Counter[str] = Counter()
        self.n_refused: Counter[str] = Counter()
        self.n_refused_unknown = 0
        self.n_aborted = 0
        self.max_in_flight = 0

    def add(self, step: Step, decisions: list[DecisionRecord]) -> None:
        if step["op"] == Operation.OFFER:
            ticket = step["ticket"]
            name = Importance(ticket.importance).name.lower()
            self._class_by_attempt[ticket.attempt_id] = name
            self.n_offered[name] += 1
        elif step["op"] == Operation.FINISH:
            self._in_flight.discard(step["attempt_id"])
        for record in decisions:
            self._count(record)

    def _count(self, record: DecisionRecord) -> None:
        if is_start(record):
            self._in_flight.add(record["attempt_id"])
            self.max_in_flight = max(self.max_in_flight, len(self._in_flight))
            self.n_started[self._class_by_attempt[record["attempt_id"]]] += 1
        elif record["event"] == "refused":
            self.n_refused[record["kind"]] += 1
            self.n_refused_unknown += record["ran"] != "not_run"
        else:
            self.n_aborted += 1

    def outcome(self) -> TraceOutcome:
        return TraceOutcome(
            dict(self.n_offered),
            dict(self.n_started),
            dict(self.n_refused),
            self.n_refused_unknown,
            self.n_aborted,
            self.max_in_flight,
        )


def replay(lines: Iterable[bytes]) -> Result[ReplayReport, TraceProblem]:
    """Run a trace on a new controller and compare its decisions with the record.

    :param lines: JSON lines of one trace, the header first.
    """
    controller: AdmissionController | None = None
    tally = _Tally()
    divergences: list[Divergence] = []
    n_steps = 0
    for number, line in enumerate(lines, start=1):
        try:
            if controller is None:
                built = _build_controller(msgspec.json.decode(line, type=TraceHeader))
                if isinstance(built, Err):
                    return built
                controller = built.ok_value
                continue
            step = msgspec.json.decode(line, type=Step)
            replayed = [describe(event) for event in _apply_step(controller, step)]
        except (msgspec.DecodeError, KeyError) as error:
            remedy = "record the trace again; it is cut off or was edited"
            return Err(TraceProblem(number, f"not a trace line: {error}", remedy))
        n_steps += 1
        recorded = step.get("decisions", [])
        if recorded != replayed and len(divergences) < MAX_DIVERGENCES:
            divergences.append(Divergence(number, step["at_ms"], recorded, replayed))
        tally.add(step, replayed)
    if controller is None:
        return Err(TraceProblem(0, "the trace is empty", "name a file with a trace"))
    return Ok(ReplayReport(n_steps, divergences, tally.outcome()))


def check(outcome: TraceOutcome, expected: ExpectedOutcome) -> list[str]:
    """Return how ``outcome`` differs from ``expected``; empty if it does not."""
    misses = []
    if outcome.n_refused_unknown:
        misses.append(f"{outcome.n_refused_unknown} queued attempts refused as unknown")
    for name, minimum in expected.get("min_started_share", {}).items():
        share = _started_share(outcome, name)
        if share < minimum:
            misses.append(f"started {share:.3f} of {name}, expected at least {minimum}")
    for name, maximum in expected.get("max_started_share", {}).items():
        share = _started_share(outcome, name)
        if share > maximum:
            misses.append(f"started {share:.3f} of {name}, expected at most {maximum}")
    if outcome.max_in_flight > expected.get("max_in_flight", outcome.max_in_flight):
        misses.append(f"{outcome.max_in_flight} in flight at once")
    if outcome.n_aborted > expected.get("max_aborted", outcome.n_aborted):
        misses.append(f"{outcome.n_aborted} attempts aborted")
    if outcome.n_aborted < expected.get("min_aborted", 0):
        misses.append(f"only {outcome.n_aborted} attempts aborted")
    return misses


def _started_share(outcome: TraceOutcome, name: str) -> float:
    n_offered = outcome.n_offered_by_class.get(name, 0)
    if not n_offered:
        return 0.0
    return outcome.n_started_by_class.get(name, 0) / n_offered


def _build_controller(header: TraceHeader) -> Result[AdmissionController, TraceProblem]:
    if header["version"] != TRACE_VERSION:
        detail = f"version {header['version']} of the trace format"
        return Err(TraceProblem(1, detail, "replay it with the release that wrote it"))
    limit = LIMIT_CLASS_BY_NAME.get(header["limit"])
    if limit is None:
        names = ", ".join(sorted(LIMIT_CLASS_BY_NAME))
        detail = f"unknown limit {header['limit']!r}"
        return Err(TraceProblem(1, detail, f"use one of {names}"))
    created_ms = header["created_ms"]
    return Ok(UpstreamAdmissionController(limit(), now_ms=created_ms))


def _apply_step(controller: AdmissionController, step: Step) -> list[AdmissionEvent]:
    operation = Operation(step["op"])
    now_ms = step["at_ms"]
    if operation is Operation.OFFER:
        return controller.offer(step["ticket"], now_ms)
    if operation is Operation.FINISH:
        return controller.finish(step["attempt_id"], step["ending"], now_ms)
    if operation is Operation.CANCEL:
        return controller.cancel(step["attempt_id"], now_ms)
    if operation is Operation.ANNOUNCE:
        return controller.announce(step["capacity"], now_ms)
    if operation is Operation.NESTED:
        controller.nested(step["attempt_id"], step["n_change"], now_ms)
        return []
    return controller.tick(now_ms)
