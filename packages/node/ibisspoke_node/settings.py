"""Loading of the settings of a node from a file."""

from pathlib import Path

from result import Err, Result

from ibisspoke_policy.document import Fault
from ibisspoke_policy.node_settings import NodeSettings, parse_settings

__all__ = ["NodeSettings", "load_settings"]


def load_settings(path: Path) -> Result[NodeSettings, list[Fault]]:
    """Load the settings from the file at ``path``; on failure return all faults."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        remedy = "name a TOML file in UTF-8 that can be read"
        return Err([Fault(str(path), 0, "", str(error), remedy)])
    return parse_settings(str(path), text)
