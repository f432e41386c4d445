"""Tests of how nodes adopt configuration versions from each other and at boot."""

import pytest

from ibisspoke_node.acceptance import Acceptance
from ibisspoke_node.config_sync import PeerAddress
from ibisspoke_policy.catalogue import (
    Call,
    Importance,
    Key,
    Organisation,
    digest_key,
)
from ibisspoke_policy.catalogue_delta import snapshot_digest
from ibisspoke_policy.context import ContextSigner
from ibisspoke_policy.refusal import RefusalKind

DATA_CENTRES = {"svea-1": 3, "gota-1": 3}
SVEA = Organisation("svea", 1_000.0, 1_000.0, serve_when_isolated_s=60)
CALL = Call("lids.look", "lids", "GET", "/lids", "lids", Importance.LOW, True)
OPEN = CALL._replace(
    id="lids.ping", path="/ping", is_open=True, open_rate_per_s=4.0, open_burst=4.0
)
KEYS = {digest_key(key): Key(digest_key(key), "svea", key, 0) for key in ("k1", "k2")}


async def _fleet(make_fleet):
    fleet = await make_fleet(DATA_CENTRES, [SVEA])
    await fleet.publish(calls_by_id={CALL.id: CALL, OPEN.id: OPEN}, keys_by_digest=KEYS)
    await fleet.run_rounds()
    return fleet


def _acceptance(peer, secrets=(b"secret",)):
    return Acceptance(
        peer.id,
        peer.catalogue_in_force,
        peer.quota,
        ContextSigner(secrets),
        peer.clock,
        peer.isolation,
    )


def _check(acceptance, key="k1", path="/lids/lids", **headers):
    headers_by_name = {name.replace("_", "-"): value for name, value in headers.items()}
    if key:
        headers_by_name["Authorization"] = f"Bearer {key}"
    return acceptance.check("GET", path, headers_by_name)


def _versions(fleet):
    return {peer.catalogue_in_force.version for peer in fleet.peers}


async def test_one_polling_node_brings_a_version_into_force_everywhere(make_fleet):
    fleet = await _fleet(make_fleet)
    version = await fleet.publish(keys_by_digest={})
    poller = next(peer for peer in fleet.peers if peer.config.is_poller)
    await poller.config.poll()
    await fleet.deliver_pending()
    near = [p for p in fleet.peers if p.data_centre == poller.data_centre]
    assert {peer.catalogue_in_force.version for peer in near} == {version}


async def test_few_nodes_poll_the_platform(make_fleet):
    fleet = await make_fleet({"svea-1": 9}, [SVEA])
    assert sum(peer.config.is_poller for peer in fleet.peers) == 2


async def test_a_node_without_peer_replies_polls_the_platform(make_fleet):
    fleet = await make_fleet({"svea-1": 9}, [SVEA])
    fleet.advance(11_000.0)
    assert all(peer.config.is_poller for peer in fleet.peers)


async def test_a_data_centre_without_the_platform_is_updated_by_another(make_fleet):
    fleet = await _fleet(make_fleet)
    for peer in fleet.peers[:3]:
        peer.store.down = True
    version = await fleet.publish(keys_by_digest={})
    await fleet.run_rounds(3)
    assert _versions(fleet) == {version}


async def test_a_version_never_reverts(make_fleet):
    fleet = await _fleet(make_fleet)
    ahead, behind = fleet.peers[0], fleet.peers[1]
    old = behind.catalogue_in_force.catalogue
    behind.stopped = True
    version = await fleet.publish(keys_by_digest={})
    await ahead.config.poll()
    assert ahead.catalogue_in_force.version == version
    assert not ahead.config.state.adopt(old)
    data = snapshot_digest(old)
    assert not ahead.config.state.adopt_snapshot(b"{}", data)
    assert ahead.catalogue_in_force.version == version
    behind.stopped = False
    await behind.config.exchange(PeerAddress("10.0.0.1", ahead.port))
    assert behind.catalogue_in_force.version == version


async def test_a_node_that_boots_from_a_stale_peer_takes_the_highest(make_fleet):
    fleet = await _fleet(make_fleet)
    stale = fleet.peers[0]
    stale.stopped = True
    version = await fleet.publish(keys_by_digest={})
    await fleet.run_rounds(3)
    stale.stopped = False
    late = fleet.add("svea-1")
    seeds = [PeerAddress("10.0.0.1", peer.port) for peer in (stale, fleet.peers[1])]
    late.store.down = True
    await late.config.boot(seeds)
    assert late.catalogue_in_force.version == version


async def test_a_node_boots_from_peers_while_the_platform_is_down(make_fleet):
    fleet = await _fleet(make_fleet)
    late = fleet.add("gota-1")
    late.store.down = True
    await late.config.boot([])
    assert late.catalogue_in_force.version == fleet.peers[0].catalogue_in_force.version
    assert (await late.admit("svea", 3)) == 3


async def test_a_node_that_reaches_nobody_refuses_as_without_a_catalogue(make_fleet):
    fleet = await _fleet(make_fleet)
    alone = fleet.add("alone-1")
    alone.store.down = True
    for peer in fleet.peers[:-1]:
        peer.stopped = True
    await alone.config.boot([PeerAddress("10.0.0.1", 1)])
    refused = _check(_acceptance(alone)).err_value
    assert refused.kind is RefusalKind.NO_CATALOGUE


