"""Authenticated message codec of the control protocol."""

import hashlib
import hmac
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

MAC_BYTES = 16


class MessageAuthError(Exception):
    """A message is not authenticated by any accepted fleet secret."""


class AuthenticatedCodec(CodecBase):
    """Encode messages as MessagePack, preceded by a keyed BLAKE2b digest.

    :param secrets: fleet secrets; the first is used to encode, all are accepted.
    """

    __content_subtype__ = "msgpack"

    def __init__(self, secrets: tuple[bytes, ...]) -> None:
        self._secrets = secrets
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders_by_type: dict[Any, msgspec.msgpack.Decoder[Any]] = {}

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the digest and the encoded bytes of ``message``."""
        payload = self._encoder.encode(message)
        return _mac(self._secrets[0], payload) + payload

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message in ``data``.

        :raises MessageAuthError: when its digest matches no accepted secret.
        :raises msgspec.DecodeError: when it is not a valid ``message_type``.
        """
        mac, payload = data[:MAC_BYTES], data[MAC_BYTES:]
        if not any(
            hmac.compare_digest(mac, _mac(secret, payload)) for secret in self._secrets
        ):
            raise MessageAuthError(
                "message digest does not match a secret of this fleet"
            )
        decoder = self._decoders_by_type.get(message_type)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(message_type)
            self._decoders_by_type[message_type] = decoder
        return decoder.decode(payload)


def _mac(secret: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, key=secret, digest_size=MAC_BYTES).digest()
