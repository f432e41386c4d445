"""Hash ring of the members of one data centre."""

import hashlib
from bisect import bisect_left, insort

HASH_BYTES = 8


class MemberRing:
    """Keep member ids ordered by their hash.

    The order is the same on every node. It does not depend on racks, so neighbours
    on the ring rarely fail together.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[int, str]] = []

    def __repr__(self) -> str:
        return f"MemberRing({len(self._entries)} members)"

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, member_id: object) -> bool:
        return isinstance(member_id, str) and self._index(member_id) is not None

    def __getitem__(self, position: int) -> str:
        return self._entries[position % len(self._entries)][1]

    def add(self, member_id: str) -> None:
        """Insert an id if it is absent."""
        if member_id not in self:
            insort(self._entries, _entry(member_id))

    def discard(self, member_id: str) -> None:
        """Remove an id if it is present."""
        index = self._index(member_id)
        if index is not None:
            del self._entries[index]

    def first(self, n: int) -> list[str]:
        """Return the ``n`` ids with the lowest hashes."""
        return [member_id for _, member_id in self._entries[:n]]

    def successors(self, member_id: str, n: int) -> list[str]:
        """Return the next ``n`` other ids after ``member_id``."""
        start = bisect_left(self._entries, _entry(member_id))
        start += member_id in self
        n_others = len(self._entries) - (member_id in self)
        return [self[start + step] for step in range(min(n, n_others))]

    def predecessors(self, member_id: str, n: int) -> list[str]:
        """Return the ``n`` other ids before ``member_id``, nearest first."""
        start = bisect_left(self._entries, _entry(member_id)) - 1
        n_others = len(self._entries) - (member_id in self)
        return [self[start - step] for step in range(min(n, n_others))]

    def _index(self, member_id: str) -> int | None:
        entry = _entry(member_id)
        index = bisect_left(self._entries, entry)
        if index < len(self._entries) and self._entries[index] == entry:
            return index
        return None


def _entry(member_id: str) -> tuple[int, str]:
    digest = hashlib.blake2b(member_id.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest), member_id
