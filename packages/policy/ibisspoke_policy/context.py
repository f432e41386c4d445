"""The context of a request, authenticated with the fleet secret.

An upstream receives it as one opaque header and forwards it on nested calls.
"""

import base64
import binascii
import hashlib
import hmac
from typing import NamedTuple

import msgspec

from .catalogue import Importance

MAC_BYTES = 16
MAX_HOPS = 16

_encoder = msgspec.msgpack.Encoder()


class RequestContext(NamedTuple):
    """Metadata that is propagated with a request through its call tree.

    :param request_id: id of the root request.
    :param organisation: the organisation that made the request; empty on open calls.
    :param importance: importance of the root call.
    :param deadline_wall_ms: when the root caller times out.
    :param issued_wall_ms: when the root entry accepted it.
    :param retries_left: retries left for this branch of the tree.
    :param n_hops: number of hops so far.
    :param attempt_id: the attempt that makes the nested calls.
    :param admitted_level: the highest shed level that the request passed.
    """

    request_id: str
    organisation: str
    importance: Importance
    deadline_wall_ms: float
    issued_wall_ms: float
    retries_left: int
    n_hops: int
    attempt_id: str
    admitted_level: float = 0.0


class ContextSigner:
    """Sign and verify context tokens.

    :param secrets: fleet secrets; the first one signs; tokens signed with any of
        them are accepted.
    """

    def __init__(self, secrets: tuple[bytes, ...]) -> None:
        if not secrets:
            raise ValueError("no fleet secret; set at least one in the settings")
        self._secrets = secrets
        self._decoder = msgspec.msgpack.Decoder(RequestContext)

    def __repr__(self) -> str:
        return f"ContextSigner({len(self._secrets)} secrets)"

    def encode(self, context: RequestContext) -> str:
        """Return ``context`` as a header value."""
        payload = _encoder.encode(context)
        token = _mac(self._secrets[0], payload) + payload
        return base64.urlsafe_b64encode(token).decode()

    def decode(self, token: str) -> RequestContext | None:
        """Return the context in ``token``, or None if no fleet secret signed it."""
        try:
            raw = base64.urlsafe_b64decode(token.encode())
        except (ValueError, binascii.Error):
            return None
        mac, payload = raw[:MAC_BYTES], raw[MAC_BYTES:]
        if not any(
            hmac.compare_digest(mac, _mac(secret, payload)) for secret in self._secrets
        ):
            return None
        try:
            return self._decoder.decode(payload)
        except msgspec.DecodeError:
            return None


def _mac(secret: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, key=secret, digest_size=MAC_BYTES).digest()
