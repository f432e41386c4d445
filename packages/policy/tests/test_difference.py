from ibisspoke_policy.catalogue import (
    EMPTY_CATALOGUE,
    Call,
    Catalogue,
    Importance,
    Key,
    Organisation,
)
from ibisspoke_policy.difference import difference

CALL = Call("a.b", "a", "GET", "/b", "team", Importance.LOW, True)
FULL = Catalogue(
    1,
    {"a.b": CALL},
    {"svea": Organisation("svea", 10.0, 5.0)},
    {"d" * 64: Key("d" * 64, "svea", "till 1", 0)},
    {"svea-1": 2},
)


def lines(before, after):
    return [str(change) for change in difference(before, after)]


def test_removed_entries_are_shown_like_added_ones():
    added = lines(EMPTY_CATALOGUE, FULL)
    assert added == [
        "+ call a.b (GET a/b, team)",
        "+ organisation svea (10/s, burst 5)",
        "+ key dddddddddddd (svea, till 1)",
        "+ data_centre svea-1 (2 quota slots)",
    ]
    removed = lines(FULL, EMPTY_CATALOGUE)
    assert removed == [line.replace("+", "-", 1) for line in added]


def test_each_changed_field_is_one_change():
    call = CALL._replace(importance=Importance.HIGH, timeout_ms=10)
    changed = FULL._replace(calls_by_id={"a.b": call})
    assert lines(FULL, changed) == [
        "~ call a.b importance: low -> high",
        "~ call a.b timeout_ms: 5000 -> 10",
    ]


def test_the_version_alone_is_no_difference():
    assert lines(FULL, FULL._replace(version=9)) == []
