"""Client side of the links between nodes: calls over a multiplexed connection."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, cast

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.evacuations import EvacuationPosition
from ibisspoke_policy.upstream_queue import Load

from .decision_log import DecisionLog
from .frame_reader import DroppedCall, DroppedReply, FrameReader
from .frames import (
    FINAL_STATUSES,
    MIN_APART_BYTES,
    Attempt,
    Call,
    Cancel,
    ConfigReply,
    ConfigRequest,
    Frame,
    Hello,
    Outcome,
    OutcomeKind,
    Ping,
    RateReply,
    RateRequest,
    Recover,
    Reply,
    encode_frame,
    encode_parts,
)
from .memory_budget import SMALL_BYTES, MemoryBudget, Part, UnsentBytes
from .sockets import enable_liveness_checks, pause_reading

CONNECT_TIMEOUT_MS = 600  # about 15 round trips of the slowest link
PING_AFTER_MS = 200.0  # without received bytes while calls are pending
SUSPECT_AFTER_MS = 120.0  # after two round trips; allows for pauses of a busy node
PONG_TIMEOUT_MS = 700.0  # after a ping without reply, the connection is closed
RECOVER_TIMEOUT_MS = 1_500.0  # to get the outcome of a call over a new connection
RECONNECT_DELAY_MS = 400.0  # no new attempt for this time after a failed connection
# The same for the configuration: the node may have started at the same moment.
CONFIG_RECONNECT_DELAY_MS = 50.0
RETRY_AFTER_MS = 150.0
OUT_OF_MEMORY = "the node is out of memory"  # reason of an outcome


class NodeIncarnation(NamedTuple):
    """A node, in one incarnation."""

    node: str
    incarnation: int


OnLoad = Callable[[Load, float], None]
OnConfig = Callable[[ConfigReply], None]


class _PendingCall:
    """A call without an outcome, or whose outcome was not taken yet.

    :ivar n_sent_bytes: size of the attempt's body, which the caller's request holds.
    :ivar n_answer_bytes: size of the answer's body if it is large.
    """

    __slots__ = ("ended", "incarnation", "lost_ms", "n_answer_bytes", "n_sent_bytes")

    def __init__(self, incarnation: int, n_sent_bytes: int) -> None:
        self.incarnation = incarnation
        self.n_sent_bytes = n_sent_bytes
        self.n_answer_bytes = 0
        self.ended: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self.lost_ms: float | None = None


class _LinkProtocol(asyncio.Protocol):
    """A connection of a link."""

    def __init__(self, link: "PeerLink") -> None:
        self._link = link
        self._reader = FrameReader(
            self._receive,
            link.receive_dropped,
            link.memory,
            lambda: pause_reading(self.transport),
        )
        self.transport: asyncio.Transport | None = None
        self.hello: asyncio.Future[Hello] = asyncio.get_running_loop().create_future()
        self.received_ms = 0.0
        self.pinged_ms: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and enable liveness checks."""
        self.transport = cast(asyncio.Transport, transport)
        enable_liveness_checks(transport)

    def data_received(self, data: bytes) -> None:
        """Process received frames; close the connection if they are invalid."""
        self.received_ms = self._link.clock.now_ms()
        self.pinged_ms = None
        try:
            self._reader.feed(data)
        except ValueError as error:
            self._link.log.write("link broken", peer=self._link.name, reason=str(error))
            assert self.transport is not None
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the handshake if it is not complete, and notify the link."""
        self._reader.close()
        if not self.hello.done():
            self.hello.set_exception(ConnectionResetError("closed before a hello"))
        self._link.on_closed(self, exc)

    def _receive(self, frame: Frame) -> None:
        if not isinstance(frame, Hello):
            self._link.receive(frame)
        elif not self.hello.done():
            self.hello.set_result(frame)


class PeerLink:
    """Link to another node, reconnected when its connection is lost.

    The outcome of a call whose connection was lost is requested over the next one. If
    the node in the same incarnation has never received the call, it did not run and
    never will. Nothing is known of calls to an earlier incarnation.

    :param rtt_ms: expected round trip time.
    :param on_load: called with the load that each reply contains, and the VM's pace.
    :param on_config: called with each configuration that the node sends.
    :param on_waiting: called with this link when a call begins; the link is then to be
        ticked while :attr:`is_waiting` holds.
    """

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        rtt_ms: float,
        own: NodeIncarnation,
        clock: Clock,
        log: DecisionLog,
        on_load: OnLoad,
        on_config: OnConfig,
        on_waiting: "Callable[[PeerLink], None]",
        memory: MemoryBudget,
    ) -> None:
        self.name = name
        self.memory = memory
        self._unsent = UnsentBytes(memory)
        self.clock = clock
        self.log = log
        self._host = host
        self._port = port
        self._reply_timeout_ms = SUSPECT_AFTER_MS + 2.0 * rtt_ms
        self._own = own
        self._on_load = on_load
        self._on_config = on_config
        self._on_waiting = on_waiting
        self._connection: _LinkProtocol | None = None
        self._opening: asyncio.Task[None] | None = None
        self._opening_since_ms = 0.0
        self._pending: dict[int, _PendingCall] = {}
        self._incarnation = 0
        self._wanted_config: tuple[int, EvacuationPosition] | None = None
        self._rate_answers: dict[int, asyncio.Future[bool | None]] = {}
        self._failed_ms = float("-inf")
        self.unreachable_until_ms = 0.0

    def __repr__(self) -> str:
        return f"PeerLink({self.name!r}, n_pending={len(self._pending)})"

    @property
    def n_pending(self) -> int:
        """Number of calls without an outcome."""
        return len(self._pending)

    @property
    def is_suspect(self) -> bool:
        """Whether a connection or a ping reply is taking longer than usual.

        The node may have failed without closing its connections. Until this is known,
        other nodes are preferred for new requests.
        """
        now_ms = self.clock.now_ms()
        if self._opening is not None:
            return now_ms - self._opening_since_ms > self._reply_timeout_ms
        connection = self._connection
        if connection is None or connection.pinged_ms is None:
            return False
        return now_ms - connection.pinged_ms > self._reply_timeout_ms

    async def call(self, stream: int, attempt: Attempt) -> Outcome:
        """Send an attempt and return its outcome.

        Cancelling the caller's task cancels the attempt.
        """
        if self._connection is None:
            if self.clock.now_ms() < self.unreachable_until_ms:
                return _not_connected("the node cannot be reached")
            await self._wait_until_open()
        connection = self._connection
        if connection is None or connection.transport is None:
            return _not_connected("no connection to the node")
        pending = _PendingCall(self._incarnation, len(attempt.body))
        self._pending[stream] = pending
        self._on_waiting(self)
        connection.transport.writelines(encode_parts(Call(stream, attempt)))
        try:
            return await pending.ended
        except asyncio.CancelledError:
            self._send(Cancel(stream))
            if pending.n_sent_bytes >= MIN_APART_BYTES:
                pending.n_sent_bytes = 0  # the caller's request holds it no longer
                self._unsent.note_large(len(attempt.body))
                self._count_unsent()
            raise
        finally:
            self._pending.pop(stream, None)
            if pending.n_answer_bytes:
                self.memory.add(Part.ANSWERS, -pending.n_answer_bytes)

    async def ask_rate(self, stream: int, organisation: str) -> bool | None:
        """Ask the node, as an organisation's home node, to admit a request.

        :returns: None if it cannot be reached.
        """
        if self._connection is None:
            if self.clock.now_ms() < self.unreachable_until_ms:
                return None
            await self._wait_until_open()
        if self._connection is None:
            return None
        answered: asyncio.Future[bool | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._rate_answers[stream] = answered
        self._send(RateRequest(stream, organisation))
        try:
            return await answered
        finally:
            self._rate_answers.pop(stream, None)

    def request_config(self, version: int, evacuations: EvacuationPosition) -> None:
        """Request a newer configuration than ``version``, or newer evacuations."""
        if self._connection is not None:
            self._send(ConfigRequest(version, self._nonce(), evacuations))
            return
        elapsed_ms = self.clock.now_ms() - self._failed_ms
        if elapsed_ms >= CONFIG_RECONNECT_DELAY_MS:
            self._wanted_config = (version, evacuations)
            self._start_opening()

    def _nonce(self) -> int:
        return max(1, int(self.clock.boot_ms()))

    def receive(self, frame: Frame) -> None:
        """Handle a frame of the other node."""
        if isinstance(frame, Reply):
            self._on_load(frame.load, frame.vm_pace)
            pending = self._pending.get(frame.stream)
            if pending is not None and not pending.ended.done():
                if len(frame.outcome.body) > SMALL_BYTES:
                    pending.n_answer_bytes = len(frame.outcome.body)
                    self.memory.add(Part.ANSWERS, pending.n_answer_bytes)
                pending.ended.set_result(_checked(frame.outcome))
        elif isinstance(frame, RateReply):
            answered = self._rate_answers.get(frame.stream)
            if answered is not None and not answered.done():
                answered.set_result(frame.is_granted)
        elif isinstance(frame, ConfigReply):
            self._on_config(frame)

    def receive_dropped(self, frame: DroppedCall | DroppedReply) -> None:
        """Fail a call whose answer there was no memory for."""
        pending = self._pending.get(frame.stream)
        if pending is not None and not pending.ended.done():
            pending.ended.set_result(Outcome(OutcomeKind.FAILED, reason=OUT_OF_MEMORY))

    def on_closed(self, connection: _LinkProtocol, exc: Exception | None) -> None:
        """Handle the end of a connection."""
        if connection is not self._connection:
            return
        self._connection = None
        self._unsent.count(0)
        for answered in self._rate_answers.values():
            if not answered.done():
                answered.set_result(None)
        if not self._pending:
            return
        now_ms = self.clock.now_ms()
        reason = str(exc) if exc else "closed by the other node"
        self.log.write(
            "link lost", peer=self.name, n_pending=len(self._pending), reason=reason
        )
        for pending in self._pending.values():
            pending.lost_ms = now_ms
        self._start_opening()

    @property
    def is_waiting(self) -> bool:
        """Whether ticks matter: for calls, an unanswered ping, or unsent bytes."""
        connection = self._connection
        is_pinged = connection is not None and connection.pinged_ms is not None
        return bool(self._pending) or is_pinged or self._unsent.n_bytes > 0

    def tick(self) -> None:
        """Ping a silent connection, and fail calls that cannot be recovered."""
        now_ms = self.clock.now_ms()
        connection = self._connection
        if connection is not None:
            self._check_silence(connection, now_ms)
            if self._unsent.n_bytes:
                self._count_unsent()
        for pending in list(self._pending.values()):
            lost_ms = pending.lost_ms
            if lost_ms is None or pending.ended.done():
                continue
            if now_ms - lost_ms > RECOVER_TIMEOUT_MS:
                reason = "the node went silent while it had the request"
                pending.ended.set_result(Outcome(OutcomeKind.FAILED, reason=reason))
            elif self._connection is None:
                self._start_opening()

    def close(self) -> None:
        """Close the connection; pending calls fail."""
        if self._opening is not None:
            self._opening.cancel()
        if self._connection is not None and self._connection.transport is not None:
            self._connection.transport.abort()

    def _check_silence(self, connection: _LinkProtocol, now_ms: float) -> None:
        if connection.pinged_ms is None:
            if self._pending and now_ms - connection.received_ms > PING_AFTER_MS:
                connection.pinged_ms = now_ms
                self._send(Ping())
        elif now_ms - connection.pinged_ms > PONG_TIMEOUT_MS:
            assert connection.transport is not None
            connection.transport.abort()

    def _count_unsent(self) -> None:
        """Count what the transport holds of bodies whose callers have left.

        The bodies of pending calls are counted with the requests of the callers.
        """
        connection, n_bytes = self._connection, 0
        if connection is not None and connection.transport is not None:
            n_bytes = connection.transport.get_write_buffer_size()
            n_bytes -= sum(pending.n_sent_bytes for pending in self._pending.values())
        self._unsent.count(n_bytes)
        if n_bytes > 0:
            self._on_waiting(self)

    def _send(self, frame: Frame) -> None:
        connection = self._connection
        if connection is not None and connection.transport is not None:
            connection.transport.write(encode_frame(frame))

    async def _wait_until_open(self) -> None:
        self._start_opening()
        if self._opening is not None:
            await asyncio.wait([self._opening], timeout=self._reply_timeout_ms / 1000.0)

    def _start_opening(self) -> None:
        if self._connection is None and self._opening is None:
            self._opening_since_ms = self.clock.now_ms()
            self._opening = asyncio.ensure_future(self._open())

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        transport: asyncio.Transport | None = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000.0):
                transport, connection = await loop.create_connection(
                    lambda: _LinkProtocol(self), self._host, self._port
                )
                transport.write(encode_frame(Hello(*self._own)))
                hello = await connection.hello
        except (OSError, TimeoutError) as error:
            if transport is not None:
                transport.abort()
            self._failed_ms = self.clock.now_ms()
            self.unreachable_until_ms = self._failed_ms + RECONNECT_DELAY_MS
            self.log.write(
                "node unreachable", peer=self.name, reason=str(error) or "timed out"
            )
            return
        finally:
            self._opening = None
        connection.received_ms = self.clock.now_ms()
        self._connection = connection
        self._incarnation = hello.incarnation
        if self._wanted_config is not None:
            version, evacuations = self._wanted_config
            self._send(ConfigRequest(version, self._nonce(), evacuations))
            self._wanted_config = None
        for stream, pending in list(self._pending.items()):
            if pending.lost_ms is not None and not pending.ended.done():
                self._recover(stream, pending, transport)

    def _recover(
        self, stream: int, pending: _PendingCall, transport: asyncio.Transport
    ) -> None:
        """Request the outcome of a call, or fail it if the node has restarted."""
        pending.lost_ms = None
        if pending.incarnation == self._incarnation:
            transport.write(encode_frame(Recover(stream)))
            return
        reason = "the node ended while it had the request"
        pending.ended.set_result(Outcome(OutcomeKind.FAILED, reason=reason))


def _checked(outcome: Outcome) -> Outcome:
    """Return an outcome, as failed if its status is not one of an answer.

    Nodes of earlier versions pass on whatever status an upstream has sent.
    """
    if outcome.kind is not OutcomeKind.ANSWERED or outcome.status in FINAL_STATUSES:
        return outcome
    reason = f"the status {outcome.status} is not valid"
    return Outcome(OutcomeKind.FAILED, reason=reason)


def _not_connected(reason: str) -> Outcome:
    return Outcome(OutcomeKind.REFUSED, reason=reason, retry_after_ms=RETRY_AFTER_MS)
