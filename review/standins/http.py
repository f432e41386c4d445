"""HTTP/1.1 messages over streams, as far as the stand-ins need them."""

import asyncio
from typing import NamedTuple

MAX_BODY_BYTES = 128 * 1024 * 1024


class Message(NamedTuple):
    """A whole request or response.

    :param start: the words of its first line.
    :param headers: values by lower-case name.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, or None if the connection ended before a whole one."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").strip().split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        n_bytes = int(headers.get("content-length", "0"))
        if n_bytes > MAX_BODY_BYTES:
            return None
        body = await reader.readexactly(n_bytes)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Message(first.split(" ", 2), headers, body)


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an encoded message with its length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{first}\r\n{lines}\r\n".encode("latin-1") + body


async def exchange(
    address: tuple[str, int], data: bytes, timeout_s: float
) -> Message | None:
    """Send a request on a new connection, and return its answer, or None."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
