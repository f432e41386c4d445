"""Owners of idempotency keys, with and without a data centre in the key."""

import pytest

from ibisspoke_node.claims import KeyOwnerDirectory, KeyScope
from ibisspoke_policy.idempotency import data_centre_of, issued_wall_ms
from ibisspoke_policy.table import Table
from ibisspoke_standins.sample_member import sample_member

HORIZON_MS = 30_000.0
N_KEYS = 200
ALL_DATA_CENTRES = KeyScope("ordering", "")
ONE_DATA_CENTRE = KeyScope("ordering", "svealand-1")


def make_members(data_centres, n_nodes=3):
    members = Table("members")
    for data_centre in data_centres:
        for number in range(n_nodes):
            node_id = f"{data_centre}-{number}"
            members.put(node_id, sample_member(node_id, data_centre))
    return members


def owners(members, scope):
    services = KeyOwnerDirectory(members, HORIZON_MS)
    return [services.owner(scope, f"svea/{number}", 0.0) for number in range(N_KEYS)]


def test_owner_of_a_key_with_a_data_centre_is_in_that_data_centre():
    members = make_members(["svealand-1", "gotaland-1"])
    assert {owner.data_centre for owner in owners(members, ONE_DATA_CENTRE)} == {
        "svealand-1"
    }
    both = {owner.data_centre for owner in owners(members, ALL_DATA_CENTRES)}
    assert both == {"svealand-1", "gotaland-1"}


def test_other_data_centres_do_not_move_a_key_with_a_data_centre():
    with_both = owners(make_members(["svealand-1", "gotaland-1"]), ONE_DATA_CENTRE)
    with_one = owners(make_members(["svealand-1"]), ONE_DATA_CENTRE)
    assert with_both == with_one


def test_key_has_no_owner_when_its_data_centre_has_no_node_of_the_service():
    assert owners(make_members(["gotaland-1"]), ONE_DATA_CENTRE) == [None] * N_KEYS


def test_unknown_data_centres_in_keys_are_not_stored():
    services = KeyOwnerDirectory(make_members(["gotaland-1"]), HORIZON_MS)
    for number in range(N_KEYS):
        services.owner(KeyScope("ordering", f"made-up-{number}"), "svea/1", 0.0)
    services.owner(KeyScope("ordering", "gotaland-1"), "svea/1", 0.0)
    assert repr(services) == "KeyOwnerDirectory(1 scopes)"


@pytest.mark.parametrize(
    ("key", "data_centre"),
    [
        ("svealand-1:0190a5e0-0000-7000-8000-000000000000", "svealand-1"),
        ("0190a5e0-0000-7000-8000-000000000000", ""),
        ("order-7", ""),
        (":order-7", ""),
        ("", ""),
    ],
)
def test_data_centre_of_a_key_precedes_the_colon(key, data_centre):
    assert data_centre_of(key) == data_centre


def test_time_of_a_key_follows_its_data_centre():
    bare = "0190a5e0-0000-7000-8000-000000000000"
    assert (
        issued_wall_ms(f"svealand-1:{bare}") == issued_wall_ms(bare) == 0x0190A5E00000
    )
