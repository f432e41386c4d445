"""Stand-in for clients: requests with an id, a deadline and a key of their own."""

import asyncio
import itertools
from typing import NamedTuple

from .http import encode, read_message
from .record import Record

MARGIN_S = 1.0  # that a client waits beyond its deadline
CONNECT_S = 1.0


class Answer(NamedTuple):
    """How a request ended, with times of the record.

    :param status: 0 if its connection ended without a complete answer.
    :param stamp: the mark of the server's own answer.
    :param was_sent: whether its last byte was written.
    """

    id: str
    status: int
    stamp: str
    was_sent: bool
    sent_s: float
    ended_s: float


class Clients:
    """Clients of the machines.

    :param key: the key of their tenant; an empty one sends none.
    """

    def __init__(self, record: Record, host: str, key: str = "") -> None:
        self._record = record
        self._host = host
        self._key = key
        self._numbers = itertools.count(1)
        self.answers: list[Answer] = []

    def request(
        self,
        method: str,
        path: str,
        deadline_ms: int,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> tuple[str, bytes]:
        """Return the id of a new request, and the request."""
        request_id = f"c{next(self._numbers)}"
        fields = {
            "Host": self._host,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            **({"Authorization": f"Bearer {self._key}"} if self._key else {}),
            **(headers or {}),
        }
        return request_id, encode(f"{method} {path} HTTP/1.1", fields, body)

    async def send(
        self,
        address: tuple[str, int],
        method: str,
        path: str,
        deadline_ms: int,
        body: bytes = b"",
    ) -> Answer:
        """Send a request on a new connection, and wait for its answer."""
        request_id, data = self.request(method, path, deadline_ms, body)
        sent_s = self._record.now()
        self._record.write("sends", request=request_id, to=address[0], path=path)
        writer = None
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection(*address)
        except (OSError, TimeoutError):
            return self.note(request_id, 0, "", False, sent_s)
        try:
            async with asyncio.timeout(deadline_ms / 1000 + MARGIN_S):
                return await self.exchange(reader, writer, request_id, data)
        except TimeoutError:
            return self.note(request_id, 0, "", True, sent_s)
        finally:
            writer.transport.abort()

    async def exchange(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_id: str,
        data: bytes,
    ) -> Answer:
        """Send a request on an open connection, and wait for its answer."""
        sent_s = self._record.now()
        was_sent = False
        try:
            writer.write(data)
            await writer.drain()
            was_sent = True
            answer = await read_message(reader)
        except ConnectionError:
            answer = None
        if answer is None:
            return self.note(request_id, 0, "", was_sent, sent_s)
        stamp = answer.headers.get("x-server-stamp", "")
        return self.note(request_id, int(answer.start[1]), stamp, was_sent, sent_s)

    def note(
        self, request_id: str, status: int, stamp: str, was_sent: bool, sent_s: float
    ) -> Answer:
        """Keep and return an answer."""
        now_s = self._record.now()
        answer = Answer(request_id, status, stamp, was_sent, sent_s, now_s)
        self.answers.append(answer)
        self._record.write(
            "answered" if status else "no answer", request=request_id, status=status
        )
        return answer
