"""Collects the parts of a request body, also when they are tiny."""

MAX_PARTS = 64  # above it they are joined; each takes 40 bytes more than its content
LARGE_PART_BYTES = 4_096  # on average; such parts are kept as they are
BLOCK_BYTES = 256 * 1024  # of joined parts


class BodyParts:
    """The parts of a body, in memory of about their size.

    A body in chunks of one byte would otherwise take a multiple of its size.

    :ivar staged: parts that are not counted yet; the parser appends to it directly,
        since calling a method for each part would multiply the cost of tiny chunks.
    """

    __slots__ = ("_blocks", "_n_counted", "_tail", "staged")

    def __init__(self) -> None:
        self.staged: list[bytes] = []
        self._blocks: list[bytes] = []
        self._tail = bytearray()
        self._n_counted = 0

    def __repr__(self) -> str:
        return f"BodyParts({self._n_counted} bytes)"

    def count(self) -> int:
        """Return the size of all parts, and join the staged ones if they are many."""
        n_staged = sum(map(len, self.staged))
        if len(self.staged) <= MAX_PARTS:
            return self._n_counted + n_staged
        if n_staged >= LARGE_PART_BYTES * len(self.staged):
            self._flush_tail()
            self._blocks += self.staged
        else:
            self._tail += b"".join(self.staged)
            if len(self._tail) >= BLOCK_BYTES:
                self._flush_tail()
        self.staged.clear()
        self._n_counted += n_staged
        return self._n_counted

    def join(self) -> bytes:
        """Return the whole body, and forget its parts."""
        if self._n_counted:
            self._flush_tail()
            self._blocks += self.staged
            body = b"".join(self._blocks)
        else:
            body = b"".join(self.staged)  # the part itself if there is only one
        self.clear()
        return body

    def clear(self) -> None:
        """Forget all parts."""
        self.staged.clear()
        self._blocks.clear()
        self._tail.clear()
        self._n_counted = 0

    def _flush_tail(self) -> None:
        if self._tail:
            self._blocks.append(bytes(self._tail))
            self._tail.clear()
