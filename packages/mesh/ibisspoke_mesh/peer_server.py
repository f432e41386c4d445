"""Server side of the links between nodes: calls to the upstream of this VM."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple, Protocol, cast

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.upstream_queue import Load

from .config_replies import ConfigReplies
from .decision_log import DecisionLog
from .frame_reader import DroppedCall, DroppedReply, FrameReader
from .frames import (
    Attempt,
    Call,
    Cancel,
    ConfigRequest,
    Frame,
    Hello,
    Outcome,
    OutcomeKind,
    Ping,
    Pong,
    RateReply,
    RateRequest,
    Recover,
    Reply,
    encode_parts,
)
from .memory_budget import SMALL_BYTES, MemoryBudget, Need, Part, UnsentBytes
from .peer_link import OUT_OF_MEMORY, NodeIncarnation
from .sockets import enable_liveness_checks, pause_reading

ORPHAN_TIMEOUT_MS = 1_500.0  # until a call whose connection was lost is cancelled
OUTCOME_RETENTION_MS = 6_000.0  # a reply may be lost with its connection
RETRY_AFTER_MS = 100.0
OUT_OF_MEMORY_RETRY_MS = 500.0  # by then most of what took the memory has ended
SMALL_OUTCOME_BYTES = 1_024  # kept for its time, whatever else is held
CALL_BYTES = 1_000  # that a call takes beside its head and body, until it is forgotten


class AttemptRunner(Protocol):
    """Runs attempts at the upstream of this VM."""

    def submit(self, attempt: Attempt, on_outcome: Callable[[Outcome], None]) -> int:
        """Start an attempt, and return its number."""

    def cancel(self, number: int) -> bool:
        """Cancel an attempt without an outcome; return whether it may have run."""

    def load(self) -> Load:
        """Return the load of the upstream."""

    def vm_pace(self) -> float:
        """Return how long work takes on its VM; 0.0 if it is not known."""


# For a call whose outcome is not kept, or not any more.
LOST = Outcome(OutcomeKind.FAILED, reason="the answer was lost on its way")


class _CallKey(NamedTuple):
    node: str
    incarnation: int
    stream: int


class _CallState:
    """A call of another node.

    :ivar outcome: set when it has ended, and also for a call that must not start.
    :ivar n_attempt_bytes: size of the attempt while the upstream may still get it.
    :ivar n_kept_bytes: size of the outcome while it is kept.
    """

    __slots__ = (
        "changed_ms",
        "connection",
        "idempotent",
        "n_attempt_bytes",
        "n_kept_bytes",
        "number",
        "outcome",
    )

    def __init__(self, connection: "PeerConnection", changed_ms: float) -> None:
        self.connection: PeerConnection | None = connection
        self.number: int | None = None
        self.outcome: Outcome | None = None
        self.idempotent = True
        self.changed_ms = changed_ms
        self.n_attempt_bytes = 0
        self.n_kept_bytes = 0


class PeerCalls:
    """Calls of all other nodes, by calling node and stream.

    :param own: this node, in this incarnation.
    :param config_replies: replies to nodes that request the configuration.
    :param grant: returns whether this node, as an organisation's home node, admits a
        request.
    """

    def __init__(
        self,
        own: NodeIncarnation,
        runner: AttemptRunner,
        clock: Clock,
        log: DecisionLog,
        config_replies: ConfigReplies,
        grant: Callable[[str], bool],
        memory: MemoryBudget,
    ) -> None:
        self.own = own
        self.memory = memory
        memory.reclaimers.append(self)
        self.clock = clock
        self.log = log
        self.config_replies = config_replies
        self.grant = grant
        self._runner = runner
        self._calls_by_key: dict[_CallKey, _CallState] = {}
        self._orphans: dict[_CallKey, _CallState] = {}
        self._ended_ms_by_key: OrderedDict[_CallKey, float] = OrderedDict()
        self._kept: OrderedDict[_CallKey, _CallState] = OrderedDict()
        self.connections: set[PeerConnection] = set()
        self.unsent: set[PeerConnection] = set()

    def __repr__(self) -> str:
        return f"PeerCalls(n_calls={len(self._calls_by_key)})"

    def call(
        self, key: _CallKey, attempt: Attempt, connection: "PeerConnection"
    ) -> None:
        """Start a call, unless its caller was told that it will not run."""
        if key in self._calls_by_key:
            return
        n_bytes = len(attempt.body) + len(attempt.head) + CALL_BYTES
        if self.memory.is_full and not self.memory.make_room(Need(n_bytes, n_bytes)):
            self.refuse(key, connection)
            return
        state = _CallState(connection, self.clock.now_ms())
        state.idempotent = attempt.idempotent
        state.n_attempt_bytes = n_bytes
        self.memory.add(Part.ATTEMPTS, n_bytes)
        self._calls_by_key[key] = state

        def on_outcome(outcome: Outcome) -> None:
            self._finish(key, state, outcome)

        state.number = self._runner.submit(attempt, on_outcome)

    def refuse(self, key: _CallKey, connection: "PeerConnection") -> None:
        """Refuse a call that there is no memory for."""
        outcome = Outcome(
            OutcomeKind.REFUSED,
            reason=OUT_OF_MEMORY,
            retry_after_ms=OUT_OF_MEMORY_RETRY_MS,
        )
        self._reply(key, outcome, connection)

    def reclaim(self, need: Need) -> None:
        """Forget kept outcomes, the oldest first.

        The caller is told that its request may have run if the link is lost then.
        """
        while self._kept and not self.memory.will_fit(need):
            _, state = self._kept.popitem(last=False)
            self.memory.add(Part.KEPT_OUTCOMES, -state.n_kept_bytes)
            state.n_kept_bytes = 0
            state.outcome = LOST

    def cancel(self, key: _CallKey) -> None:
        """Cancel a call.

        A started request that is not idempotent continues to run at the upstream.
        """
        state = self._calls_by_key.get(key)
        if state is None or state.outcome is not None or state.number is None:
            return
        self._cancel(key, state)

    def recover(self, key: _CallKey, connection: "PeerConnection") -> None:
        """Send the outcome of a call whose connection was lost, when it is known."""
        state = self._calls_by_key.get(key)
        if state is None:
            state = _CallState(connection, self.clock.now_ms())
            outcome = Outcome(
                OutcomeKind.REFUSED,
                reason="the request was lost on its way to the node",
                retry_after_ms=RETRY_AFTER_MS,
            )
            self._calls_by_key[key] = state
            self._finish(key, state, outcome)
            return
        state.connection = connection
        state.changed_ms = self.clock.now_ms()
        if state.outcome is not None:
            self._reply(key, state.outcome, connection)

    def on_disconnected(self, connection: "PeerConnection") -> None:
        """Handle the loss of a connection; its calls may be recovered for a while."""
        self.connections.discard(connection)
        self.unsent.discard(connection)
        now_ms = self.clock.now_ms()
        for key, state in self._calls_by_key.items():
            if state.connection is connection:
                state.connection = None
                state.changed_ms = now_ms
                if state.outcome is None:
                    self._orphans[key] = state

    def tick(self) -> None:
        """Cancel orphaned calls, and remove old outcomes."""
        now_ms = self.clock.now_ms()
        for key, state in list(self._orphans.items()):
            if state.connection is not None or state.outcome is not None:
                del self._orphans[key]
            elif now_ms - state.changed_ms > ORPHAN_TIMEOUT_MS:
                del self._orphans[key]
                self._cancel(key, state)
        while self._ended_ms_by_key:
            key, ended_ms = next(iter(self._ended_ms_by_key.items()))
            if now_ms - ended_ms < OUTCOME_RETENTION_MS:
                break
            del self._ended_ms_by_key[key]
            self._calls_by_key.pop(key, None)
            kept = self._kept.pop(key, None)
            if kept is not None:
                self.memory.add(Part.KEPT_OUTCOMES, -kept.n_kept_bytes)
        for connection in self.unsent:
            connection.count_unsent()

    def _cancel(self, key: _CallKey, state: _CallState) -> None:
        assert state.number is not None
        may_have_run = self._runner.cancel(state.number)
        if state.idempotent or not may_have_run:  # the upstream does not go on with it
            self._release_attempt(state)
        kind = OutcomeKind.FAILED if may_have_run else OutcomeKind.REFUSED
        state.outcome = Outcome(kind, reason="cancelled by the calling node")
        self._ended_ms_by_key[key] = self.clock.now_ms()

    def _finish(self, key: _CallKey, state: _CallState, outcome: Outcome) -> None:
        self._release_attempt(state)
        if state.outcome is not None:
            return
        state.outcome = outcome
        connection = state.connection
        if connection is not None:
            self._reply(key, outcome, connection)
        if state.idempotent and connection is not None:
            state.outcome = LOST  # keep no body; the request may run again
        else:
            self._keep(key, state, outcome)
        self._ended_ms_by_key[key] = self.clock.now_ms()

    def _keep(self, key: _CallKey, state: _CallState, outcome: Outcome) -> None:
        """Count an outcome that is kept in case its link is lost."""
        if len(outcome.body) > SMALL_OUTCOME_BYTES:
            state.n_kept_bytes = len(outcome.body) + len(outcome.headers)
            self._kept[key] = state
            self.memory.add(Part.KEPT_OUTCOMES, state.n_kept_bytes)
            if self.memory.is_full:
                self.reclaim(Need(0, SMALL_BYTES + 1))

    def _release_attempt(self, state: _CallState) -> None:
        self.memory.add(Part.ATTEMPTS, -state.n_attempt_bytes)
        state.n_attempt_bytes = 0

    def _reply(
        self, key: _CallKey, outcome: Outcome, connection: "PeerConnection"
    ) -> None:
        runner = self._runner
        n_bytes = len(outcome.body)
        if n_bytes > SMALL_BYTES and not self.memory.make_room(Need(n_bytes, n_bytes)):
            outcome = Outcome(OutcomeKind.FAILED, reason=OUT_OF_MEMORY)
        connection.send(Reply(key.stream, outcome, runner.load(), runner.vm_pace()))


class PeerConnection(asyncio.Protocol):
    """A connection from another node."""

    def __init__(self, calls: PeerCalls) -> None:
        self._calls = calls
        self._reader = FrameReader(
            self._receive,
            self._refuse_dropped,
            calls.memory,
            lambda: pause_reading(self._transport),
        )
        self._unsent = UnsentBytes(calls.memory)
        self._transport: asyncio.Transport | None = None
        self._hello: Hello | None = None

    def __repr__(self) -> str:
        return f"PeerConnection({self._hello})"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and enable liveness checks."""
        self._transport = cast(asyncio.Transport, transport)
        self._calls.connections.add(self)
        enable_liveness_checks(transport)

    def data_received(self, data: bytes) -> None:
        """Process received frames; close the connection if they are invalid."""
        try:
            self._reader.feed(data)
        except ValueError as error:
            self._calls.log.write("peer link broken", reason=str(error))
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the calls of this connection as orphaned."""
        self._reader.close()
        self._unsent.count(0)
        self._calls.config_replies.forget(self)
        self._calls.on_disconnected(self)

    def pause_writing(self) -> None:
        """Count what the other node does not take at once."""
        self._calls.unsent.add(self)
        self.count_unsent()

    def resume_writing(self) -> None:
        """Count no more, since the other node has taken nearly all."""
        self._calls.unsent.discard(self)
        self._unsent.count(0)

    def count_unsent(self) -> None:
        """Count what the transport holds now."""
        if self._transport is not None and not self._transport.is_closing():
            self._unsent.count(self._transport.get_write_buffer_size())

    def send(self, frame: Frame) -> None:
        """Send a frame, unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            parts = encode_parts(frame)
            if len(parts) > 1:
                self.count_unsent()  # forgets earlier writes that are sent
                self._unsent.note_large(sum(map(len, parts)))
            self._transport.writelines(parts)
            if self in self._calls.unsent:
                self.count_unsent()

    def close(self) -> None:
        """Close the connection immediately."""
        if self._transport is not None:
            self._transport.abort()

    def _receive(self, frame: Frame) -> None:
        if isinstance(frame, Hello):
            self._hello = frame
            self.send(Hello(*self._calls.own))
            return
        if self._hello is None:
            raise ValueError("received a frame before the hello")
        if isinstance(frame, Ping):
            self.send(Pong())
        elif isinstance(frame, RateRequest):
            is_granted = self._calls.grant(frame.organisation)
            self.send(RateReply(frame.stream, is_granted))
        elif isinstance(frame, ConfigRequest):
            self._calls.config_replies.request(self, frame)
        elif isinstance(frame, Call):
            self._calls.call(self._key(frame.stream), frame.attempt, self)
        elif isinstance(frame, Cancel):
            self._calls.cancel(self._key(frame.stream))
        elif isinstance(frame, Recover):
            self._calls.recover(self._key(frame.stream), self)

    def _refuse_dropped(self, frame: DroppedCall | DroppedReply) -> None:
        if self._hello is None:
            raise ValueError("received a frame before the hello")
        if isinstance(frame, DroppedCall):
            self._calls.refuse(self._key(frame.stream), self)

    def _key(self, stream: int) -> _CallKey:
        assert self._hello is not None
        return _CallKey(self._hello.node, self._hello.incarnation, stream)
