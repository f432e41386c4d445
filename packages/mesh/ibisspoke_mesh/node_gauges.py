"""Gauges of a node for the metrics page."""

from typing import TYPE_CHECKING

from ibisspoke_policy.upstream_tracker import UpstreamState

if TYPE_CHECKING:
    from .node import Node


def gauges(node: "Node") -> dict[str, float]:
    """Return the current values, by name."""
    now_ms = node.clock.now_ms()
    load = node.dispatcher.load()
    peers = list(node.fleet.peers_by_id.values())
    n_alive = sum(peer.is_alive(now_ms) for peer in peers)
    draining = UpstreamState.DRAINING
    cold = node.dispatcher.pace.cold
    return {
        "config_version": node.config.version,
        "config_proof_age_seconds": node.config.proof_age_ms() / 1000.0,
        "store_era": node.store_era.value,
        "evacuations": len(node.evacuations.in_force),
        "evacuated": node.settings.data_centre in node.evacuations.in_force,
        "requests_running": load.n_running,
        "requests_queued": load.n_queued,
        "upstream_limit": load.limit,
        "upstream_ramp_limit": node.dispatcher.queue.limit_in_force,
        "upstream_cold": cold is not None and cold.is_bounding(now_ms),
        "upstream_cold_rate": (cold.n_allowed or 0) if cold is not None else 0,
        "upstream_service_seconds": load.service_ms / 1000.0,
        "vm_pace": node.dispatcher.vm_pace(),
        "upstream_pressure": max((p for _, p in load.pressures), default=0.0),
        "peers_alive": n_alive,
        "peers_draining": sum(peer.record.state is draining for peer in peers),
        "peers_silent": len(peers) - n_alive,
        "relays_heard": len(node.ranks.relays),
        "usage_report_age_seconds": node.rates.oldest_report_ms(now_ms) / 1000.0,
        "usages_invalid": node.status_receiver.n_invalid_usages,
        "loop_lag_seconds": node.tick_lag_ms / 1000.0,
        "log_lines_lost": node.pipe.n_lost if node.pipe else 0,
        "connections_opened": node.pool.n_opened,
        "caller_connections": len(node.callers.connections),
        "caller_connections_all": node.budget.n_connections,
        "caller_connections_limit": node.budget.max_connections,
        "caller_body_bytes": node.budget.n_body_bytes,
        "caller_input_bytes": node.budget.n_input_bytes,
        "caller_unread_bytes": node.budget.n_unread_bytes,
        "memory_held_bytes": node.memory.n_held_bytes,
        "memory_limit_bytes": node.memory.max_bytes,
        "caller_parsing": len(node.parsing),
        "caller_requests": node.callers.n_active,
        "link_calls": sum(peer.link.n_pending for peer in peers),
        "retries_left": node.retries.available(node.dispatcher.service, now_ms),
    }
