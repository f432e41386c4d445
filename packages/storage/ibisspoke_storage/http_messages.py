"""Messages of the platform's HTTP interface, written as JSON."""

from typing import TypedDict

from .store import Check, StoreError, StoreErrorKind, TableRow, Write

MAX_SCAN_ROWS = 1_000


class RowMessage(TypedDict):
    """One row; ``value`` is base64 in JSON."""

    key: str
    version: int
    value: bytes


class RowsMessage(TypedDict):
    """Rows in the order of their keys.

    ``more`` tells whether rows with greater keys were left out.
    """

    rows: list[RowMessage]
    more: bool


class CheckMessage(TypedDict):
    """One condition of a commit."""

    key: str
    version: int


class WriteMessage(TypedDict):
    """One write of a commit."""

    key: str
    value: bytes | None


class CommitMessage(TypedDict):
    """A transaction."""

    checks: list[CheckMessage]
    writes: list[WriteMessage]


class ErrorMessage(TypedDict):
    """Body of every answer from status 400."""

    kind: StoreErrorKind
    detail: str
    remedy: str


def row_message(row: TableRow) -> RowMessage:
    """Return the message of ``row``."""
    return {"key": row.key, "version": row.version, "value": row.value}


def row_of(message: RowMessage) -> TableRow:
    """Return the row in ``message``."""
    return TableRow(message["key"], message["version"], message["value"])


def check_message(check: Check) -> CheckMessage:
    """Return the message of ``check``."""
    return {"key": check.key, "version": check.version}


def write_message(write: Write) -> WriteMessage:
    """Return the message of ``write``."""
    return {"key": write.key, "value": write.value}


def error_message(error: StoreError) -> ErrorMessage:
    """Return the message of ``error``."""
    return {"kind": error.kind, "detail": error.detail, "remedy": error.remedy}


def error_of(message: ErrorMessage) -> StoreError:
    """Return the error in ``message``."""
    return StoreError(message["kind"], message["detail"], message["remedy"])
