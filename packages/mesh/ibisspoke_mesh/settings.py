"""Settings of a node, read from TOML and validated."""

from pathlib import Path
from typing import Annotated, Any, NamedTuple, NotRequired, TypedDict

import msgspec
from result import Err, Ok, Result

from ibisspoke_policy.document import Checker, Fault, parse_document

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535, description="a port, 1 to 65535")]
Text = Annotated[str, msgspec.Meta(min_length=1, description="a text, not empty")]
Positive = Annotated[float, msgspec.Meta(gt=0, description="a number above 0")]
NotNegative = Annotated[float, msgspec.Meta(ge=0, description="0 or a number above it")]
Share = Annotated[float, msgspec.Meta(ge=0, le=1, description="a number from 0 to 1")]

Flag = Annotated[bool, msgspec.Meta(description="true or false")]


class NodeSection(TypedDict):
    """Identity and location of the node."""

    id: Text
    host: Text
    data_centre: Text
    region: Text
    service: Text


class ListenSection(TypedDict):
    """Addresses, as IP address and port."""

    callers: Text
    peers: Text
    readiness: Text
    announcements: Text
    status_port: Port
    metrics_port: Port


class RetriesSection(TypedDict, total=False):
    """How retries are chosen; the section may be missing."""

    by_calls: Flag


class UpstreamSection(TypedDict):
    """The upstream on this VM."""

    address: Text
    heartbeat_ms: Positive
    drain_ms: Positive


class StoreSection(TypedDict):
    """The store of the platform."""

    address: Text


class BoundsSection(TypedDict):
    """Bounds that are guaranteed to users.

    A cold upstream gets at most ``cold_overage`` times its rate plus ``cold_slack``
    requests in a second; without both, its rate is not bounded. With a bound for
    evacuations, a node that starts serves nothing before it knows them.
    """

    stop_s: Positive
    key_withdrawal_ms: Positive
    config_ms: Positive
    retry_ratio: Share
    retry_window_s: Positive
    retry_slack: Positive
    cold_overage: NotRequired[NotNegative]
    cold_slack: NotRequired[NotNegative]
    evacuation_ms: NotRequired[Positive]


class PaceSection(TypedDict):
    """Limits on the pace of upstreams; the section may be missing."""

    ramp: NotRequired[bool]


class LimitsSection(TypedDict, total=False):
    """Limits of the VM on the process; optional."""

    max_descriptors: Annotated[
        int, msgspec.Meta(ge=64, description="a number of descriptors, 64 or more")
    ]
    memory_mb: Annotated[
        float, msgspec.Meta(ge=64, description="a number of megabytes, 64 or more")
    ]


DEFAULT_MAX_DESCRIPTORS = 4_100  # of the smallest VM
DEFAULT_MEMORY_MB = 200.0  # of the smallest VM
KEY_PROOF_MARGIN_MS = 900.0  # for started work, a late timer and a round trip


class NodeSettings(NamedTuple):
    """All settings of a node; durations in milliseconds.

    :param callers: listen address for callers on this VM.
    :param peers: listen address for other nodes.
    :param key_proof_ms: maximum age of the proof that the configuration is current, for
        keys to be accepted.
    :param retry_slack: retries of a service in a window over the whole fleet that are
        allowed regardless of the ratio.
    :param max_descriptors: how many descriptors the process may have.
    :param memory_mb: how much memory the process may take, in units of 10^6 bytes.
    :param cold_overage: requests that a cold upstream may get in a second, as a
        multiple of the rate that it tolerates; None for no bound.
    :param cold_slack: further requests that it may get in a second.
    :param evacuation_ms: by when an evacuation must be in force; None if the deployment
        states no such bound.
    :param has_start_ramp: whether upstreams that start or recover get a lower limit.
    :param retries_by_calls: whether retries depend on the calls that requests cause.
    """

    id: str
    host: str
    data_centre: str
    region: str
    service: str
    callers: tuple[str, int]
    peers: tuple[str, int]
    readiness: tuple[str, int]
    announcements: tuple[str, int]
    status_port: int
    metrics_port: int
    upstream: tuple[str, int]
    heartbeat_ms: float
    drain_ms: float
    store: tuple[str, int]
    stop_ms: float
    key_proof_ms: float
    config_ms: float
    retry_ratio: float
    retry_window_ms: float
    retry_slack: float
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS
    memory_mb: float = DEFAULT_MEMORY_MB
    cold_overage: float | None = None
    cold_slack: float | None = None
    evacuation_ms: float | None = None
    has_start_ramp: bool = False
    retries_by_calls: bool = False


