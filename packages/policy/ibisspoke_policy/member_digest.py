"""Digests of a member view, to find the rows in which two views differ."""

import hashlib

from .member import Member

N_BUCKETS = 256
DIGEST_BYTES = 8


class MemberDigest:
    """Keep the XOR of the row hashes of each bucket.

    Only present members count, as nodes drop the rows of departed members at
    different times.
    """

    def __init__(self) -> None:
        self.total = 0
        self._buckets = [0] * N_BUCKETS

    def __repr__(self) -> str:
        return f"MemberDigest({self.total:016x})"

    def replace(self, old: Member | None, new: Member | None) -> None:
        """Remove ``old`` from the digest and add ``new``."""
        for row in (old, new):
            if row is not None and row.is_present:
                value = _hash(f"{row.id}|{row.incarnation}|{row.state}")
                self.total ^= value
                self._buckets[bucket_of(row.id)] ^= value

    def buckets(self) -> tuple[int, ...]:
        """Return the digest of each bucket."""
        return tuple(self._buckets)

    def differing(self, buckets: tuple[int, ...]) -> set[int]:
        """Return the buckets in which the digests of another view differ."""
        pairs = enumerate(zip(self._buckets, buckets, strict=True))
        return {bucket for bucket, (own, other) in pairs if own != other}


def bucket_of(member_id: str) -> int:
    """Return the bucket of a member."""
    return _hash(member_id) % N_BUCKETS


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest)
