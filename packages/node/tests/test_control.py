from typing import NamedTuple

from ibisspoke_node.control import (
    ControlErrorKind,
    ControlService,
    Method,
    control_client,
    control_server,
)


class DoubleRequest(NamedTuple):
    n: int


class DoubleReply(NamedTuple):
    doubled: int


DOUBLE = Method("Double", DoubleRequest, DoubleReply)


def _service() -> ControlService:
    async def double(request: DoubleRequest) -> DoubleReply:
        return DoubleReply(request.n * 2)

    service = ControlService()
    service.register(DOUBLE, double)
    return service


async def test_call_is_answered():
    async with (
        control_server(_service(), (b"s",), "127.0.0.1", 0) as port,
        control_client((b"s",)) as client,
    ):
        reply = await client.call("127.0.0.1", port, DOUBLE, DoubleRequest(21), 5_000)
        assert reply.unwrap() == DoubleReply(42)


async def test_other_secret_is_rejected():
    async with (
        control_server(_service(), (b"s",), "127.0.0.1", 0) as port,
        control_client((b"other",)) as client,
    ):
        reply = await client.call("127.0.0.1", port, DOUBLE, DoubleRequest(21), 5_000)
        assert reply.unwrap_err().kind is ControlErrorKind.REJECTED


async def test_closed_port_is_unreachable():
    async with control_server(_service(), (b"s",), "127.0.0.1", 0) as port:
        pass
    async with control_client((b"s",)) as client:
        reply = await client.call("127.0.0.1", port, DOUBLE, DoubleRequest(1), 5_000)
        assert reply.unwrap_err().kind is ControlErrorKind.UNREACHABLE
