"""Receiving end of the call connections between nodes."""

import asyncio
import os
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple, Protocol

from result import Err

from ibisspoke_policy.refusal import Ran

from ._link_protocol import (
    HANDSHAKE_TIMEOUT_MS,
    NONCE_BYTES,
    BodyAssembly,
    FrameProtocol,
    mac,
    matching_secret,
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
    Frame,
    FrameError,
    FrameKind,
    RefusalHead,
)
from .messages import Attempt, Outcome, OutcomeCallback, Refused

LISTEN_BACKLOG = 4_096


class AttemptHandler(Protocol):
    """Run attempts and report the outcome of each by one call of ``done``."""

    def submit(self, attempt: Attempt, body: bytes, done: OutcomeCallback) -> int:
        """Start an attempt and return its id for :meth:`cancel`."""

    def cancel(self, attempt_id: int) -> None:
        """Cancel an attempt; ``done`` is not called."""


class _PartialCall(NamedTuple):
    """A call whose body is not complete yet."""

    attempt: Attempt
    assembly: BodyAssembly


class _Running(NamedTuple):
    """A submitted attempt and the length of its body."""

    attempt_id: int
    n_bytes: int


class ServerLink(FrameProtocol):
    """Serve the calls of one peer.

    :param handler: runs the attempts.
    """

    def __init__(
        self,
        secrets: tuple[bytes, ...],
        budget: BufferBudget,
        handler: AttemptHandler,
        on_close: Callable[["ServerLink"], None],
    ) -> None:
        super().__init__(secrets, budget)
        self._handler = handler
        self._on_close = on_close
        self._nonce = os.urandom(NONCE_BYTES)
        self._authenticated = False
        self._partial_by_stream: dict[int, _PartialCall] = {}
        self._running_by_stream: dict[int, _Running] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the handshake challenge to the peer."""
        super().connection_made(transport)
        self.send(FrameKind.CHALLENGE, 0, self._nonce)
        loop = asyncio.get_running_loop()
        loop.call_later(HANDSHAKE_TIMEOUT_MS / 1000.0, self._close_unauthenticated)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the calls of the peer."""
        super().connection_lost(exc)
        for partial in self._partial_by_stream.values():
            self._budget.release(partial.assembly.n_bytes)
        self._partial_by_stream.clear()
        for stream_id in list(self._running_by_stream):
            self._cancel(stream_id)
        self._on_close(self)

    def _close_unauthenticated(self) -> None:
        if not self._authenticated:
            self.abort()

    def _handle(self, frame: Frame) -> None:
        if not self._authenticated:
            self._check_proof(frame)
        elif frame.kind is FrameKind.CALL:
            self._start_call(frame)
        elif frame.kind is FrameKind.BODY:
            self._add_part(frame)
        elif frame.kind is FrameKind.CANCEL:
            self._cancel(frame.stream_id)
        elif frame.kind is FrameKind.PING:
            self.send(FrameKind.PONG, frame.stream_id)
        else:
            raise FrameError(f"unexpected {frame.kind.name}")

    def _check_proof(self, frame: Frame) -> None:
        if frame.kind is not FrameKind.PROOF:
            raise FrameError("no proof of the fleet secret")
        proof, _ = PROOF_HEAD.decode(frame.payload)
        secret = matching_secret(self._secrets, b"client", self._nonce, proof)
        if secret is None:
            raise FrameError("proof does not match a secret of this fleet")
        self._authenticated = True
        self.send(FrameKind.WELCOME, 0, mac(secret, b"server", proof.nonce))

    def _start_call(self, frame: Frame) -> None:
        head, first = CALL_HEAD.decode(frame.payload)
        stream_id = frame.stream_id
        if not self._budget.reserve(head.n_body_bytes):
            self._reply(stream_id, Err(Refused(out_of_memory(Ran.NOT_RUN))))
            return
        assembly = BodyAssembly(head.n_body_bytes, first)
        partial = _PartialCall(head.attempt, assembly)
        if assembly.is_complete:
            self._submit(stream_id, partial)
        else:
            self._partial_by_stream[stream_id] = partial

    def _add_part(self, frame: Frame) -> None:
        partial = self._partial_by_stream.get(frame.stream_id)
        if partial is None:
            return
        partial.assembly.add(frame.payload)
        if partial.assembly.is_complete:
            del self._partial_by_stream[frame.stream_id]
            self._submit(frame.stream_id, partial)

    def _submit(self, stream_id: int, partial: _PartialCall) -> None:
        body = partial.assembly.body
        ended = False

        def done(outcome: Outcome) -> None:
            nonlocal ended
            ended = True
            self._budget.release(len(body))
            self._running_by_stream.pop(stream_id, None)
            self._reply(stream_id, outcome)

        attempt_id = self._handler.submit(partial.attempt, body, done)
        if not ended:
            self._running_by_stream[stream_id] = _Running(attempt_id, len(body))

    def _cancel(self, stream_id: int) -> None:
        partial = self._partial_by_stream.pop(stream_id, None)
        if partial is not None:
            self._budget.release(partial.assembly.n_bytes)
        running = self._running_by_stream.pop(stream_id, None)
        if running is not None:
            self._budget.release(running.n_bytes)
            self._handler.cancel(running.attempt_id)

    def _reply(self, stream_id: int, outcome: Outcome) -> None:
        if isinstance(outcome, Err):
            refused = outcome.err_value
            head = RefusalHead(refused.refusal, refused.level, refused.n_retries_unused)
            self.send(FrameKind.REFUSAL, stream_id, REFUSAL_HEAD.encode(head))
            return
        answer = outcome.ok_value
        answer_head = AnswerHead(
            answer.status,
            answer.reason,
            answer.headers,
            answer.level,
            len(answer.body),
            answer.n_retries_unused,
        )
        payload = ANSWER_HEAD.encode(answer_head, answer.body[:CHUNK_BYTES])
        self.send(FrameKind.ANSWER, stream_id, payload)
        if len(answer.body) > CHUNK_BYTES:
            n_bytes = len(answer.body)
            answers = self._budget.answers
            answers.hold(n_bytes)
            sender = self.send_body(stream_id, answer.body)
            sender.add_done_callback(lambda _: answers.release(n_bytes))


@asynccontextmanager
async def link_server(
    handler: AttemptHandler,
    secrets: tuple[bytes, ...],
    budget: BufferBudget,
    host: str,
    port: int,
) -> AsyncIterator[int]:
    """Serve the calls of other nodes while the context is open.

    :returns: the port in use; differs from ``port`` when that is 0.
    """
    links: set[ServerLink] = set()

    def make() -> ServerLink:
        link = ServerLink(secrets, budget, handler, links.discard)
        links.add(link)
        return link

    loop = asyncio.get_running_loop()
    server = await loop.create_server(make, host, port, backlog=LISTEN_BACKLOG)
    try:
        yield int(server.sockets[0].getsockname()[1])
    finally:
        server.close()
        for link in list(links):
            link.abort()
