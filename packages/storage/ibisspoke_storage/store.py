"""Protocols of the platform's table service and object store."""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

from result import Result


class StoreErrorKind(StrEnum):
    """Why the platform gave no answer."""

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    INVALID = "invalid"
    NOT_FOUND = "not_found"


class StoreError(NamedTuple):
    """A failed request to the platform.

    ``UNKNOWN`` means that a write may have taken effect.
    """

    kind: StoreErrorKind
    detail: str
    remedy: str


class TableRow(NamedTuple):
    """One row of the table service.

    :param version: changes with each write; 0 means that the row is absent.
    """

    key: str
    version: int
    value: bytes


class Check(NamedTuple):
    """Require a version of a row for a commit; 0 requires its absence."""

    key: str
    version: int


class Write(NamedTuple):
    """Set a row, or delete it when ``value`` is None."""

    key: str
    value: bytes | None


class TableService(Protocol):
    """Rows by key with transactions."""

    async def read(self, key: str) -> Result[TableRow, StoreError]:
        """Return the row of ``key``; an absent row has version 0."""

    async def scan(self, prefix: str) -> Result[list[TableRow], StoreError]:
        """Return the rows whose keys start with ``prefix``, by key."""

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[list[TableRow], StoreError]:
        """Apply all writes if every check holds, else none.

        :returns: the written rows; ``CONFLICT`` when a check fails, ``UNKNOWN``
            when the answer was lost and the commit may have taken effect.
        """


class ObjectStore(Protocol):
    """Immutable objects by name."""

    async def get(self, name: str) -> Result[bytes, StoreError]:
        """Return an object, or ``NOT_FOUND``."""

    async def put(self, name: str, data: bytes) -> Result[None, StoreError]:
        """Store an object; storing the same bytes again is allowed."""
