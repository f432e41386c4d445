"""Messages by which nodes pass on configuration and where quota slots are held."""

from typing import NamedTuple

from .catalogue_delta import CatalogueDelta
from .slot_directory import SlotAddress


class ConfigQuery(NamedTuple):
    """What a node has, and optionally what is new.

    :param host: IP number of the sender.
    :param control_port: control port of the sender.
    :param version: catalogue version in force at the sender.
    :param directory_digest: digest of the sender's slot directory.
    :param deltas: the latest differences, when the sender has just adopted them.
    :param addresses: slot addresses that have just changed.
    """

    host: str
    control_port: int
    data_centre: str
    version: int
    directory_digest: str
    deltas: list[CatalogueDelta]
    addresses: list[SlotAddress]


class ConfigReply(NamedTuple):
    """What the sender of a query lacks.

    :param isolated_ms: time since the replying node knew of contact beyond its data
        centre.
    :param snapshot: the whole catalogue, when the differences are gone.
    :param digest: digest of ``snapshot``.
    """

    data_centre: str
    version: int
    isolated_ms: float
    deltas: list[CatalogueDelta]
    snapshot: bytes
    digest: str
    addresses: list[SlotAddress]
