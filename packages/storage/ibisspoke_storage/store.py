"""Protocols of the platform's table service and object store."""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

from result import Result


class StoreErrorKind(StrEnum):
    """Why a request to the platform failed."""

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

    :param version: changes with each write; 0 if the row does not exist.
    """

    key: str
    version: int
    value: bytes


class Check(NamedTuple):
    """Condition of a commit: the row must have this version; 0 if it must not exist."""

    key: str
    version: int


class Write(NamedTuple):
    """Set a row, or delete it if ``value`` is None."""

    key: str
    value: bytes | None


class TableService(Protocol):
    """Transactional key-value table."""

    async def read(self, key: str) -> Result[TableRow, StoreError]:
        """Return the row at ``key``; version 0 if it does not exist."""

    async def scan(self, prefix: str) -> Result[list[TableRow], StoreError]:
        """Return the rows whose keys start with ``prefix``, sorted by key."""

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[list[TableRow], StoreError]:
        """Apply all writes atomically, or none if a check fails.

        :returns: the written rows; ``CONFLICT`` if a check fails, ``UNKNOWN``
            if the response was lost and the commit may have taken effect.
        """


class ObjectStore(Protocol):
    """Store of immutable, named objects."""

    async def get(self, name: str) -> Result[bytes, StoreError]:
        """Return an object, or ``NOT_FOUND`` if it does not exist."""

    async def put(self, name: str, data: bytes) -> Result[None, StoreError]:
        """Store an object; storing identical bytes again succeeds."""
