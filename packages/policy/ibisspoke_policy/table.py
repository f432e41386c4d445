"""In-memory tables of entities, one row per key."""

from collections.abc import Callable, Iterator, Mapping
from typing import Generic, TypeVar

K = TypeVar("K")
R = TypeVar("R")


class Table(Generic[K, R]):
    """Hold the rows of one kind of entity by key, in order of insertion.

    :param name: shown by ``repr`` and in error messages.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self._by_key: dict[K, R] = {}
        self._listeners: list[Callable[[K], None]] = []

    def __repr__(self) -> str:
        return f"Table({self.name!r}, {len(self._by_key)} rows)"

    def __len__(self) -> int:
        return len(self._by_key)

    def __contains__(self, key: object) -> bool:
        return key in self._by_key

    def __iter__(self) -> Iterator[K]:
        return iter(list(self._by_key))

    def __getitem__(self, key: K) -> R:
        return self._by_key[key]

    def subscribe(self, listener: Callable[[K], None]) -> None:
        """Call ``listener`` with the key of each row put, popped or replaced."""
        self._listeners.append(listener)

    def get(self, key: K) -> R | None:
        """Return the row of ``key``, or None."""
        return self._by_key.get(key)

    def put(self, key: K, row: R) -> None:
        """Insert or replace the row of ``key``."""
        self._by_key[key] = row
        for listener in self._listeners:
            listener(key)

    def pop(self, key: K) -> R | None:
        """Remove and return the row of ``key``, or None."""
        row = self._by_key.pop(key, None)
        for listener in self._listeners:
            listener(key)
        return row

    def items(self) -> list[tuple[K, R]]:
        """Return a copy of all keys and rows; the table may change meanwhile."""
        return list(self._by_key.items())

    def rows(self) -> list[R]:
        """Return a copy of all rows; the table may change meanwhile."""
        return list(self._by_key.values())

    def where(self, test: Callable[[R], bool]) -> list[R]:
        """Return the rows for which ``test`` returns true."""
        return [row for row in self._by_key.values() if test(row)]

    def replace_all(self, by_key: Mapping[K, R]) -> None:
        """Replace every row at once."""
        keys = {**self._by_key, **by_key}
        self._by_key = dict(by_key)
        for listener in self._listeners:
            for key in keys:
                listener(key)
