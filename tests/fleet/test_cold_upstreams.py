"""Cold upstreams: documents, settings, heartbeats and connections on loopback.

Guards against a cold upstream that gets more than it tolerates, and crashes.
"""

import asyncio
import json
from pathlib import Path

import pytest
from fleet_harness import document, running_fleet, until
from test_odd_entries import heartbeat

from ibisspoke_adapter.configuration import decode_configuration
from ibisspoke_adapter.settings import parse_platform_settings
from ibisspoke_policy.route_table import ColdStart
from ibisspoke_standins.settings_template import render

ROOT = Path(__file__).resolve().parents[2]
COLD = [{"name": "shop", "coldStartS": 4, "coldPerS": 3}]
VALUES = {
    "node": "n-1",
    "ip": "10.0.0.1",
    "zone": "a",
    "region": "north",
    "service": "shop",
    "listen": {
        "outbound": "10.0.0.1:1",
        "inbound": "10.0.0.1:2",
        "ready": "10.0.0.1:3",
        "control": "10.0.0.1:4",
    },
    "portRange": [5, 6],
    "appAddr": "10.0.0.1:7",
    "heartbeatMs": 1500,
    "provider": {"address": "10.0.0.9:1"},
    "bounds": {
        "drainMs": 2500,
        "graceS": 6,
        "configApplyMs": 2500,
        "revokeMs": 5000,
        "retryBudgetRatio": 0.2,
        "budgetWindowS": 10,
        "budgetSlack": 48,
    },
}
COLD_BOUNDS = {**VALUES["bounds"], "coldOverage": 1.5, "coldSlack": 8}


def settings_of(values):
    """Return the settings that the deploy template gives for a deployment."""
    template = (ROOT / "deploy" / "node.toml").read_text()
    parsed = parse_platform_settings("node.toml", render(template, values))
    assert parsed.is_ok(), parsed
    return parsed.ok_value


def test_the_template_passes_the_bound_of_a_deployment_that_has_one():
    settings = settings_of({**VALUES, "bounds": COLD_BOUNDS})
    assert (settings.cold_overage, settings.cold_slack) == (1.5, 8.0)
    settings = settings_of(VALUES)
    assert (settings.cold_overage, settings.cold_slack) == (None, None)


def test_a_document_tells_the_rate_of_cold_upstreams():
    table = decode_configuration(document(services=COLD)).ok_value
    assert table.cold_starts_by_service == {"shop": ColdStart(4_000.0, 3.0)}


@pytest.mark.parametrize(
    "services",
    [
        None,
        [],
        [{"name": "shop"}],
        [{"name": "shop", "coldStartS": 4}],
        [{"name": "shop", "coldPerS": 0, "coldStartS": 4}],
        [{"name": "shop", "coldPerS": None}],
    ],
)
def test_a_document_without_a_rate_bounds_nothing(services):
    table = decode_configuration(document(services=services)).ok_value
    assert table.cold_starts_by_service == {}


@pytest.mark.parametrize("rate", ["3", -1, [], True])
def test_a_document_whose_rate_is_no_number_is_not_adopted(rate):
    # Guards against a bound that is silently dropped.
    services = [{"name": "shop", "coldPerS": rate}]
    assert decode_configuration(document(services=services)).is_err()


@pytest.mark.parametrize("cold", ["soon", None, -1, -0.5, 1e300, [], True])
async def test_a_heartbeat_without_a_readable_cold_time_is_refused(single, cold):
    body = heartbeat(coldRemainingMs=cold)
    target = "/api/Instances.Heartbeat/i-odd"
    assert await single.vms[0].upstream.call_control(target, body) == 400


@pytest.mark.parametrize("text", [b"NaN", b"Infinity", b"-Infinity", b"1e999"])
async def test_a_heartbeat_whose_cold_time_is_not_finite_is_refused(single, text):
    body = heartbeat(coldRemainingMs=0).replace(
        b'"coldRemainingMs": 0', b'"coldRemainingMs": ' + text
    )
    assert text in body
    target = "/api/Instances.Heartbeat/i-odd"
    assert await single.vms[0].upstream.call_control(target, body) == 400


