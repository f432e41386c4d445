"""The platform's table service and object store over HTTP."""

from collections.abc import Sequence
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec
from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPTimeoutError

from .http_messages import (
    MAX_SCAN_ROWS,
    CommitMessage,
    ErrorMessage,
    RowMessage,
    RowsMessage,
    check_message,
    error_of,
    row_of,
    write_message,
)
from .store import Check, StoreError, StoreErrorKind, TableRow, Write

DEFAULT_TIMEOUT_MS = 2_000
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_CLIENTS = 8
STATUS_BAD_REQUEST = 400

_UNREACHABLE_REMEDY = (
    "check the platform's address in the settings and that it is up, then retry"
)
_UNKNOWN_REMEDY = "read back what was written before you write again"

T = TypeVar("T")


class HttpStore:
    """Implement ``TableService`` and ``ObjectStore`` over HTTP.

    :param url: base URL of the platform, such as ``http://10.0.0.5:7000``.
    :param timeout_ms: bound on each request, connecting included.
    """

    def __init__(self, url: str, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_ms / 1000.0
        self._client = AsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            max_buffer_size=MAX_ANSWER_BYTES,
            max_body_size=MAX_ANSWER_BYTES,
        )

    def __repr__(self) -> str:
        return f"HttpStore({self._url!r})"

    def close(self) -> None:
        """Release the client."""
        self._client.close()

    async def read(self, key: str) -> Result[TableRow, StoreError]:
        """Return the row of ``key``; an absent row has version 0."""
        answer = await self._read_only(f"/rows/{quote(key, safe='')}")
        return answer.and_then(_decode_row)

    async def scan(self, prefix: str) -> Result[list[TableRow], StoreError]:
        """Return the rows whose keys start with ``prefix``, by key."""
        rows: list[TableRow] = []
        more = True
        while more:
            after = rows[-1].key if rows else ""
            query = {"prefix": prefix, "after": after, "limit": MAX_SCAN_ROWS}
            answer = await self._read_only(f"/rows?{urlencode(query)}")
            page = answer.and_then(lambda body: _decode(body, RowsMessage))
            if isinstance(page, Err):
                return page
            rows.extend(row_of(message) for message in page.ok_value["rows"])
            more = page.ok_value["more"] and bool(page.ok_value["rows"])
        return Ok(rows)

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[list[TableRow], StoreError]:
        """Apply all writes if every check holds, else none."""
        message: CommitMessage = {
            "checks": [check_message(check) for check in checks],
            "writes": [write_message(write) for write in writes],
        }
        answer = await self._write("POST", "/commit", msgspec.json.encode(message))
        if isinstance(answer, Err):
            return answer
        rows = _decode(answer.ok_value, RowsMessage)
        if isinstance(rows, Err):
            return Err(rows.err_value._replace(kind=StoreErrorKind.UNKNOWN))
        return Ok([row_of(row) for row in rows.ok_value["rows"]])

    async def get(self, name: str) -> Result[bytes, StoreError]:
        """Return an object, or ``NOT_FOUND``."""
        return await self._read_only(f"/objects/{quote(name, safe='')}")

    async def put(self, name: str, data: bytes) -> Result[None, StoreError]:
        """Store an object; storing the same bytes again is allowed."""
        answer = await self._write("PUT", f"/objects/{quote(name, safe='')}", data)
        return answer.map(lambda _: None)

    async def _read_only(self, path: str) -> Result[bytes, StoreError]:
        try:
            response = await self._fetch("GET", path, None)
        except (HTTPError, OSError) as error:
            return Err(_unreachable(error))
        return _body(response, StoreErrorKind.UNAVAILABLE)

    async def _write(
        self, method: str, path: str, body: bytes
    ) -> Result[bytes, StoreError]:
        try:
            response = await self._fetch(method, path, body)
        except (HTTPError, OSError) as error:
            if _never_sent(error):
                return Err(_unreachable(error))
            return Err(_answer_lost(error))
        return _body(response, StoreErrorKind.UNKNOWN)

    async def _fetch(self, method: str, path: str, body: bytes | None) -> HTTPResponse:
        request = HTTPRequest(
            self._url + path,
            method=method,
            body=body,
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s,
            follow_redirects=False,
            decompress_response=False,
        )
        return await self._client.fetch(request, raise_error=False)


def _body(
    response: HTTPResponse, unexplained: StoreErrorKind
) -> Result[bytes, StoreError]:
    """Return the body, or the error that the platform or a proxy gave."""
    if response.code < STATUS_BAD_REQUEST:
        return Ok(response.body)
    message = _decode(response.body, ErrorMessage)
    if isinstance(message, Ok):
        return Err(error_of(message.ok_value))
    return Err(
        StoreError(
            unexplained,
            f"the platform answered with status {response.code}",
            _UNREACHABLE_REMEDY
            if unexplained is StoreErrorKind.UNAVAILABLE
            else _UNKNOWN_REMEDY,
        )
    )


def _never_sent(error: Exception) -> bool:
    """Return whether the failure came before the request was written."""
    if isinstance(error, ConnectionRefusedError):
        return True
    if not isinstance(error, HTTPTimeoutError):
        return False
    reason = str(error.message)
    return "connecting" in reason or "queue" in reason


def _unreachable(error: Exception) -> StoreError:
    detail = f"the platform gave no answer: {error}"
    return StoreError(StoreErrorKind.UNAVAILABLE, detail, _UNREACHABLE_REMEDY)


def _answer_lost(error: Exception) -> StoreError:
    detail = f"the answer to a write was lost: {error}"
    return StoreError(StoreErrorKind.UNKNOWN, detail, _UNKNOWN_REMEDY)


def _decode_row(body: bytes) -> Result[TableRow, StoreError]:
    return _decode(body, RowMessage).map(row_of)


def _decode(body: bytes, kind: type[T]) -> Result[T, StoreError]:
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except msgspec.DecodeError as error:
        return Err(
            StoreError(
                StoreErrorKind.INVALID,
                f"the platform sent a message that cannot be read: {error}",
                "check that the address in the settings is that of the platform",
            )
        )