async def test_a_peer_far_behind_gets_a_whole_snapshot(make_fleet):
    fleet = await _fleet(make_fleet)
    late = fleet.peers[2]
    late.stopped = True
    for number in range(70):
        await fleet.publish(organisations_by_id={"svea": SVEA._replace(burst=number)})
        await fleet.peers[0].config.poll()
    late.stopped = False
    await late.config.exchange(PeerAddress("10.0.0.1", fleet.peers[0].port))
    assert (
        late.catalogue_in_force.catalogue == fleet.peers[0].catalogue_in_force.catalogue
    )


async def test_a_key_withdrawn_during_a_partition_stops_when_it_heals(make_fleet):
    fleet = await _fleet(make_fleet)
    cut_off, connected = fleet.peers[0], fleet.peers[-1]
    isolated_acceptance, connected_acceptance = (
        _acceptance(cut_off),
        _acceptance(connected),
    )
    fleet.network.cut.add(frozenset(DATA_CENTRES))
    for peer in fleet.peers[:3]:
        peer.store.down = True
    await fleet.publish(keys_by_digest={digest_key("k2"): KEYS[digest_key("k2")]})
    await fleet.run_rounds(3)
    assert _check(connected_acceptance, "k1").err_value.kind is RefusalKind.UNKNOWN_KEY
    assert _check(connected_acceptance, "k2").is_ok()
    assert _check(isolated_acceptance, "k1").is_ok()
    fleet.network.cut.clear()
    await fleet.run_rounds(3)
    assert _check(isolated_acceptance, "k1").err_value.kind is RefusalKind.UNKNOWN_KEY
    assert _check(isolated_acceptance, "k2").is_ok()


async def test_a_data_centre_isolated_for_too_long_refuses(make_fleet):
    fleet = await _fleet(make_fleet)
    fleet.network.cut.add(frozenset(DATA_CENTRES))
    isolated = fleet.peers[:3]
    for peer in isolated:
        peer.store.down = True
    fleet.advance(59_000.0)
    await fleet.run_rounds(2)
    assert all(_check(_acceptance(peer)).is_ok() for peer in fleet.peers)
    fleet.advance(2_000.0)
    await fleet.run_rounds(2)
    kinds = [_check(_acceptance(peer)).err_value.kind for peer in isolated]
    assert set(kinds) == {RefusalKind.ISOLATED}
    assert all(_check(_acceptance(peer)).is_ok() for peer in fleet.peers[3:])
    isolated[0].store.down = False
    await isolated[0].config.poll()
    await isolated[1].config.exchange(PeerAddress("10.0.0.1", isolated[0].port))
    assert all(_check(_acceptance(peer)).is_ok() for peer in isolated[:2])


async def test_an_open_call_needs_no_key_and_is_bounded(make_fleet):
    fleet = await _fleet(make_fleet)
    peer = fleet.peers[0]
    fleet.advance(1_000.0)
    assert await peer.admit("open:lids.ping", 10) == 4
    refused = _check(_acceptance(peer), key="", path="/lids/ping").err_value
    assert refused.kind is RefusalKind.RATE_EXCEEDED


async def test_a_nested_call_runs_for_the_organisation_of_its_context(make_fleet):
    fleet = await _fleet(make_fleet)
    peer = fleet.peers[0]
    acceptance = _acceptance(peer)
    root = _check(acceptance).ok_value.context
    token = ContextSigner((b"secret",)).encode(root)
    nested = _check(acceptance, key="", Ibisspoke_Context=token).ok_value
    assert nested.context.organisation == "svea"
    assert nested.context.importance is root.importance
    assert nested.context.n_hops == root.n_hops + 1


@pytest.mark.parametrize(
    ("secrets", "kind"),
    [
        ((b"next", b"secret"), None),
        ((b"secret", b"next"), None),
        ((b"next",), RefusalKind.UNKNOWN_KEY),
    ],
)
async def test_contexts_outlive_a_rotation_with_two_accepted_secrets(
    make_fleet, secrets, kind
):
    fleet = await _fleet(make_fleet)
    root = _check(_acceptance(fleet.peers[0])).ok_value.context
    token = ContextSigner((b"secret",)).encode(root)
    rotated = _acceptance(fleet.peers[1], secrets)
    checked = _check(rotated, key="", Ibisspoke_Context=token)
    assert (checked.err_value.kind if checked.is_err() else None) is kind


async def test_an_expired_context_is_refused_even_with_a_key(make_fleet):
    fleet = await _fleet(make_fleet)
    peer = fleet.peers[0]
    acceptance = _acceptance(peer)
    token = ContextSigner((b"secret",)).encode(_check(acceptance).ok_value.context)
    peer.clock.advance(CALL.timeout_ms)
    refused = _check(acceptance, key="k1", Ibisspoke_Context=token).err_value
    assert refused.kind is RefusalKind.DEADLINE_EXCEEDED


async def test_an_organisation_without_isolation_is_served_while_in_contact(make_fleet):
    fleet = await make_fleet(DATA_CENTRES, [SVEA._replace(serve_when_isolated_s=0)])
    await fleet.publish(calls_by_id={CALL.id: CALL}, keys_by_digest=KEYS)
    await fleet.run_rounds()
    acceptance = _acceptance(fleet.peers[0])
    fleet.advance(5_000.0)
    assert _check(acceptance).is_ok()
    fleet.advance(6_000.0)
    assert _check(acceptance).err_value.kind is RefusalKind.ISOLATED
