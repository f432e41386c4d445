"""Collects the parts of a body, also when they are tiny."""

from typing import cast

MAX_PARTS = 64  # above it they are joined; each takes 40 bytes more than its content
JOINED_BYTES = 64 * 1024  # from which on parts are joined as they come


class BodyParts:
    """The parts of a body, in memory of about its size.

    A body in chunks of one byte would otherwise take a multiple of its size. Large
    bodies grow in one buffer, since joining their parts in the end would take their
    size once more.

    :ivar staged: parts that are not counted yet; the parser appends to it directly,
        since calling a method for each part would multiply the cost of tiny chunks.
    """

    __slots__ = ("_joined", "staged")

    def __init__(self) -> None:
        self.staged: list[bytes] = []
        self._joined = bytearray()

    def __repr__(self) -> str:
        return f"BodyParts({len(self._joined)} bytes joined)"

    def count(self) -> int:
        """Return the size of all parts, and join the staged ones if they are many."""
        staged = self.staged
        n_staged = sum(map(len, staged))
        if n_staged >= JOINED_BYTES or len(staged) > MAX_PARTS:
            self._join_staged()
            return len(self._joined)
        return len(self._joined) + n_staged

    def join(self) -> bytes:
        """Return the whole body, and forget its parts.

        :returns: a large body as the buffer in which it has grown, without a copy.
        """
        if not self._joined:
            body = b"".join(self.staged)  # the part itself if there is only one
            self.staged.clear()
            return body
        self._join_staged()
        body, self._joined = as_bytes(self._joined), bytearray()
        return body

    def clear(self) -> None:
        """Forget all parts."""
        self.staged.clear()
        if self._joined:
            self._joined = bytearray()

    def _join_staged(self) -> None:
        if len(self.staged) > MAX_PARTS:
            self._joined += b"".join(self.staged)
        else:
            for part in self.staged:
                self._joined += part
        self.staged.clear()


def as_bytes(buffer: bytearray | memoryview) -> bytes:
    """Return a buffer that is not changed any more, typed as bytes, without a copy.

    Bodies are only measured, compared and written, which works for every buffer.
    """
    return cast(bytes, buffer)
