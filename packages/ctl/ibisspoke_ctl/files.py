"""Read catalogue and settings files."""

from pathlib import Path

from result import Err, Ok, Result

from ibisspoke_policy.catalogue import Catalogue
from ibisspoke_policy.catalogue_file import parse_catalogue
from ibisspoke_policy.document import Fault, parse_document
from ibisspoke_policy.node_settings import REQUIRED_SECTIONS, parse_settings


def load_catalogue(path: Path) -> Result[Catalogue, list[Fault]]:
    """Parse a catalogue file; return the catalogue or every fault found."""
    text = _read_text(path)
    if isinstance(text, Err):
        return text
    return parse_catalogue(str(path), text.ok_value)


def check_file(path: Path) -> Result[str, list[Fault]]:
    """Validate a file; return a description of it or every fault found."""
    text = _read_text(path)
    if isinstance(text, Err):
        return text
    parsed = parse_document(str(path), text.ok_value)
    if isinstance(parsed, Err):
        return parsed
    if any(name in parsed.ok_value.data for name in REQUIRED_SECTIONS):
        settings = parse_settings(str(path), text.ok_value)
        return settings.map(lambda parsed: f"settings of node {parsed.id}")
    catalogue = parse_catalogue(str(path), text.ok_value)
    return catalogue.map(_describe)


def _describe(catalogue: Catalogue) -> str:
    n_calls = len(catalogue.calls_by_id)
    n_organisations = len(catalogue.organisations_by_id)
    return f"catalogue of {n_calls} calls and {n_organisations} organisations"


def _read_text(path: Path) -> Result[str, list[Fault]]:
    try:
        return Ok(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        remedy = "name a TOML file in UTF-8 that can be read"
        return Err([Fault(str(path), 0, "", str(error), remedy)])