_SCHEMAS: dict[str, Any] = {
    "node": NodeSection,
    "listen": ListenSection,
    "upstream": UpstreamSection,
    "store": StoreSection,
    "bounds": BoundsSection,
    "limits": LimitsSection,
    "pace": PaceSection,
    "retries": RetriesSection,
}
_ADDRESSES = {
    "listen": ("callers", "peers", "readiness", "announcements"),
    "upstream": ("address",),
    "store": ("address",),
}


def load_settings(path: Path) -> Result[NodeSettings, list[Fault]]:
    """Return the settings in a file, or all its errors."""
    try:
        text = path.read_text()
    except OSError as error:
        detail = f"cannot be read: {error.strerror}"
        return Err([Fault(str(path), 0, "", detail, "name a readable file")])
    return parse_settings(path.name, text)


def parse_settings(file: str, text: str) -> Result[NodeSettings, list[Fault]]:
    """Return the settings in a document, or all its errors."""
    parsed = parse_document(file, text)
    if isinstance(parsed, Err):
        return Err(parsed.err_value)
    checker = Checker(parsed.ok_value)
    data = parsed.ok_value.data
    sections: dict[str, Any] = {
        name: checker.section((name,), data.get(name, {}), schema)
        for name, schema in _SCHEMAS.items()
    }
    for section, fields in _ADDRESSES.items():
        for field in fields:
            address = sections[section].get(field)
            if address is not None and parse_address(address) is None:
                remedy = 'write it as IP number and port, such as "10.0.0.5:7103"'
                checker.add((section, field), f"is no address: {address!r}", remedy)
    if checker.faults:
        return Err(checker.sorted_faults)
    return Ok(_settings(sections))


def parse_address(text: str) -> tuple[str, int] | None:
    """Split ``text`` into host and port; return None if it is not an address."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit():
        return None
    return (host, int(port)) if 0 < int(port) <= 65_535 else None


def _settings(sections: dict[str, Any]) -> NodeSettings:
    def address(section: str, field: str) -> tuple[str, int]:
        parsed = parse_address(sections[section][field])
        assert parsed is not None
        return parsed

    node, listen = sections["node"], sections["listen"]
    upstream, bounds = sections["upstream"], sections["bounds"]
    return NodeSettings(
        id=node["id"],
        host=node["host"],
        data_centre=node["data_centre"],
        region=node["region"],
        service=node["service"],
        callers=address("listen", "callers"),
        peers=address("listen", "peers"),
        readiness=address("listen", "readiness"),
        announcements=address("listen", "announcements"),
        status_port=listen["status_port"],
        metrics_port=listen["metrics_port"],
        upstream=address("upstream", "address"),
        heartbeat_ms=upstream["heartbeat_ms"],
        drain_ms=upstream["drain_ms"],
        store=address("store", "address"),
        stop_ms=bounds["stop_s"] * 1000.0,
        key_proof_ms=bounds["key_withdrawal_ms"] - KEY_PROOF_MARGIN_MS,
        config_ms=bounds["config_ms"],
        retry_ratio=bounds["retry_ratio"],
        retry_window_ms=bounds["retry_window_s"] * 1000.0,
        retry_slack=bounds["retry_slack"],
        max_descriptors=sections["limits"].get(
            "max_descriptors", DEFAULT_MAX_DESCRIPTORS
        ),
        memory_mb=sections["limits"].get("memory_mb", DEFAULT_MEMORY_MB),
        cold_overage=bounds.get("cold_overage"),
        cold_slack=bounds.get("cold_slack"),
        evacuation_ms=bounds.get("evacuation_ms"),
        has_start_ramp=sections["pace"].get("ramp", False),
        retries_by_calls=sections["retries"].get("by_calls", False),
    )
