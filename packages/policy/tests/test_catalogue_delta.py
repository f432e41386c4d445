from hypothesis import given
from hypothesis import strategies as st

from ibisspoke_policy.catalogue import (
    EMPTY_CATALOGUE,
    Call,
    Catalogue,
    Importance,
    Key,
    Organisation,
)
from ibisspoke_policy.catalogue_delta import (
    DeltaLog,
    apply_delta,
    delta_between,
    snapshot_digest,
)

IDS = st.sampled_from(["a", "b", "c"])
CALL = st.builds(
    lambda id, timeout_ms: Call(
        id, "s", "GET", "/x", "o", Importance.LOW, True, timeout_ms=timeout_ms
    ),
    IDS,
    st.integers(1, 2),
)
ORGANISATION = st.builds(Organisation, IDS, st.sampled_from([1.0, 2.0]), st.just(3.0))
KEY = st.builds(Key, IDS, IDS, st.just("label"), st.integers(0, 1))
CATALOGUE = st.builds(
    lambda calls, organisations, keys, slots: Catalogue(
        0,
        {call.id: call for call in calls},
        {organisation.id: organisation for organisation in organisations},
        {key.digest: key for key in keys},
        slots,
    ),
    st.lists(CALL),
    st.lists(ORGANISATION),
    st.lists(KEY),
    st.dictionaries(IDS, st.integers(1, 3)),
)


def _delta(old, new):
    return delta_between(old, new, snapshot_digest(new))


@given(CATALOGUE, CATALOGUE)
def test_a_difference_leads_to_the_same_snapshot(old, new):
    old, new = old._replace(version=4), new._replace(version=7)
    assert apply_delta(old, _delta(old, new)).ok_value == new


def test_a_difference_from_another_version_or_content_is_rejected():
    old = EMPTY_CATALOGUE._replace(version=1)
    new = old._replace(version=2, n_slots_by_data_centre={"svea-1": 1})
    delta = _delta(old, new)
    assert apply_delta(new, delta).is_err()
    assert apply_delta(EMPTY_CATALOGUE, delta).is_err()
    other = old._replace(organisations_by_id={"a": Organisation("a", 1.0, 1.0)})
    assert "digest" in apply_delta(other, delta).err_value
    assert apply_delta(old, delta._replace(to_version=1)).is_err()


def test_the_log_gives_whole_chains_only():
    versions = [EMPTY_CATALOGUE._replace(version=n) for n in range(6)]
    log = DeltaLog(max_deltas=3)
    for old, new in zip(versions, versions[1:], strict=False):
        log.add(_delta(old, new))
    assert [delta.to_version for delta in log.since(3, 5)] == [4, 5]
    assert log.since(5, 5) == []
    assert log.since(1, 5) is None
