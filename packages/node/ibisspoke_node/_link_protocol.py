"""Code shared by both ends of a call connection between nodes."""

import asyncio
import hashlib
import hmac
import logging

from ibisspoke_policy.refusal import Ran, Refusal, RefusalKind

from .buffer_budget import BufferBudget
from .frames import (
    CHUNK_BYTES,
    Frame,
    FrameError,
    FrameKind,
    FrameReader,
    Proof,
    encode_frame,
)

MAC_BYTES = 32
NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_MS = 2_000

logger = logging.getLogger(__name__)


class BodyAssembly:
    """A body that is received in parts."""

    def __init__(self, n_bytes: int, first: bytes) -> None:
        self.n_bytes = n_bytes
        self._parts = [first]
        self._n_received = len(first)

    def add(self, part: bytes) -> None:
        """Append a part."""
        self._parts.append(part)
        self._n_received += len(part)
        if self._n_received > self.n_bytes:
            raise FrameError("body is longer than announced")

    @property
    def is_complete(self) -> bool:
        """Whether every byte has been received."""
        return self._n_received == self.n_bytes

    @property
    def body(self) -> bytes:
        """The bytes received."""
        return self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)


class FrameProtocol(asyncio.Protocol):
    """Base class of both ends of a call connection."""

    def __init__(self, secrets: tuple[bytes, ...], budget: BufferBudget) -> None:
        self._secrets = secrets
        self._budget = budget
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._senders: set[asyncio.Task[None]] = set()
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop sending."""
        self.closed = True
        self._writable.set()
        for sender in self._senders:
            sender.cancel()

    def pause_writing(self) -> None:
        """Pause sending bodies."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume sending bodies."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Handle the received frames."""
        try:
            for frame in self._reader.feed(data):
                self._handle(frame)
        except FrameError as error:
            logger.warning("call connection closed", extra={"reason": str(error)})
            self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def send(self, kind: FrameKind, stream_id: int, payload: bytes = b"") -> None:
        """Write one frame."""
        if self._transport is not None and not self.closed:
            self._transport.write(encode_frame(kind, stream_id, payload))

    def send_body(self, stream_id: int, body: bytes) -> asyncio.Task[None]:
        """Write all but the first chunk of a body, as fast as the peer reads it."""
        sender = asyncio.ensure_future(self._send_parts(stream_id, body))
        self._senders.add(sender)
        sender.add_done_callback(self._senders.discard)
        return sender

    async def _send_parts(self, stream_id: int, body: bytes) -> None:
        for start in range(CHUNK_BYTES, len(body), CHUNK_BYTES):
            await self._writable.wait()
            if self.closed:
                return
            self.send(FrameKind.BODY, stream_id, body[start : start + CHUNK_BYTES])
            await asyncio.sleep(0)

    def _handle(self, frame: Frame) -> None:
        raise NotImplementedError


def mac(secret: bytes, *parts: bytes) -> bytes:
    """Return the keyed digest of ``parts``."""
    digest = hashlib.blake2b(key=secret, digest_size=MAC_BYTES)
    for part in parts:
        digest.update(part)
    return digest.digest()


def matching_secret(
    secrets: tuple[bytes, ...], role: bytes, nonce: bytes, proof: Proof
) -> bytes | None:
    """Return the secret that ``proof`` was created with, or None."""
    for secret in secrets:
        if hmac.compare_digest(proof.mac, mac(secret, role, nonce, proof.nonce)):
            return secret
    return None


def out_of_memory(ran: Ran) -> Refusal:
    """Return the refusal of a body that does not fit the byte budget."""
    return Refusal(
        RefusalKind.OUT_OF_MEMORY,
        ran,
        "the node holds as many bytes of bodies as its settings allow",
        "retry after the time given, or raise limits.max_buffer_bytes",
        1_000 if ran is Ran.NOT_RUN else None,
    )
