"""Messages of the platform's HTTP API, encoded as JSON."""

from typing import TypedDict

from .store import Check, StoreError, StoreErrorKind, TableRow, Write

MAX_SCAN_ROWS = 1_000


class RowMessage(TypedDict):
    """A row; ``value`` is encoded as base64 in JSON."""

    key: str
    version: int
    value: bytes


class RowsMessage(TypedDict):
    """A page of rows, sorted by key.

    ``more`` is true if rows with greater keys follow.
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
    """A transaction: writes that apply only if all checks hold."""

    checks: list[CheckMessage]
    writes: list[WriteMessage]


class ErrorMessage(TypedDict):
    """Body of every response with a status of 400 or above."""

    kind: StoreErrorKind
    detail: str
    remedy: str


def row_to_message(row: TableRow) -> RowMessage:
    """Convert a row to its message."""
    return {"key": row.key, "version": row.version, "value": row.value}


def row_from_message(message: RowMessage) -> TableRow:
    """Convert a message to a row."""
    return TableRow(message["key"], message["version"], message["value"])


def check_message(check: Check) -> CheckMessage:
    """Convert a check to its message."""
    return {"key": check.key, "version": check.version}


def write_message(write: Write) -> WriteMessage:
    """Convert a write to its message."""
    return {"key": write.key, "value": write.value}


def error_to_message(error: StoreError) -> ErrorMessage:
    """Convert an error to its message."""
    return {"kind": error.kind, "detail": error.detail, "remedy": error.remedy}


def error_from_message(message: ErrorMessage) -> StoreError:
    """Convert a message to an error."""
    return StoreError(message["kind"], message["detail"], message["remedy"])
