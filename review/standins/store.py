"""Stand-in for the platform's metadata store: rows, transactions and a feed."""

import asyncio
import base64
import json
from typing import Any
from urllib.parse import parse_qs

from .http import Message, encode, read_message

Row = dict[str, Any]


class Store:
    """Linearizable rows by table and key, all in the empty part.

    :ivar is_silent: while set, calls are neither performed nor answered.
    """

    def __init__(self) -> None:
        self.is_silent = False
        self._version = 0
        self._rows: dict[tuple[str, str], Row] = {}
        self._changed = asyncio.Condition()

    async def start(self, address: tuple[str, int]) -> asyncio.Server:
        """Listen for calls."""
        return await asyncio.start_server(self._serve, *address)

    async def write_config(self, document: Row) -> None:
        """Write a configuration, as the operator does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self._apply([{"table": "op", "key": "config", "value": value}], [])

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (call := await read_message(reader)) is not None:
                if self.is_silent:
                    break
                status, answer = await self._perform(call)
                if self.is_silent:
                    break
                answer["nowMs"] = int(asyncio.get_running_loop().time() * 1000)
                body = json.dumps(answer).encode()
                writer.write(encode(f"HTTP/1.1 {status} -", {}, body))
            while self.is_silent and not reader.at_eof():  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        finally:
            writer.transport.abort()

    async def _perform(self, call: Message) -> tuple[int, Row]:
        path, _, query = call.start[1].partition("?")
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        if path == "/api/rows-tx":
            return await self._transact(json.loads(call.body))
        if path == "/api/rows-get":
            return 200, self._get(fields)
        if path == "/api/rows-feed":
            return 200, await self._feed(fields)
        return 404, {}

    async def _transact(self, body: Row) -> tuple[int, Row]:
        current = []
        for check in body.get("precondition", []):
            row = self._live(check["table"], check["key"])
            version = row["rowVersion"] if row else 0
            if version != check["rowVersion"]:
                current.append(row or {**check, "rowVersion": 0, "value": ""})
        if current:
            return 412, {"rows": current, "rowVersion": self._version}
        if body.get("writes") or body.get("remove"):
            await self._apply(body.get("writes", []), body.get("remove", []))
        return 200, {"rowVersion": self._version}

    def _live(self, table: str, key: str) -> Row | None:
        row = self._rows.get((table, key))
        return row if row is not None and not row.get("deleted") else None

    async def _apply(self, writes: list[Row], removed: list[Row]) -> None:
        self._version += 1
        for row in writes + [{**row, "deleted": True} for row in removed]:
            stored = {"part": "", "value": "", **row, "rowVersion": self._version}
            self._rows[(row["table"], row["key"])] = stored
        async with self._changed:
            self._changed.notify_all()

    def _get(self, fields: dict[str, str]) -> Row:
        first, last = fields.get("from", ""), fields.get("target")
        rows = [
            row
            for (table, key), row in sorted(self._rows.items())
            if table == fields["table"] and key >= first and not row.get("deleted")
            if last is None or key < last
        ]
        limit = min(500, int(fields.get("limit", "500")))
        page = {"rows": rows[:limit], "hasMore": len(rows) > limit}
        return {**page, "rowVersion": self._version}

    async def _feed(self, fields: dict[str, str]) -> Row:
        def changes() -> list[Row]:
            found = [
                row
                for (table, _), row in self._rows.items()
                if table == fields["table"] and row["rowVersion"] > int(fields["after"])
            ]
            return sorted(found, key=lambda row: row["rowVersion"])

        try:
            async with asyncio.timeout(int(fields.get("waitMs", "0")) / 1000):
                async with self._changed:
                    await self._changed.wait_for(lambda: bool(changes()))
        except TimeoutError:
            pass
        return {"rows": changes(), "rowVersion": self._version}
