"""Pollers and near peers, as the members of the fleet change."""

from ibisspoke_node.control import ControlClient
from ibisspoke_node.in_force import CatalogueInForce
from ibisspoke_node.organisations import OrganisationServices, PlatformStores
from ibisspoke_node.settings import NodeSettings
from ibisspoke_policy.clock import ManualClock
from ibisspoke_policy.member import Member, MemberState, MemberTable
from ibisspoke_standins.memory_store import MemoryStore

SETTINGS = NodeSettings("n0", "r", "d1", "127.0.0.1", "", (b"fleet secret",))
N_OTHERS = 40


def _member(number: int, data_centre: str) -> Member:
    return Member(
        f"n{number}",
        1,
        "r",
        data_centre,
        "127.0.0.1",
        1,
        1,
        1,
        "s",
        1,
        False,
        MemberState.ALIVE,
        1,
    )


def _organisations(members: MemberTable) -> OrganisationServices:
    store = MemoryStore()
    return OrganisationServices(
        SETTINGS,
        PlatformStores(store, store),
        CatalogueInForce(),
        ControlClient(SETTINGS.secrets),
        members,
        ManualClock(),
    )


def test_pollers_follow_the_members_of_the_data_centre():
    members: MemberTable = MemberTable("members")
    config = _organisations(members).config
    assert config.is_poller
    for number in range(1, N_OTHERS):
        members.put(f"n{number}", _member(number, "d2"))
    assert config.is_poller
    for number in range(1, N_OTHERS):
        members.put(f"n{number}", _member(number, "d1"))
    assert not config.is_poller
    for number in range(1, N_OTHERS):
        members.pop(f"n{number}")
    assert config.is_poller


def test_near_peers_are_those_of_the_data_centre_that_are_present():
    members: MemberTable = MemberTable("members")
    config = _organisations(members).config
    members.put("n0", _member(0, "d1"))
    members.put("n1", _member(1, "d1"))
    members.put("n2", _member(2, "d2"))
    assert len(config.local_peers()) == 1
    members.put("n1", _member(1, "d1")._replace(state=MemberState.DEAD))
    assert config.local_peers() == []
