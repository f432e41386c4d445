"""Differences between two versions of the catalogue, for operators to read."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from .catalogue import Call, Catalogue, Importance, Key, Organisation


class ChangeKind(StrEnum):
    """Kind of difference of an entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class EntryKind(StrEnum):
    """Part of the catalogue that an entry belongs to."""

    CALL = "call"
    ORGANISATION = "organisation"
    KEY = "key"
    DATA_CENTRE = "data_centre"


class Change(NamedTuple):
    """One difference between two catalogues.

    :param entry: part of the catalogue that differs.
    :param id: id of the entry; for a key, the start of its digest.
    :param kind: whether the entry was added, removed or changed.
    :param field: the field that changed; empty for a whole entry.
    :param before: the earlier value as text; empty for an added entry.
    :param after: the later value as text; empty for a removed entry.
    """

    entry: EntryKind
    id: str
    kind: ChangeKind
    field: str = ""
    before: str = ""
    after: str = ""

    def __str__(self) -> str:
        if self.kind is ChangeKind.CHANGED:
            values = f"{self.field}: {self.before} -> {self.after}"
            return f"~ {self.entry} {self.id} {values}"
        sign = "+" if self.kind is ChangeKind.ADDED else "-"
        text = self.after or self.before
        return f"{sign} {self.entry} {self.id} {text}".rstrip()


N_SHOWN_DIGEST_CHARACTERS = 12


class DataCentre(NamedTuple):
    """The catalogue entry of a data centre."""

    quota_slots: int


_Entry = Call | Organisation | Key | DataCentre


def difference(before: Catalogue, after: Catalogue) -> list[Change]:
    """Return the changes from ``before`` to ``after``, by entry."""
    return [
        *_compare(EntryKind.CALL, before.calls_by_id, after.calls_by_id),
        *_compare(
            EntryKind.ORGANISATION,
            before.organisations_by_id,
            after.organisations_by_id,
        ),
        *_compare(EntryKind.KEY, before.keys_by_digest, after.keys_by_digest),
        *_compare(EntryKind.DATA_CENTRE, _data_centres(before), _data_centres(after)),
    ]


def _data_centres(catalogue: Catalogue) -> dict[str, DataCentre]:
    n_slots = catalogue.n_slots_by_data_centre
    return {name: DataCentre(n) for name, n in n_slots.items()}


def _compare(
    entry: EntryKind, before: Mapping[str, _Entry], after: Mapping[str, _Entry]
) -> list[Change]:
    changes: list[Change] = []
    ids = before.keys() | after.keys()
    for id in sorted(ids, key=lambda id: _sort_key(id, after.get(id) or before[id])):
        changes.extend(_compare_entry(entry, id, before.get(id), after.get(id)))
    return changes


def _sort_key(id: str, entry: _Entry) -> tuple[str, ...]:
    if isinstance(entry, Key):
        return (entry.organisation, entry.label, id)
    return (id,)


def _compare_entry(
    entry: EntryKind, id: str, before: _Entry | None, after: _Entry | None
) -> list[Change]:
    shown_id = id[:N_SHOWN_DIGEST_CHARACTERS] if entry is EntryKind.KEY else id
    if before is None and after is not None:
        return [Change(entry, shown_id, ChangeKind.ADDED, after=_summary(after))]
    if after is None and before is not None:
        return [Change(entry, shown_id, ChangeKind.REMOVED, before=_summary(before))]
    assert before is not None and after is not None
    return [
        Change(
            entry,
            shown_id,
            ChangeKind.CHANGED,
            name,
            _format_value(old),
            _format_value(new),
        )
        for name, old, new in zip(before._fields, before, after, strict=True)
        if old != new
    ]


def _summary(entry: _Entry) -> str:
    if isinstance(entry, Call):
        return f"({entry.method} {entry.service}{entry.path}, {entry.owner})"
    if isinstance(entry, Organisation):
        return f"({entry.rate_per_s:g}/s, burst {entry.burst:g})"
    if isinstance(entry, DataCentre):
        return f"({entry.quota_slots} quota slots)"
    return f"({entry.organisation}, {entry.label})"


def _format_value(value: object) -> str:
    if isinstance(value, Importance):
        return value.name.lower()
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)
