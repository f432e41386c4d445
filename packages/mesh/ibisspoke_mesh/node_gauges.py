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
    return {
        "config_version": node.config.version,
        "config_proof_age_seconds": node.config.proof_age_ms() / 1000.0,
        "requests_running": load.n_running,
        "requests_queued": load.n_queued,
        "upstream_limit": load.limit,
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
        "caller_requests": node.callers.n_active,
        "link_calls": sum(peer.link.n_pending for peer in peers),
        "retries_left": node.retries.available(node.dispatcher.service, now_ms),
    }
