"""Direct check of a node over a new TCP connection."""

import asyncio
from typing import NamedTuple

from result import Err

from ibisspoke_policy.member import Member
from ibisspoke_policy.membership_messages import Evidence

from .control import ControlService, Method, control_client

CONNECT_TIMEOUT_MS = 500.0
EXCHANGE_TIMEOUT_MS = 500.0


class CheckRequest(NamedTuple):
    """Ask a process for its member id."""

    asker: str


class CheckReply(NamedTuple):
    """The member id of the process."""

    member_id: str


CHECK: Method[CheckRequest, CheckReply] = Method(
    "membership.check", CheckRequest, CheckReply
)


def serve_checks(service: ControlService, own_id: str) -> None:
    """Answer the direct checks of other nodes."""

    async def handle(request: CheckRequest) -> CheckReply:
        return CheckReply(own_id)

    service.register(CHECK, handle)


async def check_directly(
    member: Member, own_id: str, secrets: tuple[bytes, ...]
) -> Evidence:
    """Check ``member`` over a new connection.

    An existing connection may be silent while new ones work, and the kernel accepts
    connections for a paused process; so this opens a new one and waits for a reply.
    """
    connect_evidence = await _connect(member)
    if connect_evidence is not Evidence.ANSWERED:
        return connect_evidence
    async with control_client(secrets) as client:
        result = await client.call(
            member.host,
            member.control_port,
            CHECK,
            CheckRequest(own_id),
            EXCHANGE_TIMEOUT_MS,
        )
    if isinstance(result, Err):
        return Evidence.HUNG
    if result.ok_value.member_id != member.id:
        return Evidence.REFUSED
    return Evidence.ANSWERED


async def _connect(member: Member) -> Evidence:
    connecting = asyncio.open_connection(member.host, member.control_port)
    try:
        _, writer = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_MS / 1000.0)
    except ConnectionRefusedError:
        return Evidence.REFUSED
    except (OSError, TimeoutError):
        return Evidence.SILENT
    writer.close()
    return Evidence.ANSWERED
