"""HTTP client for the platform's table service and object store."""

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
    error_from_message,
    row_from_message,
    write_message,
)
from .store import Check, StoreError, StoreErrorKind, TableRow, Write

DEFAULT_TIMEOUT_MS = 2_000
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
MAX_CONCURRENT_REQUESTS = 8
STATUS_BAD_REQUEST = 400

_UNAVAILABLE_REMEDY = (
    "check the platform's address in the settings and that it is up, then retry"
)
_UNKNOWN_REMEDY = "read back what was written before you write again"

T = TypeVar("T")


class HttpStore:
    """``TableService`` and ``ObjectStore`` implemented over HTTP.

    :param url: base URL of the platform, such as ``http://10.0.0.5:7000``.
    :param timeout_ms: timeout of each request, including the connection setup.
    """

    def __init__(self, url: str, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_ms / 1000.0
        self._client = AsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONCURRENT_REQUESTS,
            max_buffer_size=MAX_RESPONSE_BYTES,
            max_body_size=MAX_RESPONSE_BYTES,
        )

    def __repr__(self) -> str:
        return f"HttpStore({self._url!r})"

    def close(self) -> None:
        """Close the HTTP client."""
        self._client.close()

    async def read(self, key: str) -> Result[TableRow, StoreError]:
        """Return the row at ``key``; version 0 if it does not exist."""
        result = await self._send_read(f"/rows/{quote(key, safe='')}")
        return result.and_then(_decode_row)

    async def scan(self, prefix: str) -> Result[list[TableRow], StoreError]:
        """Return the rows whose keys start with ``prefix``, sorted by key."""
        rows: list[TableRow] = []
        has_more = True
        while has_more:
            after = rows[-1].key if rows else ""
            query = {"prefix": prefix, "after": after, "limit": MAX_SCAN_ROWS}
            result = await self._send_read(f"/rows?{urlencode(query)}")
            page = result.and_then(lambda body: _decode(body, RowsMessage))
            if isinstance(page, Err):
                return page
            rows.extend(row_from_message(message) for message in page.ok_value["rows"])
            has_more = page.ok_value["more"] and bool(page.ok_value["rows"])
        return Ok(rows)

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[list[TableRow], StoreError]:
        """Apply all writes atomically, or none if a check fails."""
        message: CommitMessage = {
            "checks": [check_message(check) for check in checks],
            "writes": [write_message(write) for write in writes],
        }
        result = await self._send_write("POST", "/commit", msgspec.json.encode(message))
        if isinstance(result, Err):
            return result
        rows = _decode(result.ok_value, RowsMessage)
        if isinstance(rows, Err):
            return Err(rows.err_value._replace(kind=StoreErrorKind.UNKNOWN))
        return Ok([row_from_message(row) for row in rows.ok_value["rows"]])

    async def get(self, name: str) -> Result[bytes, StoreError]:
        """Return an object, or ``NOT_FOUND`` if it does not exist."""
        return await self._send_read(f"/objects/{quote(name, safe='')}")

    async def put(self, name: str, data: bytes) -> Result[None, StoreError]:
        """Store an object; storing identical bytes again succeeds."""
        result = await self._send_write("PUT", f"/objects/{quote(name, safe='')}", data)
        return result.map(lambda _: None)

    async def _send_read(self, path: str) -> Result[bytes, StoreError]:
        try:
            response = await self._fetch("GET", path, None)
        except (HTTPError, OSError) as error:
            return Err(_unavailable_error(error))
        return _extract_body(response, StoreErrorKind.UNAVAILABLE)

    async def _send_write(
        self, method: str, path: str, body: bytes
    ) -> Result[bytes, StoreError]:
        try:
            response = await self._fetch(method, path, body)
        except (HTTPError, OSError) as error:
            if _was_never_sent(error):
                return Err(_unavailable_error(error))
            return Err(_unknown_outcome_error(error))
        return _extract_body(response, StoreErrorKind.UNKNOWN)

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


def _extract_body(
    response: HTTPResponse, default_kind: StoreErrorKind
) -> Result[bytes, StoreError]:
    """Return the body of a response, or the error that it reports.

    :param default_kind: kind of an error response without a readable message, such
        as one of a proxy.
    """
    if response.code < STATUS_BAD_REQUEST:
        return Ok(response.body)
    message = _decode(response.body, ErrorMessage)
    if isinstance(message, Ok):
        return Err(error_from_message(message.ok_value))
    return Err(
        StoreError(
            default_kind,
            f"the platform answered with status {response.code}",
            _UNAVAILABLE_REMEDY
            if default_kind is StoreErrorKind.UNAVAILABLE
            else _UNKNOWN_REMEDY,
        )
    )


def _was_never_sent(error: Exception) -> bool:
    """Return whether the request failed before it was sent."""
    if isinstance(error, ConnectionRefusedError):
        return True
    if not isinstance(error, HTTPTimeoutError):
        return False
    reason = str(error.message)
    return "connecting" in reason or "queue" in reason


def _unavailable_error(error: Exception) -> StoreError:
    detail = f"the platform did not respond: {error}"
    return StoreError(StoreErrorKind.UNAVAILABLE, detail, _UNAVAILABLE_REMEDY)


def _unknown_outcome_error(error: Exception) -> StoreError:
    detail = f"the answer to a write was lost: {error}"
    return StoreError(StoreErrorKind.UNKNOWN, detail, _UNKNOWN_REMEDY)


def _decode_row(body: bytes) -> Result[TableRow, StoreError]:
    return _decode(body, RowMessage).map(row_from_message)


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
