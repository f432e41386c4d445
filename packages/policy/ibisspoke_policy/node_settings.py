"""Settings of one node, which operators keep in a TOML file."""

import socket
from collections.abc import Mapping
from typing import Annotated, Any, Literal, NamedTuple, NotRequired, TypedDict

from msgspec import Meta
from result import Err, Ok, Result

from .catalogue_file import Bytes, Name, TimeoutMs
from .document import Checker, Fault, parse_document

SECTIONS = ["node", "listen", "platform", "fleet", "limits", "metrics", "log"]
REQUIRED_SECTIONS = ("node", "platform", "fleet")
PORT_FIELDS = (
    "entry_port",
    "call_port",
    "control_port",
    "membership_port",
    "status_port",
)
MAX_PORT = 65_535
MIN_SECRET_CHARACTERS = 16
MAX_SECRET_BYTES = 64

Address = Annotated[str, Meta(description="an IP number such as 10.0.0.5")]
Port = Annotated[
    int,
    Meta(ge=0, le=MAX_PORT, description="a port, or 0 to let the kernel choose"),
]
FixedPort = Annotated[
    int, Meta(ge=1, le=MAX_PORT, description="a port from 1 to 65535")
]
Url = Annotated[
    str,
    Meta(
        pattern=r"^https?://[^\s/]+(/\S*)?$",
        description="a URL such as http://10.0.0.9:7000",
    ),
]
Secrets = Annotated[
    list[str],
    Meta(min_length=1, max_length=4, description="a list of one to four secrets"),
]
Seeds = Annotated[
    list[str],
    Meta(description='a list of control addresses such as "10.0.0.5:7103"'),
]
Prefix = Annotated[
    str,
    Meta(pattern=r"^[A-Za-z0-9_.-]*$", description="letters, digits, '.', '_', '-'"),
]
Level = Annotated[
    Literal["DEBUG", "INFO", "WARNING", "ERROR"],
    Meta(description='"DEBUG", "INFO", "WARNING" or "ERROR"'),
]


class NodeSection(TypedDict):
    """Identity and location of the node."""

    id: Name
    region: Name
    data_centre: Name
    host: Address


class ListenSection(TypedDict):
    """Ports; 0 lets the kernel choose."""

    entry_port: NotRequired[Port]
    call_port: NotRequired[Port]
    control_port: NotRequired[Port]
    membership_port: NotRequired[Port]
    status_port: NotRequired[Port]


class PlatformSection(TypedDict):
    """Address of the platform's table service and object store."""

    url: Url


class FleetSection(TypedDict):
    """Fleet secrets, and control addresses ``host:port`` of some nodes."""

    secrets: Secrets
    seeds: NotRequired[Seeds]


class LimitsSection(TypedDict):
    """Limits of the node process."""

    max_buffer_bytes: NotRequired[Bytes]
    max_body_bytes: NotRequired[Bytes]
    max_header_bytes: NotRequired[Bytes]
    drain_timeout_ms: NotRequired[TimeoutMs]


class MetricsSection(TypedDict):
    """Address of statsd; without this section no metrics are sent."""

    host: Address
    port: NotRequired[FixedPort]
    prefix: NotRequired[Prefix]


class LogSection(TypedDict):
    """Log level."""

    level: Level


class NodeSettings(NamedTuple):
    """Validated settings of one node.

    :param secrets: fleet secrets; the first signs, any of them verifies.
    :param seeds: control addresses of other nodes, ``host:port``.
    :param membership_port: UDP port for membership; the others are TCP.
    :param max_buffer_bytes: limit on the request and response bodies held at once.
    :param drain_timeout_ms: how long a stopping node waits for open requests.
    """

    id: str
    region: str
    data_centre: str
    host: str
    platform_url: str
    secrets: tuple[bytes, ...]
    seeds: tuple[str, ...] = ()
    entry_port: int = 0
    call_port: int = 0
    control_port: int = 0
    membership_port: int = 0
    status_port: int = 0
    max_buffer_bytes: int = 67_108_864
    max_body_bytes: int = 10_485_760
    max_header_bytes: int = 16_384
    drain_timeout_ms: int = 30_000
    statsd_host: str = ""
    statsd_port: int = 8125
    statsd_prefix: str = "ibisspoke"
    log_level: str = "INFO"


