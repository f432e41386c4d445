"""Messages that pass configuration and quota slot addresses between nodes."""

from typing import NamedTuple

from .catalogue_delta import CatalogueDelta
from .slot_directory import SlotAddress


class ConfigQuery(NamedTuple):
    """Configuration state of a node, with changes that it has just adopted.

    :param host: IP address of the sender.
    :param control_port: control port of the sender.
    :param version: catalogue version in force at the sender.
    :param directory_digest: digest of the sender's slot directory.
    :param deltas: the latest deltas, if the sender has just adopted them.
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
    """Configuration that the sender of a query is missing.

    :param isolated_ms: time since the last contact with another data centre that the
        replying node knows of.
    :param snapshot: the whole catalogue, if deltas are no longer available.
    :param digest: digest of ``snapshot``.
    """

    data_centre: str
    version: int
    isolated_ms: float
    deltas: list[CatalogueDelta]
    snapshot: bytes
    digest: str
    addresses: list[SlotAddress]
