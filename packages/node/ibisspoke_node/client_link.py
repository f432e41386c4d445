"""Sending end of the call connections between nodes."""

import asyncio
import hmac
import itertools
import os
from typing import NamedTuple

from result import Err, Ok

from ibisspoke_policy.refusal import Ran, outcome_unknown

from ._link_protocol import (
    HANDSHAKE_TIMEOUT_MS,
    NONCE_BYTES,
    BodyAssembly,
    FrameProtocol,
    mac,
    out_of_memory,
)
from .buffer_budget import BufferBudget
from .frames import (
    ANSWER_HEAD,
    CALL_HEAD,
    CHUNK_BYTES,
    PROOF_HEAD,
    REFUSAL_HEAD,
    AnswerHead,
    CallHead,
    Frame,
    FrameError,
    FrameKind,
    Proof,
)
from .messages import Answer, Attempt, Outcome, OutcomeCallback, Refused

# After this many ticks without received data, a connection is pinged before it
# carries a call that is not idempotent.
QUIET_TICKS = 20
# Ticks without received data, while calls are open, until a ping is sent. After twice
# as many the connection is aborted.
SILENT_TICKS = 8


class _PartialAnswer(NamedTuple):
    """An answer whose body is not complete yet."""

    head: AnswerHead
    assembly: BodyAssembly


