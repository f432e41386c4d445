"""A node's description of itself, and its encoding as a row."""

import ipaddress
from typing import Annotated, Any

import msgspec

from ibisspoke_policy.decoding import Count, Name, Slots, UnixMs, decode_untrusted
from ibisspoke_policy.upstream_tracker import (
    MAX_DEPARTURES,
    UpstreamProcess,
    UpstreamState,
    has_departed,
    merge_departures,
)

from .settings import Port

Departures = Annotated[
    tuple[UpstreamProcess, ...], msgspec.Meta(max_length=4 * MAX_DEPARTURES)
]


class MemberRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A node's description of itself: a row of the store, and part of its statuses.

    :param incarnation: when the node started, in Unix milliseconds.
    :param revision: increases with each change in one incarnation.
    :param state: whether the node takes requests for its upstream.
    :param born_ms: when the upstream started, in Unix milliseconds.
    :param is_leaving: whether the upstream has announced that it leaves; a node that
        restarts on this VM must not consider it ready.
    :param departures: the upstreams of this VM that have left, the latest ones. Other
        nodes may have added some that the node itself does not know.
    :param lacks_history: whether the node does not know yet which departures earlier
        processes on its VM have acknowledged.
    """

    node: str
    incarnation: UnixMs
    revision: Count
    region: Name
    data_centre: Name
    link_port: Port
    status_port: Port
    service: Name
    instance: Name
    n_slots: Slots
    state: UpstreamState
    born_ms: UnixMs = 0
    is_leaving: bool = False
    departures: Departures = ()
    lacks_history: bool = False

    def __post_init__(self) -> None:
        """Check that the node is named by its address.

        :raises ValueError: if it is not; decoders raise ``msgspec.ValidationError``.
        """
        ipaddress.ip_address(self.node)

    @property
    def is_ready(self) -> bool:
        """Whether the node takes requests for its upstream, which has not left."""
        if self.state is not UpstreamState.READY:
            return False
        upstream = UpstreamProcess(self.instance, self.born_ms)
        return not self.departures or not has_departed(upstream, self.departures)

    @property
    def contradicts_itself(self) -> bool:
        """Whether its upstream is ready and has departed.

        No node writes such a row. Copies at other nodes may be such, since these keep
        the departures that a node which has restarted does not know.
        """
        upstream = UpstreamProcess(self.instance, self.born_ms)
        is_ready = self.state is UpstreamState.READY
        return is_ready and has_departed(upstream, self.departures)

    @property
    def all_departures(self) -> tuple[UpstreamProcess, ...]:
        """The departures, also in a record of a version that has only a flag."""
        if not self.is_leaving or not self.instance:
            return self.departures
        upstream = UpstreamProcess(self.instance, self.born_ms)
        return merge_departures(self.departures, [upstream])

    @property
    def order(self) -> tuple[int, int]:
        """Sort key; a record with a higher key replaces one with a lower key."""
        return (self.incarnation, self.revision)

    def with_departures(
        self, departures: tuple[UpstreamProcess, ...]
    ) -> "MemberRecord":
        """Return this record with further departures."""
        if not departures or departures == self.departures:
            return self
        merged = merge_departures(self.departures, departures)
        return msgspec.structs.replace(self, departures=merged)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Any])
_earlier_decoder = msgspec.json.Decoder(MemberRecord)


def encode_record(record: MemberRecord) -> bytes:
    """Encode a record for a row, without the names of its fields.

    After a failure of all nodes they read all rows at the same moment, many of them
    over the link between regions.
    """
    return _encoder.encode(msgspec.structs.astuple(record))


def decode_record(value: bytes) -> MemberRecord:
    """Decode the record of a row, which an earlier version may have written.

    :raises msgspec.MsgspecError: if it is not valid.
    """
    if value.startswith(b"{"):
        return decode_untrusted(_earlier_decoder.decode, value)
    names = MemberRecord.__struct_fields__
    values = decode_untrusted(_decoder.decode, value)
    fields = dict(zip(names, values, strict=False))
    return msgspec.convert(fields, MemberRecord)
