"""Settings of one node, read from TOML."""

import tomllib
from pathlib import Path
from typing import NamedTuple, TypedDict

import msgspec
from result import Err, Ok, Result


class NodeSection(TypedDict):
    """Who and where the node is."""

    id: str
    region: str
    data_centre: str
    host: str


class ListenSection(TypedDict, total=False):
    """Ports; 0 lets the kernel choose."""

    entry_port: int
    call_port: int
    control_port: int
    membership_port: int
    status_port: int


class PlatformSection(TypedDict):
    """Where the platform's table service and object store answer."""

    url: str


class FleetSection(TypedDict, total=False):
    """What all nodes share; ``seeds`` are control addresses ``host:port``."""

    secrets: list[str]
    seeds: list[str]


class LimitsSection(TypedDict, total=False):
    """Bounds of this process."""

    max_buffer_bytes: int
    max_body_bytes: int
    max_header_bytes: int
    drain_timeout_ms: int


class MetricsSection(TypedDict, total=False):
    """Where statsd listens; no host turns metrics off."""

    host: str
    port: int
    prefix: str


class LogSection(TypedDict, total=False):
    """Logging level by name."""

    level: str


class SettingsFile(TypedDict, total=False):
    """All sections of the file."""

    node: NodeSection
    listen: ListenSection
    platform: PlatformSection
    fleet: FleetSection
    limits: LimitsSection
    metrics: MetricsSection
    log: LogSection


class NodeSettings(NamedTuple):
    """Checked settings of one node.

    :param secrets: fleet secrets; the first signs, all of them are accepted.
    :param seeds: control addresses of other nodes, ``host:port``.
    :param max_buffer_bytes: request and answer bodies held at once.
    :param drain_timeout_ms: how long a stop waits for requests.
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


class SettingsProblem(NamedTuple):
    """A fault in a settings file and its remedy."""

    file: str
    place: str
    detail: str
    remedy: str


def load_settings(path: Path) -> Result[NodeSettings, list[SettingsProblem]]:
    """Return the settings in the file at ``path``, or every fault found."""
    try:
        document = tomllib.loads(path.read_text())
        file = msgspec.convert(document, SettingsFile)
    except OSError as error:
        return Err([_problem(path, str(error), "name a file that can be read")])
    except tomllib.TOMLDecodeError as error:
        return Err([_problem(path, str(error), "correct the TOML syntax")])
    except msgspec.ValidationError as error:
        return Err([_problem(path, str(error), "correct the field")])
    missing = [name for name in ("node", "platform", "fleet") if name not in file]
    if missing:
        return Err([_problem(path, f"no [{n}]", "add the section") for n in missing])
    return Ok(_settings(file))


def _settings(file: SettingsFile) -> NodeSettings:
    node = file["node"]
    fleet = file["fleet"]
    metrics = file.get("metrics", {})
    settings = NodeSettings(
        id=node["id"],
        region=node["region"],
        data_centre=node["data_centre"],
        host=node["host"],
        platform_url=file["platform"]["url"],
        secrets=tuple(secret.encode() for secret in fleet.get("secrets", [])),
        seeds=tuple(fleet.get("seeds", [])),
        log_level=file.get("log", {}).get("level", "INFO"),
        statsd_host=metrics.get("host", ""),
        statsd_port=metrics.get("port", 8125),
        statsd_prefix=metrics.get("prefix", "ibisspoke"),
    )
    return settings._replace(**file.get("listen", {}), **file.get("limits", {}))


def _problem(path: Path, detail: str, remedy: str) -> SettingsProblem:
    return SettingsProblem(str(path), "", detail, remedy)