async def _announce_cold(vm, cold_ms: int) -> None:
    """Send a heartbeat with a cold time."""
    vm.upstream._sequence += 1
    upstream = vm.upstream
    body = {
        "address": "a:1",
        "details": {"service": "shop", "slots": 8},
        "status": {
            "state": "ready",
            "sequence": upstream._sequence,
            "coldRemainingMs": cold_ms,
        },
        "born": upstream.start_ms,
    }
    target = f"/api/Instances.Heartbeat/{upstream.instance}"
    assert await upstream.call_control(target, json.dumps(body).encode()) == 200


async def test_a_cold_upstream_gets_its_rate_and_the_other_one_the_rest():
    # Load: 30 requests at once, while one of two upstreams tolerates 3 a second.
    async with running_fleet(2, cold_overage=1.5, cold_slack=8.0) as fleet:
        await fleet.configure(2, services=COLD)
        first, second = fleet.vms
        await until(lambda: first.node.dispatcher.pace.cold.n_allowed == 3)
        await asyncio.sleep(1.1)  # the node may have sent some before it started
        await _announce_cold(first, 60_000)
        assert first.node.dispatcher.load().limit == 1
        responses = await asyncio.gather(*[first.call() for _ in range(30)])
        assert {response.status for response in responses} == {200}
        assert len(first.upstream.received_requests) <= 6  # 3 in each second
        assert len(second.upstream.received_requests) >= 24


async def test_a_reset_of_all_connections_is_noticed_and_an_own_close_is_not():
    # Failure: the process of the upstream ends between two heartbeats.
    async with running_fleet(1, cold_overage=1.5, cold_slack=8.0) as fleet:
        vm = fleet.vms[0]
        await fleet.configure(2, services=COLD)
        cold = vm.node.dispatcher.pace.cold
        await until(lambda: cold.n_allowed == 3)
        await _announce_cold(vm, 0)
        await asyncio.gather(*[vm.call() for _ in range(3)])
        vm.node.pool.close_idle()
        await asyncio.sleep(0.1)
        assert not cold.is_cold(vm.node.clock.now_ms())
        await asyncio.gather(*[vm.call() for _ in range(3)])
        for writer in list(vm.upstream._writers):
            writer.transport.abort()
        await until(lambda: cold.is_cold(vm.node.clock.now_ms()), timeout_s=2.0)
        await asyncio.sleep(0.15)
        await _announce_cold(vm, 0)
        assert not cold.is_cold(vm.node.clock.now_ms())


def test_the_template_asks_for_the_ramp_where_upstreams_are_cold():
    assert not settings_of(VALUES).has_start_ramp
    assert settings_of({**VALUES, "bounds": COLD_BOUNDS}).has_start_ramp


def test_the_template_follows_evacuations_where_they_have_a_bound():
    assert settings_of(VALUES).evacuation_ms is None
    bounds = {**VALUES["bounds"], "evacuationMs": 5_000}
    assert settings_of({**VALUES, "bounds": bounds}).evacuation_ms == 5_000.0


def test_settings_without_a_pace_ask_for_no_ramp():
    template = (ROOT / "deploy" / "node.toml").read_text()
    text = render(template, VALUES).partition("[platform]")[0]
    assert not parse_platform_settings("node.toml", text).ok_value.has_start_ramp
    text += "[pace]\nramp = true\n"
    assert parse_platform_settings("node.toml", text).ok_value.has_start_ramp


@pytest.mark.parametrize("bounds", ["{", "[]", '{"coldSlack": "8"}'])
def test_bounds_that_cannot_be_read_are_an_error_of_the_settings(bounds):
    template = (ROOT / "deploy" / "node.toml").read_text()
    text = render(template, VALUES).partition("[platform]")[0]
    text += f"[platform]\nbounds = '{bounds}'\n"
    faults = parse_platform_settings("node.toml", text).err_value
    assert [fault.place for fault in faults] == ["platform.bounds"]


async def test_the_metrics_page_tells_the_limits():
    async with running_fleet(
        1, cold_overage=1.5, cold_slack=8.0, has_start_ramp=True
    ) as fleet:
        vm = fleet.vms[0]
        await fleet.configure(2, services=COLD)
        await until(lambda: vm.node.dispatcher.pace.cold.n_allowed == 3)
        await _announce_cold(vm, 60_000)
        page = (await vm.node.serve_metrics(None)).body.decode()
        assert "ibisspoke_upstream_cold 1.0" in page
        assert "ibisspoke_upstream_cold_rate 3.0" in page
        assert "ibisspoke_upstream_ramp_limit 8.0" in page
        assert "ibisspoke_upstream_limit 1.0" in page
