"""Stand-in for a server: heartbeats, departure, and requests that take some time."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from .http import Message, encode, exchange, read_message
from .record import Record

ACK_TIMEOUT_S = 1.0
POLL_S = 0.01  # how soon a closed connection is noticed


class Server:
    """A server on a machine.

    It stops work at the deadline that it receives, drops a request when its connection
    closes, and rejects a request for another instance.

    :param work_s: returns how long a request takes.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        control: tuple[str, int],
        record: Record,
        work_s: Callable[[Message], float],
        n_slots: int = 22,
        beat_s: float = 1.5,
    ) -> None:
        self.instance = instance
        self.service = service
        self.address = address
        self._zone = zone
        self._control = control
        self._record = record
        self._work_s = work_s
        self._n_slots = n_slots
        self._beat_s = beat_s
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._listener: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.arrivals: list[tuple[float, str]] = []

    async def start(self) -> None:
        """Listen, and send heartbeats."""
        self._listener = await asyncio.start_server(
            self._serve, *self.address, limit=2**20
        )
        self._beats = asyncio.ensure_future(self._send_beats())

    def end(self) -> None:
        """Exit; connections are closed and what runs is dropped."""
        self.stop_beats()
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._record.write("server exits", instance=self.instance)

    def stop_beats(self) -> None:
        """Send no further heartbeats."""
        if self._beats is not None:
            self._beats.cancel()

    def next_beat(self, state: str = "ready") -> bytes:
        """Return the next heartbeat, encoded but not sent."""
        self._sequence += 1
        host, port = self.address
        return self._announcement(
            "Heartbeat",
            {
                "address": f"{host}:{port}",
                "details": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self._zone,
                    "slots": self._n_slots,
                },
                "status": {
                    "state": state,
                    "sequence": self._sequence,
                    "coldRemainingMs": 0,
                },
            },
        )

    async def deliver(self, beat: bytes) -> int:
        """Send an encoded heartbeat, and return the status of its answer."""
        answer = await exchange(self._control, beat, ACK_TIMEOUT_S)
        return int(answer.start[1]) if answer is not None else 0

    async def leave(self) -> bool:
        """Announce the departure, and return whether it was acknowledged."""
        call = self._announcement("Leave", {})
        answer = await exchange(self._control, call, ACK_TIMEOUT_S)
        return answer is not None and answer.start[1].startswith("2")

    def _announcement(self, call: str, fields: dict[str, Any]) -> bytes:
        body = json.dumps({**fields, "born": self._born}).encode()
        host, port = self._control
        headers = {"Host": f"{host}:{port}", "Content-Type": "application/json"}
        first = f"POST /api/Instances.{call}/{self.instance} HTTP/1.1"
        return encode(first, headers, body)

    async def _send_beats(self) -> None:
        while True:
            await self.deliver(self.next_beat())
            await asyncio.sleep(self._beat_s)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self._answer(request, reader)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except ConnectionError:
            pass  # the request was dropped
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, request: Message, reader: asyncio.StreamReader
    ) -> bytes | None:
        """Run a request; return None if its connection was closed meanwhile."""
        request_id = request.headers.get("x-request-id", "")
        headers = {"X-Request-Id": request_id, "X-Instance-Id": self.instance}
        expected = request.headers.get("x-expect-instance", self.instance)
        if expected != self.instance:
            return encode("HTTP/1.1 421 Misdirected Request", headers)
        self.arrivals.append((self._record.now(), request_id))
        self._record.write("runs", request=request_id, server=self.instance)
        work_s = self._work_s(request)
        deadline_s = float(request.headers.get("x-deadline-ms", "60000")) / 1000
        end_s = time.monotonic() + min(work_s, deadline_s)
        while (left_s := end_s - time.monotonic()) > 0:
            await asyncio.sleep(min(left_s, POLL_S))
            if reader.at_eof() or reader.exception() is not None:
                self._record.write("dropped", request=request_id)
                return None
        headers["X-Server-Stamp"] = f"stamp.{self.instance}.{request_id}"
        headers["Keep-Alive"] = "timeout=10"
        headers["X-Server-Load"] = f"1,0,{self._n_slots}"
        if work_s > deadline_s:
            return encode("HTTP/1.1 504 Gateway Timeout", headers)
        self._record.write("ran", request=request_id, server=self.instance)
        return encode("HTTP/1.1 200 OK", headers, f"body of {request_id}".encode())
