"""Order of the members of one data centre on a ring."""

import hashlib
from bisect import bisect_left, insort

HASH_BYTES = 8


class MemberRing:
    """Keep ids ordered by their hash.

    The order is the same on every node and has nothing to do with racks, so that
    neighbours rarely fail together.
    """

    def __init__(self) -> None:
        self._slots: list[tuple[int, str]] = []

    def __repr__(self) -> str:
        return f"MemberRing({len(self._slots)} members)"

    def __len__(self) -> int:
        return len(self._slots)

    def __contains__(self, member_id: object) -> bool:
        return isinstance(member_id, str) and self._index(member_id) is not None

    def __getitem__(self, position: int) -> str:
        return self._slots[position % len(self._slots)][1]

    def add(self, member_id: str) -> None:
        """Insert an id if it is absent."""
        if member_id not in self:
            insort(self._slots, _slot(member_id))

    def discard(self, member_id: str) -> None:
        """Remove an id if it is present."""
        index = self._index(member_id)
        if index is not None:
            del self._slots[index]

    def first(self, n: int) -> list[str]:
        """Return the ``n`` ids of the lowest hashes."""
        return [member_id for _, member_id in self._slots[:n]]

    def successors(self, member_id: str, n: int) -> list[str]:
        """Return the next ``n`` other ids after ``member_id``."""
        start = bisect_left(self._slots, _slot(member_id))
        start += member_id in self
        n_others = len(self._slots) - (member_id in self)
        return [self[start + step] for step in range(min(n, n_others))]

    def predecessors(self, member_id: str, n: int) -> list[str]:
        """Return the ``n`` other ids before ``member_id``, nearest first."""
        start = bisect_left(self._slots, _slot(member_id)) - 1
        n_others = len(self._slots) - (member_id in self)
        return [self[start - step] for step in range(min(n, n_others))]

    def _index(self, member_id: str) -> int | None:
        slot = _slot(member_id)
        index = bisect_left(self._slots, slot)
        if index < len(self._slots) and self._slots[index] == slot:
            return index
        return None


def _slot(member_id: str) -> tuple[int, str]:
    digest = hashlib.blake2b(member_id.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest), member_id