def parse_settings(file: str, text: str) -> Result[NodeSettings, list[Fault]]:
    """Return the settings in ``text``, or all faults found.

    :param file: file name for error messages.
    """
    parsed = parse_document(file, text)
    if isinstance(parsed, Err):
        return parsed
    checker = Checker(parsed.ok_value)
    data = parsed.ok_value.data
    checker.check_top_level(SECTIONS)
    for name in REQUIRED_SECTIONS:
        if name not in data:
            checker.add((name,), "is missing", f"add the section [{name}]")
    fields = _valid_fields(checker, data)
    _check_hosts(checker, data)
    _check_secrets(checker, fields.get("secrets", []))
    _check_seeds(checker, fields.get("seeds", []))
    _check_ports(checker, fields)
    _check_limits(checker, fields)
    if checker.faults:
        return Err(checker.sorted_faults)
    fields["secrets"] = tuple(secret.encode() for secret in fields["secrets"])
    fields["seeds"] = tuple(fields.get("seeds", []))
    return Ok(NodeSettings(**fields))


def _valid_fields(checker: Checker, data: Mapping[str, Any]) -> dict[str, Any]:
    """Return the valid fields, keyed by their names in ``NodeSettings``."""
    fields: dict[str, Any] = {}
    unprefixed: list[tuple[str, type]] = [
        ("node", NodeSection),
        ("listen", ListenSection),
        ("fleet", FleetSection),
        ("limits", LimitsSection),
    ]
    prefixed: list[tuple[str, type, str]] = [
        ("platform", PlatformSection, "platform_"),
        ("metrics", MetricsSection, "statsd_"),
        ("log", LogSection, "log_"),
    ]
    for name, schema in unprefixed:
        if name in data:
            fields.update(checker.section((name,), data[name], schema))
    for name, schema, prefix in prefixed:
        if name in data:
            section: dict[str, Any] = checker.section((name,), data[name], schema)
            fields.update({prefix + field: section[field] for field in section})
    return fields


def _check_hosts(checker: Checker, data: Mapping[str, Any]) -> None:
    for section in ("node", "metrics"):
        entry = data.get(section)
        host = entry.get("host") if isinstance(entry, Mapping) else None
        if isinstance(host, str) and not _is_ip_number(host):
            remedy = "set it to an IP number such as 10.0.0.5; names are not resolved"
            checker.add((section, "host"), "is not an IP number", remedy)


def _check_secrets(checker: Checker, secrets: list[str]) -> None:
    for secret in secrets:
        long_enough = len(secret) >= MIN_SECRET_CHARACTERS
        if not long_enough or len(secret.encode()) > MAX_SECRET_BYTES:
            detail = "has a secret of the wrong length"
            remedy = "use secrets of 16 to 64 bytes, such as 32 random hex digits"
            checker.add(("fleet", "secrets"), detail, remedy)


def _check_seeds(checker: Checker, seeds: list[str]) -> None:
    for seed in seeds:
        host, _, port = seed.rpartition(":")
        if not (_is_ip_number(host) and _is_port(port)):
            remedy = 'write it as IP number and port, such as "10.0.0.5:7103"'
            checker.add(("fleet", "seeds"), f"has the bad address {seed!r}", remedy)


def _check_ports(checker: Checker, fields: Mapping[str, Any]) -> None:
    field_by_port: dict[int, str] = {}
    for field in PORT_FIELDS:
        port = fields.get(field, 0)
        first_field = field_by_port.setdefault(port, field)
        if port and first_field != field:
            detail = f"is the same port as {first_field}"
            checker.add(("listen", field), detail, "choose another port")


def _check_limits(checker: Checker, fields: Mapping[str, Any]) -> None:
    defaults = NodeSettings._field_defaults
    max_body = fields.get("max_body_bytes", defaults["max_body_bytes"])
    max_buffer = fields.get("max_buffer_bytes", defaults["max_buffer_bytes"])
    if max_body > max_buffer:
        detail = "is larger than max_buffer_bytes"
        remedy = "lower it, or raise max_buffer_bytes"
        checker.add(("limits", "max_body_bytes"), detail, remedy)


def _is_ip_number(text: str) -> bool:
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, text)
        except (OSError, ValueError):
            continue
        return True
    return False


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdigit() and 0 < int(text) <= MAX_PORT
