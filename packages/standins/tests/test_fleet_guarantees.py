import pytest

from ibisspoke_standins.fleet_guarantees import (
    MAX_LEAVE_MS,
    MAX_WITHDRAWAL_MS,
    Arrival,
    Request,
    answered_share,
    find_violations,
)

LOOKUP = Request("a", "/lookup/1", "key", 1_000.0, True, 200, b"a@i-1:0")
ORDER = LOOKUP._replace(path="/order/1")
RUN = Arrival("a", "i-1", 1_010.0, True)


def violations(request, arrivals, departed=None, withdrawn=None):
    return find_violations([request], arrivals, departed or {}, withdrawn or {})


@pytest.mark.parametrize(
    ("request_", "arrivals"),
    [
        (LOOKUP, [RUN]),
        (ORDER, [RUN._replace(ran=False), RUN]),
        (LOOKUP._replace(status=502), [RUN, RUN]),
        (LOOKUP._replace(status=503), [RUN._replace(ran=False)]),
        (LOOKUP._replace(status=0, was_up=False), []),
    ],
)
def test_allowed_outcomes_are_not_violations(request_, arrivals):
    assert violations(request_, arrivals) == []


@pytest.mark.parametrize(
    ("request_", "arrivals", "expected"),
    [
        (LOOKUP._replace(body=b"b@i-1:0"), [RUN], "a got b'b@i-1:0'"),
        (LOOKUP, [], "a was answered and never ran"),
        (LOOKUP._replace(status=503), [RUN], "a got 503 and ran"),
        (ORDER, [RUN, RUN], "a ran 2 times"),
        (LOOKUP._replace(status=0), [], "a got no answer"),
        (LOOKUP._replace(status=404), [], "a got 404"),
    ],
)
def test_violations_are_reported(request_, arrivals, expected):
    assert violations(request_, arrivals) == [expected]


def test_an_upstream_that_left_gets_nothing_more():
    departed = {"i-1": RUN.at_ms - MAX_LEAVE_MS - 1.0}
    assert violations(LOOKUP, [RUN], departed=departed) == ["a reached i-1 2001 ms"]
    assert violations(LOOKUP, [RUN], departed={"i-1": RUN.at_ms - MAX_LEAVE_MS}) == []


def test_a_withdrawn_key_stops_working_in_time():
    late = LOOKUP._replace(sent_ms=MAX_WITHDRAWAL_MS + 1.0)
    expected = ["a ran for a key that was withdrawn"]
    assert violations(late, [RUN], withdrawn={"key": 0.0}) == expected
    assert violations(LOOKUP, [RUN], withdrawn={"key": 0.0}) == []
    refused = late._replace(status=401)
    assert violations(refused, [], withdrawn={"key": 0.0}) == []
    assert violations(refused, []) == ["a got 401"]


def test_answered_share_counts_only_requests_after_a_time():
    early = LOOKUP._replace(status=503, sent_ms=0.0)
    assert answered_share([early, LOOKUP], 500.0) == 1.0
    assert answered_share([early, LOOKUP], 0.0) == 0.5
