"""Interface of the store to nodes: versioned rows, and a feed of changes."""

from typing import NamedTuple, Protocol

from result import Result

from ibisspoke_policy.store_position import StoreEra
from ibisspoke_storage.store import StoreError, TableRow, TableService

UNKNOWN_VERSION = -1  # of a row whose version cannot be read


class Changes(NamedTuple):
    """All rows of a table, or those that changed after a version.

    :param removed: keys of removed rows.
    :param version: store version of the result, from which to continue.
    :param era: of the store; versions of different eras cannot be compared.
    """

    rows: list[TableRow]
    removed: list[str]
    version: int
    era: int = 0


class WatchedTables(TableService, Protocol):
    """A table service whose tables can be watched.

    :ivar era: of the store, taken from each of its answers.
    """

    era: StoreEra

    async def snapshot(self, table: str) -> Result[Changes, StoreError]:
        """Return a consistent snapshot of a table."""

    async def changes(
        self, table: str, after: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Return the changes after a version; wait up to ``wait_ms`` for the first one.

        :returns: no rows if nothing changed; ``NOT_FOUND`` if the store no longer has
            the history after that version, so that a snapshot is needed.
        """
