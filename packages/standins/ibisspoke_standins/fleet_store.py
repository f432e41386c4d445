"""Stand-in for the store of the users' platform, with switchable faults."""

import asyncio
import base64
import copy
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

from ibisspoke_mesh.caller_messages import CallerRequest, CallerResponse

JSON_HEADER = b"content-type: application/json\r\n"


class FleetStore:
    """Rows by table and key, a change feed, and transactions.

    ``down`` answers 503, ``silent`` never answers, and ``lose_answers`` performs
    writes without answering. After ``forget_history`` a feed call that continues from
    an earlier version gets 410. ``hold_writes`` defers writes without answering until
    :meth:`release_writes` performs those whose preconditions still hold.
    :meth:`restore_copy` brings back what :meth:`take_copy` has kept, in the next era.

    :ivar era: told in all answers; None to leave the header out.
    """

    def __init__(self) -> None:
        self.down = False
        self.silent = False
        self.lose_answers = False
        self.hold_writes = False
        self.era: int | None = None
        self._copy: tuple[Any, ...] = (0, 0, {}, {})
        self._held_writes: list[dict[str, Any]] = []
        self.oldest_version = 0
        self.n_calls = 0
        self._version = 0
        self._rows_by_table: dict[str, dict[str, tuple[str, int]]] = {}
        self._removed_by_table: dict[str, dict[str, int]] = {}
        self._raw_by_id: dict[tuple[str, str], str] = {}
        self._changed = asyncio.Condition()

    def __repr__(self) -> str:
        return f"FleetStore(version={self._version})"

    def forget_history(self) -> None:
        """Drop the change history up to the current version."""
        self.oldest_version = self._version

    def take_copy(self) -> None:
        """Copy all rows and the history."""
        state = (self._version, self.oldest_version)
        rows = (self._rows_by_table, self._removed_by_table)
        self._copy = (*state, *copy.deepcopy(rows))

    async def restore_copy(self) -> None:
        """Lose what was written since the copy, and issue its versions again."""
        self._version, self.oldest_version = self._copy[:2]
        rows = copy.deepcopy(self._copy[2:])
        self._rows_by_table, self._removed_by_table = rows
        self._held_writes = []
        self.era = (self.era or 0) + 1
        async with self._changed:
            self._changed.notify_all()

    @property
    def n_held_writes(self) -> int:
        """Number of deferred writes."""
        return len(self._held_writes)

    async def release_writes(self) -> None:
        """Perform the deferred writes whose preconditions still hold."""
        held, self._held_writes = self._held_writes, []
        for body in held:
            await self._transact(body)

    def keys(self, table: str) -> set[str]:
        """Return the keys of a table."""
        return set(self._rows_by_table.get(table, {}))

    def value(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, or None if it is missing or malformed."""
        if (table, key) in self._raw_by_id:
            return None
        row = self._rows_by_table.get(table, {}).get(key)
        return base64.b64decode(row[0]) if row is not None else None

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row unconditionally, as an operator does."""
        encoded = base64.b64encode(value).decode()
        await self._apply([{"table": table, "key": key, "value": encoded}], [])

    async def put_raw(self, table: str, key: str, message: str) -> None:
        """Hold a row that is sent as ``message``, until it is written again.

        :param message: takes the place of the row's JSON object; need not be valid.
        """
        await self._apply([{"table": table, "key": key, "value": ""}], [])
        self._raw_by_id[table, key] = message

    async def remove(self, table: str, key: str) -> None:
        """Remove a row unconditionally, as an operator does."""
        await self._apply([], [{"table": table, "key": key}])

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Answer a request under the active faults."""
        response = await self._respond(request)
        if self.era is None:
            return response
        header = b"store-era: %d\r\n" % self.era
        return response._replace(headers=response.headers + header)

    async def _respond(self, request: CallerRequest) -> CallerResponse:
        self.n_calls += 1
        if self.silent:
            await asyncio.Event().wait()
        if self.down:
            return CallerResponse(503, b"", b"")
        path, _, query = request.target.decode().partition("?")
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        if self.hold_writes and path == "/api/rows-tx":
            self._held_writes.append(json.loads(request.body))
            await asyncio.Event().wait()
        calls: dict[str, Callable[[], Any]] = {
            "/api/rows-get": lambda: self._get_rows(fields),
            "/api/rows-feed": lambda: self._read_feed(fields),
            "/api/rows-tx": lambda: self._transact(json.loads(request.body)),
        }
        response: CallerResponse = await calls[path]()
        if self.lose_answers and path == "/api/rows-tx":
            await asyncio.Event().wait()
        return response

    async def _get_rows(self, fields: dict[str, str]) -> CallerResponse:
        rows = self._rows_by_table.get(fields["table"], {})
        selected = [
            _row_message(fields["table"], key, *rows[key])
            for key in sorted(rows)
            if key >= fields.get("from", "")
        ]
        limit = int(fields.get("limit", "500"))
        return self._page(selected[:limit], has_more=len(selected) > limit)

    async def _read_feed(self, fields: dict[str, str]) -> CallerResponse:
        table, after = fields["table"], int(fields["after"])
        if after < self.oldest_version or after > self._version:
            return CallerResponse(410, JSON_HEADER, b"{}")
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + int(fields["waitMs"]) / 1000.0
        while not (rows := self._changes_since(table, after)):
            remaining_s = deadline_s - loop.time()
            if remaining_s <= 0:
                break
            try:
                async with asyncio.timeout(remaining_s), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                break
            if after > self._version:
                return CallerResponse(410, JSON_HEADER, b"{}")
        return self._page(rows, has_more=False)

    async def _transact(self, body: dict[str, Any]) -> CallerResponse:
        for check in body["precondition"]:
            rows = self._rows_by_table.get(check["table"], {})
            if rows.get(check["key"], ("", 0))[1] != check["rowVersion"]:
                return CallerResponse(412, JSON_HEADER, b'{"rows":[]}')
        await self._apply(body["writes"], body["remove"])
        return self._page([], has_more=False)

    async def _apply(
        self, writes: list[dict[str, str]], removals: list[dict[str, str]]
    ) -> None:
        self._version += 1
        for write in writes:
            table = self._rows_by_table.setdefault(write["table"], {})
            table[write["key"]] = (write["value"], self._version)
            self._raw_by_id.pop((write["table"], write["key"]), None)
            self._removed_by_table.get(write["table"], {}).pop(write["key"], None)
        for removal in removals:
            self._rows_by_table.get(removal["table"], {}).pop(removal["key"], None)
            self._raw_by_id.pop((removal["table"], removal["key"]), None)
            removed = self._removed_by_table.setdefault(removal["table"], {})
            removed[removal["key"]] = self._version
        async with self._changed:
            self._changed.notify_all()

    def _changes_since(self, table: str, after: int) -> list[dict[str, Any]]:
        rows = self._rows_by_table.get(table, {})
        changed = [
            _row_message(table, key, value, version)
            for key, (value, version) in rows.items()
            if version > after
        ]
        removed = self._removed_by_table.get(table, {})
        changed += [
            {**_row_message(table, key, "", version), "deleted": True}
            for key, version in removed.items()
            if version > after
        ]
        return sorted(changed, key=lambda row: int(row["rowVersion"]))

    def _page(self, rows: list[dict[str, Any]], has_more: bool) -> CallerResponse:
        messages = [
            self._raw_by_id.get((row["table"], row["key"])) or json.dumps(row)
            for row in rows
        ]
        page = (
            f'{{"rows": [{", ".join(messages)}], "hasMore": {json.dumps(has_more)}, '
            f'"rowVersion": {self._version}, "nowMs": 0}}'
        )
        return CallerResponse(200, JSON_HEADER, page.encode("utf-8", "surrogateescape"))


def _row_message(table: str, key: str, value: str, version: int) -> dict[str, Any]:
    return {
        "table": table,
        "part": "",
        "key": key,
        "value": value,
        "rowVersion": version,
    }
