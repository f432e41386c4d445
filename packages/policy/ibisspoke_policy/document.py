"""Validate TOML documents against schemas and report all faults at once.

A schema is a ``TypedDict`` whose fields carry ``msgspec.Meta`` with a description;
the description completes the remedy "set it to <description>".
"""

import re
import tomllib
from collections.abc import Mapping
from typing import (
    Any,
    NamedTuple,
    NotRequired,
    Required,
    TypeVar,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec
from result import Err, Ok, Result

T = TypeVar("T")
Path = tuple[str, ...]

_FIELD_QUALIFIERS = (Required, NotRequired)
_ERROR_LOCATION = re.compile(r" \(at line (\d+), column \d+\)")
_ERROR_PATH = re.compile(r" - at `[^`]*`$")
_BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")


class Fault(NamedTuple):
    """A fault in a document and its remedy.

    :param line: line number; 0 if it is unknown.
    :param place: dotted path of the field; empty for the whole document.
    """

    file: str
    line: int
    place: str
    detail: str
    remedy: str

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}" if self.line else self.file
        place = f" {self.place}:" if self.place else ""
        return f"{where}:{place} {self.detail}; {self.remedy}"


class Document:
    """A parsed TOML document with the line number of each field.

    :param file: file name for error messages.
    :param data: the parsed content.
    """

    def __init__(self, file: str, text: str, data: dict[str, Any]) -> None:
        self.file = file
        self.data = data
        self._line_by_path = _line_numbers(text)

    def __repr__(self) -> str:
        return f"Document({self.file!r}, {len(self.data)} sections)"

    def fault(self, path: Path, detail: str, remedy: str) -> Fault:
        """Return a fault at ``path``, at the line of its longest known prefix."""
        line = 0
        for n_parts in range(len(path), 0, -1):
            line = self._line_by_path.get(path[:n_parts], 0)
            if line:
                break
        return Fault(self.file, line, format_path(path), detail, remedy)


class Checker:
    """Validate a document and collect its faults.

    :param document: the document to validate.
    """

    def __init__(self, document: Document) -> None:
        self.document = document
        self.faults: list[Fault] = []

    def __repr__(self) -> str:
        return f"Checker({self.document!r}, {len(self.faults)} faults)"

    @property
    def sorted_faults(self) -> list[Fault]:
        """All faults, sorted by line."""
        return sorted(self.faults, key=lambda fault: fault.line)

    def add(self, path: Path, detail: str, remedy: str) -> None:
        """Record a fault."""
        self.faults.append(self.document.fault(path, detail, remedy))

    def section(self, path: Path, data: object, schema: type[T]) -> T:
        """Return the valid fields of a section and record the others as faults.

        After a fault, required fields may be missing from the result.
        """
        fields: dict[str, Any] = {}
        if not isinstance(data, Mapping):
            self.add(path, "is not a section", f"write [{format_path(path)}]")
            return fields  # type: ignore[return-value]
        hints = _field_types(schema)
        self._check_unknown(path, data, list(hints))
        for name, hint in hints.items():
            if name in data:
                self._check_field((*path, name), data[name], hint, fields)
        self._check_missing(path, data, schema, hints)
        return fields  # type: ignore[return-value]

    def sections(self, path: Path, data: object, schema: type[T]) -> dict[str, T]:
        """Return the subsections of ``path`` by name."""
        if not isinstance(data, Mapping):
            name = format_path(path)
            self.add(path, "is not a section", f"write [{name}.<id>] for each entry")
            return {}
        return {
            name: self.section((*path, name), entry, schema)
            for name, entry in data.items()
        }

    def check_top_level(self, names: list[str]) -> None:
        """Record unknown sections as faults."""
        self._check_unknown((), self.document.data, names)

    def _check_unknown(
        self, path: Path, data: Mapping[str, object], names: list[str]
    ) -> None:
        for name in data:
            if name not in names:
                self.add((*path, name), "is unknown", _spelling_remedy(name, names))

    def _check_field(
        self, path: Path, value: object, hint: Any, fields: dict[str, Any]
    ) -> None:
        try:
            fields[path[-1]] = msgspec.convert(value, hint)
        except msgspec.ValidationError as error:
            self.add(path, _detail(error), f"set it to {describe(hint)}")

    def _check_missing(
        self,
        path: Path,
        data: Mapping[str, object],
        schema: type,
        hints: Mapping[str, Any],
    ) -> None:
        required: frozenset[str] = schema.__required_keys__  # type: ignore[attr-defined]
        for name in hints:
            if name in required and name not in data:
                remedy = f"set it to {describe(hints[name])}"
                self.add((*path, name), "is missing", remedy)


def parse_document(file: str, text: str) -> Result[Document, list[Fault]]:
    """Return the document in ``text``, or its syntax error as a fault."""
    try:
        return Ok(Document(file, text, tomllib.loads(text)))
    except tomllib.TOMLDecodeError as error:
        found = _ERROR_LOCATION.search(str(error))
        line = int(found.group(1)) if found else text.count("\n") + 1
        detail = _ERROR_LOCATION.sub("", str(error))
        return Err([Fault(file, line, "", detail, "correct the TOML syntax there")])


def format_path(path: Path) -> str:
    """Return ``path`` as a dotted key in TOML."""
    return ".".join(part if _BARE_KEY.fullmatch(part) else f'"{part}"' for part in path)


def describe(hint: Any) -> str:
    """Return the description in the ``Meta`` of a type hint."""
    for meta in getattr(hint, "__metadata__", ()):
        if isinstance(meta, msgspec.Meta) and meta.description:
            return meta.description
    return str(hint)


def _field_types(schema: type) -> dict[str, Any]:
    """Return the type of each field without ``Required`` or ``NotRequired``."""
    hints = get_type_hints(schema, include_extras=True)
    return {
        name: get_args(hint)[0] if get_origin(hint) in _FIELD_QUALIFIERS else hint
        for name, hint in hints.items()
    }


def _detail(error: msgspec.ValidationError) -> str:
    detail = _ERROR_PATH.sub("", str(error))
    if "matching regex" in detail:
        return "does not have the right form"
    return detail[0].lower() + detail[1:]


def _spelling_remedy(name: str, names: list[str]) -> str:
    from difflib import get_close_matches

    close = get_close_matches(name, names, 1)
    if close:
        return f"did you mean {close[0]}?"
    return f"remove it, or use one of {', '.join(names)}"


def _line_numbers(text: str) -> dict[Path, int]:
    """Return the line of each section header and of each field on its own line."""
    line_by_path: dict[Path, int] = {}
    section: Path = ()
    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        if stripped.startswith("["):
            section = _dotted_keys(stripped) or section
            for n_parts in range(1, len(section) + 1):
                line_by_path.setdefault(section[:n_parts], number)
            continue
        name, equals, _ = stripped.partition("=")
        keys = _dotted_keys(f"{name}= 0") if equals else ()
        if keys:
            line_by_path.setdefault((*section, *keys), number)
    return line_by_path


def _dotted_keys(line: str) -> Path:
    """Return the parts of the dotted key in a single line of TOML."""
    try:
        data: object = tomllib.loads(line)
    except tomllib.TOMLDecodeError:
        return ()
    keys: list[str] = []
    while isinstance(data, dict) and data:
        name, data = next(iter(data.items()))
        keys.append(name)
    return tuple(keys)
