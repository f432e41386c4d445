"""Read and write the catalogue file, which operators keep in TOML."""

import re
from collections.abc import Mapping
from typing import Annotated, Any, Literal, NotRequired, TypedDict

from msgspec import Meta
from result import Err, Ok, Result

from .catalogue import Call, Catalogue, Importance, Organisation
from .document import Checker, Fault, parse_document

SECTIONS = ["data_centres", "organisations", "calls"]
MAX_TIMEOUT_MS = 600_000
MAX_BYTES = 67_108_864
MAX_RATE_PER_S = 10_000_000.0

_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
_ID_REMEDY = "use letters, digits, '.', '_' and '-', at most 100 characters"

Name = Annotated[
    str,
    Meta(
        pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$",
        description="a name of letters, digits, '.', '_' and '-'",
    ),
]
Method = Annotated[
    Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"],
    Meta(description="GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS"),
]
RoutePath = Annotated[
    str,
    Meta(
        pattern=r"^/([^\s?#*]*|[^\s?#*]*/\*|\*)$",
        description='a path such as "/orders" or "/orders/*", \'*\' only at its end',
    ),
]
Owner = Annotated[
    str,
    Meta(
        pattern=r"^[^\x00-\x1f\x7f]{1,200}$",
        description="the team that answers for it, one line",
    ),
]
ImportanceName = Annotated[
    Literal["low", "normal", "high", "critical"],
    Meta(description='"low", "normal", "high" or "critical"'),
]
Flag = Annotated[bool, Meta(description="true or false")]
TimeoutMs = Annotated[
    int,
    Meta(ge=1, le=MAX_TIMEOUT_MS, description="milliseconds from 1 to 600000"),
]
Bytes = Annotated[int, Meta(ge=0, le=MAX_BYTES, description="bytes from 0 to 67108864")]
Retries = Annotated[int, Meta(ge=0, le=10, description="a whole number from 0 to 10")]
Rate = Annotated[
    float,
    Meta(gt=0, le=MAX_RATE_PER_S, description="a rate in requests a second, above 0"),
]
Burst = Annotated[
    float, Meta(ge=1, le=MAX_RATE_PER_S, description="a number of requests from 1")
]
IsolatedS = Annotated[
    int, Meta(ge=0, le=604_800, description="seconds from 0 to 604800")
]
QuotaSlots = Annotated[
    int, Meta(ge=1, le=64, description="a whole number from 1 to 64")
]


class CallSection(TypedDict):
    """A section ``[calls.<id>]``."""

    service: Name
    method: Method
    path: RoutePath
    owner: Owner
    importance: ImportanceName
    idempotent: Flag
    open: NotRequired[Flag]
    timeout_ms: NotRequired[TimeoutMs]
    max_body_bytes: NotRequired[Bytes]
    max_answer_bytes: NotRequired[Bytes]
    max_retries: NotRequired[Retries]
    open_rate_per_s: NotRequired[Rate]
    open_burst: NotRequired[Burst]


class OrganisationSection(TypedDict):
    """A section ``[organisations.<id>]``."""

    rate_per_s: Rate
    burst: Burst
    serve_when_isolated_s: NotRequired[IsolatedS]


class DataCentreSection(TypedDict):
    """A section ``[data_centres.<name>]``."""

    quota_slots: QuotaSlots


def parse_catalogue(file: str, text: str) -> Result[Catalogue, list[Fault]]:
    """Return the catalogue in ``text``, or all faults found.

    :param file: file name for error messages.
    :returns: a catalogue of version 0 without keys.
    """
    parsed = parse_document(file, text)
    if isinstance(parsed, Err):
        return parsed
    checker = Checker(parsed.ok_value)
    data = parsed.ok_value.data
    checker.check_top_level(SECTIONS)
    data_centres = checker.sections(
        ("data_centres",), data.get("data_centres", {}), DataCentreSection
    )
    organisations = checker.sections(
        ("organisations",), data.get("organisations", {}), OrganisationSection
    )
    calls = checker.sections(("calls",), data.get("calls", {}), CallSection)
    _check_not_empty(checker, data)
    _check_ids(checker, data)
    _check_open_calls(checker, calls)
    _check_routes(checker, calls)
    if checker.faults:
        return Err(checker.sorted_faults)
    return Ok(
        Catalogue(
            version=0,
            calls_by_id={id: _make_call(id, entry) for id, entry in calls.items()},
            organisations_by_id={
                id: Organisation(id=id, **entry) for id, entry in organisations.items()
            },
            keys_by_digest={},
            n_slots_by_data_centre={
                name: entry["quota_slots"] for name, entry in data_centres.items()
            },
        )
    )


def to_document(catalogue: Catalogue) -> dict[str, Any]:
    """Return ``catalogue`` as the content of a TOML file, without its keys."""
    return {
        "data_centres": {
            name: DataCentreSection(quota_slots=n)
            for name, n in catalogue.n_slots_by_data_centre.items()
        },
        "organisations": {
            id: _without_id(entry._asdict())
            for id, entry in catalogue.organisations_by_id.items()
        },
        "calls": {
            id: _call_section(call) for id, call in catalogue.calls_by_id.items()
        },
    }


def _check_not_empty(checker: Checker, data: Mapping[str, object]) -> None:
    for name in SECTIONS:
        if not data.get(name):
            remedy = f"add at least one [{name}.<id>]"
            checker.add((name,), "has no entry", remedy)


def _check_ids(checker: Checker, data: Mapping[str, object]) -> None:
    for section in SECTIONS:
        entries = data.get(section)
        for id in entries if isinstance(entries, Mapping) else ():
            if not _ID.fullmatch(id):
                checker.add((section, id), "is not a valid id", _ID_REMEDY)


def _check_open_calls(checker: Checker, calls: Mapping[str, CallSection]) -> None:
    for id, call in calls.items():
        for field in ("open_rate_per_s", "open_burst"):
            if call.get("open", False) and field not in call:
                remedy = "set it; a call that is open to all is bounded by it"
                checker.add(("calls", id, field), "is missing", remedy)
            if not call.get("open", False) and field in call:
                remedy = "remove it, or set open = true"
                checker.add(("calls", id, field), "needs an open call", remedy)


def _check_routes(checker: Checker, calls: Mapping[str, CallSection]) -> None:
    id_by_route: dict[tuple[object, ...], str] = {}
    for id, call in calls.items():
        route = (call.get("service"), call.get("method"), call.get("path"))
        if None in route:
            continue
        first_id = id_by_route.setdefault(route, id)
        if first_id != id:
            detail = f"has the same service, method and path as call {first_id}"
            checker.add(("calls", id), detail, "change its path, or remove one")


def _make_call(id: str, entry: CallSection) -> Call:
    fields: dict[str, Any] = dict(entry)
    fields["importance"] = Importance[entry["importance"].upper()]
    fields["is_open"] = fields.pop("open", False)
    return Call(id=id, **fields)


def _call_section(call: Call) -> dict[str, Any]:
    fields = _without_id(call._asdict())
    fields["importance"] = call.importance.name.lower()
    fields["open"] = fields.pop("is_open")
    if not call.is_open:
        del fields["open_rate_per_s"], fields["open_burst"]
    return fields


def _without_id(fields: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in fields.items() if name != "id"}
