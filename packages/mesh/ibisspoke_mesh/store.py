"""What a node needs of the store: rows with versions, and a feed of changes."""

from typing import NamedTuple, Protocol

from result import Result

from ibisspoke_storage.store import StoreError, TableRow, TableService


class Changes(NamedTuple):
    """Rows of a table at one moment, or those that changed since another.

    :param removed: keys of rows that were removed.
    :param version: of the store; continue from it.
    """

    rows: list[TableRow]
    removed: list[str]
    version: int


class WatchedTables(TableService, Protocol):
    """A table service whose tables can be watched."""

    async def snapshot(self, table: str) -> Result[Changes, StoreError]:
        """Return all rows of a table as of one moment."""

    async def changes(
        self, table: str, after: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Return what changed after a version, waiting for at least one change.

        :returns: no rows if nothing changed; ``NOT_FOUND`` if the history after that
            version is gone, and a snapshot is needed.
        """