class ClientLink(FrameProtocol):
    """Send calls to one peer.

    :param node_id: identity of this node.
    """

    def __init__(
        self, secrets: tuple[bytes, ...], budget: BufferBudget, node_id: str
    ) -> None:
        super().__init__(secrets, budget)
        self._node_id = node_id
        self._nonce = os.urandom(NONCE_BYTES)
        self._ready: asyncio.Future[None] = asyncio.Future()
        self._stream_ids = itertools.count(1)
        self._done_by_stream: dict[int, OutcomeCallback] = {}
        self._partial_by_stream: dict[int, _PartialAnswer] = {}
        self._pong_by_stream: dict[int, asyncio.Future[None]] = {}
        self._n_quiet_ticks = 0
        self._n_waiting_ticks = 0

    def __repr__(self) -> str:
        return f"ClientLink({len(self._done_by_stream)} calls, closed={self.closed})"

    async def ready(self) -> None:
        """Wait for the handshake.

        :raises FrameError: when the peer does not know the fleet secret.
        :raises TimeoutError: when the peer does not answer in time.
        """
        await asyncio.wait_for(self._ready, HANDSHAKE_TIMEOUT_MS / 1000.0)

    def connection_lost(self, exc: Exception | None) -> None:
        """End open calls as unknown, since the peer may have run them."""
        super().connection_lost(exc)
        if not self._ready.done():
            self._ready.set_exception(FrameError("peer closed during the handshake"))
        for pong in self._pong_by_stream.values():
            pong.cancel()
        for partial in self._partial_by_stream.values():
            self._budget.answers.release(partial.assembly.n_bytes)
        self._partial_by_stream.clear()
        done_by_stream, self._done_by_stream = self._done_by_stream, {}
        for done in done_by_stream.values():
            refusal = outcome_unknown("the connection between nodes broke")
            done(Err(Refused(refusal)))

    def call(self, attempt: Attempt, body: bytes, done: OutcomeCallback) -> int:
        """Send an attempt and return its stream id for :meth:`cancel`."""
        stream_id = next(self._stream_ids)
        self._done_by_stream[stream_id] = done
        payload = CALL_HEAD.encode(CallHead(attempt, len(body)), body[:CHUNK_BYTES])
        self.send(FrameKind.CALL, stream_id, payload)
        if len(body) > CHUNK_BYTES:
            self.send_body(stream_id, body)
        return stream_id

    def cancel(self, stream_id: int) -> None:
        """Tell the peer that the outcome of an attempt is no longer needed."""
        if self._done_by_stream.pop(stream_id, None) is not None:
            self.send(FrameKind.CANCEL, stream_id)
        partial = self._partial_by_stream.pop(stream_id, None)
        if partial is not None:
            self._budget.answers.release(partial.assembly.n_bytes)

    async def ping(self, timeout_ms: float) -> bool:
        """Return whether the peer answers within ``timeout_ms``."""
        stream_id = next(self._stream_ids)
        pong: asyncio.Future[None] = asyncio.Future()
        self._pong_by_stream[stream_id] = pong
        self.send(FrameKind.PING, stream_id)
        try:
            await asyncio.wait_for(pong, timeout_ms / 1000.0)
        except (TimeoutError, asyncio.CancelledError):
            return False
        finally:
            self._pong_by_stream.pop(stream_id, None)
        return True

    @property
    def is_quiet(self) -> bool:
        """Whether the connection may be dead, as nothing was received recently."""
        return self._n_quiet_ticks >= QUIET_TICKS

    def tick(self) -> None:
        """Ping a peer that is silent while calls are open; then abort the connection.

        The open calls end as unknown. The peer itself may be healthy.
        """
        self._n_quiet_ticks += 1
        if not self._done_by_stream:
            self._n_waiting_ticks = 0
            return
        self._n_waiting_ticks += 1
        n_silent_ticks = min(self._n_waiting_ticks, self._n_quiet_ticks)
        if n_silent_ticks == SILENT_TICKS:
            self.send(FrameKind.PING, next(self._stream_ids))
        elif n_silent_ticks >= 2 * SILENT_TICKS:
            self.abort()

    def _handle(self, frame: Frame) -> None:
        self._n_quiet_ticks = 0
        if frame.kind is FrameKind.ANSWER:
            self._start_answer(frame)
        elif frame.kind is FrameKind.BODY:
            self._add_part(frame)
        elif frame.kind is FrameKind.REFUSAL:
            head, _ = REFUSAL_HEAD.decode(frame.payload)
            self._end(frame.stream_id, Err(Refused(*head)))
        elif frame.kind is FrameKind.PONG:
            pong = self._pong_by_stream.get(frame.stream_id)
            if pong is not None and not pong.done():
                pong.set_result(None)
        elif frame.kind is FrameKind.CHALLENGE:
            self._send_proof(frame)
        elif frame.kind is FrameKind.WELCOME:
            self._check_welcome(frame)
        else:
            raise FrameError(f"unexpected {frame.kind.name}")

    def _send_proof(self, frame: Frame) -> None:
        digest = mac(self._secrets[0], b"client", frame.payload, self._nonce)
        proof = Proof(self._node_id, self._nonce, digest)
        self.send(FrameKind.PROOF, 0, PROOF_HEAD.encode(proof))

    def _check_welcome(self, frame: Frame) -> None:
        expected = (mac(secret, b"server", self._nonce) for secret in self._secrets)
        if not any(hmac.compare_digest(frame.payload, digest) for digest in expected):
            raise FrameError("peer does not know a secret of this fleet")
        if not self._ready.done():
            self._ready.set_result(None)

    def _start_answer(self, frame: Frame) -> None:
        if frame.stream_id not in self._done_by_stream:
            return
        head, first = ANSWER_HEAD.decode(frame.payload)
        if head.n_body_bytes == len(first):
            self._end_with_answer(frame.stream_id, head, first)
            return
        if not self._budget.answers.reserve(head.n_body_bytes):
            refused = Refused(out_of_memory(Ran.UNKNOWN), head.level)
            self._end(frame.stream_id, Err(refused))
            return
        assembly = BodyAssembly(head.n_body_bytes, first)
        self._partial_by_stream[frame.stream_id] = _PartialAnswer(head, assembly)

    def _add_part(self, frame: Frame) -> None:
        partial = self._partial_by_stream.get(frame.stream_id)
        if partial is None:
            return
        partial.assembly.add(frame.payload)
        if partial.assembly.is_complete:
            del self._partial_by_stream[frame.stream_id]
            self._budget.answers.release(partial.assembly.n_bytes)
            self._end_with_answer(frame.stream_id, partial.head, partial.assembly.body)

    def _end_with_answer(self, stream_id: int, head: AnswerHead, body: bytes) -> None:
        answer = Answer(
            head.status,
            head.reason,
            head.headers,
            body,
            head.level,
            head.n_retries_unused,
        )
        self._end(stream_id, Ok(answer))

    def _end(self, stream_id: int, outcome: Outcome) -> None:
        done = self._done_by_stream.pop(stream_id, None)
        if done is not None:
            done(outcome)
