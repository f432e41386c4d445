"""Sealed message codec of the control protocol."""

import hashlib
import hmac
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

MAC_BYTES = 16


class SealError(Exception):
    """A message that no accepted fleet secret sealed."""


class SealedCodec(CodecBase):
    """Encode messages as MessagePack behind a keyed BLAKE2b digest.

    :param secrets: fleet secrets; the first seals, all of them are accepted.
    """

    __content_subtype__ = "msgpack"

    def __init__(self, secrets: tuple[bytes, ...]) -> None:
        self._secrets = secrets
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders_by_type: dict[Any, msgspec.msgpack.Decoder[Any]] = {}

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the sealed bytes of ``message``."""
        payload = self._encoder.encode(message)
        return _mac(self._secrets[0], payload) + payload

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message in ``data``.

        :raises SealError: when no accepted secret sealed it.
        :raises msgspec.DecodeError: when it is not a ``message_type``.
        """
        mac, payload = data[:MAC_BYTES], data[MAC_BYTES:]
        if not any(
            hmac.compare_digest(mac, _mac(secret, payload)) for secret in self._secrets
        ):
            raise SealError("message is not sealed with a secret of this fleet")
        decoder = self._decoders_by_type.get(message_type)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(message_type)
            self._decoders_by_type[message_type] = decoder
        return decoder.decode(payload)


def _mac(secret: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, key=secret, digest_size=MAC_BYTES).digest()
