import pathlib

import pytest
import tomli_w

from ibisspoke_policy.catalogue import Importance
from ibisspoke_policy.catalogue_file import parse_catalogue, to_document

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"

GOOD = """\
[data_centres.svea-1]
quota_slots = 2

[organisations.svea]
rate_per_s = 10
burst = 5

[calls."ordering.place"]
service = "ordering"
method = "POST"
path = "/orders"
owner = "orders"
importance = "critical"
idempotent = false
"""

OPEN_CALL = """
[calls.shop]
service = "shop"
method = "GET"
path = "/*"
owner = "shop"
importance = "low"
idempotent = true
open = true
open_rate_per_s = 5
open_burst = 5
"""


def faults(text):
    return parse_catalogue("c.toml", text).unwrap_err()


def test_the_smallest_catalogue_takes_its_defaults():
    catalogue = parse_catalogue("c.toml", GOOD).unwrap()
    call = catalogue.calls_by_id["ordering.place"]
    assert call.importance is Importance.CRITICAL
    assert (call.is_open, call.timeout_ms, call.max_retries) == (False, 5_000, 2)
    assert catalogue.organisations_by_id["svea"].serve_when_isolated_s == 3_600
    assert catalogue.n_slots_by_data_centre == {"svea-1": 2}


@pytest.mark.parametrize("site", ["lockbacken", "harmattan"])
def test_examples_are_valid_and_survive_being_written_again(site):
    path = EXAMPLES / site / "catalogue.toml"
    catalogue = parse_catalogue(str(path), path.read_text()).unwrap()
    assert len(catalogue.organisations_by_id) == 8
    assert len({call.service for call in catalogue.calls_by_id.values()}) == 4
    text = tomli_w.dumps(to_document(catalogue))
    assert parse_catalogue("again", text).unwrap() == catalogue


@pytest.mark.parametrize(
    ("old", "new", "line", "place", "detail", "remedy"),
    [
        ("burst = 5", "brust = 5", 6, "brust", "is unknown", "did you mean burst?"),
        ("burst = 5", "", 4, "burst", "is missing", "number of requests"),
        ("burst = 5", "burst = 0.5", 6, "burst", ">= 1", "number of requests"),
        ("burst = 5", "burst = inf", 6, "burst", "<=", "number of requests"),
        ("= 10", "= nan", 5, "rate_per_s", "> 0", "a rate"),
        ("= 10", "= -1", 5, "rate_per_s", "> 0", "a rate"),
        ("= 10", '= "10"', 5, "rate_per_s", "got `str`", "a rate"),
        ("= 10", "= true", 5, "rate_per_s", "got `bool`", "a rate"),
        ("= 10", "= 10\nfoo = 1", 6, "foo", "is unknown", "remove it"),
        ("[organisations.svea]", "[organisations]", 5, "rate_per_s", "not a", "[org"),
        ("slots = 2", "slots = 0", 2, "quota_slots", ">= 1", "from 1 to 64"),
        ('"POST"', '"post"', 10, "method", "'post'", "GET, HEAD"),
        ('"/orders"', '"orders"', 11, "path", "form", "/orders/*"),
        ('"/orders"', '"/a/*/b"', 11, "path", "form", "only at its end"),
        ('"/orders"', '"/a?b=1"', 11, "path", "form", "a path"),
        ('"/orders"', "[]", 11, "path", "got `array`", "a path"),
        ('"ordering"', '"or/der"', 9, "service", "form", "letters"),
        ('"orders"', '""', 12, "owner", "form", "the team"),
        ('"orders"', '"a\\u001bb"', 12, "owner", "form", "one line"),
        ('"critical"', '"vital"', 13, "importance", "'vital'", '"critical"'),
        ('"critical"', "3", 13, "importance", "`int`", '"critical"'),
        ("= false", '= "no"', 14, "idempotent", "got `str`", "true or false"),
        ("= false", "= false\ntimeout_ms = 0", 15, "timeout_ms", ">= 1", "600000"),
        ("= false", "= false\nmax_retries = 11", 15, "max_retries", "<= 10", "0 to 10"),
        ("= false", "= false\nmax_body_bytes = 1e9", 15, "bytes", "float", "67108864"),
        ("= false", "= false\nopen = true", 8, "open_burst", "missing", "bounded"),
        ("= false", "= false\nopen_burst = 1", 15, "open_burst", "open call", "remove"),
        ('"ordering.place"', '"a b"', 8, 'calls."a b"', "valid id", "at most 100"),
        ("[calls", "[cals", 8, "cals", "is unknown", "did you mean calls?"),
    ],
)
def test_each_mistake_names_its_line_place_and_remedy(
    old, new, line, place, detail, remedy
):
    found = faults(GOOD.replace(old, new, 1))
    matching = [fault for fault in found if fault.place.endswith(place)]
    assert matching, found
    assert matching[0].line == line
    assert detail in matching[0].detail
    assert remedy in matching[0].remedy


def test_all_mistakes_are_reported_at_once_in_the_order_of_lines():
    text = (
        GOOD.replace("= 10", "= 0").replace('"POST"', '"X"').replace("= 2", '= "two"')
    )
    assert [fault.line for fault in faults(text)] == [2, 5, 10]


def test_two_calls_of_one_route_are_refused():
    text = GOOD + OPEN_CALL + OPEN_CALL.replace("calls.shop", "calls.window")
    assert [fault.place for fault in faults(text)] == ["calls.window"]
    assert "call shop" in faults(text)[0].detail


@pytest.mark.parametrize("text", ["", "calls = 1", "[calls]\n[organisations]"])
def test_empty_parts_are_refused(text):
    assert {"calls", "organisations", "data_centres"} <= {
        fault.place for fault in faults(text)
    }


@pytest.mark.parametrize(
    ("text", "line"),
    [("a = ", 1), ("\n\n[a\n", 3), ("a = 1\na = 2\n", 2), ('x = "', 1), ("\x00", 1)],
)
def test_syntax_is_reported_with_its_line(text, line):
    (fault,) = faults(text)
    assert fault.line == line
    assert "syntax" in fault.remedy


def test_a_fault_reads_as_one_line():
    fault = faults(GOOD.replace("burst = 5", "burst = 0"))[0]
    assert str(fault) == (
        "c.toml:6: organisations.svea.burst: expected `float` >= 1.0; "
        "set it to a number of requests from 1"
    )
